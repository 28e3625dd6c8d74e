// Package breaker judges one backend server from beside it.
//
// The process beside a server sees every request that the server gets, so it
// knows after one or two failures what an observer elsewhere learns from many.
// Each failure adds suspicion by how unlikely a healthy server is to show it: a
// reset counts in full, an error answer by half, since servers answer a few
// requests with an error when nothing is wrong. At the threshold the breaker
// opens and requests are refused before they reach the server, which proves
// that they did not run. Repeatable requests are then let through as trials: one
// after a pause, and a few at once after a first success. After enough successes
// in a row the breaker closes. Until then, requests that must not repeat come
// only where they have no healthy server and this one still answers most.
//
// A server that hangs shows nothing at all, so that silence is judged too: each
// request that runs far too long, and all running ones together (Suspicion). Time
// in which the server waits for calls of its own does not count.
//
// Health probes are not used: servers that fail only part of their requests
// answer them well.
package breaker

import "time"

// State is the breaker's judgement.
type State string

// States of a breaker.
const (
	// StateClosed lets everything through.
	StateClosed State = "closed"
	// StateOpen lets single repeatable requests through, now and then.
	StateOpen State = "open"
	// StateHalfOpen lets up to maxTrials repeatable requests through at once.
	StateHalfOpen State = "half-open"
)

// Result is what one request showed of the server.
type Result string

// Results of requests.
const (
	// ResultOK is a whole answer in good time.
	ResultOK Result = "ok"
	// ResultBroken is a reset, an early end or bytes that are no answer.
	ResultBroken Result = "broken"
	// ResultError is the server's own error answer.
	ResultError Result = "error"
	// ResultShed is a rejection by the server although it had a free slot. It
	// proves that nothing ran, so it never opens the breaker; others are
	// preferred to the server while it sheds.
	ResultShed Result = "shed"
	// ResultNone tells nothing: the caller left, or nothing was sent.
	ResultNone Result = "none"
)

// Weights of evidence, as shares of the threshold. A healthy server resets
// nothing and answers about one request in eighty with an error of its own, as
// the servers of this project's users do: two in a row are a sign of more.
const (
	threshold    = 1.0
	brokenWeight = 1.0
	errorWeight  = 0.5
	slowWeight   = 0.5
	// successWeight is taken off for each success. At 0.2 a server that answers
	// every third request with an error opens the breaker, one that does so with
	// every tenth not.
	successWeight = 0.2
)

const (
	// firstTrialAfter is the pause before the first trial; it grows by
	// trialGrowth with each failed one up to maxTrialAfter: each failed trial
	// costs its request an attempt, and sick spells last seconds.
	firstTrialAfter = 400 * time.Millisecond
	trialGrowth     = 1.5
	maxTrialAfter   = time.Second
	// TrialOverdue is how long after a trial was due a scarce request may be one.
	TrialOverdue = 300 * time.Millisecond
	// maxTrials is how many trials may run at once after a first success.
	maxTrials = 3
	// successesNeeded in a row close the breaker; each opening within
	// relapseTime of the last close asks for relapseSuccesses more, up to
	// maxSuccesses.
	successesNeeded  = 2
	relapseSuccesses = 2
	maxSuccesses     = 8
	relapseTime      = 5 * time.Second
)

// shareWeight is the weight of the newest outcome in the shares of successes and
// of rejections.
const shareWeight = 0.2

// MinUsefulShare is the share of successes, from 0 to 1, from which a sick server
// is better than none.
const MinUsefulShare = 0.5

// Breaker is the judgement of one server. It is not safe for use by several
// goroutines; its host guards it.
type Breaker struct {
	state State
	// score is the suspicion, as a share of the threshold.
	score float64
	// successes counts the trials in a row that went well, needed is how many
	// close the breaker.
	successes int
	needed    int
	// changed is when the breaker last opened or closed.
	changed time.Time
	// trialAfter is the pause between lastTrial and the next trial.
	trialAfter time.Duration
	lastTrial  time.Time
	// running holds the server's requests by id, means the routes' by name.
	running map[string]*running
	means   map[string]mean
	// share is the share of successes, shed that of rejections, both of the
	// newest requests.
	share float64
	shed  float64
}

// New returns a closed breaker.
func New() *Breaker {
	return &Breaker{state: StateClosed, needed: successesNeeded, share: 1, running: map[string]*running{}, means: map[string]mean{}}
}

// State returns the judgement.
func (b *Breaker) State() State { return b.state }

// Score returns the suspicion; at 1 the breaker opens.
func (b *Breaker) Score() float64 { return b.score }

// Constraints says what kind of request wants to go to the server.
type Constraints struct {
	// Careful requests must not be trials: they cannot be repeated, or no further
	// attempt is left to them.
	Careful bool
	// Scarce requests may be repeated, but extra attempts were denied a moment ago: they are a
	// trial only where one is overdue.
	Scarce bool
	// LastResort requests have no healthy server to go to.
	LastResort bool
	// MaxSuspicion is how much suspicion a careful request bears: a hanging server would
	// take it for good.
	MaxSuspicion float64
}

// RiskAverse reports whether the request keeps off servers that look sick.
func (a Constraints) RiskAverse() bool { return a.Careful || a.Scarce }

// bears returns how much suspicion the request bears. Also as a last resort it
// keeps off a server that nearly surely hangs: it would be lost, and hold a slot
// until its time is over.
func (a Constraints) bears() float64 {
	if a.LastResort {
		return lastResortBears
	}
	return min(a.MaxSuspicion, lastResortBears)
}

