package outbound

import (
	"context"
	"fmt"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/link"
)

const (
	// silentAfter is how long a reservation may stay without any reply before
	// the next server is asked as well. A reply takes a round trip, some 3 ms
	// between data centres, and a busy process some ten more.
	silentAfter = 40 * time.Millisecond
	// avoidAfter is how long a process must have been silent to be avoided.
	avoidAfter = 120 * time.Millisecond
	// maxQueued is at how many servers a request waits at once. It takes the
	// first slot, and the others go to the next in their queues.
	maxQueued = 3
	// firstPause is the pause before the servers are asked anew; it doubles up
	// to maxPause.
	firstPause = 20 * time.Millisecond
	maxPause   = 80 * time.Millisecond
	// patienceShare is the share of a request's time that it may wait for a
	// slot, and objectiveShare that of its objective, whichever is longer.
	patienceShare  = 0.25
	objectiveShare = 0.4
)

// patience returns until when a request may wait for a slot.
func (rq *request) patience() time.Time {
	wait := max(
		time.Duration(patienceShare*float64(rq.deadline.Sub(rq.began))),
		time.Duration(objectiveShare*float64(rq.objective())),
	)
	return rq.began.Add(wait)
}

// held is a granted slot.
type held struct {
	server slatewind.ServerEntry
	use    link.Use
	cancel context.CancelFunc
}

// pending is one reservation without a final reply.
type pending struct {
	server slatewind.ServerEntry
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

// search is one look for a slot.
type search struct {
	o      *Outbound
	rq     *request
	aim    aim
	ctx    context.Context
	events chan event
	// open holds the reservations without a final reply, queued how many of
	// them wait for a slot.
	open   map[*pending]bool
	queued int
	// queue holds the servers that are still to be asked in this round.
	queue []slatewind.ServerEntry
	// newest is the reservation that was made last.
	newest *pending
	// last says why the newest refused reservation was, and lastServer by which
	// server; retryAfter is the least time after which a slot may be free.
	last       string
	lastServer string
	retryAfter time.Duration
}

// aim says which servers an attempt may go to.
type aim struct {
	// tried are passed over.
	tried map[string]bool
	// ask says what the attempt may do to servers that look sick.
	ask breaker.Ask
}

// acquire looks for a slot for a request until a time. Where there is none, the
// outcome says why.
func (o *Outbound) acquire(ctx context.Context, rq *request, aim aim, until time.Time) (*held, *final) {
	s := &search{o: o, rq: rq, aim: aim, ctx: ctx, open: map[*pending]bool{}, last: "no server of the service is known"}
	defer s.close()
	patience := time.NewTimer(time.Until(until))
	defer patience.Stop()
	for wait := firstPause; ; wait = min(2*wait, maxPause) {
		s.begin()
		slot, over := s.round(patience.C)
		if slot != nil {
			return slot, nil
		}
		s.aim.ask.LastResort = true
		if over || !time.Now().Add(wait).Before(until) || !pause(ctx, wait) {
			return nil, s.refusal()
		}
	}
}

// pause waits; it reports false if ctx ended meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// refusal is the outcome of a search without a slot.
func (s *search) refusal() *final {
	return &final{outcome: slatewind.OutcomeNotRun, reason: s.last, server: s.lastServer, retryAfter: s.retryAfter}
}

// begin starts a round: all servers are asked in the order of their cost.
func (s *search) begin() {
	var order []slatewind.ServerEntry
	s.rq.shard.update(func(c *choice.Service) { order = c.Order(time.Now(), s.aim.ask) })
	s.queue = s.queue[:0]
	for _, server := range order {
		if !s.aim.tried[server.Name] {
			s.queue = append(s.queue, server)
		}
	}
	// Each reservation brings at most one reply that it waits and a final one.
	s.events = make(chan event, 2*len(s.queue))
}

// round asks one server after the other. over says that waiting longer is no use.
func (s *search) round(patience <-chan time.Time) (slot *held, over bool) {
	if !s.ask() {
		return nil, false
	}
	silent := time.NewTicker(silentAfter)
	defer silent.Stop()
	for len(s.open) > 0 {
		select {
		case e := <-s.events:
			if slot := s.take(e); slot != nil {
				return slot, false
			}
		case <-silent.C:
			if s.newest != nil && !s.newest.heard && time.Since(s.newest.since) >= silentAfter {
				s.ask()
			}
		case <-patience:
			return nil, true
		case <-s.ctx.Done():
			return nil, true
		}
	}
	return nil, false
}

// take handles one reply. It returns the slot if one was granted.
func (s *search) take(e event) *held {
	if !s.open[e.of] {
		return nil
	}
	e.of.heard = true
	switch {
	case e.err != nil:
		s.unreached(e)
	case e.reply.GetGranted() != nil:
		delete(s.open, e.of)
		s.heard(e.of.server.Name, toldOf(e.reply.GetGranted()))
		return &held{server: e.of.server, use: e.use, cancel: e.of.cancel}
	case e.reply.GetQueued() != nil:
		s.heard(e.of.server.Name, toldOf(e.reply.GetQueued()))
		s.queued++
		if s.queued < maxQueued {
			s.ask()
		}
		return nil
	default:
		s.refused(e)
	}
	s.ask()
	return nil
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
	go s.o.reserve(ctx, s.rq.reservation(server, s.aim.ask), a, s.events)
	return true
}

// reserve makes one reservation and passes its replies on up to the final one.
func (o *Outbound) reserve(ctx context.Context, reservation *slatewindv1.Reservation, a *pending, events chan<- event) {
	use, err := o.links.Open(ctx, a.server)
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
func (rq *request) reservation(server slatewind.ServerEntry, ask breaker.Ask) *slatewindv1.Reservation {
	now := time.Now()
	return &slatewindv1.Reservation{
		RequestId: rq.id, Service: rq.service, Server: server.Name, Route: rq.route.GetName(), Kind: string(rq.kind()),
		Rank: rq.route.GetRank(), RemainingNanos: int64(rq.remaining(now)), PatienceNanos: int64(rq.patience().Sub(now)),
		Careful: ask.Careful, LastResort: ask.LastResort,
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
	s.last, s.lastServer = fmt.Sprintf("%s: %s", refusal.GetCause(), refusal.GetReason()), name
	if after := time.Duration(refusal.GetRetryAfterNanos()); after > 0 && (s.retryAfter == 0 || after < s.retryAfter) {
		s.retryAfter = after
	}
	s.heard(name, toldByRefusal(refusal))
	if inbound.Cause(refusal.GetCause()) == inbound.CauseMoved {
		s.rq.shard.update(func(c *choice.Service) { c.Moved(time.Now(), name) })
	}
}

// close ends all reservations but the one that was granted. Processes that
// never replied are avoided for a while.
func (s *search) close() {
	now := time.Now()
	for a := range s.open {
		s.end(a)
		if !a.heard && now.Sub(a.since) >= avoidAfter {
			s.rq.shard.update(func(c *choice.Service) { c.Silent(now, a.server.Name) })
		}
	}
}
