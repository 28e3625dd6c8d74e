// Package throttle limits how many of many similar events are logged.
package throttle

import "time"

// Throttle limits how many of many similar events are logged in each interval. It is not safe for concurrent use.
type Throttle struct {
	interval time.Duration
	limit    int

	intervalStart time.Time
	// logged counts the events that were logged in the current interval.
	logged int
	// leftOut counts the events that were not logged since the last one that was.
	leftOut int
}

// New returns a Throttle that allows a number of events in each interval.
func New(limit int, interval time.Duration) *Throttle {
	return &Throttle{limit: limit, interval: interval}
}

// Allow reports whether an event is to be logged, and if so how many were left out since the
// last one that was logged.
func (t *Throttle) Allow(now time.Time) (allowed bool, leftOut int) {
	if t.intervalStart.IsZero() || now.Sub(t.intervalStart) >= t.interval {
		t.intervalStart, t.logged = now, 0
	}
	if t.logged >= t.limit {
		t.leftOut++
		return false, 0
	}
	t.logged++
	leftOut, t.leftOut = t.leftOut, 0
	return true, leftOut
}
