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
	"slatewind.example/slatewind/recovery"
	"slatewind.example/slatewind/report"
	"slatewind.example/slatewind/search"
)

// pendingReservation is a reservation without a final reply.
type pendingReservation struct {
	reservation *search.Reservation
	cancel      context.CancelFunc
}

// server returns the server at which the reservation is made.
func (p *pendingReservation) server() choice.Candidate { return p.reservation.Server }

// event is a reply to a reservation, or the error that ended the reservation.
type event struct {
	pending *pendingReservation
	use     link.Use
	reply   *slatewindv1.UseReply
	err     error
}

// reserveNext makes a reservation at the next server, if there is one.
func (s *slotSearch) reserveNext() {
	now := time.Now()
	reservation, left := s.search.Next(now, func(server choice.Candidate) bool { return s.rq.shard.excluded(now, s.rq, s.opts, server.ID()) })
	if !left {
		return
	}
	opts := s.opts
	opts.constraints = reservation.Constraints
	ctx, cancel := context.WithCancel(s.ctx)
	p := &pendingReservation{reservation: reservation, cancel: cancel}
	s.open[p] = true
	message := s.rq.reservation(opts, s.until)
	message.PaidMs = uint32(s.paidFor().Milliseconds())
	s.rq.shard.update(func(c *choice.Service) {
		c.Reserved(now, p.server().ID())
		if message.RequestLimit = link.LimitMessage(c.Limit(p.server().ID())); message.RequestLimit != nil {
			message.LimitedServer = p.server().ID()
		}
	})
	go func() {
		err := recovery.Run("reservation", func() { s.o.reserve(ctx, message, p, s.events) })
		if err == nil {
			return
		}
		select {
		case s.events <- event{pending: p, err: err}:
		case <-ctx.Done():
		}
	}()
}

// paidFor returns for how much longer the attempt is paid for.
func (s *slotSearch) paidFor() time.Duration { return max(s.opts.paidUntil.Sub(s.o.clock.Now()), 0) }

// reserve makes one reservation and sends its replies to events, up to and including the final one.
func (o *Outbound) reserve(ctx context.Context, reservation *slatewindv1.Reservation, p *pendingReservation, events chan<- event) {
	use, err := o.links.Open(ctx, *p.server().ServerEntry)
	if err == nil {
		err = use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Reservation{Reservation: reservation}})
	}
	for {
		var reply *slatewindv1.UseReply
		if err == nil {
			reply, err = use.Recv()
		}
		select {
		case events <- event{pending: p, use: use, reply: reply, err: err}:
		case <-ctx.Done():
			// The search has ended. Closing the stream releases a slot that was granted.
			return
		}
		if err != nil || reply.GetQueued() == nil {
			return
		}
	}
}

// tenthsPerUnit converts suspicion, which is transmitted in tenths.
const tenthsPerUnit = 10

// maxBearable is the suspicion that is transmitted if any suspicion is acceptable.
const maxBearable = 1000

// reservation returns the message that requests a slot at a server.
func (rq *request) reservation(opts attemptOptions, until time.Time) *slatewindv1.Reservation {
	now := time.Now()
	return &slatewindv1.Reservation{
		Service: rq.service, Route: rq.route.GetName(), Workspace: rq.workspace.GetName(), Repeatable: rq.repeatable(), Rank: rq.rank(),
		RemainingMs: uint32(max(rq.remaining(now), 0).Milliseconds()), PatienceMs: uint32(max(until.Sub(now), 0).Milliseconds()),
		Careful: opts.constraints.Careful, Scarce: opts.constraints.Scarce, LastResort: opts.constraints.LastResort, BearableTenths: uint32(min(opts.constraints.MaxSuspicion, maxBearable) * tenthsPerUnit),
		Begun: rq.call != nil, Extra: opts.extra, Repeat: rq.isCallOfExtra(),
		ExpectedMs: uint32(rq.expected().Milliseconds()), First: !rq.announced.Swap(true),
		MayRepeat: opts.mayRepeat,
	}
}

