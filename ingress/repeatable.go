package ingress

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/outlier"
)

// maxAttempts bounds the attempts at one repeatable request.
const maxAttempts = 3

// race is a repeatable request with its attempts.
type race struct {
	in      *Ingress
	rq      *request
	ctx     context.Context
	results chan attemptResult
	tried   []int
	pending int
	// serverError is a server's own error answer, kept in case nothing better
	// comes.
	serverError *attemptResult
	// cancels ends each attempt, by the name of its server.
	cancels map[string]context.CancelFunc
	// unknown says that some attempt may have run.
	unknown bool
	last    attemptResult
}

// dispatchRepeatable runs a request that may be run again: the first whole
// answer wins, and a refusal or an error is tried again elsewhere while the
// budget of extra attempts allows it.
func (in *Ingress) dispatchRepeatable(ctx context.Context, rq *request) final {
	r := &race{
		in: in, rq: rq, ctx: ctx,
		results: make(chan attemptResult, maxAttempts),
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
			r.pending--
			if f, done := r.take(result); done {
				return f
			}
		case <-hedge.C:
			r.extra(slatewind.DecisionHedge, "overdue")
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
	i := sh.policy.Pick(time.Now(), slatewind.KindRepeatable, r.tried)
	var server *slatewindv1.Server
	if i >= 0 {
		sh.policy.Started(i)
		server = findServer(r.rq.service, sh.policy.Name(i))
	}
	sh.mu.Unlock()
	if server == nil {
		return false
	}
	r.tried = append(r.tried, i)
	r.pending++
	ctx, cancel := context.WithDeadline(r.ctx, r.rq.deadline.Add(-cancelTime(r.rq)))
	r.cancels[server.GetName()] = cancel
	go func() {
		result := r.in.try(ctx, r.rq, server, nil)
		sh.mu.Lock()
		sh.policy.Ended(server.GetName())
		sh.mu.Unlock()
		r.results <- result
	}()
	return true
}

func findServer(service *slatewindv1.Service, name string) *slatewindv1.Server {
	for _, server := range service.GetServers() {
		if server.GetName() == name {
			return server
		}
	}
	return nil
}

// extra starts a retry or a hedge if time, budget and servers allow it.
func (r *race) extra(kind slatewind.DecisionKind, why string) bool {
	late := time.Until(r.rq.deadline) <= cancelTime(r.rq)
	if late || r.ctx.Err() != nil || len(r.tried) >= maxAttempts {
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
	if result.outcome == slatewind.OutcomeAnswer {
		status := result.reply.Head.GetStatus()
		if status < firstServerError {
			return r.won(result), true
		}
		r.serverError = &result
		r.unknown = true
	}
	if result.outcome == slatewind.OutcomeUnknown {
		r.unknown = true
	}
	if r.extra(slatewind.DecisionRetry, r.why(result)) || r.pending > 0 {
		return final{}, false
	}
	return r.lost(result), true
}

// firstServerError is the first status that counts as an error of the server.
const firstServerError = 500

func (r *race) why(result attemptResult) string {
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
	return final{outcome: slatewind.OutcomeAnswer, server: result.server.GetName(), reply: result.reply}
}

// lost ends the race without a good answer.
func (r *race) lost(result attemptResult) final {
	if r.serverError != nil {
		return r.won(*r.serverError)
	}
	r.cancelAll()
	outcome := slatewind.OutcomeNotRun
	if r.unknown {
		outcome = slatewind.OutcomeUnknown
	}
	return final{outcome: outcome, reason: result.reason, retryAfter: result.retryAfter, server: result.server.GetName()}
}

func (r *race) cancelAll() {
	for _, cancel := range r.cancels {
		cancel()
	}
}
