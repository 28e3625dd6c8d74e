// Package breaker implements the circuit breaker that the sidecar of a backend server keeps
// for it.
//
// The sidecar sees every request that the server gets, so it detects a failing server after
// one or two failures, where an observer elsewhere needs many. Each failure raises a score by
// how unlikely a healthy server is to show it: a connection reset counts in full, an error
// answer by half, since healthy servers answer a few requests with an error too. At the
// threshold the breaker opens, and requests are refused before they reach the server, which
// proves that they did not run. Repeatable requests are then admitted as trials: one after a
// pause, and a few at once after a first success. After enough consecutive successes the
// breaker closes. Until then, requests that must not be repeated are admitted only if they
// have no healthy server and this one still answers most of its requests.
//
// A server that hangs returns no results at all. It is detected by the time that its requests
// have been running: each request that runs far longer than the mean of its route, and all
// running requests together (Suspicion). Time in which the server waits for nested calls does
// not count.
//
// Health probes are not used, since servers that fail only part of their requests answer
// probes well.
package breaker

import "time"

// State is the state of a breaker.
type State string

// States of a breaker.
const (
	// StateClosed admits all requests.
	StateClosed State = "closed"
	// StateOpen admits one repeatable request at a time, as a trial after a pause; LastResort
	// requests are admitted sooner (Allow).
	StateOpen State = "open"
	// StateHalfOpen admits up to maxTrials repeatable requests at once, as trials.
	StateHalfOpen State = "half-open"
)

// Result is the result of one request, as evidence about the server.
type Result string

// Results of requests.
const (
	// ResultOK is a complete answer that did not take too long.
	ResultOK Result = "ok"
	// ResultBroken is a connection reset, a truncated answer or bytes that are no answer.
	ResultBroken Result = "broken"
	// ResultError is an error answer by the server itself.
	ResultError Result = "error"
	// ResultShed is a rejection by the server although it had a free slot. It proves
	// that the request did not run, so it never opens the breaker; while the server
	// rejects requests, other servers are preferred.
	ResultShed Result = "shed"
	// ResultNone is no evidence: the caller disconnected, or nothing was sent.
	ResultNone Result = "none"
)

// Weights of results, as shares of openThreshold. A healthy server resets no connection and,
// as the users' servers do, answers about one request in eighty with an error of its own: two
// consecutive errors indicate a fault.
const (
	openThreshold = 1.0
	brokenWeight  = 1.0
	errorWeight   = 0.5
	// slowWeight is the weight of a request that takes too long, if few of the route do so at a server
	// that is well (lateWeight).
	slowWeight = 0.5
	// successWeight is subtracted for each success. At 0.2 a server that answers every third
	// request with an error opens the breaker, one that does so with every tenth does not.
	successWeight = 0.2
)

const (
	// firstTrialPause is the pause before the first trial. Each failed trial multiplies it by
	// trialPauseGrowth, up to maxTrialPause: a failed trial costs its request an attempt, and
	// faults typically last for seconds.
	firstTrialPause  = 400 * time.Millisecond
	trialPauseGrowth = 1.5
	maxTrialPause    = time.Second
	// TrialOverdue is how long after a trial became due a Scarce request may be the trial.
	TrialOverdue = 300 * time.Millisecond
	// maxTrials is how many trials may run at once after a first success.
	maxTrials = 3
	// minSuccesses consecutive successes close the breaker. Each opening within reopenWindow
	// of the last close requires reopenSuccesses more, up to maxSuccesses.
	minSuccesses    = 2
	reopenSuccesses = 2
	maxSuccesses    = 8
	reopenWindow    = 5 * time.Second
)

const (
	// maxDoubt is the doubt up to which a server counts as well: two successes after an error answer.
	maxDoubt = 0.25
	// doubtTime is how long after its latest failure a server is doubtful at most: it may get no requests
	// that may be repeated.
	doubtTime = 2 * time.Second
)

// shareWeight is the weight of the newest result in the moving averages of successes and of
// rejections.
const shareWeight = 0.2

// MinUsefulShare is the share of successes, from 0 to 1, from which an unhealthy server is
// better than none.
const MinUsefulShare = 0.5

// Breaker is the circuit breaker of one server. It is not safe for concurrent use; its owner
// guards it by a lock.
type Breaker struct {
	state State
	// score is the sum of the weights of results, as a share of openThreshold.
	score float64
	// doubt is the part of score that is due to failed requests, without late ones, lastFailed when the
	// latest one failed.
	doubt      float64
	lastFailed time.Time
	// successes counts consecutive successful trials; requiredSuccesses of them close the
	// breaker.
	successes         int
	requiredSuccesses int
	// lastChange is when the breaker last opened or closed.
	lastChange time.Time
	// trialAfter is the pause between lastTrial and the next trial.
	trialAfter time.Duration
	// lastTrial is when the newest trial got its slot, or when the breaker opened if that was later.
	lastTrial time.Time
	// running holds the running requests of the server by id, routeMeans the means by route.
	running    map[string]*request
	routeMeans map[string]mean
	// failureTime is how long failures of the server have taken lately, or zero if there were none since
	// the start.
	failureTime time.Duration
	// successShare and shedShare are the moving averages of successes and of rejections.
	successShare float64
	shedShare    float64
}

