package ingress

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/policy"
)

// race runs the attempts of a repeatable request; policy.Race decides when to
// start and end them.
type race struct {
	*policy.Race
	in      *Ingress
	rq      *request
	ctx     context.Context
	results chan attemptResult
	// serverError is a server's error answer, returned if no attempt succeeds.
	serverError *attemptResult
	// cancels holds the cancel function of each attempt, by server name.
	cancels map[string]context.CancelFunc
	last    attemptResult
}

// dispatchRepeatable runs a request that may be run more than once.
func (in *Ingress) dispatchRepeatable(ctx context.Context, rq *request) finalResult {
	r := &race{
		Race: policy.NewRace(rq.deadline.Add(-cancelTimeout(rq))),
		in:   in, rq: rq, ctx: ctx,
		results: make(chan attemptResult, policy.MaxAttempts),
		cancels: map[string]context.CancelFunc{},
	}
	if !r.launch() {
		return finalResult{outcome: slatewind.OutcomeNotRun, reason: "no server is available for the request", retryAfter: defaultRetryAfter}
	}
	hedge := time.NewTimer(r.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case result := <-r.results:
			if f, done := r.handleResult(result); done {
				return f
			}
		case <-hedge.C:
			r.launchExtra(slatewind.DecisionHedge, "the request takes longer than nearly all of its class")
		}
	}
}

// hedgeAfter returns the delay after which the request is hedged. A class
// without known latencies is not hedged: the delay is the route's timeout.
func (r *race) hedgeAfter() time.Duration {
	r.rq.shard.mu.Lock()
	defer r.rq.shard.mu.Unlock()
	after := r.rq.shard.policy.OverdueAfter(outlier.Class(r.rq.route.GetName()))
	if after == 0 {
		return r.rq.route.GetTimeout().AsDuration()
	}
	return after
}

// launch starts an attempt at a server that was not tried yet and reports
// whether one was found.
func (r *race) launch() bool {
	sh := r.rq.shard
	sh.mu.Lock()
	i := sh.policy.Pick(time.Now(), slatewind.KindRepeatable, r.Tried)
	if i == policy.None {
		sh.mu.Unlock()
		return false
	}
	server := findServer(r.rq.service, sh.policy.Name(i))
	tracked := r.rq.recordStart(i)
	sh.mu.Unlock()
	r.Launched(i)
	ctx, cancel := context.WithDeadline(r.ctx, r.rq.deadline.Add(-cancelTimeout(r.rq)))
	r.cancels[server.GetName()] = cancel
	go func() { r.results <- r.in.runAttempt(ctx, r.rq, server, nil, tracked) }()
	return true
}

func findServer(service *slatewindv1.Service, name string) *slatewindv1.Server {
	for _, server := range service.GetServers() {
		if server.GetName() == name {
			return server
		}
	}
	// The request holds older settings than the policy, without this server.
	return &slatewindv1.Server{Name: name}
}

// launchExtra starts a retry or a hedge if the remaining time, the retry budget
// and the available servers allow it.
func (r *race) launchExtra(kind slatewind.DecisionKind, why string) bool {
	if r.ctx.Err() != nil || !r.MayLaunch(time.Now()) {
		return false
	}
	r.rq.shard.mu.Lock()
	allowed := r.rq.shard.policy.TakeExtra()
	r.rq.shard.mu.Unlock()
	if !allowed || !r.launch() {
		return false
	}
	r.in.meter.Extra(r.rq.service.GetName(), string(kind))
	r.in.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: kind, Service: r.rq.service.GetName(), Server: r.last.server.GetName(),
		Request: r.rq.id, Reason: why,
	})
	return true
}

// handleResult handles the result of one attempt; done reports that f is the
// final result of the request.
func (r *race) handleResult(result attemptResult) (f finalResult, done bool) {
	r.last = result
	failed := result.outcome == slatewind.OutcomeAnswer && result.reply.Head.GetStatus() >= slatewind.MinServerErrorStatus
	if failed {
		r.serverError = &result
	}
	step := r.Record(time.Now(), result.outcome, failed)
	if step == policy.RaceRetry {
		if r.launchExtra(slatewind.DecisionRetry, retryReason(result)) {
			return finalResult{}, false
		}
		step = r.NoExtra()
	}
	switch step {
	case policy.RaceWon:
		return r.finishWithAnswer(result), true
	case policy.RaceLost:
		return r.finishWithoutAnswer(result), true
	}
	return finalResult{}, false
}

func retryReason(result attemptResult) string {
	if result.outcome == slatewind.OutcomeAnswer {
		return "the server answered with an error"
	}
	return result.reason
}

// finishWithAnswer ends the race with an answer. The context of the winning
// attempt lasts until the answer is forwarded; the other attempts end now and
// are cancelled at their sidecars in the background.
func (r *race) finishWithAnswer(result attemptResult) finalResult {
	winner := result.server.GetName()
	result.reply.done = r.cancels[winner]
	delete(r.cancels, winner)
	r.cancelAll()
	return finalResult{outcome: slatewind.OutcomeAnswer, server: winner, reply: result.reply}
}

// finishWithoutAnswer ends the race without a successful answer. It returns a
// server's error answer, if there is one.
func (r *race) finishWithoutAnswer(result attemptResult) finalResult {
	if r.serverError != nil {
		return r.finishWithAnswer(*r.serverError)
	}
	r.cancelAll()
	return finalResult{outcome: r.Outcome(), reason: result.reason, retryAfter: result.retryAfter, server: result.server.GetName()}
}

func (r *race) cancelAll() {
	for _, cancel := range r.cancels {
		cancel()
	}
}
