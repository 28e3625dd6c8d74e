// Package search implements the search of one request for a slot: which server is asked next,
// at how many servers the request waits, when further ones are asked and when it gives up.
//
// Load determines how a search proceeds. Without load the cheapest server grants the first
// reservation. If slots are short, too many reservations would saturate the network, so a
// request waits at a few servers and asks others only after it has waited in vain for a while.
// If many servers are unhealthy, the search passes over them; a search for an extra attempt
// ends early if the budget of extra attempts denies it. A request that cannot be served is
// refused as soon as that is known.
//
// A Search has no clock, input or output: its owner makes the reservations, reports the
// replies, and calls Next whenever a method returns more.
package search

import (
	"math"
	"slices"
	"time"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/retry"
)

const (
	// ReplyOverdueAfter is the time without any reply to a reservation after which the next
	// server is asked too. A reply takes a round trip, some 3 ms between data centres, and a
	// busy process takes some 10 ms more.
	ReplyOverdueAfter = 40 * time.Millisecond
	// unresponsiveAfter is the time without any reply after which a sidecar is avoided.
	unresponsiveAfter = 120 * time.Millisecond
	// maxQueued is at how many servers a request waits at once. It takes the first slot; the
	// other slots go to the next requests in their queues.
	maxQueued = 3
	// waitGap is how much higher, in full servers, the cost of a further queue may be than that
	// of the queues that the request waits in: nearby servers are tried before one that causes
	// traffic between data centres.
	waitGap = 0.75
	// widenShare is the share of its objective that a request waits at up to maxQueued servers
	// before it asks as many others. The first ones are mostly near: a short wait there is cheaper than
	// traffic between data centres.
	widenShare = 0.15
	// widenGap is how much higher, in full servers, the cost of the first of these may be than that
	// of the queues that the request waits in: it covers all data centres of a region, and for a
	// small request other regions too.
	widenGap = 5.0
	// minRoundPause is the first pause between rounds. It doubles up to maxRoundPause, since
	// reservations saturate the network under overload.
	minRoundPause = 20 * time.Millisecond
	maxRoundPause = 80 * time.Millisecond
)

const (
	// baseSuspicion is the suspicion of a server that a request accepts even if others cost the
	// same. A busy healthy server exceeds it half of the time.
	baseSuspicion = 0.7
	// suspicionPerCost is the additional suspicion accepted for each full server by which the
	// next choice is more expensive: a near server that may hang is preferred to paying for
	// traffic to a far one.
	suspicionPerCost = 3.0
	// maxSuspicion bounds the accepted suspicion: most servers above it hang, and each request
	// sent to them holds one of their slots until its deadline.
	maxSuspicion = 2.5
)

// Request describes the request that needs a slot.
type Request struct {
	// Rank is the rank of the request; lower ranks go first.
	Rank uint32
	// Constraints restrict the servers to which it may go, by their health.
	Constraints breaker.Constraints
	// Extra reports that a server has received the request before, or may have. Scarce reports
	// that such an extra attempt was denied shortly before.
	Extra, Scarce bool
	// Tried holds the names of the servers that have received it.
	Tried map[string]bool
	// Until is when it stops waiting for a slot.
	Until time.Time
}

// Reservation is a request for a slot at one server.
type Reservation struct {
	Server choice.Candidate
	// Constraints are those of the request, with the suspicion accepted for this server.
	Constraints breaker.Constraints
	// askedAt is when it was made; replied reports that any reply has arrived.
	askedAt time.Time
	replied bool
}

// Refusal describes a refused reservation.
type Refusal struct {
	// Unhealthy reports that the breaker of the server refused the request.
	Unhealthy bool
	// Denied reports that the server's budget of extra attempts is spent.
	Denied bool
}

// Search is one search for a slot. It is not safe for concurrent use.
type Search struct {
	request Request
	// queue holds the servers still to be asked in this round; asked holds the names of all
	// that were asked in any round.
	queue *choice.Queue
	asked map[string]bool
	// queued is the number of servers at which the request waits for a slot.
	queued int
	// newest is the reservation that was made last.
	newest *Reservation
	// queueLimit is at how many servers the request may wait now, maxWaitCost the highest cost
	// of those at which it waits.
	queueLimit  int
	maxWaitCost float64
	// denials counts the servers that denied an extra attempt.
	denials int
	// pause is the pause before the next round.
	pause time.Duration
}

// New returns a search that has asked no server yet.
func New(request Request) *Search {
	return &Search{request: request, queue: choice.NewQueue(), asked: map[string]bool{}, pause: minRoundPause}
}

// Constraints returns the constraints of the request in this round.
func (s *Search) Constraints() breaker.Constraints { return s.request.Constraints }

// Until returns when the request stops waiting for a slot.
func (s *Search) Until() time.Time { return s.request.Until }

// Asked returns the names of the servers that were asked.
func (s *Search) Asked() map[string]bool { return s.asked }

