package outlier_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind"
	_ "slatewind.example/slatewind/internal/seeded"
	"slatewind.example/slatewind/outlier"
)

var begin = time.Unix(1_000_000, 0)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint("s", i)
	}
	return all
}

// idle counts servers that are out of service although they could serve.
func idle(d *outlier.Detector) int {
	n := 0
	for _, s := range d.Servers() {
		if !s.Serving() && !s.Leaving && !s.Unreachable {
			n++
		}
	}
	return n
}

// TestFloorIsNeverBroken passes random evidence, leaving and unreachable servers, changed
// floors and changed lists to a detector. After each event, no server that could serve is
// out of service while capacity is below the floor.
func TestFloorIsNeverBroken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "servers")
		floor := rapid.IntRange(0, n).Draw(t, "floor")
		d := outlier.NewDetector("service")
		now := begin
		d.Update(now, floor, 6, names(n))
		server := func(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, n-1).Draw(t, "server")) }
		latency := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.SampledFrom([]int{9, 10, 11, 100, 900}).Draw(t, "ms")) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"healthy": func(*rapid.T) {
				for range 5 {
					for _, name := range names(n) {
						d.Observe(now, slatewind.Observation{Server: name, Result: slatewind.ResultOK, Latency: 10 * time.Millisecond})
					}
				}
			},
			"outcomes": func(t *rapid.T) {
				o := slatewind.Observation{Server: server(t), Latency: latency(t)}
				o.Result = rapid.SampledFrom([]slatewind.Result{
					slatewind.ResultOK, slatewind.ResultError, slatewind.ResultOverdue, slatewind.ResultCancelled, slatewind.ResultProbeFailed,
				}).Draw(t, "result")
				for range rapid.IntRange(1, 8).Draw(t, "count") {
					d.Observe(now, o)
				}
			},
			"path":        func(t *rapid.T) { d.ObservePath(now, server(t), rapid.Bool().Draw(t, "reached")) },
			"leaving":     func(t *rapid.T) { d.SetLeaving(now, server(t), rapid.Bool().Draw(t, "leaving")) },
			"unreachable": func(t *rapid.T) { d.SetReachable(now, server(t), rapid.Bool().Draw(t, "reachable")) },
			"restarted":   func(t *rapid.T) { d.Restarted(now, server(t)) },
			"confirm":     func(*rapid.T) { d.Confirm(now) },
			"settings": func(t *rapid.T) {
				n = rapid.IntRange(2, 6).Draw(t, "servers")
				floor = rapid.IntRange(0, n).Draw(t, "floor")
				d.Update(now, floor, 6, names(n))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{50, 600, 6000, 700000}).Draw(t, "ms")) * time.Millisecond)
				d.Tick(now)
			},
			"": func(t *rapid.T) {
				out, capacity := idle(d), d.Capacity()
				assert.Assert(t, out == 0 || capacity >= floor, "out=%d capacity=%d floor=%d", out, capacity, floor)
			},
		})
	})
}

// TestDetectionIsNearTheBound checks the mean number of slow requests until detection, over
// many seeds, at a spread and a slow-down for which the theoretical bound is known.
func TestDetectionIsNearTheBound(t *testing.T) {
	const caution, spread, slow, seeds = 16, 0.5, 3, 200
	total := 0
	for seed := range uint64(seeds) {
		total += requestsToDetection(t, seed, caution, spread, slow)
	}
	divergence := math.Log(slow) * math.Log(slow) / (2 * spread * spread)
	bound := caution / divergence
	mean := float64(total) / seeds
	t.Logf("mean %.1f requests, bound %.1f", mean, bound)
	assert.Assert(t, mean >= bound*0.9 && mean < 2*bound)
}

