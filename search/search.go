// Package search decides about one request's look for a slot: which server is asked next,
// at how many the request waits, when further ones are asked and when it gives up.
//
// Load decides its shape. Without load the cheapest server grants the first question. When
// slots are short, questions are what an overloaded fleet drowns in, so that a request waits
// at a few servers and asks others only when it has waited in vain for a while. When many
// servers are sick, the look goes on past them, but ends soon where it is for an extra
// attempt that the bound on these does not allow. Whatever cannot be served is refused as
// soon as that is known.
//
// A Search has no clock, input or output: its host makes the reservations, passes replies
// on, and asks a server for each "more" that it returns.
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
	// ReplyOverdueAfter is how long a reservation may stay without any reply before the next
	// server is asked as well. A reply takes a round trip, some 3 ms between data centres,
	// and a busy process some ten more.
	ReplyOverdueAfter = 40 * time.Millisecond
	// avoidAfter is how long a process must have been silent to be avoided.
	avoidAfter = 120 * time.Millisecond
	// maxQueued is at how many servers a request waits at once. It takes the first slot,
	// and the others go to the next in their queues.
	maxQueued = 3
	// waitGap is how much dearer, in full servers, a further place in a queue may be than
	// those that the request has: near places are tried before one that costs bytes
	// between data centres.
	waitGap = 0.75
	// widenShare is the share of its objective that a request waits at these before it
	// asks as many others. The first ones are mostly near: a short wait there is cheaper
	// than bytes between data centres.
	widenShare = 0.15
	// firstPause is the pause before the servers are asked anew; it doubles up to
	// maxPause, since questions fill the network under overload.
	firstPause = 20 * time.Millisecond
	maxPause   = 80 * time.Millisecond
)

const (
	// leastBears is how much suspicion of a server a request bears although others cost
	// the same. A busy healthy server shows as much in every other moment.
	leastBears = 0.7
	// bearsPerCost is how much more it bears for each full server that the next choice is
	// dearer by: a near server that is perhaps silent is borne before the bytes of a far
	// one are paid for.
	bearsPerCost = 3.0
	// mostBears bounds it: beyond, most servers that are so silent hang, and each request
	// that they take holds one of their slots until its time is over.
	mostBears = 2.5
)

// Request is what a search needs to know of its request.
type Request struct {
	// Rank is the request's, lower goes first.
	Rank uint32
	// Constraints says what it may do to servers that look sick.
	Constraints breaker.Constraints
	// Extra says that a server has seen the request before, or may see it; Scarce that
	// such an attempt was denied a short time ago.
	Extra, Scarce bool
	// Tried are the servers that have seen it.
	Tried map[string]bool
	// Until is when it gives up waiting.
	Until time.Time
}

// Reservation is a reservation that is to be made.
type Reservation struct {
	Server choice.Candidate
	// Constraints says what it may do to the server if that looks sick.
	Constraints breaker.Constraints
	// since is when it was asked; heard says that some reply came.
	since time.Time
	heard bool
}

// Refusal is what a refused reservation says to a search.
type Refusal struct {
	// Unhealthy says that the server looks sick.
	Unhealthy bool
	// Denied says that the bound on extra attempts allows none there.
	Denied bool
}

// Search is one look for a slot. It is not safe for use by several goroutines.
type Search struct {
	request Request
	// queue holds the servers that are still to be asked in this round, asked all that
	// were asked.
	queue *choice.Queue
	asked map[string]bool
	// queued is at how many servers the request waits for a slot.
	queued int
	// newest is the reservation that was made last.
	newest *Reservation
	// mayQueue is at how many servers the request may wait now, and waitCost the cost of
	// the dearest one at which it waits.
	mayQueue int
	waitCost float64
	// denials counts the servers that may get no extra attempt.
	denials int
	// pause is the pause before the next round.
	pause time.Duration
}

// New returns a search that has asked nobody.
func New(request Request) *Search {
	return &Search{request: request, queue: choice.NewQueue(), asked: map[string]bool{}, pause: firstPause}
}

// Constraints returns what the request may do to servers that look sick, in this round.
func (s *Search) Constraints() breaker.Constraints { return s.request.Constraints }

// Until returns when the request gives up waiting.
func (s *Search) Until() time.Time { return s.request.Until }

// Asked returns the servers that were asked.
func (s *Search) Asked() map[string]bool { return s.asked }

