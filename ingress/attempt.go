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
	// cancelTimeoutDivisor is the part of a route's timeout (one in ten) reserved
	// for cancelling an attempt and learning whether it was started, so that the
	// answer still reaches the caller in time.
	cancelTimeoutDivisor = 10
	// maxCancelTimeout and minCancelTimeout bound that time.
	maxCancelTimeout = 250 * time.Millisecond
	minCancelTimeout = 20 * time.Millisecond
	// maxSends is how often an attempt is sent if the sidecar replies each time
	// that it has another incarnation.
	maxSends = 3
)

// attempt is one send of a request to one server.
type attempt struct {
	id     string
	server *slatewindv1.Server
	// incarnation is the sidecar incarnation to which the attempt is addressed.
	incarnation uint64
	once        *slatewindv1.Once
}

// attemptReply is a complete reply, or the beginning of a long one.
type attemptReply struct {
	*link.Reply
	// done cancels the context under which the reply is read.
	done context.CancelFunc
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	server  *slatewindv1.Server
	outcome slatewind.Outcome
	reason  string
	// ran is the result for a once-chain, which distinguishes more cases than
	// outcome.
	ran        once.Ran
	retryAfter time.Duration
	reply      *attemptReply
}

// cancelTimeout returns the part of a request's timeout that is reserved for cancelling
// an attempt.
func cancelTimeout(rq *request) time.Duration {
	share := rq.route.GetTimeout().AsDuration() / cancelTimeoutDivisor
	return min(max(share, minCancelTimeout), maxCancelTimeout)
}

// recordStart records in the policy that an attempt goes to the server at index
// i. The caller holds the shard's lock.
func (rq *request) recordStart(i int) *policy.Attempt {
	return rq.shard.policy.Started(time.Now(), i, outlier.Class(rq.route.GetName()))
}

// runAttempt sends one attempt to a server and returns its result, at the latest
// one cancelTimeout after ctx ends. tracked is the policy's record of the
// attempt, or nil.
func (in *Ingress) runAttempt(ctx context.Context, rq *request, server *slatewindv1.Server, o *slatewindv1.Once, tracked *policy.Attempt) attemptResult {
	if tracked != nil {
		defer func() {
			rq.shard.mu.Lock()
			defer rq.shard.mu.Unlock()
			rq.shard.policy.Ended(tracked)
		}()
	}
	address := in.members.Address(server.GetVm())
	if address == "" {
		return in.recordUnreachable(rq, server, "the address of VM "+server.GetVm()+" is not known yet")
	}
	for n := 1; ; n++ {
		result, resend := in.sendAttempt(ctx, rq, server, address, o)
		if !resend || n == maxSends {
			return result
		}
	}
}

// recordUnreachable reports to the policy that nothing could be sent to a server, and
// returns the result of the attempt.
func (in *Ingress) recordUnreachable(rq *request, server *slatewindv1.Server, reason string) attemptResult {
	rq.shard.mu.Lock()
	rq.shard.policy.ConnectFailed(time.Now(), server.GetName())
	in.unlockAndPublish(rq.shard)
	return attemptResult{server: server, outcome: slatewind.OutcomeNotRun, ran: once.RanNotWritten, reason: reason}
}

// sendAttempt sends one attempt under one incarnation. resend reports that it
// was not run because the sidecar has another incarnation; the reply has
// updated the known one.
func (in *Ingress) sendAttempt(ctx context.Context, rq *request, server *slatewindv1.Server, address string, o *slatewindv1.Once) (result attemptResult, resend bool) {
	a := &attempt{id: in.newID(), server: server, once: o}
	rq.shard.mu.Lock()
	a.incarnation = rq.shard.policy.Incarnation(server.GetName())
	rq.shard.mu.Unlock()
	reply, written, err := in.links.Run(ctx, address, in.runRequest(rq, a))
	if err != nil {
		if !written && ctx.Err() != nil {
			return attemptResult{server: server, outcome: slatewind.OutcomeNotRun, ran: once.RanNotWritten, reason: "the request timed out before anything was sent"}, false
		}
		if !written {
			return in.recordUnreachable(rq, server, "nothing could be sent to "+server.GetVm()+": "+err.Error()), false
		}
		return in.cancelAttempt(ctx, rq, a, address, err), false
	}
	in.members.Hint(address, config.VersionFromAPI(reply.Head.GetVersion()))
	if digest := reply.Digest; digest != nil {
		digest.Service, digest.Server = rq.service.GetName(), server.GetName()
		in.applyDigest(time.Now(), digest, true)
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

// ranOf returns the result of an attempt for a once-chain from the head of its reply.
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

func (in *Ingress) runRequest(rq *request, a *attempt) *slatewindv1.RunRequest {
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
		Target:         []byte(rq.target),
		Host:           rq.host,
		Headers:        rq.headers,
		Body:           rq.body,
		Once:           a.once,
		Version:        rq.snapshot.Version.ToAPI(),
	}
}

// cancelAttempt determines the result of an attempt without a usable reply. It
// asks the sidecar not to start the attempt; only the sidecar's confirmation
// proves that it was not started.
func (in *Ingress) cancelAttempt(ctx context.Context, rq *request, a *attempt, address string, cause error) attemptResult {
	if errors.Is(cause, link.ErrAttemptMismatch) || errors.Is(cause, link.ErrCorrupt) {
		in.meter.Dropped(rq.service.GetName(), cause.Error())
		in.journal.Add(slatewind.Decision{
			Time: time.Now(), Kind: slatewind.DecisionDropReply, Service: rq.service.GetName(),
			Server: a.server.GetName(), Request: rq.id, Reason: cause.Error(),
		})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout(rq))
	defer cancel()
	result := attemptResult{server: a.server, outcome: slatewind.OutcomeUnknown, ran: once.RanUnknown}
	reply, err := in.links.Cancel(ctx, address, &slatewindv1.CancelRequest{
		AttemptId: a.id, Incarnation: a.incarnation, Service: rq.service.GetName(), Server: a.server.GetName(), Once: a.once,
	})
	if err != nil {
		in.recordLostReply(rq, a)
		result.reason = fmt.Sprintf("no reply from the sidecar of %s, neither to the attempt nor to its cancellation", a.server.GetName())
		return result
	}
	if reply.GetDigest() != nil {
		in.applyDigest(time.Now(), reply.GetDigest(), true)
	}
	if reply.GetAttemptId() == a.id && slatewind.CancelState(reply.GetState()) == slatewind.CancelNotStarted {
		result.outcome = slatewind.OutcomeNotRun
		result.ran = once.RanCancelled
		result.reason = "cancelled before the start, confirmed by the sidecar"
		return result
	}
	result.reason = fmt.Sprintf("no answer from %s, which reports the attempt as %s: %v", a.server.GetName(), reply.GetState(), cause)
	return result
}

// recordLostReply records that a sidecar replied neither to an attempt nor to
// its cancellation.
func (in *Ingress) recordLostReply(rq *request, a *attempt) {
	now := time.Now()
	in.recent.RecordLostReply(now, rq.service.GetName(), a.server.GetName())
	rq.shard.mu.Lock()
	rq.shard.policy.ReplyLost(now, a.server.GetName())
	in.unlockAndPublish(rq.shard)
}
