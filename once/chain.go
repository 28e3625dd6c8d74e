package once

import (
	"time"

	"slatewind.example/slatewind"
)

// StepKind is the kind of the next step of an ingress for a once-request.
type StepKind string

// Steps of a chain.
const (
	// StepRun: send the attempt to Candidate with Claim, then call Ran.
	StepRun StepKind = "run"
	// StepSeal: seal the key at every candidate, then call Sealed.
	StepSeal StepKind = "seal"
	// StepFinal: Outcome is the final outcome; for OutcomeAnswer, the answer is
	// that of the last run.
	StepFinal StepKind = "final"
)

// Step is the next step of a chain.
type Step struct {
	Kind      StepKind
	Candidate int
	Claim     slatewind.Claim
	Outcome   slatewind.Outcome
	Reason    string
}

// Ran is the result of an attempt at one candidate.
type Ran string

// Results of an attempt.
const (
	// RanAnswer: the candidate returned the server's complete answer.
	RanAnswer Ran = "answer"
	// RanNotWritten: nothing was ever sent to the candidate.
	RanNotWritten Ran = "not-written"
	// RanRefused: the candidate did not and will not run the attempt, and its
	// records exclude every earlier run.
	RanRefused Ran = "refused"
	// RanCancelled: the candidate did not and will not run the attempt; earlier
	// attempts may have run.
	RanCancelled Ran = "cancelled"
	// RanMismatch: the key belongs to another request.
	RanMismatch Ran = "mismatch"
	// RanUnknown: anything else.
	RanUnknown Ran = "unknown"
)

// Chain decides at the ingress which candidate receives a once-request and when
// the request may be handed over to the next one. The caller executes the steps
// returned by Step and reports their results.
type Chain struct {
	claim      slatewind.Claim
	candidates int
	next       Step
	// joining reports that the attempt was sent to join a known run, so that only
	// its answer counts.
	joining bool
}

// NewChain returns the chain of a request with the given number of candidates.
func NewChain(claim slatewind.Claim, candidates int) *Chain {
	c := &Chain{claim: claim, candidates: candidates}
	c.next = Step{Kind: StepRun, Claim: claim}
	if claim == slatewind.ClaimRetry {
		c.next = Step{Kind: StepSeal}
	}
	return c
}

// Step returns the next step.
func (c *Chain) Step() Step {
	return c.next
}

// Ran processes the result of a StepRun.
func (c *Chain) Ran(result Ran, reason string) {
	switch result {
	case RanAnswer:
		c.finish(slatewind.OutcomeAnswer, reason)
	case RanMismatch:
		c.finish(slatewind.OutcomeMismatch, reason)
	case RanUnknown:
		c.finish(slatewind.OutcomeUnknown, reason)
	default:
		c.notRun(result, reason)
	}
}

// notRun continues after a proof that the candidate did not run the attempt.
func (c *Chain) notRun(result Ran, reason string) {
	switch c.claim {
	case slatewind.ClaimFirst:
		c.handOver(reason)
	case slatewind.ClaimRetry:
		if c.joining {
			c.finish(slatewind.OutcomeUnknown, reason)
			return
		}
		c.finish(slatewind.OutcomeNotRun, reason)
	default:
		// Only a refusal by the home itself proves that no earlier attempt ran.
		if result == RanRefused {
			c.finish(slatewind.OutcomeNotRun, reason)
			return
		}
		c.finish(slatewind.OutcomeUnknown, reason+"; without Slatewind-Attempt an earlier attempt cannot be excluded")
	}
}

// handOver continues with the next candidate, or ends the chain as not run after the
// last one.
func (c *Chain) handOver(reason string) {
	if c.next.Candidate+1 == c.candidates {
		c.finish(slatewind.OutcomeNotRun, reason)
		return
	}
	c.next.Candidate++
	c.next.Reason = reason
}

// Sealed processes the replies of a StepSeal, in the order of the candidates. took
// is the time from the first request to the last reply.
func (c *Chain) Sealed(replies []SealReply, took time.Duration) {
	resolution := Resolve(replies, took)
	switch resolution.Action {
	case ActionJoin:
		c.joining = true
		c.next = Step{Kind: StepRun, Candidate: resolution.At, Claim: slatewind.ClaimJoin, Reason: resolution.Reason}
	case ActionRun:
		c.next = Step{Kind: StepRun, Claim: c.claim, Reason: resolution.Reason}
	default:
		c.finish(slatewind.OutcomeUnknown, resolution.Reason)
	}
}

// GiveUp ends the chain between two steps after a timeout. No attempt is in
// transit then, so a first attempt provably did not run.
func (c *Chain) GiveUp(reason string) {
	if c.claim == slatewind.ClaimFirst {
		c.finish(slatewind.OutcomeNotRun, reason)
		return
	}
	c.finish(slatewind.OutcomeUnknown, reason)
}

func (c *Chain) finish(outcome slatewind.Outcome, reason string) {
	c.next = Step{Kind: StepFinal, Outcome: outcome, Reason: reason}
}
