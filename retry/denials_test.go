package retry_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/retry"
)

// TestMostDenials: no rank asks more servers than a higher one, all ask fewer while extra
// attempts are scarce, and each asks some.
func TestMostDenials(t *testing.T) {
	before := math.MaxInt
	for _, rank := range []uint32{0, 1, 2, 5, 100, math.MaxUint32} {
		calm, scarce := retry.MostDenials(rank, false), retry.MostDenials(rank, true)
		assert.Assert(t, calm <= before && scarce <= calm && scarce >= 2, "rank %d: %d, %d", rank, calm, scarce)
		before = calm
	}
	assert.Equal(t, retry.MostDenials(0, false), 24)
	assert.Equal(t, retry.MostDenials(0, true), 6)
}
