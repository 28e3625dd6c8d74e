package breaker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
)

// suspectedShare simulates a healthy server with the given slots and returns the share of
// arrivals that find its suspicion above limit. Arrivals are random, and work takes an
// exponentially distributed time; load is the average share of the slots in use.
func suspectedShare(slots int, load, limit float64) float64 {
	const (
		mean     = 400 * time.Millisecond
		arrivals = 20000
	)
	random := rand.New(rand.NewPCG(1, 2))
	exponential := func(mean time.Duration) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
	b := breaker.New()
	now := time.Unix(1000, 0)
	ends := map[string]time.Time{}
	suspected, asked := 0, 0
	for i := range arrivals {
		now = now.Add(exponential(time.Duration(float64(mean) / (load * float64(slots)))))
		finishUntil(b, ends, now)
		if len(ends) >= slots {
			continue
		}
		asked++
		if b.Suspicion(now) > limit {
			suspected++
		}
		id := fmt.Sprint(i)
		b.Grant(now, id, "route", 0)
		b.Start(now, id)
		ends[id] = now.Add(exponential(mean))
	}
	return float64(suspected) / float64(asked)
}

// finishUntil ends the requests whose time is over by now, in the order of their ends.
func finishUntil(b *breaker.Breaker, ends map[string]time.Time, now time.Time) {
	for {
		next := ""
		for id, end := range ends {
			if !end.After(now) && (next == "" || end.Before(ends[next])) {
				next = id
			}
		}
		if next == "" {
			return
		}
		b.End(ends[next], next, breaker.ResultOK)
		delete(ends, next)
	}
}

// TestSuspicionOfHealthyServers checks how often a healthy server with a free slot exceeds the
// suspicion that a Careful request accepts if the next server costs the same. The suspicion of
// a busy healthy server is exponentially distributed with mean one, whatever its slots and its
// load, so it exceeds 0.7 half of the time in which the server works at all. An answer that
// took too long does not reset the suspicion, which adds some more.
func TestSuspicionOfHealthyServers(t *testing.T) {
	const limit = 0.7
	tests := map[string]struct {
		slots      int
		load       float64
		least, top float64
	}{
		"one in ten of six slots":     {6, 0.1, 0.22, 0.31},
		"four in ten of six slots":    {6, 0.4, 0.46, 0.57},
		"four in ten of twelve slots": {12, 0.4, 0.56, 0.67},
		"seven in ten of six slots":   {6, 0.7, 0.49, 0.60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			share := suspectedShare(test.slots, test.load, limit)
			t.Logf("suspected by %.3f of the arrivals", share)
			assert.Assert(t, share >= test.least && share <= test.top, "%.3f", share)
		})
	}
}