// Begin starts a round with the given servers, which are sorted by cost, without those that have
// received the request. Replies may change the order in which they are asked (choice.Queue). It takes ownership of the slice, and returns how many servers remain.
func (s *Search) Begin(servers []choice.Candidate) int {
	if len(s.request.Tried) > 0 {
		servers = slices.DeleteFunc(servers, func(server choice.Candidate) bool { return s.request.Tried[server.Name] })
	}
	s.queue.Fill(servers)
	s.queued, s.queueLimit, s.maxWaitCost = 0, maxQueued, 0
	return len(servers)
}

// Next returns the next reservation to make. Servers for which skipped returns true are left
// out: their status may have changed since the round began. ok is false if no server is left.
func (s *Search) Next(now time.Time, skipped func(choice.Candidate) bool) (r *Reservation, ok bool) {
	for {
		server, left := s.queue.Take()
		if !left {
			return nil, false
		}
		if skipped(server) {
			continue
		}
		constraints := s.request.Constraints
		constraints.MaxSuspicion = s.suspicionLimit(server)
		r = &Reservation{Server: server, Constraints: constraints, askedAt: now}
		s.asked[server.Name], s.newest = true, r
		return r, true
	}
}

// suspicionLimit returns the suspicion of a server that the request accepts, by the cost of
// the next choice. It is infinite if there is none.
func (s *Search) suspicionLimit(server choice.Candidate) float64 {
	next, left := s.queue.Next()
	if !left {
		return math.Inf(1)
	}
	return min(baseSuspicion+suspicionPerCost*max(next.Cost-server.Cost, 0), maxSuspicion)
}

// Replied records that a reply to a reservation has arrived.
func (s *Search) Replied(r *Reservation) { r.replied = true }

// Queued records that the request waits at a server. more reports that another is to be asked.
func (s *Search) Queued(r *Reservation) (more bool) {
	s.queue.Replied(r.Server.DataCentre, false)
	s.queued++
	s.maxWaitCost = max(s.maxWaitCost, r.Server.Cost)
	_, left := s.queue.Next()
	return left && s.queued < s.queueLimit && !s.nextExceeds(waitGap)
}

// nextExceeds reports whether the cost of the next server, if there is one, exceeds the cost of those
// at which the request waits by more than gap.
func (s *Search) nextExceeds(gap float64) bool {
	next, left := s.queue.Next()
	return left && next.Cost > s.maxWaitCost+gap
}

// Refused records a refusal. more reports that another server is to be asked.
func (s *Search) Refused(r *Reservation, refusal Refusal) (more bool) {
	s.queue.Replied(r.Server.DataCentre, refusal.Unhealthy)
	if refusal.Denied {
		s.denials++
	}
	return s.Ended()
}

// Ended records that a reservation ended without a refusal: its sidecar could not be reached,
// or the granted slot is not used. more reports that another server is to be asked.
func (s *Search) Ended() (more bool) { return !s.TooManyDenials() }

// denied reports whether the search is for an extra attempt that was denied. Waiting for the
// budget to allow more would only delay the answer to the caller.
func (s *Search) denied() bool { return s.request.Extra && s.denials > 0 }

// TooManyDenials reports whether so many servers have denied an extra attempt that asking
// others is not worthwhile.
func (s *Search) TooManyDenials() bool {
	return s.denied() && s.queued == 0 && s.denials >= retry.MaxDenials(s.request.Rank, s.request.Scarce)
}

// ReplyOverdue reports whether the newest reservation has had no reply for ReplyOverdueAfter,
// so that another server is to be asked.
func (s *Search) ReplyOverdue(now time.Time) (more bool) {
	return s.newest != nil && !s.newest.replied && now.Sub(s.newest.askedAt) >= ReplyOverdueAfter
}

// WidenAfter returns after how long a wait for a slot further servers are asked, for a request
// with the given objective.
func WidenAfter(objective time.Duration) time.Duration {
	return time.Duration(widenShare * float64(objective))
}

// Widen lets the request wait at further servers, besides those at which it waits. more
// reports that one is to be asked.
func (s *Search) Widen() (more bool) {
	s.queueLimit += maxQueued
	return s.queued > 0 && !s.nextExceeds(widenGap)
}

// NextRound reports whether another round follows, after a pause, on one that found no slot.
// In the next round the request may go to unhealthy servers as a last resort.
func (s *Search) NextRound(now time.Time) (pause time.Duration, again bool) {
	s.request.Constraints.LastResort = true
	pause = s.pause
	s.pause = min(2*s.pause, maxRoundPause)
	return pause, !s.denied() && now.Add(pause).Before(s.request.Until)
}

// Unresponsive reports whether the sidecar has not replied for so long that it is to be
// avoided for a while.
func (r *Reservation) Unresponsive(now time.Time) bool {
	return !r.replied && now.Sub(r.askedAt) >= unresponsiveAfter
}
