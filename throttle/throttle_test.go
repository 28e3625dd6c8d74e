package throttle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/throttle"
)

// TestThrottle checks that at most limit events per interval are allowed, and that the next allowed
// event returns how many were left out before it.
func TestThrottle(t *testing.T) {
	start := time.Unix(1000, 0)
	th := throttle.New(2, time.Second)
	tests := []struct {
		at      time.Duration
		allowed bool
		leftOut int
	}{
		{0, true, 0},
		{0, true, 0},
		{500 * time.Millisecond, false, 0},
		{999 * time.Millisecond, false, 0},
		{time.Second, true, 2},
		{time.Second, true, 0},
		{1500 * time.Millisecond, false, 0},
		{5 * time.Second, true, 1},
	}
	for _, test := range tests {
		allowed, leftOut := th.Allow(start.Add(test.at))
		assert.Equal(t, allowed, test.allowed, test.at)
		assert.Equal(t, leftOut, test.leftOut, test.at)
	}
}
