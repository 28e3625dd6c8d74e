package ratelimit

import (
	"fmt"
	"math"
	"time"

	"slatewind.example/slatewind"
)

// Step is the next step for a request.
type Step string

// Steps.
const (
	// StepAllow: a token was spent on the request.
	StepAllow Step = "allow"
	// StepAsk: a token has to be requested from the home.
	StepAsk Step = "ask"
	// StepRefuse: there is no token for the request.
	StepRefuse Step = "refuse"
)

// Consumer decides on the requests of one workspace at one process. It is not safe for concurrent
// use.
type Consumer struct {
	limit slatewind.WorkspaceLimit
	// held is the number of prefetched tokens; they may be spent until expires.
	held    int
	expires time.Time
	// Until refusedUntil requests are refused without asking the home; turn is when a refused
	// caller may retry.
	refusedUntil, turn time.Time
	// level is the number of tokens left in the last reply, which was received at repliedAt.
	level     float64
	repliedAt time.Time
	// repliedBy is the role in which that reply was made.
	repliedBy Role
	// used is the exponentially decayed number of tokens spent, as of usedAt.
	used   float64
	usedAt time.Time
	// isolated limits what is spent while no process replies; nil while one does.
	isolated *Bucket
}

// Begin decides on a request as far as possible without asking another process.
func (c *Consumer) Begin(now time.Time, limit slatewind.WorkspaceLimit) Step {
	c.updateLimit(limit)
	switch {
	case now.Before(c.refusedUntil):
		return StepRefuse
	case c.held > 0 && now.Before(c.expires):
		c.held--
		c.spend(now)
		return StepAllow
	}
	return StepAsk
}

// updateLimit applies a newer limit. It takes effect at once: tokens granted under the old one are
// dropped.
func (c *Consumer) updateLimit(limit slatewind.WorkspaceLimit) {
	if limit.Version <= c.limit.Version {
		return
	}
	if limit.Rate != c.limit.Rate || limit.Burst != c.limit.Burst {
		*c = Consumer{used: c.used, usedAt: c.usedAt}
	}
	c.limit = limit
}

// Want returns the number of tokens to request: one for the waiting request, plus those likely to
// be spent before prefetched tokens expire.
func (c *Consumer) Want(now time.Time) int {
	ahead := c.Rate(now) * tokenHoldTime.Seconds()
	return 1 + int(min(ahead, maxPrefetch))
}

// Rate returns the recent spending rate in tokens per second.
func (c *Consumer) Rate(now time.Time) float64 {
	passed := max(now.Sub(c.usedAt), 0)
	return c.used * math.Exp(-float64(passed)/float64(usageWindow)) / usageWindow.Seconds()
}

// spend counts a spent token.
func (c *Consumer) spend(now time.Time) {
	c.used = c.Rate(now)*usageWindow.Seconds() + 1
	c.usedAt = now
}

// Answered decides on a request for which a reply was received.
func (c *Consumer) Answered(now time.Time, a TokenReply) Step {
	c.isolated = nil
	c.level, c.repliedAt, c.repliedBy = a.Level, now, a.Role
	if a.Tokens == 0 {
		c.refusedUntil = now.Add(min(a.Next, localRefusalTime))
		c.turn = now.Add(a.Turn)
		return StepRefuse
	}
	if now.After(c.expires) {
		c.held = 0
	}
	c.held += a.Tokens - 1
	c.expires = now.Add(tokenHoldTime)
	c.spend(now)
	return StepAllow
}

// Unanswered decides on a request for which no process replied.
func (c *Consumer) Unanswered(now time.Time) Step {
	if c.isolated == nil {
		rate := isolatedShare * c.Rate(now)
		c.isolated = &Bucket{rate: rate, burst: max(rate, minBurst), at: now}
	}
	if c.isolated.Take(now, 1) {
		// Not counted as used, or the share, which is derived from the use, would shrink over time.
		return StepAllow
	}
	c.turn = now.Add(min(c.isolated.Next(now), maxTurn))
	return StepRefuse
}

// Evidence returns the evidence of a refusal in the journal.
func (c *Consumer) Evidence(now time.Time) string {
	repliedAgo := "never"
	if !c.repliedAt.IsZero() {
		repliedAgo = now.Sub(c.repliedAt).Round(time.Millisecond).String()
	}
	return fmt.Sprintf("workspace=%s rate=%g burst=%g tokens=%.1f told_by=%s told_ago=%s used_here=%.1f/s settings=%d",
		c.limit.Workspace, c.limit.Rate, c.limit.Burst, c.level, c.repliedBy, repliedAgo, c.Rate(now), c.limit.Version)
}

// RetryAfter returns the time after which a caller that is refused now may retry.
func (c *Consumer) RetryAfter(now time.Time) time.Duration {
	return max(c.turn.Sub(now), 0)
}
