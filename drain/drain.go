// Package drain is the course of a planned stop: what a process that was told to end
// still takes, until when, and when it ends.
//
// A stop has two phases. While it is open, the process takes whatever is likely to be
// finished in time, as ingress and beside its server: callers need a moment to hear that
// it is unready, and its server is well. Then it closes: new requests are refused unsent,
// with the time after which the next process is likely to be there, and the process ends
// as soon as what it has in hand is done. So a server is without its process only for the
// time of the last requests and the start of the next process. While what was in hand at the
// close holds the process, the server's slots are given to requests that end before.
//
// Calls of requests that the server beside the process runs are part of what is in hand,
// and are taken while the stop is closing too.
//
// A Course has no clock; its users pass the time.
package drain

import "time"

const (
	// noticeTime is how long a stop is open: the platform asks each second whether a
	// process is ready and sends callers elsewhere after two answers that it is not.
	noticeTime = 2200 * time.Millisecond
	// mostNotice is the greatest share of the grace time that a stop is open for.
	mostNotice = 0.4
	// finishShare is the share of the grace time until which whatever was sent to a server
	// is waited for, by the operators' rules. workShare is the share after which those who
	// still wait get their answer as it stands, endShare that by which all connections are
	// closed: the rest is for a busy machine, since the platform ends the process by force
	// when the grace time is over.
	finishShare = 5.0 / 6
	workShare   = 0.86
	endShare    = 0.93
	// excusedTime is how long after its start a stop may take what it may have to give up
	// at its end, by the operators' rules.
	excusedTime = 3 * time.Second
	// answerTime is how long an answer of a server that ends a request by itself, at the
	// end of its time, may be on its way.
	answerTime = 250 * time.Millisecond
	// spareFactor is how many times as long as is expected a request of another process may
	// take where it gets a slot: that process does not know when this one ends.
	spareFactor = 2
	// stragglerFactor is how many times the mean service time after the close what was in
	// hand then counts as unusually long.
	stragglerFactor = 2
	// drainTime is how long what is in hand at the close mostly takes.
	drainTime = 500 * time.Millisecond
	// startTime is how long it takes from the end of a process until the next one is ready.
	startTime = 800 * time.Millisecond
)

// Course is the course of one stop.
type Course struct {
	// Began is when the process was told to stop, Grace the time until it is ended by force.
	Began time.Time
	Grace time.Duration
}

// Request is what decides whether a request is taken.
type Request struct {
	// Call says that the server beside the process makes it for a request that it runs.
	Call bool
	// Expected is how long a server is likely to work on it.
	Expected time.Duration
	// Deadline is the end of its time.
	Deadline time.Time
}

// share returns when a share of the grace time is over.
func (c Course) share(share float64) time.Time {
	return c.Began.Add(time.Duration(share * float64(c.Grace)))
}

// Closes returns when the process stops taking new requests.
func (c Course) Closes() time.Time {
	return c.Began.Add(min(noticeTime, time.Duration(mostNotice*float64(c.Grace))))
}

// Open reports whether new requests are taken.
func (c Course) Open(now time.Time) bool { return now.Before(c.Closes()) }

// Finishes returns until when whatever was sent to a server is waited for in any case.
func (c Course) Finishes() time.Time { return c.share(finishShare) }

// WorkEnds returns when those who still wait get their answer as it stands.
func (c Course) WorkEnds() time.Time { return c.share(workShare) }

// Ends returns when the last connection is closed.
func (c Course) Ends() time.Time { return c.share(endShare) }

// Lasts returns how long the process still waits for answers of servers.
func (c Course) Lasts(now time.Time) time.Duration { return c.WorkEnds().Sub(now) }

// Outlasts reports whether the process has to wait for answers longer than another one does that
// stops too.
func (c Course) Outlasts(now time.Time, other time.Duration) bool {
	return c.Finishes().Sub(now) > other
}

// LastAnswer returns when a server must end a request by itself for its answer to be passed on.
func (c Course) LastAnswer() time.Time { return c.WorkEnds().Add(-answerTime) }

// LastStart returns until when a request may be sent to a server that is likely to work
// on it for so long. Later it would be given up half done.
func (c Course) LastStart(expected time.Duration) time.Time {
	return c.Finishes().Add(-expected)
}

// MayStart reports whether a request may be sent to a server now.
func (c Course) MayStart(now time.Time, expected time.Duration) bool {
	return !now.After(c.LastStart(expected))
}

// MayLend reports whether a request of another process may get a slot now.
func (c Course) MayLend(now time.Time, expected time.Duration) bool {
	return c.MayStart(now, spareFactor*expected)
}

// Admit decides about a request that comes during the stop. Where it is taken, deadline is
// the end of the time that it has.
func (c Course) Admit(now time.Time, r Request) (deadline time.Time, taken bool) {
	if c.Open(now) {
		return r.Deadline, c.MayStart(now, r.Expected)
	}
	if !r.Call || !c.MayStart(now, r.Expected) {
		return r.Deadline, false
	}
	if last := c.LastAnswer(); now.Sub(c.Began) > excusedTime && r.Deadline.After(last) {
		// Should it take longer, its server ends it by itself. Refused, it would fail the
		// request that the server already works on.
		return last, true
	}
	return r.Deadline, true
}

// Work is what holds a stop that has closed.
type Work struct {
	// Held is how many requests from before the close are in hand.
	Held int
	// Mean is the mean service time of the server beside the process, or zero where it is not
	// known.
	Mean time.Duration
}

// lasts returns how long it takes on average until all that is held has ended, where requests take
// times with an exponential distribution.
func (w Work) lasts() time.Duration {
	sum := 0.0
	for n := range w.Held {
		sum += 1 / float64(n+1)
	}
	return time.Duration(sum * float64(w.Mean))
}

// GivesSlots reports whether a slot of the server beside the process is given to a request that is
// expected to take so long. Once the stop has closed, only those get one that are likely to end
// before what holds the stop anyway, and any where that takes unusually long.
func (c Course) GivesSlots(now time.Time, expected time.Duration, w Work) bool {
	switch {
	case c.Open(now):
		return true
	case w.Held == 0 || w.Mean <= 0 || !c.MayLend(now, expected):
		return false
	}
	return expected <= w.lasts() || now.Sub(c.Closes()) >= stragglerFactor*w.Mean
}

// BackIn returns after what time the next process is likely to be ready.
func (c Course) BackIn(now time.Time) time.Duration {
	idle := c.Closes()
	if now.After(idle) {
		idle = now
	}
	idle = idle.Add(drainTime)
	if end := c.WorkEnds(); idle.After(end) {
		idle = end
	}
	return max(idle.Sub(now), 0) + startTime
}

// Over reports whether those who still wait get their answer as it stands, and all else that
// ends with the process begins to; idle says that nothing is in hand.
func (c Course) Over(now time.Time, idle bool) bool {
	return idle && !c.Open(now) || !now.Before(c.WorkEnds())
}
