package ingress

import (
	"context"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/once"
	"slatewind.example/slatewind/policy"
)

// dispatchOnce runs a request that must run at most once. It continues if the
// caller disconnects, since the answer is kept for the caller's retry.
func (in *Ingress) dispatchOnce(ctx context.Context, rq *request) finalResult {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.deadline.Add(-cancelTimeout(rq)))
	candidates, home := in.candidates(rq)
	chain := once.NewChain(rq.claim, len(candidates))
	var last attemptResult
	for {
		step := chain.Step()
		if step.Kind != once.StepFinal && ctx.Err() != nil {
			chain.GiveUp("the request timed out: " + last.reason)
			continue
		}
		switch step.Kind {
		case once.StepRun:
			if step.Candidate > 0 && step.Claim == slatewind.ClaimFirst {
				in.recordHandOver(rq, candidates[step.Candidate], step.Reason)
			}
			server := candidates[step.Candidate]
			last = in.tryCandidate(ctx, rq, server, in.onceMessage(rq, step.Claim, server == home))
			chain.Ran(last.ran, last.reason)
		case once.StepSeal:
			began := time.Now()
			replies := in.sealAll(ctx, rq, candidates)
			chain.Sealed(replies, time.Since(began))
		default:
			return onceFinal(step, last, cancel)
		}
	}
}

// onceFinal returns the final result of a once-request. The context of an answer
// lasts until the answer is forwarded.
func onceFinal(step once.Step, last attemptResult, cancel context.CancelFunc) finalResult {
	if step.Outcome == slatewind.OutcomeAnswer {
		last.reply.done = cancel
	} else {
		cancel()
	}
	return finalResult{
		outcome:    step.Outcome,
		reason:     step.Reason,
		retryAfter: last.retryAfter,
		server:     last.server.GetName(),
		reply:      last.reply,
	}
}

// candidates orders the servers of the service for the request's key; home is
// the first of all servers. A first attempt skips servers that are out of
// service: nothing is sent to them, which also proves that they do not run it.
func (in *Ingress) candidates(rq *request) (candidates []*slatewindv1.Server, home *slatewindv1.Server) {
	servers := rq.service.GetServers()
	names := make([]string, len(servers))
	for i, server := range servers {
		names[i] = server.GetName()
	}
	order := make([]int, len(servers))
	once.Candidates(rq.key, names, order)
	home = servers[order[0]]
	var available []*slatewindv1.Server
	for _, k := range order {
		candidates = append(candidates, servers[k])
		if in.serving(rq, servers[k]) {
			available = append(available, servers[k])
		}
	}
	if rq.claim == slatewind.ClaimFirst && len(available) > 0 {
		return available, home
	}
	return candidates, home
}

// serving reports whether a server may get a request that must not be repeated.
func (in *Ingress) serving(rq *request, server *slatewindv1.Server) bool {
	rq.shard.mu.Lock()
	defer rq.shard.mu.Unlock()
	return rq.shard.policy.Serving(time.Now(), server.GetName())
}

func (in *Ingress) onceMessage(rq *request, claim slatewind.Claim, home bool) *slatewindv1.Once {
	return &slatewindv1.Once{
		Key:              rq.key,
		Fingerprint:      once.Fingerprint(rq.method, rq.target, rq.body),
		Claim:            string(claim),
		KeyBornUnixNanos: rq.keyBorn.UnixNano(),
		Owners:           rq.snapshot.Owners[rq.service.GetName()],
		Home:             home,
	}
}

func (in *Ingress) tryCandidate(ctx context.Context, rq *request, server *slatewindv1.Server, o *slatewindv1.Once) attemptResult {
	var tracked *policy.Attempt
	rq.shard.mu.Lock()
	if i := rq.shard.policy.Index(server.GetName()); i >= 0 {
		tracked = rq.recordStart(i)
	}
	rq.shard.mu.Unlock()
	return in.runAttempt(ctx, rq, server, o, tracked)
}

func (in *Ingress) recordHandOver(rq *request, to *slatewindv1.Server, reason string) {
	in.meter.Extra(rq.service.GetName(), string(slatewind.DecisionHandOver))
	in.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionHandOver, Service: rq.service.GetName(), Server: to.GetName(),
		Request: rq.id, Reason: "the previous candidate did not run the request: " + reason,
	})
}

// sealAll seals the key at all candidates concurrently and returns their records
// of it, in the order of the candidates.
func (in *Ingress) sealAll(ctx context.Context, rq *request, candidates []*slatewindv1.Server) []once.SealReply {
	replies := make([]once.SealReply, len(candidates))
	var group sync.WaitGroup
	for i, server := range candidates {
		group.Go(func() {
			replies[i] = in.seal(ctx, rq, server, i == 0)
		})
	}
	group.Wait()
	return replies
}

func (in *Ingress) seal(ctx context.Context, rq *request, server *slatewindv1.Server, home bool) once.SealReply {
	address := in.members.Address(server.GetVm())
	if address == "" {
		return once.SealReply{Unreachable: true}
	}
	reply, err := in.links.Seal(ctx, address, &slatewindv1.SealRequest{
		Service: rq.service.GetName(),
		Server:  server.GetName(),
		Once:    in.onceMessage(rq, slatewind.ClaimRetry, home),
	})
	if err != nil {
		return once.SealReply{Unreachable: true}
	}
	return once.SealReply{
		State:        slatewind.RecordState(reply.GetState()),
		RevokedAge:   time.Duration(reply.GetRevokedAgeNanos()),
		CoverAge:     time.Duration(reply.GetCoverAgeNanos()),
		OwnersDiffer: reply.GetOwnersDiffer(),
	}
}
