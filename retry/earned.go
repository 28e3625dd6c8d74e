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
// whichever holds the most. So does a server for its own requests; loads that rise and fall at all
// servers of a service alike, as bursts do, then add up to no more than the bound allows.
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
// than its requests earn, one that is paid for now included.
func (e *earned) covers(now time.Time, ratio float64, span time.Duration) bool {
	for len(e.spent) > 0 && now.Sub(e.spent[0].at) > span {
		e.spent = e.spent[1:]
	}
	for i, begin := range e.spent {
		extras := len(e.spent) - i + 1
		if needed := float64(extras) / ratio; !e.spanHolds(now, begin, needed, span) {
			return false
		}
	}
	return true
}

// spanHolds reports whether the span that begins at a mark, the one before it or the one half a span
// earlier holds so many requests.
func (e *earned) spanHolds(now time.Time, begin mark, needed float64, span time.Duration) bool {
	if float64(e.firsts-begin.firsts) >= needed {
		return true
	}
	if float64(begin.firsts-e.atMost(begin.at.Add(-span))) >= needed {
		return true
	}
	around := e.atLeast(begin.at.Add(span/2), now) - e.atMost(begin.at.Add(-span/2))
	return float64(around) >= needed
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
