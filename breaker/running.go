package breaker

import "time"

const (
	// A request takes too long when it takes more than overdueFactor times the
	// mean of its route, and at least overdueLeast more than the mean. Work
	// that is spread exponentially exceeds three times its mean once in twenty.
	overdueFactor = 3
	overdueLeast  = 150 * time.Millisecond
	// meanWeight is the weight of the newest duration in a route's mean, and
	// leastSamples how many it takes before the mean is used.
	meanWeight   = 0.1
	leastSamples = 4
)

const (
	// hangSuspicion opens the breaker: a healthy server would show it once in
	// e^7, about a thousand, times.
	hangSuspicion = 7.0
	// lastResortBears is how much suspicion a careful request bears at most.
	lastResortBears = 3.5
)

// running is a request that the server has.
type running struct {
	route string
	// expected is how long its sender expects it to take, or zero.
	expected time.Duration
	// granted is when it got its slot, trialBefore when the trial before it did, if it is one.
	granted, trialBefore time.Time

	trial   bool
	overdue bool
	// own is how long the server worked on it until since, without the time in
	// which it waited for calls of its own; paused says that it waits now.
	own    time.Duration
	since  time.Time
	paused bool
	// started says that the server has it.
	started bool
	// unread says that its answer has come and is not read yet.
	unread bool
	// answered is how long it had been worked on at the server's last success.
	answered time.Duration
}

// took returns how long the server has worked on the request.
func (r *running) took(now time.Time) time.Duration {
	if r.paused {
		return r.own
	}
	return r.own + now.Sub(r.since)
}

// awaited reports whether it is a trial that will show soon how the server is. One that takes too
// long has shown it, and one that waits for a call shows nothing until that is over.
func (r *running) awaited() bool {
	return r.trial && !r.overdue && (!r.started || !r.paused || r.unread)
}

// trials returns how many trials are awaited.
func (b *Breaker) trials() (n int) {
	for _, r := range b.running {
		if r.awaited() {
			n++
		}
	}
	return n
}

// mean is the mean duration of a route's successes.
type mean struct {
	value   time.Duration
	samples int
}

// Pause notes that the server waits for a call that it made for a request, and
// Resume that it goes on: that time is not its own.
func (b *Breaker) Pause(now time.Time, id string) {
	if r := b.running[id]; r != nil && !r.paused {
		r.own, r.paused = r.took(now), true
	}
}

// Resume ends a Pause.
func (b *Breaker) Resume(now time.Time, id string) {
	if r := b.running[id]; r != nil && r.paused && !r.unread {
		r.since, r.paused = now, false
	}
}

// LateRequests returns the requests that take longer than they do on average, and those whose answers
// were unread. SetUnread tells whether that is the server's doing.
func (b *Breaker) LateRequests(now time.Time) (ids []string) {
	for id, r := range b.running {
		if mean := b.meanFor(r); r.unread || !r.paused && mean > 0 && r.took(now) > mean {
			ids = append(ids, id)
		}
	}
	return ids
}

// SetUnread notes whether bytes of the answer to a request wait to be read. While they do, the time
// is not the server's own: the process beside it is slow.
func (b *Breaker) SetUnread(now time.Time, id string, unread bool) {
	r := b.running[id]
	if r == nil || r.unread == unread {
		return
	}
	if unread {
		b.Pause(now, id)
		r.unread = true
		b.endSilence(now)
		return
	}
	r.unread = false
	b.Resume(now, id)
}

// endSilence notes that the server has just answered something.
func (b *Breaker) endSilence(now time.Time) {
	for _, r := range b.running {
		r.answered = r.took(now)
	}
}

// ExcludePause notes that nobody watched the server for some time until now: the process
// beside it did not run, and answers may wait unread. That time tells nothing of the server,
// so it does not count as its own.
func (b *Breaker) ExcludePause(now time.Time, pause time.Duration) {
	for _, r := range b.running {
		if r.paused {
			continue
		}
		r.since = r.since.Add(pause)
		if r.since.After(now) {
			r.since = now
		}
	}
}

// Suspicion returns how unlikely it is that a healthy server has answered none of
// its running requests since its last success: minus the natural logarithm of that
// chance, where durations have an exponential distribution about their routes'
// means.
func (b *Breaker) Suspicion(now time.Time) float64 {
	sum := 0.0
	for _, r := range b.running {
		if mean := b.meanFor(r); mean > 0 {
			sum += float64(r.took(now)-r.answered) / float64(mean)
		}
	}
	return sum
}

// meanFor returns how long a healthy server takes for a request on average, or zero
// where nobody knows: the mean of the route here, or until there are enough answers for
// one what the sender expects. Without the latter a server that hangs from the start of
// its process is not suspected at all.
func (b *Breaker) meanFor(r *running) time.Duration {
	if m := b.means[r.route]; m.samples >= leastSamples {
		return m.value
	}
	return r.expected
}

// tooLong reports whether a request takes far longer than it does on average.
func (b *Breaker) tooLong(r *running, took time.Duration) bool {
	mean := b.meanFor(r)
	return mean > 0 && took > max(overdueFactor*mean, mean+overdueLeast)
}

// Stuck reports whether most of n slots are held by requests that take too long: they
// are likely to hold them until their time is over, whether the server is well or not.
func (b *Breaker) Stuck(n int) bool {
	overdue := 0
	for _, r := range b.running {
		if r.overdue {
			overdue++
		}
	}
	return b.state != StateClosed && 2*overdue > n
}

// learn adds the duration of a success to its route's mean.
func (b *Breaker) learn(route string, took time.Duration) {
	m := b.means[route]
	if m.samples == 0 {
		m.value = took
	}
	m.value += time.Duration(meanWeight * float64(took-m.value))
	m.samples++
	b.means[route] = m
}
