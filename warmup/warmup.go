// Package warmup limits the requests to a server that warms up. After a start, and whenever its
// caches were dropped, a server bears only a few requests a second and fails under more.
//
// The limit is enforced by the process beside the server, through which all requests pass. That
// process may not know yet that the server warms up: it may have just started itself, or the server
// may have restarted under the same name. Whenever it lacks evidence that the server is warm, it
// assumes that it is not.
package warmup

import (
	"time"
)

// Limits are the operators' limits for the servers of a service.
type Limits struct {
	// Time is how long a server warms up after a start.
	Time time.Duration
	// Rate is the number of requests a second that it bears meanwhile; 0 means no limit.
	Rate float64
}

const (
	// window is the time in which at most Limits.Rate requests are admitted. Of these, a part of
	// the window admits no more than its part, so that requests under load come at any moment and
	// a server that restarts is found to be down.
	window      = time.Second
	windowParts = 4
	// unknownRate is the rate while the operators' limits are not known yet.
	unknownRate = 10
	// maxRecorded bounds the number of recorded requests. A greater rate is not limited.
	maxRecorded = 1024
)

// Limiter decides which requests a server may get while it warms up. It is not safe for concurrent
// use.
type Limiter struct {
	limits Limits
	known  bool
	// began is when the process began to observe the server.
	began time.Time
	// until is when the server is expected to be warm.
	until time.Time
	// down reports that the server was found not to run, last at downAt, and has answered no request
	// since that was sent later.
	down   bool
	downAt time.Time
	// admitted holds the times of the requests admitted within the last window, oldest first.
	// They are recorded also while the server is warm, since it may turn out that it is not.
	admitted []time.Time
}

// NewLimiter returns a limiter of a process that knows nothing of its server yet.
func NewLimiter(now time.Time) *Limiter {
	return &Limiter{began: now}
}

// SetLimits sets the operators' limits. With the first ones, the server counts as warming up since
// the process began, as far as nothing else is known.
func (l *Limiter) SetLimits(limits Limits) {
	if !l.known {
		l.extend(l.began.Add(limits.Time))
	}
	l.limits, l.known = limits, true
}

// Stated records that the server states how much longer it warms up. A statement of 0 does not
// shorten what was assumed: it may be older than that.
func (l *Limiter) Stated(now time.Time, remaining time.Duration) {
	l.extend(now.Add(remaining))
}

// Restarted records that the server has started, or may have lost its caches.
func (l *Limiter) Restarted(now time.Time) {
	l.extend(now.Add(l.limits.Time))
}

// Down records that the server does not accept connections. When it answers again, it has started.
func (l *Limiter) Down(now time.Time) {
	l.down, l.downAt = true, now
}

// Answered records that the server answered a request that was sent at the given time. The answer to
// a request from before the server was down may arrive after it was found to be.
func (l *Limiter) Answered(now, sent time.Time) {
	if l.down && sent.After(l.downAt) {
		l.down = false
		l.Restarted(now)
	}
}

func (l *Limiter) extend(until time.Time) {
	if until.After(l.until) {
		l.until = until
	}
}

// WarmingUp reports whether the server warms up, as far as is known.
func (l *Limiter) WarmingUp(now time.Time) bool {
	return l.down || !l.known || now.Before(l.until)
}

// Wait returns how long the next request has to wait until it may be admitted; 0 means that it may
// be admitted now.
func (l *Limiter) Wait(now time.Time) time.Duration {
	rate := l.rate()
	if rate == 0 || rate > maxRecorded || !l.WarmingUp(now) {
		return 0
	}
	part := (rate + windowParts - 1) / windowParts
	return max(l.freeIn(now, rate, window), l.freeIn(now, part, window/windowParts), 0)
}

// freeIn returns how long it takes until fewer than n requests were admitted within a span.
func (l *Limiter) freeIn(now time.Time, n int, span time.Duration) time.Duration {
	if len(l.admitted) < n {
		return 0
	}
	return l.admitted[len(l.admitted)-n].Add(span).Sub(now)
}

// rate returns the number of requests that may be admitted in a window, or 0 if there is no limit.
func (l *Limiter) rate() int {
	switch {
	case !l.known:
		return unknownRate
	case l.limits.Rate == 0:
		return 0
	}
	return max(int(l.limits.Rate), 1)
}

// Admit records that a request is admitted.
func (l *Limiter) Admit(now time.Time) {
	l.forget(now)
	if len(l.admitted) < maxRecorded {
		l.admitted = append(l.admitted, now)
	}
}

// forget drops the requests that were admitted before the last window.
func (l *Limiter) forget(now time.Time) {
	past := 0
	for past < len(l.admitted) && now.Sub(l.admitted[past]) >= window {
		past++
	}
	l.admitted = l.admitted[:copy(l.admitted, l.admitted[past:])]
}
