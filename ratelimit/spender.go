package ratelimit

import (
	"fmt"
	"math"
	"time"

	"slatewind.example/slatewind"
)

// Step is what a process does next about a request.
type Step string

// Steps.
const (
	// StepAllow: a token was spent on the request.
	StepAllow Step = "allow"
	// StepAsk: the home has to be asked for a token.
	StepAsk Step = "ask"
	// StepRefuse: there is no token for the request.
	StepRefuse Step = "refuse"
)

// Spender decides at one process about the requests of one workspace. It is not safe for use
// by several goroutines.
type Spender struct {
	limit slatewind.WorkspaceLimit
	// held tokens may be spent until expires.
	held    int
	expires time.Time
	// refused is until when requests are refused without asking, turn when a refused caller
	// is to come back.
	refused, turn time.Time
	// level is how many tokens were left when the home last answered, at heard.
	level float64
	heard time.Time
	// by is in which role it answered.
	by Role
	// used is the decayed count of the tokens spent, as of usedAt.
	used   float64
	usedAt time.Time
	// alone is what may be spent while nobody gives, nil while somebody does.
	alone *Bucket
}

// Begin decides about a request, as far as that needs nobody else.
func (s *Spender) Begin(now time.Time, limit slatewind.WorkspaceLimit) Step {
	s.note(limit)
	switch {
	case now.Before(s.refused):
		return StepRefuse
	case s.held > 0 && now.Before(s.expires):
		s.held--
		s.spend(now)
		return StepAllow
	}
	return StepAsk
}

// note takes the newest limit. A lower one binds at once: what is held was given by the old
// one.
func (s *Spender) note(limit slatewind.WorkspaceLimit) {
	if limit.Version <= s.limit.Version {
		return
	}
	if limit.Rate != s.limit.Rate || limit.Burst != s.limit.Burst {
		*s = Spender{used: s.used, usedAt: s.usedAt}
	}
	s.limit = limit
}

// Want returns how many tokens to ask for: one for the request that waits, and what is likely
// to be spent before those that are held go stale.
func (s *Spender) Want(now time.Time) int {
	ahead := s.Rate(now) * holdTime.Seconds()
	return 1 + int(min(ahead, mostAhead))
}

// Rate returns how many tokens were spent lately, a second.
func (s *Spender) Rate(now time.Time) float64 {
	passed := max(now.Sub(s.usedAt), 0)
	return s.used * math.Exp(-float64(passed)/float64(useTime)) / useTime.Seconds()
}

// spend counts a token that is spent.
func (s *Spender) spend(now time.Time) {
	s.used = s.Rate(now)*useTime.Seconds() + 1
	s.usedAt = now
}

// Answered decides about a request for which tokens were asked.
func (s *Spender) Answered(now time.Time, a Answer) Step {
	s.alone = nil
	s.level, s.heard, s.by = a.Level, now, a.Role
	if a.Tokens == 0 {
		s.refused = now.Add(min(a.Next, refusedTime))
		s.turn = now.Add(a.Turn)
		return StepRefuse
	}
	if now.After(s.expires) {
		s.held = 0
	}
	s.held += a.Tokens - 1
	s.expires = now.Add(holdTime)
	s.spend(now)
	return StepAllow
}

// Unanswered decides about a request for which nobody answered.
func (s *Spender) Unanswered(now time.Time) Step {
	if s.alone == nil {
		rate := aloneShare * s.Rate(now)
		s.alone = &Bucket{rate: rate, burst: max(rate, leastBurst), at: now}
	}
	if s.alone.Take(now, 1) {
		// This is not counted as used: the share would shrink by itself.
		return StepAllow
	}
	s.turn = now.Add(min(s.alone.Next(now), mostTurn))
	return StepRefuse
}

// Evidence says on what a refusal rests.
func (s *Spender) Evidence(now time.Time) string {
	told := "never"
	if !s.heard.IsZero() {
		told = now.Sub(s.heard).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("workspace=%s rate=%g burst=%g tokens=%.1f told_by=%s told_ago=%s used_here=%.1f/s settings=%d",
		s.limit.Workspace, s.limit.Rate, s.limit.Burst, s.level, s.by, told, s.Rate(now), s.limit.Version)
}

// RetryAfter returns when a caller that is refused now is to come back.
func (s *Spender) RetryAfter(now time.Time) time.Duration {
	return max(s.turn.Sub(now), 0)
}
