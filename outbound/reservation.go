package outbound

import (
	"context"
	"fmt"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/report"
	"slatewind.example/slatewind/search"
)

// pending is one reservation without a final reply.
type pending struct {
	question *search.Question
	cancel   context.CancelFunc
}

// server returns the server at which the reservation is made.
func (a *pending) server() choice.Candidate { return a.question.Server }

// event is a reply to a reservation, or the error that ended it.
type event struct {
	of    *pending
	use   link.Use
	reply *slatewindv1.UseReply
	err   error
}

// ask makes a reservation at the next server, if there is one.
func (l *look) ask() {
	now := time.Now()
	question, left := l.search.Next(now, func(server choice.Candidate) bool { return l.rq.shard.passedOver(now, l.rq, l.aim, server.ID()) })
	if !left {
		return
	}
	to := l.aim
	to.ask = question.Ask
	ctx, cancel := context.WithCancel(l.ctx)
	a := &pending{question: question, cancel: cancel}
	l.open[a] = true
	l.rq.shard.update(func(c *choice.Service) { c.Reserved(now, a.server().ID()) })
	go l.o.reserve(ctx, l.rq.reservation(to, l.until), a, l.events)
}

// reserve makes one reservation and passes its replies on up to the final one.
func (o *Outbound) reserve(ctx context.Context, reservation *slatewindv1.Reservation, a *pending, events chan<- event) {
	use, err := o.links.Open(ctx, *a.server().ServerEntry)
	if err == nil {
		err = use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Reservation{Reservation: reservation}})
	}
	for {
		var reply *slatewindv1.UseReply
		if err == nil {
			reply, err = use.Recv()
		}
		select {
		case events <- event{of: a, use: use, reply: reply, err: err}:
		case <-ctx.Done():
			// The look is over. A slot that was granted is given back with the stream.
			return
		}
		if err != nil || reply.GetQueued() == nil {
			return
		}
	}
}

// tenths is the unit in which suspicion travels.
const tenths = 10

// bearsAll is the suspicion that a message names where any is borne.
const bearsAll = 1000

// reservation is the message that asks for a slot at a server.
func (rq *request) reservation(to aim, until time.Time) *slatewindv1.Reservation {
	now := time.Now()
	return &slatewindv1.Reservation{
		Service: rq.service, Route: rq.route.GetName(), Workspace: rq.workspace.GetName(), Repeatable: rq.repeatable(), Rank: rq.rank(),
		RemainingMs: uint32(max(rq.remaining(now), 0).Milliseconds()), PatienceMs: uint32(max(until.Sub(now), 0).Milliseconds()),
		Careful: to.ask.Careful, Scarce: to.ask.Scarce, LastResort: to.ask.LastResort, BearableTenths: uint32(min(to.ask.Bears, bearsAll) * tenths),
		Begun: rq.call != nil, Extra: to.extra, Repeat: rq.call != nil && rq.call.Repeat,
		ExpectedMs: uint32(rq.expected().Milliseconds()), First: !rq.announced.Swap(true),
	}
}

// expectedFactor is how much longer than the mean of all servers one may take on
// average: their speeds differ, and a new one is slow.
const expectedFactor = 1.5

// expected returns how long a server may be expected to work on the request: by what
// other servers took, or as long as its objective where none has answered yet.
func (rq *request) expected() time.Duration {
	if mean := rq.shard.meanOf(rq.route.GetName()); mean > 0 {
		return time.Duration(expectedFactor * float64(mean))
	}
	return rq.objective()
}

// end closes a reservation that brought no slot.
func (l *look) end(a *pending) {
	delete(l.open, a)
	a.cancel()
	l.rq.shard.update(func(c *choice.Service) { c.Ended(a.server().ID()) })
}

// heard notes what the process beside a server told of it.
func (l *look) heard(server string, told choice.Told) {
	l.rq.shard.update(func(c *choice.Service) { c.Heard(time.Now(), server, told) })
}

// percent is the unit in which shares travel.
const percent = 100.0

// toldOf translates the state that a reply carries.
func toldOf(state *slatewindv1.SlotState) choice.Told {
	return choice.Told{
		Load: float64(state.GetInUse() + state.GetQueued()), Slots: float64(state.GetSlots()),
		Sick: healthWord(state) != string(slatewind.ServerHealthy), Leaving: state.GetLeaving(),
		SuccessShare: 1 - float64(state.GetFailurePercent())/percent, ShedShare: float64(state.GetShedPercent()) / percent,
		Suspicion: float64(state.GetSuspicionTenths()) / tenths,
	}
}

