// Package drain is the schedule of a graceful shutdown: which requests a process that was told to
// stop still accepts, until when, and when it exits.
//
// A shutdown has two phases. While admission is open, the process accepts every request that is
// likely to complete in time, both as an ingress and as a sidecar: callers need a moment to
// notice that the process is not ready, and its server is healthy. Then admission closes: new
// requests are refused without being sent, with the time after which the successor process is
// likely to be ready, and the process exits as soon as the requests in flight have completed. A
// server is thus without its sidecar only while the last requests complete and the successor
// starts. While requests that were admitted before the close delay the exit, the server's slots
// are granted to requests that complete sooner.
//
// Nested calls of requests that the server beside the process is running are part of the requests
// in flight and are accepted after the close, too.
//
// A Schedule has no clock; its callers pass the time.
package drain

import "time"

const (
	// admissionTime is how long admission stays open: the platform polls a process's readiness once
	// a second and redirects callers after two negative answers.
	admissionTime = 2200 * time.Millisecond
	// maxAdmissionShare is the maximum share of the grace period during which admission stays open.
	maxAdmissionShare = 0.4
	// finishShare is the share of the grace period during which the answers to all requests that
	// were sent to a server are awaited, as the operators require. After workShare the callers
	// that still wait get a final reply, and by endShare all connections are closed. The rest is
	// a margin for a busy machine, since the platform kills the process at the end of the grace
	// period.
	finishShare = 5.0 / 6
	workShare   = 0.86
	endShare    = 0.93
	// peerReplyTime is the time allowed for telling the senders of other processes' requests that
	// these were ended.
	peerReplyTime = 50 * time.Millisecond
	// mayAbandonTime is the time from the start of a shutdown during which the operators allow it
	// to accept requests that it may have to abandon at its end.
	mayAbandonTime = 3 * time.Second
	// answerTime is the time allowed for an answer to arrive when a server ends a request itself
	// at its deadline.
	answerTime = 250 * time.Millisecond
	// spareFactor is the factor between the expected service time of another process's request
	// and the time that must be left for it to get a slot: that process does not know when this
	// one exits.
	spareFactor = 2
	// A request that was in flight at the close counts as unusually long once stragglerFactor
	// times the mean service time has passed since the close.
	stragglerFactor = 2
	// drainTime is how long the requests in flight at the close typically take.
	drainTime = 500 * time.Millisecond
	// startTime is the time from the exit of a process until its successor is ready.
	startTime = 800 * time.Millisecond
)

// Schedule is the schedule of one shutdown.
type Schedule struct {
	// Began is when the process was told to stop, Grace the time until it is killed.
	Began time.Time
	Grace time.Duration
}

// Request holds the properties of a request that determine whether it is accepted.
type Request struct {
	// Call reports that it is a nested call of a request that the server beside the process is
	// running.
	Call bool
	// Expected is the expected service time.
	Expected time.Duration
	// Deadline is the request's deadline.
	Deadline time.Time
}

// share returns when the given share of the grace period has passed.
func (c Schedule) share(share float64) time.Time {
	return c.Began.Add(time.Duration(share * float64(c.Grace)))
}

// AdmissionEnds returns when the process stops admitting new requests.
func (c Schedule) AdmissionEnds() time.Time {
	return c.Began.Add(min(admissionTime, time.Duration(maxAdmissionShare*float64(c.Grace))))
}

// Open reports whether new requests are admitted.
func (c Schedule) Open(now time.Time) bool { return now.Before(c.AdmissionEnds()) }

// Finishes returns the time until which the answers to all requests that were sent to a server
// are awaited.
func (c Schedule) Finishes() time.Time { return c.share(finishShare) }

// WorkEnds returns when the callers that still wait get a final reply, whatever the state of
// their requests.
func (c Schedule) WorkEnds() time.Time { return c.share(workShare) }

// Ends returns when the last connection is closed.
func (c Schedule) Ends() time.Time { return c.share(endShare) }

