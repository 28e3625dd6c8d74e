package retry

import (
	"sort"
	"time"
)

// partsOfSpan is how many parts of a span are told apart by when their requests came. Where a part
// lies at the edge of a span, its requests are not counted in that.
const partsOfSpan = 16

// mark is how many requests had come by some time.
type mark struct {
	at     time.Time
	firsts int
}

// earned keeps a server from spending in one span what another one earned. The operators' bound
// counts, for each span, the requests of it, of the one before, or of the one half a span earlier,
// whichever holds the most. A server that knows of no others' requests may count half of its own in
// the span and half of those in the one before: over all servers these add up to no more than the
// bound allows, wherever the load goes. An even load earns in full, a fresh burst half.
//
// Where the operators allow no slack, half would leave next to nothing to small services. There a
// server counts as the operators do, whichever span holds the most of its own requests. Loads that
// rise and fall at all servers alike, as bursts do, then keep the bound, and loads that move between
// servers may exceed it.
type earned struct {
	firsts int
	// parts holds how many requests had come when each part of the last spans began, oldest
	// first, spent when attempts were paid for within the last span.
	parts, spent []mark
}

// first notes a request.
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

// spend notes that an attempt was paid for.
func (e *earned) spend(now time.Time) {
	e.spent = append(e.spent, mark{now, e.firsts})
}

// giveBack takes back the newest payment.
func (e *earned) giveBack() {
	if n := len(e.spent); n > 0 {
		e.spent = e.spent[:n-1]
	}
}

// covers reports whether each span that begins with an attempt of the last one holds no more of them
// than its requests earn, one that is paid for now included. bare says that there is no slack.
func (e *earned) covers(now time.Time, ratio float64, span time.Duration, bare bool) bool {
	for len(e.spent) > 0 && now.Sub(e.spent[0].at) > span {
		e.spent = e.spent[1:]
	}
	counted := e.halves
	if bare {
		counted = e.most
	}
	for i, begin := range e.spent {
		extras := len(e.spent) - i + 1
		if counted(now, begin, span) < float64(extras)/ratio {
			return false
		}
	}
	return bare || counted(now, mark{now, e.firsts}, span) >= 1/ratio
}

// halves returns half of the requests of the span that begins at a mark and half of those before it.
func (e *earned) halves(_ time.Time, begin mark, span time.Duration) float64 {
	return float64(e.firsts-e.atMost(begin.at.Add(-span))) / 2
}

// most returns the requests of the span that begins at a mark, of the one before it or of the one
// half a span earlier, whichever holds the most.
func (e *earned) most(now time.Time, begin mark, span time.Duration) float64 {
	within := e.firsts - begin.firsts
	before := begin.firsts - e.atMost(begin.at.Add(-span))
	around := e.atLeast(begin.at.Add(span/2), now) - e.atMost(begin.at.Add(-span/2))
	return float64(max(within, before, around))
}

// atMost returns how many requests had come at a time, or some more.
func (e *earned) atMost(at time.Time) int {
	i := sort.Search(len(e.parts), func(i int) bool { return !e.parts[i].at.Before(at) })
	if i == len(e.parts) {
		return e.firsts
	}
	return e.parts[i].firsts
}

// atLeast returns how many requests had come at a time, or some fewer; all where it is not over.
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