// Allow reports whether a request may go to the server now.
func (b *Breaker) Allow(now time.Time, ask Constraints) bool {
	switch {
	case b.state == StateClosed:
		return !ask.RiskAverse() || b.Suspicion(now) <= ask.bears()
	case ask.LastResort && b.share >= MinUsefulShare:
		return true
	case ask.Careful:
		return false
	case ask.Scarce:
		return b.trials() == 0 && now.Sub(b.lastTrial) >= b.trialAfter+TrialOverdue
	case b.state == StateHalfOpen, ask.LastResort:
		return b.trials() < maxTrials
	}
	return b.trials() == 0 && now.Sub(b.lastTrial) >= b.trialAfter
}

// ShedShare returns the share of the newest requests that the server rejected.
func (b *Breaker) ShedShare() float64 { return b.shed }

// SuccessShare returns the share of the newest requests that the server answered well.
func (b *Breaker) SuccessShare() float64 { return b.share }

// RetryAfter returns how long it is until a trial is due, or zero where the
// breaker is closed.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	if b.state == StateClosed {
		return 0
	}
	return max(b.trialAfter-now.Sub(b.lastTrial), 0)
}

// trialRunning is how long it is taken to be until the next trial while one runs.
const trialRunning = 100 * time.Millisecond

// TrialIn returns how long it is until a trial is let through, or zero where one would be
// now or the breaker is closed.
func (b *Breaker) TrialIn(now time.Time) time.Duration {
	if b.Allow(now, Constraints{}) {
		return 0
	}
	return max(b.RetryAfter(now), trialRunning)
}

// Grant notes that the server is to get a request, which its sender expects to take so
// long; zero is unknown. The time until Start is not the server's: its sender may be slow.
func (b *Breaker) Grant(now time.Time, id, route string, expected time.Duration) {
	r := &running{route: route, expected: expected, granted: now, paused: true, trial: b.state != StateClosed}
	if r.trial {
		r.trialBefore, b.lastTrial = b.lastTrial, now
	}
	b.running[id] = r
}

// Start notes that the server gets a request that was granted.
func (b *Breaker) Start(now time.Time, id string) {
	b.Resume(now, id)
	if r := b.running[id]; r != nil {
		r.started = true
	}
}

// End notes what became of a request. It reports whether the state changed.
func (b *Breaker) End(now time.Time, id string, result Result) bool {
	r := b.running[id]
	if r == nil {
		return false
	}
	delete(b.running, id)
	if result == ResultNone {
		b.unused(r)
	}
	took := r.took(now)
	if result == ResultOK && !r.unread && (r.overdue || b.tooLong(r, took)) {
		return !r.overdue && b.fail(now, slowWeight)
	}
	switch result {
	case ResultOK:
		if !r.unread {
			b.learn(r.route, took)
		}
		if b.state != StateClosed && !r.trial {
			// It began before the server became sick and tells nothing of now.
			return false
		}
		return b.succeed(now)
	case ResultBroken:
		return b.fail(now, brokenWeight)
	case ResultError:
		return b.fail(now, errorWeight)
	case ResultShed:
		b.shed += shareWeight * (1 - b.shed)
	}
	return false
}

// unused takes back that there was a trial, where its request was never sent.
func (b *Breaker) unused(r *running) {
	if r.trial && !r.started && b.lastTrial.Equal(r.granted) {
		b.lastTrial = r.trialBefore
	}
}

// Tick counts requests that run for too long, each and all together. It reports
// whether the state changed.
func (b *Breaker) Tick(now time.Time) bool {
	changed := false
	for _, r := range b.running {
		if r.overdue || r.unread || !b.tooLong(r, r.took(now)) {
			continue
		}
		r.overdue = true
		changed = b.fail(now, slowWeight) || changed
	}
	if b.state == StateClosed && b.Suspicion(now) >= hangSuspicion {
		changed = b.fail(now, threshold) || changed
	}
	return changed
}

// Reset forgets everything: another server runs at the address now.
func (b *Breaker) Reset() {
	*b = *New()
}

// succeed counts a success. It reports whether the breaker closed.
func (b *Breaker) succeed(now time.Time) bool {
	b.share += shareWeight * (1 - b.share)
	b.shed -= shareWeight * b.shed
	b.endSilence(now)
	if b.state == StateClosed {
		b.score = max(b.score-successWeight, 0)
		return false
	}
	b.state = StateHalfOpen
	b.successes++
	if b.successes < b.needed {
		return false
	}
	b.state = StateClosed
	b.score = 0
	b.changed = now
	return true
}

// fail adds suspicion. It reports whether the breaker opened.
func (b *Breaker) fail(now time.Time, weight float64) bool {
	b.share -= shareWeight * b.share
	if b.state != StateClosed {
		b.state = StateOpen
		b.successes = 0
		b.trialAfter = min(time.Duration(trialGrowth*float64(b.trialAfter)), maxTrialAfter)
		return false
	}
	b.score += weight
	if b.score < threshold {
		return false
	}
	b.needed = successesNeeded
	if !b.changed.IsZero() && now.Sub(b.changed) < relapseTime {
		b.needed = min(b.needed+relapseSuccesses, maxSuccesses)
	}
	b.state = StateOpen
	b.successes = 0
	b.changed = now
	b.trialAfter = firstTrialAfter
	b.lastTrial = now
	return true
}