// PeersEnd returns when the requests of other processes that the server has not answered are ended.
func (c Schedule) PeersEnd() time.Time { return c.Ends().Add(-peerReplyTime) }

// RemainingWait returns how long the process still waits for the answers of servers.
func (c Schedule) RemainingWait(now time.Time) time.Duration { return c.WorkEnds().Sub(now) }

// Outlasts reports whether the process has to wait for answers for longer than another stopping
// process, which still waits for the given time.
func (c Schedule) Outlasts(now time.Time, other time.Duration) bool {
	return c.Finishes().Sub(now) > other
}

// LastAnswer returns the latest deadline of a request whose answer can still be forwarded if the
// server works on it until the deadline and then ends it itself.
func (c Schedule) LastAnswer() time.Time { return c.WorkEnds().Add(-answerTime) }

// LastStart returns the latest time at which a request with the given expected service time may
// be sent to a server. A request that is sent later would be abandoned before it completes.
func (c Schedule) LastStart(expected time.Duration) time.Time {
	return c.Finishes().Add(-expected)
}

// MayStart reports whether a request with the given expected service time may be sent to a server
// now.
func (c Schedule) MayStart(now time.Time, expected time.Duration) bool {
	return !now.After(c.LastStart(expected))
}

// MayGrant reports whether a request of another process may get a slot now.
func (c Schedule) MayGrant(now time.Time, expected time.Duration) bool {
	return c.MayStart(now, spareFactor*expected)
}

// Admit decides whether to accept a request that arrives during the shutdown. If it is accepted,
// deadline is the deadline to use for it.
func (c Schedule) Admit(now time.Time, r Request) (deadline time.Time, accepted bool) {
	if c.Open(now) {
		return r.Deadline, c.MayStart(now, r.Expected)
	}
	if !r.Call || !c.MayStart(now, r.Expected) {
		return r.Deadline, false
	}
	if last := c.LastAnswer(); now.Sub(c.Began) > mayAbandonTime && r.Deadline.After(last) {
		// If it takes longer, its server ends it at this deadline. Refusing it would fail the
		// request that the server is already running.
		return last, true
	}
	return r.Deadline, true
}

// Work is the work that delays the exit after admission has closed.
type Work struct {
	// Held is the number of requests in flight that were admitted before the close.
	Held int
	// Mean is the mean service time of the server beside the process, or zero if it is unknown.
	Mean time.Duration
}

// expectedDuration returns the expected time until all of the work has completed, assuming
// exponentially distributed service times.
func (w Work) expectedDuration() time.Duration {
	sum := 0.0
	for n := range w.Held {
		sum += 1 / float64(n+1)
	}
	return time.Duration(sum * float64(w.Mean))
}

// GrantsSlot reports whether a slot of the server beside the process is granted to a request with
// the given expected service time. After the close, requests get a slot only if they are likely
// to complete before the work that delays the exit anyway, or if that work takes unusually long.
func (c Schedule) GrantsSlot(now time.Time, expected time.Duration, w Work) bool {
	switch {
	case c.Open(now):
		return true
	case w.Held == 0 || w.Mean <= 0 || !c.MayGrant(now, expected):
		return false
	}
	return expected <= w.expectedDuration() || now.Sub(c.AdmissionEnds()) >= stragglerFactor*w.Mean
}

// RetryAfter returns the time until the successor process is likely to be ready.
func (c Schedule) RetryAfter(now time.Time) time.Duration {
	idle := c.AdmissionEnds()
	if now.After(idle) {
		idle = now
	}
	idle = idle.Add(drainTime)
	if end := c.WorkEnds(); idle.After(end) {
		idle = end
	}
	return max(idle.Sub(now), 0) + startTime
}

// Over reports whether the exit may begin: callers that still wait get a final reply, and
// everything else is shut down. idle reports that no requests are in flight.
func (c Schedule) Over(now time.Time, idle bool) bool {
	return idle && !c.Open(now) || !now.Before(c.WorkEnds())
}