// Begin starts a round: the servers are asked that have not seen the request, in the order
// given, whose list it takes over. It returns how many there are.
func (s *Search) Begin(servers []choice.Candidate) int {
	if len(s.request.Tried) > 0 {
		servers = slices.DeleteFunc(servers, func(server choice.Candidate) bool { return s.request.Tried[server.Name] })
	}
	s.queue.Fill(servers)
	s.queued, s.mayQueue, s.waitCost = 0, maxQueued, 0
	return len(servers)
}

// Next returns the next question, but for servers that are passed over since they were
// heard of after the round began; ok says that there is one.
func (s *Search) Next(now time.Time, passedOver func(choice.Candidate) bool) (q *Reservation, ok bool) {
	for {
		server, left := s.queue.Take()
		if !left {
			return nil, false
		}
		if passedOver(server) {
			continue
		}
		ask := s.request.Constraints
		ask.MaxSuspicion = s.bears(server)
		q = &Reservation{Server: server, Constraints: ask, since: now}
		s.asked[server.Name], s.newest = true, q
		return q, true
	}
}

// bears returns how much suspicion of a server the request bears, by what the next choice
// costs.
func (s *Search) bears(server choice.Candidate) float64 {
	next, left := s.queue.Next()
	if !left {
		return math.Inf(1)
	}
	return min(leastBears+bearsPerCost*max(next.Cost-server.Cost, 0), mostBears)
}

// Replied notes that some reply to a question came.
func (s *Search) Replied(q *Reservation) { q.heard = true }

// Queued notes that the request waits at a server; more says that another is to be asked.
func (s *Search) Queued(q *Reservation) (more bool) {
	s.queue.Replied(q.Server.DataCentre, false)
	s.queued++
	s.waitCost = max(s.waitCost, q.Server.Cost)
	return s.queued < s.mayQueue && s.worthTheCost()
}

// worthTheCost reports whether the next server is not much dearer than those at which the
// request waits.
func (s *Search) worthTheCost() bool {
	next, left := s.queue.Next()
	return left && next.Cost <= s.waitCost+waitGap
}

// Refused notes a refusal; more says that another server is to be asked.
func (s *Search) Refused(q *Reservation, refusal Refusal) (more bool) {
	s.queue.Replied(q.Server.DataCentre, refusal.Unhealthy)
	if refusal.Denied {
		s.denials++
	}
	return s.Ended()
}

// Ended notes that a reservation is over without a refusal, since its process was not
// reached or its server leaves; more says that another server is to be asked.
func (s *Search) Ended() (more bool) { return !s.TooManyDenials() }

// denied reports whether the search is for an extra attempt that no server may get now.
// Waiting for the bound to allow more would only hold its caller.
func (s *Search) denied() bool { return s.request.Extra && s.denials > 0 }

// TooManyDenials reports whether so many servers may get no extra attempt that asking the
// others is not worth it.
func (s *Search) TooManyDenials() bool {
	return s.denied() && s.queued == 0 && s.denials >= retry.MaxDenials(s.request.Rank, s.request.Scarce)
}

// ReplyOverdue reports whether the server that was asked last has been silent for so long that
// another is to be asked.
func (s *Search) ReplyOverdue(now time.Time) (more bool) {
	return s.newest != nil && !s.newest.heard && now.Sub(s.newest.since) >= ReplyOverdueAfter
}

// WidenAfter returns after how long a wait for a slot further servers are asked, by the
// request's objective.
func WidenAfter(objective time.Duration) time.Duration {
	return time.Duration(widenShare * float64(objective))
}

// Widen lets the request wait at further servers, besides those that keep it waiting; more
// says that one is to be asked.
func (s *Search) Widen() (more bool) {
	s.mayQueue += maxQueued
	return s.queued > 0
}

// NextRound reports whether another round follows, after a pause, on one that found no slot. In
// it the request has no better choice than a sick server.
func (s *Search) NextRound(now time.Time) (pause time.Duration, again bool) {
	s.request.Constraints.LastResort = true
	pause = s.pause
	s.pause = min(2*s.pause, maxPause)
	return pause, !s.denied() && now.Add(pause).Before(s.request.Until)
}

// Unresponsive reports whether the process asked has been silent for so long that it is to be
// avoided for a while.
func (q *Reservation) Unresponsive(now time.Time) bool {
	return !q.heard && now.Sub(q.since) >= avoidAfter
}
