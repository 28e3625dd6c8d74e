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
	// silentAfter is how long a reservation may stay without any word before
	// the next server is asked as well. A word takes a round trip, some 3 ms
	// between data centres, and a busy process some ten more.
	silentAfter = 40 * time.Millisecond
	// strikeAfter is how long a process must have been silent to be avoided.
	strikeAfter = 120 * time.Millisecond
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

// patience returns until when an attempt that begins now may wait for a slot.
// Each attempt has its own: one that follows a failed try has been offered to a
// server already, and the search for the first may have taken long.
func (rq *request) patience(now time.Time) time.Time {
	wait := max(
		time.Duration(patienceShare*float64(rq.remaining(now))),
		min(time.Duration(objectiveShare*float64(rq.objective())), rq.remaining(now)),
	)
	return now.Add(wait)
}

// held is a granted slot.
type held struct {
	server slatewind.ServerEntry
	use    link.Use
	cancel context.CancelFunc
}

// asked is one reservation without a final word.
type asked struct {
	server slatewind.ServerEntry
	cancel context.CancelFunc
	since  time.Time
	heard  bool
}

// word is what a reservation brought.
type word struct {
	of    *asked
	use   link.Use
	reply *slatewindv1.UseReply
	err   error
}

// search is one look for a slot.
type search struct {
	o     *Outbound
	rq    *request
	aim   aim
	until time.Time
	ctx   context.Context
	words chan word
	// open holds the reservations without a final word, queued how many of
	// them wait for a slot.
	open   map[*asked]bool
	queued int
	// queue holds the servers that are still to be asked in this round.
	queue []slatewind.ServerEntry
	// newest is the reservation that was made last.
	newest *asked
	// last says why the newest reservation was refused, and retryAfter the
	// least time after which a slot was promised.
	last       string
	server     string
	retryAfter time.Duration
}

// aim says which servers an attempt may go to.
type aim struct {
	// tried are passed over.
	tried map[string]bool
	// ask says what the attempt may do to servers that look sick.
	ask breaker.Ask
}

