package retry

import (
	"sort"
	"time"
)

// partsOfSpan is the number of parts into which a span is divided for counting requests. A part
// that lies across the edge of a span is not counted in that span.
const partsOfSpan = 16

// mark is the number of requests that had arrived before a point in time.
type mark struct {
	at     time.Time
	firsts int
}

// earned keeps a server from spending in one span what was earned in another. The operators' limit
// counts, for each span, the requests of that span, of the one before, or of the one half a span
// earlier, whichever holds the most. A server, which does not know the requests of other servers,
// may count half of its own requests in the span and half of those in the one before: over all
// servers these add up to no more than the limit allows, however the load is distributed. An even
// load earns in full, the start of a burst earns half.
//
// Where the operators allow no slack, half would leave next to nothing to small services. There a
// server counts as the operators do and uses the span that holds the most of its own requests. The
// limit is then kept for loads that rise and fall at all servers alike, as bursts do; loads that
// move between servers may exceed it.
type earned struct {
	// firsts counts all requests.
	firsts int
	// parts holds a mark for the beginning of each part of the last two spans; spent holds one
	// for each attempt that was paid for within the last span. Both are ordered by time, oldest first.
	parts, spent []mark
}

// first records a request.
func (e *earned) first(now time.Time, span time.Duration) {
	part := span / partsOfSpan
	if n := len(e.parts); n == 0 || now.Sub(e.parts[n-1].at) >= part {
		e.parts = append(e.parts, mark{now, e.firsts})
	}
	for len(e.parts) > 0 && now.Sub(e.parts[0].at) > 2*span+part {
		e.parts = e.parts[1:]
	}
	e.firsts++
}

// spend records the payment for an attempt.
func (e *earned) spend(now time.Time) {
	e.spent = append(e.spent, mark{now, e.firsts})
}

// refund cancels the newest payment.
func (e *earned) refund() {
	if n := len(e.spent); n > 0 {
		e.spent = e.spent[:n-1]
	}
}

// covers reports whether one more attempt can be paid for now: no span that begins with an attempt
// of the last span may hold more attempts, the new one included, than its requests earn. noSlack is
// set if the operators allow the service no slack.
func (e *earned) covers(now time.Time, ratio float64, span time.Duration, noSlack bool) bool {
	for len(e.spent) > 0 && now.Sub(e.spent[0].at) > span {
		e.spent = e.spent[1:]
	}
	counted := e.halves
	if noSlack {
		counted = e.maxCount
	}
	for i, begin := range e.spent {
		extras := len(e.spent) - i + 1
		if counted(now, begin, span) < float64(extras)/ratio {
			return false
		}
	}
	return noSlack || counted(now, mark{now, e.firsts}, span) >= 1/ratio
}

// halves returns half the number of requests in the span that begins at a mark and in the one
// before it.
func (e *earned) halves(_ time.Time, begin mark, span time.Duration) float64 {
	return float64(e.firsts-e.atMost(begin.at.Add(-span))) / 2
}

// maxCount returns the number of requests in the span that begins at a mark, in the one before it or
// in the one half a span earlier, whichever is the largest.
func (e *earned) maxCount(now time.Time, begin mark, span time.Duration) float64 {
	within := e.firsts - begin.firsts
	before := begin.firsts - e.atMost(begin.at.Add(-span))
	around := e.atLeast(begin.at.Add(span/2), now) - e.atMost(begin.at.Add(-span/2))
	return float64(max(within, before, around))
}

// atMost returns an upper bound of the number of requests that had arrived before a point in time.
func (e *earned) atMost(at time.Time) int {
	i := sort.Search(len(e.parts), func(i int) bool { return !e.parts[i].at.Before(at) })
	if i == len(e.parts) {
		return e.firsts
	}
	return e.parts[i].firsts
}

// atLeast returns a lower bound of the number of requests that had arrived before a point in time,
// or their number up to now if that point is not in the past.
func (e *earned) atLeast(at, now time.Time) int {
	if !at.Before(now) {
		return e.firsts
	}
	i := sort.Search(len(e.parts), func(i int) bool { return e.parts[i].at.After(at) })
	if i == 0 {
		return 0
	}
	return e.parts[i-1].firsts
}
