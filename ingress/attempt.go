package ingress

import (
	"context"
	"errors"
	"fmt"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/once"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/policy"
)

const (
	// cancelShare is the share of a route's timeout that is kept for asking
	// whether an attempt was started, so that the answer still comes in time.
	cancelShare = 10
	// maxCancelTime and minCancelTime bound that time.
	maxCancelTime = 250 * time.Millisecond
	minCancelTime = 20 * time.Millisecond
	// addressings is how often an attempt is addressed anew after a sidecar
	// said that its incarnation is another.
	addressings = 3
)

// attempt is one try at one server.
type attempt struct {
	id     string
	server *slatewindv1.Server
	// incarnation is the one that it was addressed to.
	incarnation uint64
	once        *slatewindv1.Once
}

// attemptReply is a whole reply, or the beginning of a long one.
type attemptReply struct {
	*link.Reply
	// done ends the context under which the reply is read.
	done context.CancelFunc
}

// attemptResult is what became of an attempt.
type attemptResult struct {
	server  *slatewindv1.Server
	outcome slatewind.Outcome
	reason  string
	// ran tells once-chains more than the outcome does.
	ran        once.Ran
	retryAfter time.Duration
	reply      *attemptReply
}

func cancelTime(rq *request) time.Duration {
	share := rq.route.GetTimeout().AsDuration() / cancelShare
	return min(max(share, minCancelTime), maxCancelTime)
}

// begin notes in the policy that an attempt goes to the server with an index.
// The shard's lock is held.
func (rq *request) begin(i int) *policy.Attempt {
	return rq.shard.policy.Started(time.Now(), i, outlier.Class(rq.route.GetName()))
}

// try sends one attempt to a server and returns what became of it, at the
// latest a cancelTime after ctx ends. noted is the policy's note of it, if any.
func (in *Ingress) try(ctx context.Context, rq *request, server *slatewindv1.Server, o *slatewindv1.Once, noted *policy.Attempt) attemptResult {
	if noted != nil {
		defer func() {
			rq.shard.mu.Lock()
			defer rq.shard.mu.Unlock()
			rq.shard.policy.Ended(noted)
		}()
	}
	address := in.members.Address(server.GetVm())
	if address == "" {
		return in.unreached(rq, server, "the VM "+server.GetVm()+" is not known yet")
	}
	for n := 1; ; n++ {
		result, again := in.tryOnce(ctx, rq, server, address, o)
		if !again || n == addressings {
			return result
		}
	}
}

func (in *Ingress) unreached(rq *request, server *slatewindv1.Server, reason string) attemptResult {
	rq.shard.mu.Lock()
	rq.shard.policy.ConnectFailed(time.Now(), server.GetName())
	in.unlock(rq.shard)
	return attemptResult{server: server, outcome: slatewind.OutcomeNotRun, ran: once.RanNotWritten, reason: reason}
}

// tryOnce sends one attempt under one incarnation. again says that it was not
// run because the sidecar's incarnation is another, which is known now.
func (in *Ingress) tryOnce(ctx context.Context, rq *request, server *slatewindv1.Server, address string, o *slatewindv1.Once) (result attemptResult, again bool) {
	a := &attempt{id: in.newID(), server: server, once: o}
	rq.shard.mu.Lock()
	a.incarnation = rq.shard.policy.Incarnation(server.GetName())
	rq.shard.mu.Unlock()
	reply, written, err := in.links.Run(ctx, address, in.message(rq, a))
	if err != nil {
		if !written && ctx.Err() != nil {
			return attemptResult{server: server, outcome: slatewind.OutcomeNotRun, ran: once.RanNotWritten, reason: "its time was over before anything was sent"}, false
		}
		if !written {
			return in.unreached(rq, server, "nothing could be sent to "+server.GetVm()+": "+err.Error()), false
		}
		return in.settle(ctx, rq, a, address, err), false
	}
	in.members.Hint(address, config.VersionFromAPI(reply.Head.GetVersion()))
	if digest := reply.Digest; digest != nil {
		digest.Service, digest.Server = rq.service.GetName(), server.GetName()
		in.heard(time.Now(), digest, true)
	}
	result = attemptResult{
		server:     server,
		outcome:    slatewind.Outcome(reply.Head.GetOutcome()),
		reason:     reply.Head.GetReason(),
		retryAfter: time.Duration(reply.Head.GetRetryAfterNanos()),
		reply:      &attemptReply{Reply: reply},
	}
	result.ran = ranOf(reply.Head)
	stale := result.outcome == slatewind.OutcomeNotRun && reply.Head.GetIncarnation() != 0 && reply.Head.GetIncarnation() != a.incarnation
	return result, stale
}