// acquire looks for a slot for a request until its patience ends.
func (o *Outbound) acquire(ctx context.Context, rq *request, aim aim, until time.Time) (*held, *final) {
	s := &search{o: o, rq: rq, aim: aim, until: until, ctx: ctx, open: map[*asked]bool{}, last: "no server of the service is known"}
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

func (s *search) refusal() *final {
	return &final{outcome: slatewind.OutcomeNotRun, reason: s.last, server: s.server, retryAfter: s.retryAfter}
}

// begin starts a round: all servers are asked in the order of their cost.
func (s *search) begin() {
	sh := s.rq.shard
	sh.mu.Lock()
	order := sh.choice.Order(time.Now(), s.aim.ask)
	sh.mu.Unlock()
	s.queue = s.queue[:0]
	for _, server := range order {
		if !s.aim.tried[server.Name] {
			s.queue = append(s.queue, server)
		}
	}
	// Each reservation brings at most one word that it waits and a final one.
	s.words = make(chan word, 2*len(s.queue))
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
		case w := <-s.words:
			if slot := s.take(w); slot != nil {
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

// take handles one word. It returns the slot if one was granted.
func (s *search) take(w word) *held {
	if !s.open[w.of] {
		return nil
	}
	w.of.heard = true
	switch {
	case w.err != nil:
		s.unreached(w)
	case w.reply.GetGranted() != nil:
		delete(s.open, w.of)
		s.heard(w.of.server.Name, toldOf(w.reply.GetGranted()))
		return &held{server: w.of.server, use: w.use, cancel: w.of.cancel}
	case w.reply.GetQueued() != nil:
		s.heard(w.of.server.Name, toldOf(w.reply.GetQueued()))
		s.queued++
		if s.queued < maxQueued {
			s.ask()
		}
		return nil
	default:
		s.refused(w)
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
	a := &asked{server: server, cancel: cancel, since: time.Now()}
	s.open[a] = true
	s.newest = a
	s.rq.shard.mu.Lock()
	s.rq.shard.choice.Reserved(server.Name)
	s.rq.shard.mu.Unlock()
	go s.o.reserve(ctx, s.rq.reservation(server, s.aim.ask, s.until), a, s.words)
	return true
}

// reserve carries one reservation to its final word.
func (o *Outbound) reserve(ctx context.Context, reservation *slatewindv1.Reservation, a *asked, words chan<- word) {
	use, err := o.links.Open(ctx, a.server)
	if err == nil {
		err = use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Reservation{Reservation: reservation}})
	}
	for {
		var reply *slatewindv1.UseReply
		if err == nil {
			reply, err = use.Recv()
		}
		words <- word{of: a, use: use, reply: reply, err: err}
		if err != nil || reply.GetQueued() == nil {
			return
		}
	}
}

func (rq *request) reservation(server slatewind.ServerEntry, ask breaker.Ask, until time.Time) *slatewindv1.Reservation {
	now := time.Now()
	return &slatewindv1.Reservation{
		RequestId: rq.id, Service: rq.service, Server: server.Name, Route: rq.route.GetName(), Kind: string(rq.kind()),
		Rank: rq.route.GetRank(), RemainingNanos: int64(rq.remaining(now)), PatienceNanos: int64(until.Sub(now)), Careful: ask.Careful, LastResort: ask.LastResort,
	}
}

// end closes a reservation that brought no slot.
func (s *search) end(a *asked) {
	delete(s.open, a)
	a.cancel()
	s.rq.shard.mu.Lock()
	defer s.rq.shard.mu.Unlock()
	s.rq.shard.choice.Ended(a.server.Name)
}

func (s *search) heard(server string, told choice.Told) {
	s.rq.shard.mu.Lock()
	defer s.rq.shard.mu.Unlock()
	s.rq.shard.choice.Heard(time.Now(), server, told)
}

func toldOf(state *slatewindv1.SlotState) choice.Told {
	return choice.Told{
		Load: float64(state.GetInUse() + state.GetQueued()), Slots: float64(state.GetSlots()),
		Sick:    slatewind.ServerState(state.GetHealth()) != slatewind.ServerHealthy,
		Leaving: state.GetLeaving(), SuccessShare: state.GetSuccessShare(), ShedShare: state.GetShedShare(),
	}
}

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

func (s *search) unreached(w word) {
	s.end(w.of)
	s.last, s.server = fmt.Sprintf("the process beside %s cannot be reached: %v", w.of.server.Name, w.err), w.of.server.Name
	s.rq.shard.mu.Lock()
	defer s.rq.shard.mu.Unlock()
	s.rq.shard.choice.Silent(time.Now(), w.of.server.Name)
}

func (s *search) refused(w word) {
	s.end(w.of)
	refusal := w.reply.GetRefusal()
	name := w.of.server.Name
	s.last, s.server = fmt.Sprintf("%s: %s", refusal.GetCause(), refusal.GetReason()), name
	if after := time.Duration(refusal.GetRetryAfterNanos()); after > 0 && (s.retryAfter == 0 || after < s.retryAfter) {
		s.retryAfter = after
	}
	s.heard(name, toldByRefusal(refusal))
	if inbound.Cause(refusal.GetCause()) == inbound.CauseMoved {
		s.rq.shard.mu.Lock()
		defer s.rq.shard.mu.Unlock()
		s.rq.shard.choice.Moved(time.Now(), name)
	}
}

// close ends all reservations but the one that was granted. Processes that
// never said a word are avoided for a while.
func (s *search) close() {
	now := time.Now()
	for a := range s.open {
		s.end(a)
		if !a.heard && now.Sub(a.since) >= strikeAfter {
			s.rq.shard.mu.Lock()
			s.rq.shard.choice.Silent(now, a.server.Name)
			s.rq.shard.mu.Unlock()
		}
	}
}