func requestsToDetection(t *testing.T, seed uint64, caution, spread, slow float64) int {
	random := rand.New(rand.NewPCG(seed, 1))
	d := outlier.NewDetector("service")
	d.Update(begin, 1, caution, names(4))
	now := begin
	request := func(name string, factor float64) {
		latency := 20e6 * factor * math.Exp(spread*random.NormFloat64())
		d.Observe(now, slatewind.Observation{Server: name, Result: slatewind.ResultOK, Latency: time.Duration(latency)})
	}
	for i := range 3000 {
		now = now.Add(5 * time.Millisecond)
		for k, name := range names(4) {
			if i >= 2000 && k == 0 {
				request(name, slow)
				if d.Servers()[0].State == slatewind.ServerEjected {
					return i - 2000 + 1
				}
				continue
			}
			request(name, 1)
		}
	}
	t.Fatalf("seed %d: never detected", seed)
	return 0
}

// TestSuspicionIsConfirmedByFreshData checks that a slow server is not ejected while the
// data about the other servers is stale. With fresh data it stays if the others are equally
// slow and is ejected otherwise.
func TestSuspicionIsConfirmedByFreshData(t *testing.T) {
	tests := map[string]struct {
		othersLatency time.Duration
		state         slatewind.ServerState
	}{
		"only this one is slow": {10 * time.Millisecond, slatewind.ServerEjected},
		"all are slow":          {80 * time.Millisecond, slatewind.ServerHealthy},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := outlier.NewDetector("service")
			d.Update(begin, 1, 12, names(3))
			observe := func(now time.Time, server string, latency time.Duration, n int) {
				for range n {
					d.Observe(now, slatewind.Observation{Server: server, Result: slatewind.ResultOK, Latency: latency})
				}
			}
			for _, server := range names(3) {
				observe(begin, server, 10*time.Millisecond, 40)
			}
			later := begin.Add(10 * time.Second)
			observe(later, "s0", 80*time.Millisecond, 20)
			assert.Equal(t, d.Servers()[0].State, slatewind.ServerHealthy)
			assert.DeepEqual(t, d.TakeRefreshRequests(), []string{"s1", "s2", "s0"})
			observe(later, "s1", tt.othersLatency, 8)
			observe(later, "s2", tt.othersLatency, 8)
			d.Confirm(later)
			assert.Equal(t, d.Servers()[0].State, tt.state)
		})
	}
}

// TestSuspicionIsJudgedAfterTimeout checks that a suspicion is judged by the data at hand
// if no fresh data arrives.
func TestSuspicionIsJudgedAfterTimeout(t *testing.T) {
	d := outlier.NewDetector("service")
	d.Update(begin, 1, 12, names(3))
	for _, server := range names(3) {
		for range 40 {
			d.Observe(begin, slatewind.Observation{Server: server, Result: slatewind.ResultOK, Latency: 10 * time.Millisecond})
		}
	}
	later := begin.Add(10 * time.Second)
	for range 20 {
		d.Observe(later, slatewind.Observation{Server: "s0", Result: slatewind.ResultOK, Latency: 90 * time.Millisecond})
	}
	d.Tick(later.Add(400 * time.Millisecond))
	assert.Equal(t, d.Servers()[0].State, slatewind.ServerHealthy)
	d.Tick(later.Add(600 * time.Millisecond))
	assert.Equal(t, d.Servers()[0].State, slatewind.ServerEjected)
}

func TestRingPacksOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ring outlier.Ring
		class := uint8(rapid.IntRange(0, 255).Draw(t, "class"))
		result := rapid.SampledFrom([]slatewind.Result{slatewind.ResultOK, slatewind.ResultError, slatewind.ResultOverdue, slatewind.ResultCancelled}).Draw(t, "result")
		latency := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "latency"))
		for range rapid.IntRange(1, 80).Draw(t, "count") {
			ring.Add(class, result, latency)
		}
		packed := ring.Newest(nil)
		assert.Equal(t, len(packed), int(min(ring.Sequence(), outlier.RingSize)))
		o := outlier.Unpack("s", packed[0])
		assert.Equal(t, o.Class, class)
		assert.Equal(t, o.Result, result)
		off := float64(o.Latency) / float64(latency)
		assert.Assert(t, off > 0.99 && off < 1.01 || latency < 200, "%s became %s", latency, o.Latency)
	})
}
