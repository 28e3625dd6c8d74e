package outbound

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
)

const (
	// answerSlack is how long after a request's time a server's own answer may
	// still come.
	answerSlack = 150 * time.Millisecond
	// defaultAttempts is the number of attempts where a route states none, the
	// first included.
	defaultAttempts = 2
	// hedgeShare is the share of its objective, and hedgeFactor the multiple of its
	// route's mean, after which a repeatable request that a server has and does not
	// answer is sent to a second one as well. While it waits for its slot it is
	// not: a second place in the queues would only add to the load.
	hedgeShare  = 0.75
	hedgeFactor = 2.5
	// hedgeAgainShare is the share of its objective after which a second server
	// is looked for again where none could take the request.
	hedgeAgainShare = 0.25
)

// result is what became of one attempt.
type result struct {
	final
	// arrived says that a server has seen the request.
	arrived bool
}

// dispatch decides about a request until its final answer.
func (o *Outbound) dispatch(ctx context.Context, rq *request) final {
	rq.left = ctx.Done()
	if !rq.repeatable() {
		// Its caller may leave; what a server has seen goes on, since breaking it
		// off does not undo it. A search for a slot ends by rq.left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := rq.context(ctx)
	defer context.AfterFunc(o.ended, cancel)()
	d := &dispatch{o: o, rq: rq, ctx: ctx, results: make(chan result, maxTries), sent: make(chan string, maxTries), tried: map[string]bool{}}
	f := d.run()
	if f.answer == nil {
		cancel()
		return f
	}
	closeAnswer := f.answer.close
	f.answer.close = func() { closeAnswer(); cancel() }
	return f
}

// maxTries bounds the attempts at one request, refused ones included.
const maxTries = 8

// dispatch is the state of one request's attempts.
type dispatch struct {
	o       *Outbound
	rq      *request
	ctx     context.Context
	results chan result
	// sent brings the name of each server that the request is sent to.
	sent  chan string
	tried map[string]bool
	// active counts attempts without a result, tries all attempts, arrivals
	// those that a server has seen.
	active, tries, arrivals int
	// mayHaveRun says that some attempt is not proved not to have run.
	mayHaveRun bool
	// best is a server's own error answer, kept in case nothing better comes.
	best *final
}

// run starts the first attempt, and others after failures or a long wait, until
// one result is final.
func (d *dispatch) run() final {
	d.start()
	hedge := time.NewTimer(d.rq.remaining(time.Now()))
	defer hedge.Stop()
	for {
		select {
		case r := <-d.results:
			d.active--
			if f, done := d.take(r); done {
				return f
			}
		case server := <-d.sent:
			d.tried[server] = true
			hedge.Reset(d.rq.hedgeAfter())
		case <-hedge.C:
			d.hedge()
			hedge.Reset(time.Duration(hedgeAgainShare * float64(d.rq.objective())))
		case <-d.ctx.Done():
			return d.ended()
		}
	}
}

// hedgeAfter returns how long a request that was just sent waits for its answer
// before it is sent to a second server.
func (rq *request) hedgeAfter() time.Duration {
	left := time.Duration(hedgeShare*float64(rq.objective())) - time.Since(rq.began)
	return max(left, time.Duration(hedgeFactor*float64(rq.shard.meanOf(rq.route.GetName()))))
}

// hedge sends a repeatable request that has no answer yet to a second server.
func (d *dispatch) hedge() {
	if d.rq.repeatable() && d.active == 1 && d.mayRepeat() {
		d.note(slatewind.DecisionHedge, "", "no answer after most of its objective")
		d.start()
	}
}

// ended is the outcome of a request whose time is over or whose caller left.
// The attempts end with it, so that their results come at once.
func (d *dispatch) ended() final {
	for ; d.active > 0; d.active-- {
		r := <-d.results
		if r.answer != nil {
			return r.final
		}
		d.learn(r)
	}
	if d.best != nil {
		d.noteError(result{final: final{reason: "its time was over or its caller left"}})
		return *d.best
	}
	f := final{outcome: slatewind.OutcomeNotRun, reason: "no answer in the request's time", timedOut: true}
	switch {
	case d.o.ended.Err() != nil:
		f.reason, f.timedOut = "the process stops", false
	case errors.Is(d.ctx.Err(), context.Canceled):
		f.reason = "the caller left"
	}
	if d.mayHaveRun {
		f.outcome = slatewind.OutcomeUnknown
	}
	return f
}

// learn notes whether a server has seen the request and may have run it.
func (d *dispatch) learn(r result) {
	if !r.arrived {
		return
	}
	d.arrivals++
	d.tried[r.server] = true
	d.mayHaveRun = d.mayHaveRun || r.outcome != slatewind.OutcomeNotRun
}

// start begins an attempt.
func (d *dispatch) start() {
	d.active++
	d.tries++
	to := aim{
		tried: maps.Clone(d.tried), ask: d.ask(), extra: d.tries > 1, again: d.arrivals > 0,
		sent: func(server string) { d.sent <- server },
	}
	go func() { d.results <- d.o.attempt(d.ctx, d.rq, to) }()
}

// ask says whether the attempt that begins may be a trial of a server that looks sick: it
// must be the first, and another attempt must be left after it.
func (d *dispatch) ask() breaker.Ask {
	return breaker.Ask{
		Careful: !d.rq.repeatable() || d.tries > 1 || d.rq.attempts() < 2,
		Scarce:  d.rq.shard.deniedWithin(time.Now(), denyMemory),
	}
}

// Causes for which an extra attempt is not made.
const (
	deniedAttempts = "attempts"
	deniedTime     = "time"
	deniedBound    = "bound"
)

// mayRepeat reports whether the request may be sent to one more server, if that
// one's process has an extra arrival left.
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

// take handles the result of one attempt; done says that f is final.
func (d *dispatch) take(r result) (f final, done bool) {
	d.learn(r)
	failed := r.answer != nil && r.answer.head.GetStatus() >= slatewind.MinServerErrorStatus
	switch {
	case r.answer != nil && !failed:
		return r.final, true
	case failed:
		d.best = &r.final
	case d.o.quarantined(time.Now(), d.rq):
		return d.quarantine(r), true
	}
	if d.rq.repeatable() || r.outcome == slatewind.OutcomeNotRun {
		if d.again(r) {
			return final{}, false
		}
	}
	if d.active > 0 {
		return final{}, false
	}
	if d.best != nil {
		d.noteError(r)
		return *d.best, true
	}
	if d.mayHaveRun {
		// A refused second attempt proves nothing of the first.
		r.outcome = slatewind.OutcomeUnknown
	}
	return r.final, true
}

// noteError writes down that the caller gets a server's own error answer, and what came of the
// last attempt, so that no failed request is without a line.
func (d *dispatch) noteError(last result) {
	reason := fmt.Sprintf("the server answered with status %d", d.best.status())
	if last.answer == nil {
		reason += "; the last attempt: " + last.reason
	}
	d.journal(slatewind.DecisionServerError, d.best.server, reason)
}

// again starts another attempt after a failed one, if that is allowed. A refused
// reservation was the end of a long search; only what was sent is tried again.
func (d *dispatch) again(r result) bool {
	if !r.arrived || d.ctx.Err() != nil || d.rq.abandoned() {
		return false
	}
	if !d.mayRepeat() {
		return false
	}
	reason := r.reason
	if r.answer != nil {
		reason = fmt.Sprintf("the server answered with status %d", r.answer.head.GetStatus())
	}
	d.note(slatewind.DecisionRetry, r.server, reason)
	d.start()
	return true
}

// note counts and writes down an attempt beyond the first.
func (d *dispatch) note(kind slatewind.DecisionKind, server, reason string) {
	d.o.meter.Extra(d.rq.service, string(kind))
	d.journal(kind, server, reason)
}

// journal writes down a decision about the request.
func (d *dispatch) journal(kind slatewind.DecisionKind, server, reason string) {
	d.o.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: kind, Service: d.rq.service, Server: server, Request: d.rq.id, Reason: reason,
		Evidence: fmt.Sprintf("route=%s kind=%s after=%s arrivals=%d tries=%d",
			d.rq.route.GetName(), d.rq.kind(), time.Since(d.rq.began).Round(time.Millisecond), d.arrivals, d.tries),
	})
}
