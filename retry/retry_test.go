package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/retry"
)

// TestBudget checks how many extra attempts are allowed after a sequence of first and
// extra ones.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		firsts int
		play   func(b *retry.Budget)
		extra  int
	}{
		"a full budget at the start":        {0, func(*retry.Budget) {}, 4},
		"one for five first attempts":       {25, func(b *retry.Budget) { take(b, 4) }, 5 - 1},
		"no more than the burst":            {1000, func(*retry.Budget) {}, 4},
		"a larger burst gives nothing away": {0, func(b *retry.Budget) { take(b, 4); b.SetBurst(9) }, 0},
		"a smaller burst takes away":        {0, func(b *retry.Budget) { b.SetBurst(2) }, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := retry.NewBudget(0.2, 4)
			test.play(b)
			for range test.firsts {
				b.RecordFirst()
			}
			assert.Equal(t, b.Left(), test.extra > 0)
			assert.Equal(t, take(b, 100), test.extra)
		})
	}
}

// take takes up to n extra attempts and returns how many were allowed.
func take(b *retry.Budget, n int) int {
	taken := 0
	for range n {
		if b.Take() {
			taken++
		}
	}
	return taken
}