// isCallOfExtra reports whether the request is a call made by a run that was itself an extra arrival.
func (rq *request) isCallOfExtra() bool { return rq.call != nil && rq.call.Repeat }

// isExtraArrival reports whether an attempt counts against the limit on extra attempts.
func (rq *request) isExtraArrival(opts attemptOptions) bool { return opts.extra || rq.isCallOfExtra() }

// expectedFactor is the multiple of the mean time over all servers that the mean of a single
// server may reach: servers differ in speed, and a newly started one is slow.
const expectedFactor = 1.5

// expected returns how long a server may be expected to work on the request, based on the times of
// earlier requests of the route; it is the objective if there are none yet.
func (rq *request) expected() time.Duration {
	if mean := rq.shard.meanTime(rq.route.GetName()); mean > 0 {
		return time.Duration(expectedFactor * float64(mean))
	}
	return rq.objective()
}

// end closes a reservation that did not result in a slot.
func (s *slotSearch) end(p *pendingReservation) {
	delete(s.open, p)
	p.cancel()
	s.rq.shard.update(func(c *choice.Service) { c.Ended(p.server().ID()) })
}

// recordState records the state that the process beside a server reported.
func (s *slotSearch) recordState(server string, state choice.Status) {
	s.rq.shard.update(func(c *choice.Service) { c.Replied(time.Now(), server, state) })
}

// percent converts shares, which are transmitted in percent.
const percent = 100.0

// stateOf converts the server state in a reply.
func stateOf(state *slatewindv1.SlotState) choice.Status {
	return choice.Status{
		Load: float64(state.GetInUse() + state.GetQueued()), Slots: float64(state.GetSlots()),
		Unhealthy: healthOf(state) != string(slatewind.ServerHealthy), Leaving: state.GetLeaving(),
		SuccessShare: 1 - float64(state.GetFailurePercent())/percent, ShedShare: float64(state.GetShedPercent()) / percent,
		Suspicion: float64(state.GetSuspicionTenths()) / tenthsPerUnit,
		Limit:     link.LimitOf(state.RequestLimit), LimitUnknown: state.GetRequestLimitUnknown(),
		StatedLeaving: state.GetStatedLeaving(),
	}
}

// refusalReason returns the reason for a refused reservation, worded for operators.
func refusalReason(refusal *slatewindv1.Refusal) string {
	state := refusal.GetState()
	reason := refusal.GetReason()
	switch inbound.Cause(refusal.GetCause()) {
	case inbound.CauseFull:
		reason = fmt.Sprintf("no slot in time, %d of %d in use, %d wait", state.GetInUse(), state.GetSlots(), state.GetQueued())
	case inbound.CauseUnhealthy:
		reason = fmt.Sprintf("the server is %s, %d%% of the newest requests failed, suspicion %.1f",
			healthOf(state), state.GetFailurePercent(), float64(state.GetSuspicionTenths())/tenthsPerUnit)
	case inbound.CauseBudget:
		reason = "the bound on extra attempts is reached"
	}
	return fmt.Sprintf("%s: %s", refusal.GetCause(), reason)
}

// healthOf returns the server's health in a state; the empty value stands for healthy.
func healthOf(state *slatewindv1.SlotState) string {
	if state.GetHealth() == "" {
		return string(slatewind.ServerHealthy)
	}
	return state.GetHealth()
}

// refusalStateOf converts the server state in a refusal and adds what follows from its cause.
func refusalStateOf(refusal *slatewindv1.Refusal) choice.Status {
	state := stateOf(refusal.GetState())
	switch inbound.Cause(refusal.GetCause()) {
	case inbound.CauseFull, inbound.CauseWarming, inbound.CauseLimited:
		state.Full, state.Limited = true, inbound.Cause(refusal.GetCause()) == inbound.CauseLimited
		state.SlotIn = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	case inbound.CauseStopping:
		state.Stopping = true
		state.BackIn = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	case inbound.CauseUnhealthy:
		state.TrialIn = time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	case inbound.CauseBudget:
		state.Spent = true
	}
	return state
}

