package retry_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/retry"
)

// TestMaxDenials checks that no rank asks more servers than a higher one, that none asks
// more while extra attempts are scarce, and that every rank asks at least two.
func TestMaxDenials(t *testing.T) {
	before := math.MaxInt
	for _, rank := range []uint32{0, 1, 2, 5, 100, math.MaxUint32} {
		normal, scarce := retry.MaxDenials(rank, false), retry.MaxDenials(rank, true)
		assert.Assert(t, normal <= before && scarce <= normal && scarce >= 2, "rank %d: %d, %d", rank, normal, scarce)
		before = normal
	}
	assert.Equal(t, retry.MaxDenials(0, false), 24)
	assert.Equal(t, retry.MaxDenials(0, true), 6)
}
