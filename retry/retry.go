// Package retry limits extra attempts. Retries and hedges help while few servers are
// unhealthy, but amplify an overload when all servers are full, so both draw on one
// budget that grows only with first attempts.
//
// A Window combines a token bucket and a sliding-window counter for the arrivals at
// one server. It guarantees that the extra attempts arriving in any time span of its
// length do not exceed the sum of the server's share of the slack, which is the number
// of extra attempts that the operators allow a service in each span whatever its load,
// and the retry ratio times the number of requests of the span whose first server this
// is. Each request adds the ratio to the bucket when its first server is asked. The
// bucket holds up to two attempts; its capacity is deducted from the slack. The
// counter holds the rest of the slack: an attempt occupies its part from the grant on
// and frees it a span after it arrived, or immediately if it does not arrive. A call made by a
// run that was itself an extra attempt counts as one too; it may overdraw the bucket by a
// credit, which is also deducted from the slack. Thus the
// windows of all servers of a service add up to the operators' limit, whoever sends
// the attempts, without any process knowing the state of another.
//
// The limitations of this approach:
//
//   - A server cannot pass its share to another. Where few servers grant extra attempts,
//     the slack of the others remains unused, and so does what they earned beyond two
//     attempts.
//   - A process that starts grants nothing from its slack for one span, since its
//     predecessor may have spent it.
//   - Slack is divided in whole attempts (Sharer). Where there are more servers than
//     attempts, those without a share keep what they earned for only an eighth of a span.
//     They grant nothing if fewer requests than one attempt costs arrive in that time.
//   - These servers may count half of their own requests in a span and half of those in the
//     one before (earned), so that the start of a burst earns them half. No rule that uses
//     only the state of one server and keeps the limit for all loads earns more.
//   - Where the operators allow no slack at all, no server has a share. The servers keep the
//     limit together if the load of all rises and falls alike; loads that move between them
//     within a span may exceed it (TestLoadThatMovesWithoutSlack).
//   - A change of the list of servers makes shares smaller at once and larger a span later, so
//     some of the slack is unused meanwhile.
package retry

// Defaults of a budget.
const (
	// DefaultRatio allows one extra attempt for every five first attempts.
	DefaultRatio = 0.2
	// DefaultBurst is the number of extra attempts allowed in a row.
	DefaultBurst = 10
)

// Budget is a token bucket of extra attempts that is refilled by first attempts. It
// is not safe for concurrent use; the caller must hold a lock.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget. It grows by ratio with each first attempt, up to
// burst extra attempts.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Take takes a token for one extra attempt and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetBurst changes the number of extra attempts allowed in a row. A larger burst adds
// no tokens.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Left reports whether an extra attempt would be allowed now.
func (b *Budget) Left() bool {
	return b.tokens >= 1
}
