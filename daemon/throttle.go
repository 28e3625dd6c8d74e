package daemon

import "time"

// throttle limits how many of many similar events are logged in each interval.
type throttle struct {
	interval time.Duration
	limit    int

	intervalStart time.Time
	// logged counts the events that were logged in the current interval.
	logged int
	// leftOut counts the events that were not logged since the last one that was.
	leftOut int
}

// allow reports whether an event is to be logged, and if so how many were left out since the
// last one that was logged.
func (t *throttle) allow(now time.Time) (allowed bool, leftOut int) {
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
