package policy

import (
	"time"

	"slatewind.example/slatewind"
)

// MaxAttempts bounds the attempts at one repeatable request.
const MaxAttempts = 3

// RaceStep is what an ingress does next with a repeatable request.
type RaceStep string

// Steps of a race.
const (
	// RaceWon: this answer goes to the caller.
	RaceWon RaceStep = "won"
	// RaceRetry: try another server if the budget allows, else call NoExtra.
	RaceRetry RaceStep = "retry"
	// RaceWait: another attempt may still bring an answer.
	RaceWait RaceStep = "wait"
	// RaceLost: no attempt is left; Outcome says what the caller is told.
	RaceLost RaceStep = "lost"
)

// Race decides about the attempts at one repeatable request: the first good
// answer wins, and a failed attempt is tried again elsewhere.
type Race struct {
	// Tried holds the servers that were tried, by index.
	Tried []int
	// giveUp is when the final answer is due.
	giveUp  time.Time
	pending int
	unknown bool
}

// NewRace returns a race whose final answer is due at a time.
func NewRace(giveUp time.Time) *Race {
	return &Race{giveUp: giveUp}
}

// Launched notes an attempt at a server.
func (r *Race) Launched(i int) {
	r.Tried = append(r.Tried, i)
	r.pending++
}

// MayLaunch reports whether another attempt makes sense at now.
func (r *Race) MayLaunch(now time.Time) bool {
	return len(r.Tried) < MaxAttempts && now.Before(r.giveUp)
}

// Take notes the result of an attempt. failed says that an answer is an error
// of the server.
func (r *Race) Take(now time.Time, outcome slatewind.Outcome, failed bool) RaceStep {
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

// NoExtra returns the step where no further attempt is allowed.
func (r *Race) NoExtra() RaceStep {
	if r.pending > 0 {
		return RaceWait
	}
	return RaceLost
}

// Outcome is what the caller of a lost race is told, unless a server gave an
// error answer of its own.
func (r *Race) Outcome() slatewind.Outcome {
	if r.unknown {
		return slatewind.OutcomeUnknown
	}
	return slatewind.OutcomeNotRun
}
