package ingress

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/policy"
)

// race is a repeatable request with its attempts; policy.Race decides.
type race struct {
	*policy.Race
	in      *Ingress
	rq      *request
	ctx     context.Context
	results chan attemptResult
	// serverError is a server's own error answer, kept in case nothing better
	// comes.
	serverError *attemptResult
	// cancels ends each attempt, by the name of its server.
	cancels map[string]context.CancelFunc
	last    attemptResult
}

// dispatchRepeatable runs a request that may be run again.
func (in *Ingress) dispatchRepeatable(ctx context.Context, rq *request) final {
	r := &race{
		Race: policy.NewRace(rq.deadline.Add(-cancelTime(rq))),
		in:   in, rq: rq, ctx: ctx,
		results: make(chan attemptResult, policy.MaxAttempts),
		cancels: map[string]context.CancelFunc{},
	}
	if !r.launch() {
		return final{outcome: slatewind.OutcomeNotRun, reason: "no server may get the request", retryAfter: defaultRetryAfter}
	}
	hedge := time.NewTimer(r.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case result := <-r.results:
			if f, done := r.take(result); done {
				return f
			}
		case <-hedge.C:
			r.extra(slatewind.DecisionHedge, "the request is overdue")
		}
	}
}

// hedgeAfter returns when the request is overdue; a class that is not yet known
// is not hedged.
func (r *race) hedgeAfter() time.Duration {
	r.rq.shard.mu.Lock()
	defer r.rq.shard.mu.Unlock()
	after := r.rq.shard.policy.OverdueAfter(outlier.Class(r.rq.route.GetName()))
	if after == 0 {
		return r.rq.route.GetTimeout().AsDuration()
	}
	return after
}

// launch starts an attempt at another server; it reports whether one was found.
func (r *race) launch() bool {
	sh := r.rq.shard
	sh.mu.Lock()
	i := sh.policy.Pick(time.Now(), slatewind.KindRepeatable, r.Tried)
	if i == policy.None {
		sh.mu.Unlock()
		return false
	}
	server := findServer(r.rq.service, sh.policy.Name(i))
	noted := r.rq.begin(i)
	sh.mu.Unlock()
	r.Launched(i)
	ctx, cancel := context.WithDeadline(r.ctx, r.rq.deadline.Add(-cancelTime(r.rq)))
	r.cancels[server.GetName()] = cancel
	go func() { r.results <- r.in.try(ctx, r.rq, server, nil, noted) }()
	return true
}

func findServer(service *slatewindv1.Service, name string) *slatewindv1.Server {
	for _, server := range service.GetServers() {
		if server.GetName() == name {
			return server
		}
	}
	// The request began under settings that the policy has left meanwhile.
	return &slatewindv1.Server{Name: name}
}

// extra starts a retry or a hedge if time, budget and servers allow it.
func (r *race) extra(kind slatewind.DecisionKind, why string) bool {
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

// take handles the result of one attempt; done says that f is final.
func (r *race) take(result attemptResult) (f final, done bool) {
	r.last = result
	failed := result.outcome == slatewind.OutcomeAnswer && result.reply.Head.GetStatus() >= slatewind.MinServerErrorStatus
	if failed {
		r.serverError = &result
	}
	step := r.Record(time.Now(), result.outcome, failed)
	if step == policy.RaceRetry {
		if r.extra(slatewind.DecisionRetry, why(result)) {
			return final{}, false
		}
		step = r.NoExtra()
	}
	switch step {
	case policy.RaceWon:
		return r.won(result), true
	case policy.RaceLost:
		return r.lost(result), true
	}
	return final{}, false
}

func why(result attemptResult) string {
	if result.outcome == slatewind.OutcomeAnswer {
		return "the server answered with an error"
	}
	return result.reason
}

// won ends the race with an answer. The winner's context lasts until the answer
// is passed on; the others end now and are cancelled in the background.
func (r *race) won(result attemptResult) final {
	winner := result.server.GetName()
	result.reply.done = r.cancels[winner]
	delete(r.cancels, winner)
	r.cancelAll()
	return final{outcome: slatewind.OutcomeAnswer, server: winner, reply: result.reply}
}

// lost ends the race without a good answer.
func (r *race) lost(result attemptResult) final {
	if r.serverError != nil {
		return r.won(*r.serverError)
	}
	r.cancelAll()
	return final{outcome: r.Outcome(), reason: result.reason, retryAfter: result.retryAfter, server: result.server.GetName()}
}

func (r *race) cancelAll() {
	for _, cancel := range r.cancels {
		cancel()
	}
}