// reasonOf says why a reservation was refused, in words for operators.
func reasonOf(refusal *slatewindv1.Refusal) string {
	state := refusal.GetState()
	reason := refusal.GetReason()
	switch inbound.Cause(refusal.GetCause()) {
	case inbound.CauseFull:
		reason = fmt.Sprintf("no slot in time, %d of %d in use, %d wait", state.GetInUse(), state.GetSlots(), state.GetQueued())
	case inbound.CauseSick:
		reason = fmt.Sprintf("the server is %s, %d%% of the newest requests failed, suspicion %.1f",
			healthWord(state), state.GetFailurePercent(), float64(state.GetSuspicionTenths())/tenths)
	case inbound.CauseBudget:
		reason = "the bound on extra attempts is reached"
	}
	return fmt.Sprintf("%s: %s", refusal.GetCause(), reason)
}

// healthWord is a state's word for the server's health; an empty one says healthy.
func healthWord(state *slatewindv1.SlotState) string {
	if state.GetHealth() == "" {
		return string(slatewind.ServerHealthy)
	}
	return state.GetHealth()
}

// toldByRefusal adds to the state what the refusal's cause says.
func toldByRefusal(refusal *slatewindv1.Refusal) choice.Told {
	told := toldOf(refusal.GetState())
	switch inbound.Cause(refusal.GetCause()) {
	case inbound.CauseFull:
		told.Full = true
		told.SlotIn = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	case inbound.CauseStopping:
		told.Stopping = true
		told.BackIn = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	case inbound.CauseSick:
		told.TrialIn = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	case inbound.CauseBudget:
		told.Spent = true
	}
	return told
}

// Told takes what other processes reported of servers.
func (o *Outbound) Told(now time.Time, reports []*slatewindv1.ServerReport) {
	for _, r := range reports {
		o.mu.RLock()
		home, known := o.servers[r.GetServer()]
		o.mu.RUnlock()
		if !known {
			continue
		}
		told := toldOf(r.GetState())
		told.TrialIn = time.Duration(r.GetTrialInMs()) * time.Millisecond
		told.TrialDue = told.Sick && told.TrialIn == 0
		id := slatewind.ServerID(r.GetServer(), r.GetStartUnixMillis())
		o.shard(home.service).update(func(c *choice.Service) { c.Reported(now.Add(-report.Age(r)), id, told) })
	}
}

// unreached ends a reservation that failed on its way.
func (l *look) unreached(e event) {
	l.end(e.of)
	name, id := e.of.server().Name, e.of.server().ID()
	l.last, l.lastServer = fmt.Sprintf("the process beside %s cannot be reached: %v", name, e.err), name
	l.rq.shard.update(func(c *choice.Service) { c.Silent(time.Now(), id) })
	l.askIf(l.search.Ended())
}

// left ends a reservation that was granted after its server began to leave.
func (l *look) left(e event) {
	l.decline(e, inbound.CauseLeaving, "the server began to leave while the request waited for its slot")
}

// endsBefore ends a reservation that was granted by a process which ends before this one.
func (l *look) endsBefore(e event) {
	told := toldOf(e.reply.GetGranted())
	told.Stopping, told.BackIn = true, time.Duration(e.reply.GetGranted().GetLastsMs())*time.Millisecond
	l.heard(e.of.server().ID(), told)
	l.decline(e, inbound.CauseStopping, "the process beside the server ends before this one")
}

// decline ends a reservation that was granted and is not used, as if it had been refused.
func (l *look) decline(e event, cause inbound.Cause, why string) {
	l.end(e.of)
	l.refusals[cause]++
	l.last, l.lastServer = fmt.Sprintf("%s: %s", cause, why), e.of.server().Name
	l.askIf(l.search.Ended())
}

// leastTrialIn is how long it is at least until a server that refused a request as sick
// gets its next trial: it may be that one runs.
const leastTrialIn = 100 * time.Millisecond

// refused ends a reservation that the process beside the server refused.
func (l *look) refused(e event) {
	l.end(e.of)
	refusal := e.reply.GetRefusal()
	cause := inbound.Cause(refusal.GetCause())
	name, id := e.of.server().Name, e.of.server().ID()
	l.refusals[cause]++
	l.last, l.lastServer = reasonOf(refusal), name
	after := time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	if after > 0 && (l.retryAfter == 0 || after < l.retryAfter) {
		l.retryAfter = after
	}
	l.heard(id, toldByRefusal(refusal))
	switch cause {
	case inbound.CauseSick:
		l.o.reports.Heard(time.Now(), slatewind.ServerStart{Name: name, Start: e.of.server().Start}, refusal.GetState(), max(after, leastTrialIn))
	case inbound.CauseBudget:
		l.rq.shard.deny(time.Now())
		l.o.meter.Denied(l.rq.service, deniedBound)
	case inbound.CauseMoved:
		l.rq.shard.update(func(c *choice.Service) { c.Moved(time.Now(), id) })
	}
	l.askIf(l.search.Refused(e.of.question, search.Refusal{Sick: cause == inbound.CauseSick, Denied: cause == inbound.CauseBudget}))
}
