package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/retry"
)

// TestScarceExtrasGoByRank replays one server of a service all of whose servers reject
// 55 of 100 arrivals for ten seconds, with two kinds of request. While there are too few
// extra arrivals for all, the higher rank gets nearly all of them, and no more are made.
//
// Before, who was refused was first come: 13 in 100 of the higher rank and 15 in 100 of
// the lower on a played day with 8.5 s of it.
func TestScarceExtrasGoByRank(t *testing.T) {
	const (
		ratio    = 0.17
		rejected = 0.55
		arrivals = 200
	)
	extras, wanted := map[uint32]int{}, map[uint32]int{}
	w := retry.NewWindow(time.Unix(1000, 0), ratio, span)
	// A share of the slack as a server of a large service has it: two attempts may be
	// saved up, and none is free besides.
	w.SetSlack(2)
	turns := retry.NewTurns()
	now := time.Unix(1000, 0)
	for i := range arrivals {
		now = now.Add(50 * time.Millisecond)
		w.First()
		if float64(i*37%100) >= 100*rejected {
			continue
		}
		rank := uint32(0)
		if i%3 == 0 {
			rank = 1
		}
		wanted[rank]++
		if turns.Allow(now, rank, w.Left(now)) {
			w.Take(now)
			extras[rank]++
		}
	}
	total := extras[0] + extras[1]
	assert.Assert(t, float64(total) <= ratio*arrivals+1, "%d extra arrivals", total)
	assert.Assert(t, float64(total) >= 0.9*ratio*arrivals, "what is allowed is used: %d", total)
	assert.Assert(t, extras[0] >= 9*total/10, "the higher rank got %d of %d, it wanted %d", extras[0], total, wanted[0])
}

// TestTurns states who may make an extra attempt after some were denied.
func TestTurns(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		denied  []uint32
		rank    uint32
		after   time.Duration
		allowed bool
	}{
		"nobody was denied":           {nil, 3, 0, true},
		"a higher rank was":           {[]uint32{0}, 1, 100 * time.Millisecond, false},
		"the same rank was":           {[]uint32{1}, 1, 100 * time.Millisecond, true},
		"a lower rank was":            {[]uint32{2}, 1, 100 * time.Millisecond, true},
		"a higher rank was long ago":  {[]uint32{0}, 1, time.Second, true},
		"two were, one of them above": {[]uint32{2, 0}, 1, 100 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			turns := retry.NewTurns()
			for _, rank := range test.denied {
				assert.Assert(t, !turns.Allow(start, rank, false))
			}
			assert.Equal(t, turns.Allow(start.Add(test.after), test.rank, true), test.allowed)
			assert.Assert(t, !turns.Allow(start, test.rank, false), "nothing is left")
		})
	}
}
