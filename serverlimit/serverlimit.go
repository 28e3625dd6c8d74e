// Package serverlimit keeps the requests to a server within the rate that the server states in its
// answers.
//
// The limit is enforced by the process beside the server, through which the requests of the whole
// fleet pass, so no tokens are shared between processes. A process that has just started does not
// know the limit. Until the server answers it, it applies the limits that ingresses remember from
// earlier answers and send with their reservations.
package serverlimit

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/ratelimit"
)

const (
	// burstTime is the time for which unused requests accumulate.
	burstTime = 500 * time.Millisecond
	// minRate is the lowest rate that is enforced, in requests a second. Without any request, the
	// end of a limit would not be noticed.
	minRate = 0.5
)

// Limiter admits the requests to one server. It is not safe for concurrent use.
type Limiter struct {
	limit slatewind.ServerLimit
	// answered reports that the server has answered this process. stated is when the latest answer
	// arrived that states a limit at least as strict as the one in force.
	answered bool
	stated   time.Time
	// bucket holds the requests that may be admitted now; nil without a limit.
	bucket *ratelimit.Bucket
}

// Limit returns the limit in force.
func (l *Limiter) Limit() slatewind.ServerLimit { return l.limit }

// Unknown reports that the server has not answered this process, so that it may have a limit that
// is not known here.
func (l *Limiter) Unknown() bool { return !l.answered }

// Reset forgets the limit. It is called when another start of the server is found.
func (l *Limiter) Reset() { *l = Limiter{} }

// Answered records the limit in an answer to a request that was sent at the given time. A looser
// limit, or none, takes effect only if that request was sent after the last answer that states the
// limit in force: answers may overtake one another.
func (l *Limiter) Answered(now, sent time.Time, limit slatewind.ServerLimit) (changed bool) {
	l.answered = true
	if limit.LooserThan(l.limit) {
		if !sent.After(l.stated) {
			return false
		}
	} else {
		l.stated = now
	}
	return l.set(now, limit)
}

// Failed records the limit in an answer by which the server rejected or failed a request. Without a
// limit it does not end one: it may come from a part of the server that states none.
func (l *Limiter) Failed(now, sent time.Time, limit slatewind.ServerLimit) (changed bool) {
	return limit.Stated && l.Answered(now, sent, limit)
}

// Told records a limit that an ingress remembers from an earlier answer. It counts only until the
// server answers this process; of several, the strictest counts.
func (l *Limiter) Told(now time.Time, limit slatewind.ServerLimit) (changed bool) {
	if l.answered || !l.limit.LooserThan(limit) {
		return false
	}
	return l.set(now, limit)
}

// set puts a limit in force. A new bucket starts empty, since the server may have just received
// requests.
func (l *Limiter) set(now time.Time, limit slatewind.ServerLimit) (changed bool) {
	if limit == l.limit {
		return false
	}
	before := l.limit
	l.limit = limit
	if !limit.Stated {
		l.bucket = nil
		return true
	}
	rate := max(limit.PerSecond, minRate)
	burst := rate * burstTime.Seconds()
	if before.Stated {
		l.bucket.Set(now, rate, burst)
		return true
	}
	l.bucket = ratelimit.NewBucket(now, rate, burst, 0)
	l.bucket.Take(now, 1)
	return true
}

// Wait returns how long the next request has to wait until it may be admitted; 0 means that it may
// be admitted now.
func (l *Limiter) Wait(now time.Time) time.Duration {
	if l.bucket == nil {
		return 0
	}
	return l.bucket.Next(now)
}

// Take admits a request. It reports whether the request was taken from a limit, and must be
// returned if it is not sent.
func (l *Limiter) Take(now time.Time) bool {
	return l.bucket != nil && l.bucket.Take(now, 1)
}

// Return takes back an admitted request that was not sent; taken is the result of Take.
func (l *Limiter) Return(now time.Time, taken bool) {
	if taken && l.bucket != nil {
		l.bucket.Put(now, 1)
	}
}
