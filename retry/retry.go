// Package retry bounds extra attempts. Retries and hedges help while few
// servers are sick and feed an overload on itself when all are full, so both
// draw on one budget that grows only with first attempts.
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