// ApplyReports records the server states that other processes reported. Reports about unknown
// servers are ignored.
func (o *Outbound) ApplyReports(now time.Time, reports []*slatewindv1.ServerReport) {
	for _, r := range reports {
		o.mu.RLock()
		server := o.occupants.InUse(r.GetServer())
		o.mu.RUnlock()
		if server == nil {
			continue
		}
		state := stateOf(r.GetState())
		state.TrialIn = time.Duration(r.GetTrialInMs()) * time.Millisecond
		state.TrialDue = state.Unhealthy && state.TrialIn == 0
		id := slatewind.ServerID(r.GetServer(), r.GetStartUnixMillis())
		o.shard(server.Service).update(func(c *choice.Service) { c.Reported(now.Add(-report.Age(r)), id, state) })
	}
}

// handleUnreachable ends a reservation that failed with an error.
func (s *slotSearch) handleUnreachable(e event) {
	s.end(e.pending)
	name, id := e.pending.server().Name, e.pending.server().ID()
	s.lastReason, s.lastServer = fmt.Sprintf("the process beside %s cannot be reached: %v", name, e.err), name
	s.rq.shard.update(func(c *choice.Service) { c.NoReply(time.Now(), id) })
	s.reserveNextIf(s.search.Ended())
}

// declineLeaving ends a reservation that was granted after its server started leaving.
func (s *slotSearch) declineLeaving(e event) {
	s.decline(e, inbound.CauseLeaving, "the server began to leave while the request waited for its slot")
}

// declineStopping ends a reservation that was granted by a process that will exit before this one.
func (s *slotSearch) declineStopping(e event) {
	state := stateOf(e.reply.GetGranted())
	state.Stopping, state.BackIn = true, time.Duration(e.reply.GetGranted().GetLastsMs())*time.Millisecond
	s.recordState(e.pending.server().ID(), state)
	s.decline(e, inbound.CauseStopping, "the process beside the server ends before this one")
}

// decline ends a granted reservation without using it, and counts it as refused.
func (s *slotSearch) decline(e event, cause inbound.Cause, why string) {
	s.end(e.pending)
	s.refusals[cause]++
	s.lastReason, s.lastServer = fmt.Sprintf("%s: %s", cause, why), e.pending.server().Name
	s.reserveNextIf(s.search.Ended())
}

// minTrialIn is the minimum time until the next trial of a server that refused a request as
// unhealthy: a trial may be in progress.
const minTrialIn = 100 * time.Millisecond

// handleRefusal ends a reservation that the process beside the server refused.
func (s *slotSearch) handleRefusal(e event) {
	s.end(e.pending)
	refusal := e.reply.GetRefusal()
	cause := inbound.Cause(refusal.GetCause())
	name, id := e.pending.server().Name, e.pending.server().ID()
	s.refusals[cause]++
	s.lastReason, s.lastServer = refusalReason(refusal), name
	after := time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond
	if after > 0 && (s.retryAfter == 0 || after < s.retryAfter) {
		s.retryAfter = after
	}
	s.recordState(id, refusalStateOf(refusal))
	switch cause {
	case inbound.CauseUnhealthy:
		s.o.reports.AddDirect(time.Now(), slatewind.ServerStart{Name: name, Start: e.pending.server().Start}, refusal.GetState(), max(after, minTrialIn))
	case inbound.CauseBudget:
		s.rq.shard.recordDenial(time.Now())
		s.o.meter.Denied(s.rq.service, deniedBound)
	case inbound.CauseMoved:
		s.rq.shard.update(func(c *choice.Service) { c.Moved(time.Now(), id) })
	}
	s.reserveNextIf(s.search.Refused(e.pending.reservation, search.Refusal{Unhealthy: cause == inbound.CauseUnhealthy, Denied: cause == inbound.CauseBudget}))
}
