package policy

import (
	"time"

	"slatewind.example/slatewind"
)

// MaxAttempts limits the attempts at one repeatable request.
const MaxAttempts = 3

// RaceStep is what an ingress does next with a repeatable request.
type RaceStep string

// Steps of a race.
const (
	// RaceWon means that the answer is forwarded to the caller.
	RaceWon RaceStep = "won"
	// RaceRetry means that another server is tried if the budget allows it; otherwise
	// NoExtra returns the next step.
	RaceRetry RaceStep = "retry"
	// RaceWait means that another attempt is pending and may still succeed.
	RaceWait RaceStep = "wait"
	// RaceLost means that no attempt is left. Outcome returns the outcome for the caller.
	RaceLost RaceStep = "lost"
)

// Race controls the attempts at one repeatable request: the first successful answer
// wins, and a failed attempt is retried at another server.
type Race struct {
	// Tried holds the indices of the servers that were tried.
	Tried []int
	// deadline is when the final answer is due.
	deadline time.Time
	// pending counts the attempts that have no result yet.
	pending int
	// unknown is set if an attempt may have run.
	unknown bool
}

// NewRace returns a race whose final answer is due at deadline.
func NewRace(deadline time.Time) *Race {
	return &Race{deadline: deadline}
}

// Launched records an attempt at server i.
func (r *Race) Launched(i int) {
	r.Tried = append(r.Tried, i)
	r.pending++
}

// MayLaunch reports whether the number of attempts and the time allow another attempt.
func (r *Race) MayLaunch(now time.Time) bool {
	return len(r.Tried) < MaxAttempts && now.Before(r.deadline)
}

// Record records the result of an attempt and returns the next step. failed is set if the
// answer is a server error.
func (r *Race) Record(now time.Time, outcome slatewind.Outcome, failed bool) RaceStep {
	r.pending--
	if outcome == slatewind.OutcomeAnswer && !failed {
		return RaceWon
	}
	if outcome != slatewind.OutcomeNotRun {
		r.unknown = true
	}
	if r.MayLaunch(now) {
		return RaceRetry
	}
	return r.NoExtra()
}

// NoExtra returns the next step if no further attempt is allowed.
func (r *Race) NoExtra() RaceStep {
	if r.pending > 0 {
		return RaceWait
	}
	return RaceLost
}

// Outcome returns the outcome that is reported to the caller of a lost race, unless a
// server returned an error answer.
func (r *Race) Outcome() slatewind.Outcome {
	if r.unknown {
		return slatewind.OutcomeUnknown
	}
	return slatewind.OutcomeNotRun
}
