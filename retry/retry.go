// Package retry bounds extra attempts. Retries and hedges help while few
// servers are sick and feed an overload on itself when all are full, so both
// draw on one budget that grows only with first attempts.
//
// A Window is a token bucket beside a sliding-window counter, for the arrivals at one
// server. It promises that in any span of its length no more extra attempts arrive than the
// server's share of the slack and the ratio of the requests that the span brought to it
// first. Each request earns the ratio when its first server is asked, and the bucket holds up
// to two attempts; their number is taken off the slack. The counter holds the rest of the
// slack: an attempt takes its part of it from the grant on, and gives it back a span after it
// arrived, or at once where it does not arrive. So the windows of all servers of a service add
// up to the operators' bound, whoever sends the attempts, and no process knows of another's.
//
// What that costs:
//
//   - A server can't lend its share. Where few servers grant extra attempts, the others'
//     slack is left unspent, as is what they earned beyond two attempts.
//   - A process that starts grants nothing from its slack for a span, since the process
//     before it may have spent it.
//   - Slack is divided in whole attempts (Sharer). Where there are more servers than
//     attempts, those without a share keep what they earned for an eighth of a span only.
//     They grant nothing where fewer than the requests for one attempt come in it.
//   - These servers may count half of their own requests in a span and half of those in the one
//     before (earned), so that a fresh burst earns them half. No rule of a server alone that
//     keeps the bound for all loads earns more.
//   - Where the operators allow no slack at all, all servers are without a share. They keep the
//     bound together where the load of all rises and falls alike; loads that move between them
//     within a span may exceed it (TestLoadThatMovesWithoutSlack).
//   - A change of the servers moves shares at once, while some of the old ones are spent.
//     The host keeps a part of the bound back for it.
package retry

// Defaults of a budget.
const (
	// DefaultRatio lets one extra attempt go with five first ones.
	DefaultRatio = 0.2
	// DefaultBurst is how many extra attempts may go in a row.
	DefaultBurst = 10
)

// Budget counts the extra attempts that are allowed. It is not safe for use by
// several goroutines; its host guards it.
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

// First notes a first attempt.
func (b *Budget) First() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Take allows or denies one extra attempt.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetBurst changes how many extra attempts may go in a row. What was spent stays
// spent.
func (b *Budget) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Left reports whether an extra attempt would be allowed now.
func (b *Budget) Left() bool {
	return b.tokens >= 1
}