// New returns a closed breaker.
func New() *Breaker {
	return &Breaker{state: StateClosed, requiredSuccesses: minSuccesses, successShare: 1, running: map[string]*request{}, routeMeans: map[string]mean{}}
}

// State returns the current state.
func (b *Breaker) State() State { return b.state }

// Score returns the score; at 1 the breaker opens.
func (b *Breaker) Score() float64 { return b.score }

// Constraints restrict the servers to which a request may go, by their health.
type Constraints struct {
	// Careful requests must not be trials: they cannot be repeated, or they have no further
	// attempt left.
	Careful bool
	// Scarce requests may be repeated, but extra attempts were denied shortly before: such a
	// request is a trial only if one is overdue.
	Scarce bool
	// LastResort requests have no healthy server to go to.
	LastResort bool
	// MaxSuspicion is the highest Suspicion of a server to which a Careful or Scarce request
	// goes: a server that hangs would hold the request until its deadline.
	MaxSuspicion float64
}

// RiskAverse reports whether the request avoids servers that look unhealthy.
func (c Constraints) RiskAverse() bool { return c.Careful || c.Scarce }

// maxSuspicion returns the highest suspicion that the request accepts. Even as a last resort
// it avoids a server that almost certainly hangs: the request would be lost, and would hold a
// slot until its deadline.
func (c Constraints) maxSuspicion() float64 {
	if c.LastResort {
		return maxLastResortSuspicion
	}
	return min(c.MaxSuspicion, maxLastResortSuspicion)
}

// Allow reports whether a request may be sent to the server now. A closed breaker refuses only
// Careful and Scarce requests, if the server's Suspicion exceeds what they accept. Any other breaker
// admits LastResort requests if the server still answers enough (MinUsefulShare), and trials.
func (b *Breaker) Allow(now time.Time, c Constraints) bool {
	switch {
	case b.state == StateClosed:
		return !c.RiskAverse() || b.Suspicion(now) <= c.maxSuspicion()
	case c.LastResort && b.successShare >= MinUsefulShare:
		return true
	case c.Careful:
		return false
	case c.Scarce:
		return b.trials() == 0 && now.Sub(b.lastTrial) >= b.trialAfter+TrialOverdue
	case b.state == StateHalfOpen, c.LastResort:
		return b.trials() < maxTrials
	}
	return b.trials() == 0 && now.Sub(b.lastTrial) >= b.trialAfter
}

// Doubtful reports whether the server has just failed requests and not answered enough well since, though not
// so many that the breaker opened: healthy servers give some error answers. Requests that cannot be repeated
// are better sent to another server then, if one is free; others show whether this one fails.
func (b *Breaker) Doubtful(now time.Time) bool {
	return b.state == StateClosed && b.doubt > maxDoubt && now.Sub(b.lastFailed) < doubtTime
}

// ShedShare returns the share of recent requests that the server rejected, from 0 to 1.
func (b *Breaker) ShedShare() float64 { return b.shedShare }

// SuccessShare returns the share of recent requests that the server answered well, from 0 to 1.
func (b *Breaker) SuccessShare() float64 { return b.successShare }

// RetryAfter returns the time until a trial is due, or zero if the breaker is closed.
func (b *Breaker) RetryAfter(now time.Time) time.Duration {
	if b.state == StateClosed {
		return 0
	}
	return max(b.trialAfter-now.Sub(b.lastTrial), 0)
}

// minTrialWait is the least time until the next trial that TrialIn returns while one runs.
const minTrialWait = 100 * time.Millisecond

// TrialIn returns the time until a trial is admitted, or zero if one would be admitted now or
// the breaker is closed.
func (b *Breaker) TrialIn(now time.Time) time.Duration {
	if b.Allow(now, Constraints{}) {
		return 0
	}
	return max(b.RetryAfter(now), minTrialWait)
}

// Grant records that the request gets a slot of the server. expected is how long the sender
// expects the request to take; zero is unknown. The time until Start does not count as the
// server's: the sender may be slow.
func (b *Breaker) Grant(now time.Time, id, route string, expected time.Duration) {
	r := &request{route: route, expected: expected, granted: now, paused: true, trial: b.state != StateClosed}
	if r.trial {
		r.previousTrial, b.lastTrial = b.lastTrial, now
	}
	b.running[id] = r
}

