package outbound

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/recovery"
	"slatewind.example/slatewind/timer"
)

const (
	// answerSlack is how long after a request's deadline the server's response may still arrive.
	answerSlack = 150 * time.Millisecond
	// defaultAttempts is the number of attempts, including the first, if the route sets none.
	defaultAttempts = 2
	// hedgeObjectiveShare is the share of the objective, and hedgeMeanFactor the multiple of the
	// route's mean time, after which a repeatable request that a server has received and not
	// answered is hedged, that is, sent to a second server as well. A request that still waits for
	// a slot is not hedged: a second place in the queues would only add load.
	hedgeObjectiveShare = 0.75
	hedgeMeanFactor     = 2.5
	// hedgeRetryShare is the share of the objective after which another hedge is tried if no
	// server could take the last one.
	hedgeRetryShare = 0.25
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	requestResult
	// arrived reports whether a server received the request.
	arrived bool
	// paidUntil is the time until which the process beside the server pays for the next attempt.
	paidUntil timer.Instant
}

// dispatch runs the attempts at a request and returns its result.
func (o *Outbound) dispatch(ctx context.Context, rq *request) requestResult {
	rq.callerDone = ctx.Done()
	if !rq.repeatable() {
		// A request that a server has received continues if the caller disconnects, since cancelling
		// it does not undo it. A search for a slot ends with rq.callerDone.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := rq.context(ctx)
	defer context.AfterFunc(o.ended, cancel)()
	d := &dispatch{o: o, rq: rq, ctx: ctx, results: make(chan attemptResult, maxTries), sent: make(chan string, maxTries), tried: map[string]bool{}}
	f := d.run()
	if f.answer == nil {
		cancel()
		return f
	}
	closeAnswer := f.answer.close
	f.answer.close = func() { closeAnswer(); cancel() }
	return f
}

// maxTries limits the attempts at one request, including refused ones.
const maxTries = 8

// dispatch is the state of the attempts at one request.
type dispatch struct {
	o       *Outbound
	rq      *request
	ctx     context.Context
	results chan attemptResult
	// sent receives the name of each server to which the request is sent.
	sent  chan string
	tried map[string]bool
	// active counts the attempts in progress, tries all attempts, arrivals the attempts whose
	// request a server has received.
	active, tries, arrivals int
	// mayHaveRun reports whether any attempt lacks proof that the request did not run.
	mayHaveRun bool
	// best is a server's own error response, returned if no better one arrives.
	best *requestResult
}

// run starts the first attempt, and further ones after failures or when a hedge is due, until the
// request has a result.
func (d *dispatch) run() requestResult {
	d.start(timer.Instant{})
	hedge := time.NewTimer(d.rq.remaining(time.Now()))
	defer hedge.Stop()
	for {
		select {
		case r := <-d.results:
			d.active--
			if f, done := d.handleResult(r); done {
				return f
			}
		case server := <-d.sent:
			d.tried[server] = true
			hedge.Reset(d.rq.hedgeAfter())
		case <-hedge.C:
			d.hedge()
			hedge.Reset(time.Duration(hedgeRetryShare * float64(d.rq.objective())))
		case <-d.ctx.Done():
			return d.finishOnDone()
		}
	}
}

// hedgeAfter returns how long a request that was just sent waits for its response before it is
// hedged.
func (rq *request) hedgeAfter() time.Duration {
	left := time.Duration(hedgeObjectiveShare*float64(rq.objective())) - time.Since(rq.began)
	return max(left, time.Duration(hedgeMeanFactor*float64(rq.shard.meanTime(rq.route.GetName()))))
}

// hedge sends a repeatable request that has not been answered yet to a second server, if another
// attempt is allowed.
func (d *dispatch) hedge() {
	if d.rq.repeatable() && d.active == 1 && d.mayRepeat() {
		d.journalExtra(slatewind.DecisionHedge, "", "no answer after most of its objective")
		d.start(timer.Instant{})
	}
}

// finishOnDone returns the result of a request whose time is over or whose caller disconnected. The
// attempts end with the context, so their results arrive immediately.
func (d *dispatch) finishOnDone() requestResult {
	for ; d.active > 0; d.active-- {
		r := <-d.results
		if r.answer != nil {
			return r.requestResult
		}
		d.recordArrival(r)
	}
	if d.best != nil {
		d.journalServerError(attemptResult{requestResult: requestResult{reason: "the request's time was over or the caller disconnected"}})
		return *d.best
	}
	f := requestResult{outcome: slatewind.OutcomeNotRun, reason: "no answer in the request's time", timedOut: true}
	switch {
	case d.o.ended.Err() != nil:
		f.reason, f.timedOut = "the process stops", false
	case errors.Is(d.ctx.Err(), context.Canceled):
		f.reason = "the caller disconnected"
	}
	if d.mayHaveRun {
		f.outcome = slatewind.OutcomeUnknown
	}
	return f
}

// recordArrival records whether a server received the request and may have run it.
func (d *dispatch) recordArrival(r attemptResult) {
	if !r.arrived {
		return
	}
	d.arrivals++
	d.tried[r.server] = true
	d.mayHaveRun = d.mayHaveRun || r.outcome != slatewind.OutcomeNotRun
}

// start starts an attempt, which is paid for until the given time.
func (d *dispatch) start(paidUntil timer.Instant) {
	d.active++
	d.tries++
	opts := attemptOptions{
		tried: maps.Clone(d.tried), constraints: d.trialConstraints(), extra: d.tries > 1, retry: d.arrivals > 0,
		mayRepeat: d.arrivals+d.active < d.rq.attempts(), paidUntil: paidUntil,
		onSent: func(server string) { d.sent <- server },
	}
	go func() {
		// The request may have been sent by the time of a panic.
		result := attemptResult{requestResult: requestResult{outcome: slatewind.OutcomeUnknown, reason: "the attempt failed within the process"}, arrived: true}
		_ = recovery.Run("attempt", func() { result = d.o.attempt(d.ctx, d.rq, opts) })
		d.results <- result
	}()
}

// trialConstraints returns whether the attempt being started may serve as a trial of an unhealthy
// server: only the first attempt at a repeatable request may, and only if another attempt is left
// after it. Scarce reports that an extra attempt was denied a short time ago.
func (d *dispatch) trialConstraints() breaker.Constraints {
	return breaker.Constraints{
		Careful: !d.rq.repeatable() || d.tries > 1 || d.rq.attempts() < 2,
		Scarce:  d.rq.shard.deniedWithin(time.Now(), trialPauseAfterDenial),
	}
}

// Causes for which an extra attempt is denied.
const (
	deniedAttempts = "attempts"
	deniedTime     = "time"
	deniedBound    = "bound"
)

// mayRepeat reports whether the request may be sent to one more server, provided that the process
// beside that server still grants an extra attempt. If not, the denial is counted by its cause.
func (d *dispatch) mayRepeat() bool {
	switch {
	case d.arrivals+d.active >= d.rq.attempts(), d.tries >= maxTries:
		d.o.meter.Denied(d.rq.service, deniedAttempts)
	case d.rq.remaining(time.Now()) <= 0:
		d.o.meter.Denied(d.rq.service, deniedTime)
	default:
		return true
	}
	return false
}

// handleResult handles the result of one attempt; done reports that f is the request's result.
func (d *dispatch) handleResult(r attemptResult) (f requestResult, done bool) {
	d.recordArrival(r)
	failed := r.answer != nil && r.answer.head.GetStatus() >= slatewind.MinServerErrorStatus
	switch {
	case r.answer != nil && !failed:
		return r.requestResult, true
	case failed:
		d.best = &r.requestResult
	case d.o.quarantined(time.Now(), d.rq):
		return d.finishQuarantined(r), true
	}
	if d.rq.repeatable() || r.outcome == slatewind.OutcomeNotRun {
		if d.retry(r) {
			return requestResult{}, false
		}
	}
	if d.active > 0 {
		return requestResult{}, false
	}
	if d.best != nil {
		d.journalServerError(r)
		return *d.best, true
	}
	if d.mayHaveRun {
		// The refusal of a later attempt does not prove that an earlier one did not run.
		r.outcome = slatewind.OutcomeUnknown
	}
	return r.requestResult, true
}

// journalServerError records that the caller gets a server's own error response, and the reason why
// the last attempt failed, so that every failed request has a journal entry.
func (d *dispatch) journalServerError(last attemptResult) {
	reason := fmt.Sprintf("the server answered with status %d", d.best.status())
	if last.answer == nil {
		reason += "; the last attempt: " + last.reason
	}
	d.journal(slatewind.DecisionServerError, d.best.server, reason)
}

// retry starts another attempt after a failed one, if allowed. Only a request that was sent is
// retried: an attempt that found no slot has already searched for long.
func (d *dispatch) retry(r attemptResult) bool {
	if !r.arrived || d.ctx.Err() != nil || d.rq.callerGone() {
		return false
	}
	if !d.mayRepeat() {
		return false
	}
	reason := r.reason
	if r.answer != nil {
		reason = fmt.Sprintf("the server answered with status %d", r.answer.head.GetStatus())
	}
	if r.paidUntil.After(d.o.clock.Now()) {
		reason += ", the next attempt is paid for"
	}
	d.journalExtra(slatewind.DecisionRetry, r.server, reason)
	d.start(r.paidUntil)
	return true
}

// journalExtra counts and records an attempt after the first.
func (d *dispatch) journalExtra(kind slatewind.DecisionKind, server, reason string) {
	d.o.meter.Extra(d.rq.service, string(kind))
	d.journal(kind, server, reason)
}

// journal records a decision about the request.
func (d *dispatch) journal(kind slatewind.DecisionKind, server, reason string) {
	d.o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: kind, Service: d.rq.service, Server: server, Request: d.rq.id, Reason: reason,
		Evidence: fmt.Sprintf("route=%s kind=%s after=%s arrivals=%d tries=%d",
			d.rq.route.GetName(), d.rq.kind(), time.Since(d.rq.began).Round(time.Millisecond), d.arrivals, d.tries),
	})
}
