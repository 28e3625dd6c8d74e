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
)

// pending is one reservation without a final reply.
type pending struct {
	server choice.Candidate
	cancel context.CancelFunc
	since  time.Time
	// heard says that some reply came.
	heard bool
}

// event is a reply to a reservation, or the error that ended it.
type event struct {
	of    *pending
	use   link.Use
	reply *slatewindv1.UseReply
	err   error
}

// ask makes a reservation at the next server; it reports whether there was one.
func (s *search) ask() bool {
	if len(s.queue) == 0 {
		return false
	}
	server := s.queue[0]
	s.queue = s.queue[1:]
	ctx, cancel := context.WithCancel(s.ctx)
	a := &pending{server: server, cancel: cancel, since: time.Now()}
	s.open[a] = true
	s.newest = a
	s.rq.shard.update(func(c *choice.Service) { c.Reserved(server.Name) })
	go s.o.reserve(ctx, s.rq.reservation(server.ServerEntry, s.aim, s.until), a, s.events)
	return true
}

// reserve makes one reservation and passes its replies on up to the final one.
func (o *Outbound) reserve(ctx context.Context, reservation *slatewindv1.Reservation, a *pending, events chan<- event) {
	use, err := o.links.Open(ctx, a.server.ServerEntry)
	if err == nil {
		err = use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Reservation{Reservation: reservation}})
	}
	for {
		var reply *slatewindv1.UseReply
		if err == nil {
			reply, err = use.Recv()
		}
		events <- event{of: a, use: use, reply: reply, err: err}
		if err != nil || reply.GetQueued() == nil {
			return
		}
	}
}

// reservation is the message that asks for a slot at a server.
func (rq *request) reservation(server slatewind.ServerEntry, to aim, until time.Time) *slatewindv1.Reservation {
	now := time.Now()
	return &slatewindv1.Reservation{
		RequestId: rq.id, Service: rq.service, Server: server.Name, Route: rq.route.GetName(), Kind: string(rq.kind()),
		Rank: rq.route.GetRank(), RemainingNanos: int64(rq.remaining(now)), PatienceNanos: int64(until.Sub(now)),
		Careful: to.ask.Careful, LastResort: to.ask.LastResort, Begun: rq.call != nil, Extra: to.extra, Repeat: rq.call != nil && rq.call.Repeat,
	}
}

// end closes a reservation that brought no slot.
func (s *search) end(a *pending) {
	delete(s.open, a)
	a.cancel()
	s.rq.shard.update(func(c *choice.Service) { c.Ended(a.server.Name) })
}

// heard notes what the process beside a server told of it.
func (s *search) heard(server string, told choice.Told) {
	s.rq.shard.update(func(c *choice.Service) { c.Heard(time.Now(), server, told) })
}

// toldOf translates the state that a reply carries.
func toldOf(state *slatewindv1.SlotState) choice.Told {
	return choice.Told{
		Load: float64(state.GetInUse() + state.GetQueued()), Slots: float64(state.GetSlots()),
		Sick:    slatewind.ServerState(state.GetHealth()) != slatewind.ServerHealthy,
		Leaving: state.GetLeaving(), SuccessShare: state.GetSuccessShare(), ShedShare: state.GetShedShare(),
	}
}

// toldByRefusal adds to the state what the refusal's cause says.
func toldByRefusal(refusal *slatewindv1.Refusal) choice.Told {
	told := toldOf(refusal.GetState())
	switch inbound.Cause(refusal.GetCause()) {
	case inbound.CauseFull:
		told.Full = true
	case inbound.CauseSick:
		told.TrialIn = time.Duration(refusal.GetRetryAfterNanos())
	case inbound.CauseBudget:
		told.Spent = true
	}
	return told
}

// unreached ends a reservation that failed on its way.
func (s *search) unreached(e event) {
	s.end(e.of)
	s.last, s.lastServer = fmt.Sprintf("the process beside %s cannot be reached: %v", e.of.server.Name, e.err), e.of.server.Name
	s.rq.shard.update(func(c *choice.Service) { c.Silent(time.Now(), e.of.server.Name) })
}

// refused ends a reservation that the process beside the server refused.
func (s *search) refused(e event) {
	s.end(e.of)
	refusal := e.reply.GetRefusal()
	name := e.of.server.Name
	s.refusals[inbound.Cause(refusal.GetCause())]++
	s.last, s.lastServer = fmt.Sprintf("%s: %s", refusal.GetCause(), refusal.GetReason()), name
	if after := time.Duration(refusal.GetRetryAfterNanos()); after > 0 && (s.retryAfter == 0 || after < s.retryAfter) {
		s.retryAfter = after
	}
	s.heard(name, toldByRefusal(refusal))
	if inbound.Cause(refusal.GetCause()) == inbound.CauseBudget {
		s.rq.shard.deny(time.Now())
	}
	if inbound.Cause(refusal.GetCause()) == inbound.CauseMoved {
		s.rq.shard.update(func(c *choice.Service) { c.Moved(time.Now(), name) })
	}
}
