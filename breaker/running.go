package breaker

import (
	"time"

	"slatewind.example/slatewind/tail"
)

const (
	// A request is overdue if it takes more than overdueFactor times the mean of its route, and
	// at least minOverdueExcess more than the mean. Exponentially distributed durations exceed
	// three times their mean once in twenty.
	overdueFactor    = 3
	minOverdueExcess = 150 * time.Millisecond
	// meanWeight is the weight of the newest duration in the mean of a route, minSamples the
	// number of durations from which the mean is used.
	meanWeight = 0.1
	minSamples = 4
)

const (
	// hangSuspicion is the suspicion at which the breaker opens: a healthy server reaches it
	// about once in a thousand (e^7) times.
	hangSuspicion = 7.0
	// maxLastResortSuspicion bounds the suspicion that a Careful or Scarce request accepts.
	maxLastResortSuspicion = 3.5
)

// request is a request that has a slot of the server.
type request struct {
	route string
	// expected is how long the sender expects it to take, or zero if unknown.
	expected time.Duration
	// granted is when it got its slot, previousTrial, for a trial, the value of
	// Breaker.lastTrial before it.
	granted, previousTrial time.Time

	trial   bool
	overdue bool
	// outlasted reports that the trial has run for far longer than failures take (admitMoreTrials).
	outlasted bool
	// worked is how long the server worked on it until resumed, without the time in which
	// the server waited for nested calls; paused reports that no work time passes now: the server
	// waits, the request has not been passed to it yet, or its answer is unread.
	worked  time.Duration
	resumed time.Time
	paused  bool
	// started reports that it was passed to the server.
	started bool
	// unread reports that its answer has arrived and is not read yet.
	unread bool
	// workAtAnswer is its work time at the last answer of the server to any request.
	workAtAnswer time.Duration
}

// workTime returns how long the server has worked on the request.
func (r *request) workTime(now time.Time) time.Duration {
	if r.paused {
		return r.worked
	}
	return r.worked + now.Sub(r.resumed)
}

// isPending reports whether the request is a trial whose result is expected soon. An overdue
// trial has shown its result, and one that has outlasted failures most of it; one that waits for a
// nested call shows none until that ends.
func (r *request) isPending() bool {
	return r.trial && !r.overdue && !r.outlasted && (!r.started || !r.paused || r.unread)
}

// trials returns the number of pending trials.
func (b *Breaker) trials() (n int) {
	for _, r := range b.running {
		if r.isPending() {
			n++
		}
	}
	return n
}

// mean is the moving average of the durations of a route's successes, and the share of them that were
// overdue while the server was well.
type mean struct {
	value   time.Duration
	samples int
	tail    tail.Estimate
}

// Pause records that the server waits for a nested call that it made for a request. The time
// until Resume does not count as the server's work.
func (b *Breaker) Pause(now time.Time, id string) {
	if r := b.running[id]; r != nil && !r.paused {
		r.worked, r.paused = r.workTime(now), true
	}
}

// Resume ends a Pause.
func (b *Breaker) Resume(now time.Time, id string) {
	if r := b.running[id]; r != nil && r.paused && !r.unread {
		r.resumed, r.paused = now, false
	}
}

// LateRequests returns the ids of the requests that take longer than their mean, and of those
// whose answers were unread. The owner checks whether the answers of these have arrived and
// calls SetUnread.
func (b *Breaker) LateRequests(now time.Time) (ids []string) {
	for id, r := range b.running {
		if mean := b.meanFor(r); r.unread || !r.paused && mean > 0 && r.workTime(now) > mean {
			ids = append(ids, id)
		}
	}
	return ids
}

// SetUnread records whether bytes of the answer to a request wait to be read. That time does
// not count as the server's work: it is the sidecar that is slow.
func (b *Breaker) SetUnread(now time.Time, id string, unread bool) {
	r := b.running[id]
	if r == nil || r.unread == unread {
		return
	}
	if unread {
		b.Pause(now, id)
		r.unread = true
		b.markAnswered(now)
		return
	}
	r.unread = false
	b.Resume(now, id)
}

// markAnswered records that the server has just answered a request.
func (b *Breaker) markAnswered(now time.Time) {
	for _, r := range b.running {
		r.workAtAnswer = r.workTime(now)
	}
}