// Start records that a granted request was passed to the server.
func (b *Breaker) Start(now time.Time, id string) {
	b.Resume(now, id)
	if r := b.running[id]; r != nil {
		r.started = true
	}
}

// End records the result of a request. It reports whether the breaker opened or closed. A success
// that took too long counts as a failure, unless Tick has already counted the request as one. An
// unknown id changes nothing.
func (b *Breaker) End(now time.Time, id string, result Result) bool {
	r := b.running[id]
	if r == nil {
		return false
	}
	delete(b.running, id)
	if result == ResultNone {
		b.revertTrial(r)
	}
	took := r.workTime(now)
	if result == ResultOK && !r.unread && (r.overdue || b.isOverdue(r, took)) {
		weight := b.lateWeight(r)
		b.recordLateness(r.route, true)
		return !r.overdue && b.recordFailure(now, weight)
	}
	switch result {
	case ResultOK:
		if !r.unread {
			b.updateMean(r.route, took)
			b.recordLateness(r.route, false)
		}
		if b.state != StateClosed && !r.trial {
			// The request began before the breaker opened: its success is no evidence of recovery.
			return false
		}
		return b.recordSuccess(now)
	case ResultBroken:
		return b.recordFailedRequest(now, r, brokenWeight)
	case ResultError:
		return b.recordFailedRequest(now, r, errorWeight)
	case ResultShed:
		b.shedShare += shareWeight * (1 - b.shedShare)
	}
	return false
}

// revertTrial restores the time of the previous trial if the request is the newest trial and was
// never passed to the server.
func (b *Breaker) revertTrial(r *request) {
	if r.trial && !r.started && b.lastTrial.Equal(r.granted) {
		b.lastTrial = r.previousTrial
	}
}

// Tick counts requests that run for too long as failures, each on its own and all together, and admits
// further trials while those in progress outlast failures. It reports whether the breaker opened.
func (b *Breaker) Tick(now time.Time) bool {
	b.admitMoreTrials(now)
	changed := false
	for _, r := range b.running {
		if r.overdue || r.unread || !b.isOverdue(r, r.workTime(now)) {
			continue
		}
		r.overdue = true
		b.recordFailureTime(r.workTime(now))
		changed = b.recordFailure(now, b.lateWeight(r)) || changed
	}
	if b.state == StateClosed && b.Suspicion(now) >= hangSuspicion {
		b.recordFailureTime(b.longestWork(now))
		changed = b.recordFailure(now, openThreshold) || changed
	}
	return changed
}

// Reset discards all state, for a new server at the address.
func (b *Breaker) Reset() {
	*b = *New()
}

// recordSuccess counts a success. It reports whether the breaker closed.
func (b *Breaker) recordSuccess(now time.Time) bool {
	b.successShare += shareWeight * (1 - b.successShare)
	b.shedShare -= shareWeight * b.shedShare
	b.markAnswered(now)
	if b.state == StateClosed {
		b.score = max(b.score-successWeight, 0)
		b.doubt = max(b.doubt-successWeight, 0)
		return false
	}
	b.state = StateHalfOpen
	b.successes++
	if b.successes < b.requiredSuccesses {
		return false
	}
	b.state = StateClosed
	b.score, b.doubt = 0, 0
	b.lastChange = now
	return true
}

// recordFailedRequest records that a request ended with an error or without an answer. It reports whether
// the breaker opened.
func (b *Breaker) recordFailedRequest(now time.Time, r *request, weight float64) bool {
	b.recordFailureTime(r.workTime(now))
	b.doubt, b.lastFailed = min(b.doubt+weight, openThreshold), now
	return b.recordFailure(now, weight)
}

// recordFailure adds a failure to the score, or extends the pause between trials unless the breaker
// is closed. It reports whether the breaker opened.
func (b *Breaker) recordFailure(now time.Time, weight float64) bool {
	b.successShare -= shareWeight * b.successShare
	if b.state != StateClosed {
		b.state = StateOpen
		b.successes = 0
		b.trialAfter = min(time.Duration(trialPauseGrowth*float64(b.trialAfter)), maxTrialPause)
		return false
	}
	b.score += weight
	if b.score < openThreshold {
		return false
	}
	b.requiredSuccesses = minSuccesses
	if !b.lastChange.IsZero() && now.Sub(b.lastChange) < reopenWindow {
		b.requiredSuccesses = min(b.requiredSuccesses+reopenSuccesses, maxSuccesses)
	}
	b.state = StateOpen
	b.successes = 0
	b.lastChange = now
	b.trialAfter = firstTrialPause
	b.lastTrial = now
	return true
}