func ranOf(head *slatewindv1.RunHead) once.Ran {
	switch slatewind.Outcome(head.GetOutcome()) {
	case slatewind.OutcomeAnswer:
		return once.RanAnswer
	case slatewind.OutcomeNotRun:
		if !head.GetEarlierExcluded() {
			return once.RanCancelled
		}
		return once.RanRefused
	case slatewind.OutcomeMismatch:
		return once.RanMismatch
	}
	return once.RanUnknown
}

func (in *Ingress) message(rq *request, a *attempt) *slatewindv1.RunRequest {
	return &slatewindv1.RunRequest{
		AttemptId:      a.id,
		Incarnation:    a.incarnation,
		RemainingNanos: int64(time.Until(rq.deadline)),
		Service:        rq.service.GetName(),
		Server:         a.server.GetName(),
		Route:          rq.route.GetName(),
		Priority:       rq.route.GetPriority(),
		Customer:       rq.customer,
		Method:         rq.method,
		Target:         rq.target,
		Host:           rq.host,
		Headers:        rq.headers,
		Body:           rq.body,
		Once:           a.once,
		Version:        rq.snapshot.Version.ToAPI(),
	}
}

// settle finds out what became of an attempt whose reply did not come: the
// sidecar is asked not to start it, and only its word that it did not is proof.
func (in *Ingress) settle(ctx context.Context, rq *request, a *attempt, address string, cause error) attemptResult {
	if errors.Is(cause, link.ErrCrossed) || errors.Is(cause, link.ErrBroken) {
		in.meter.Dropped(rq.service.GetName(), cause.Error())
		in.journal.Add(slatewind.Decision{
			Time: time.Now(), Kind: slatewind.DecisionDropReply, Service: rq.service.GetName(),
			Server: a.server.GetName(), Request: rq.id, Reason: cause.Error(),
		})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTime(rq))
	defer cancel()
	result := attemptResult{server: a.server, outcome: slatewind.OutcomeUnknown, ran: once.RanUnknown}
	reply, err := in.links.Cancel(ctx, address, &slatewindv1.CancelRequest{
		AttemptId: a.id, Incarnation: a.incarnation, Service: rq.service.GetName(), Server: a.server.GetName(), Once: a.once,
	})
	if err != nil {
		in.lost(rq, a)
		result.reason = fmt.Sprintf("no reply from the sidecar of %s, and none to the question whether it was started", a.server.GetName())
		return result
	}
	if reply.GetDigest() != nil {
		in.heard(time.Now(), reply.GetDigest(), true)
	}
	if reply.GetAttemptId() == a.id && slatewind.CancelState(reply.GetState()) == slatewind.CancelNotStarted {
		result.outcome = slatewind.OutcomeNotRun
		result.ran = once.RanCancelled
		result.reason = "cancelled before the start, as the sidecar confirmed"
		return result
	}
	result.reason = fmt.Sprintf("%s has it (%s) and gave no answer: %v", a.server.GetName(), reply.GetState(), cause)
	return result
}

// lost notes that nothing at all came back from a sidecar.
func (in *Ingress) lost(rq *request, a *attempt) {
	now := time.Now()
	in.recent.Lost(now, rq.service.GetName(), a.server.GetName())
	rq.shard.mu.Lock()
	rq.shard.policy.ReplyLost(now, a.server.GetName())
	in.unlock(rq.shard)
}