// ExcludePause excludes a pause that ended now from the work time of all requests: the sidecar
// did not run, so answers may wait unread and the time is no evidence about the server.
func (b *Breaker) ExcludePause(now time.Time, pause time.Duration) {
	for _, r := range b.running {
		if r.paused {
			continue
		}
		r.resumed = r.resumed.Add(pause)
		if r.resumed.After(now) {
			r.resumed = now
		}
	}
}

// Suspicion returns how unlikely it is that a healthy server has answered none of its running
// requests since its last answer: minus the natural logarithm of that probability, for
// durations that are exponentially distributed about the means of their routes. A request that is
// overdue counts less where many of its route are: it probably takes long wherever it runs.
func (b *Breaker) Suspicion(now time.Time) float64 {
	sum := 0.0
	for _, r := range b.running {
		mean := b.meanFor(r)
		if mean == 0 {
			continue
		}
		silent := float64(r.workTime(now)-r.workAtAnswer) / float64(mean)
		if r.overdue {
			silent *= b.routeMeans[r.route].tail.Weight()
		}
		sum += silent
	}
	return sum
}

// meanFor returns how long a healthy server takes for a request on average, or zero if
// unknown: the mean of the route at this server, or what the sender expects as long as there
// are too few answers for a mean. Without the latter a server that hangs from its start would
// never be suspected.
func (b *Breaker) meanFor(r *request) time.Duration {
	if m := b.routeMeans[r.route]; m.samples >= minSamples {
		return m.value
	}
	return r.expected
}

// isOverdue reports whether a request takes far longer than its mean.
func (b *Breaker) isOverdue(r *request, took time.Duration) bool {
	mean := b.meanFor(r)
	return mean > 0 && took > max(overdueFactor*mean, mean+minOverdueExcess)
}

// Stuck reports whether the breaker is not closed and more than half of n slots are held by
// overdue requests: these probably hold the slots until their deadlines, whether the server
// recovers or not.
func (b *Breaker) Stuck(n int) bool {
	overdue := 0
	for _, r := range b.running {
		if r.overdue {
			overdue++
		}
	}
	return b.state != StateClosed && 2*overdue > n
}

const (
	// A trial outlasts failures once the server has worked on it for more than outlastFactor times as
	// long as its failures took, and for at least minOutlast, which a busy sidecar may be late by.
	outlastFactor = 3
	minOutlast    = 250 * time.Millisecond
	// failureTimeDecay is the share of the longest time of earlier failures that is kept at each failure.
	failureTimeDecay = 0.8
)

// recordFailureTime records how long the server worked on a request before it failed.
func (b *Breaker) recordFailureTime(took time.Duration) {
	b.failureTime = max(took, time.Duration(failureTimeDecay*float64(b.failureTime)))
}

// longestWork returns how long the server has worked on the request that runs for longest.
func (b *Breaker) longestWork(now time.Time) (longest time.Duration) {
	for _, r := range b.running {
		longest = max(longest, r.workTime(now))
	}
	return longest
}

// admitMoreTrials looks for trials that have run for far longer than failures of the server take. These
// probably succeed, so they no longer keep further trials waiting; the breaker closes only by answers. A
// server that answers with errors at once shows so in a fraction of its service time, one that hangs does not.
func (b *Breaker) admitMoreTrials(now time.Time) {
	if b.state == StateClosed || b.failureTime == 0 {
		return
	}
	limit := max(outlastFactor*b.failureTime, minOutlast)
	for _, r := range b.running {
		if r.isPending() && r.started && r.workTime(now) >= limit {
			r.outlasted = true
			b.state = StateHalfOpen
		}
	}
}

// lateWeight returns the weight of an overdue request as a failure.
func (b *Breaker) lateWeight(r *request) float64 {
	m := b.routeMeans[r.route]
	return slowWeight * m.tail.Weight()
}

// recordLateness records whether a success was overdue. Successes of a server that is set aside are no
// measure of how often a server that is well is late.
func (b *Breaker) recordLateness(route string, late bool) {
	if b.state != StateClosed {
		return
	}
	m := b.routeMeans[route]
	m.tail.Record(late)
	b.routeMeans[route] = m
}

// updateMean adds the duration of a success to the mean of its route.
func (b *Breaker) updateMean(route string, took time.Duration) {
	m := b.routeMeans[route]
	if m.samples == 0 {
		m.value = took
	}
	m.value += time.Duration(meanWeight * float64(took-m.value))
	m.samples++
	b.routeMeans[route] = m
}
