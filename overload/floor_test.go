package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// floorSpan and floorShare are the floor that operators require: in each span this share of
	// the healthy servers gets requests, provided that more than minUnserved but less than
	// maxUnserved of all requests are not served.
	floorSpan   = 2 * time.Second
	floorShare  = 0.7
	minUnserved = 0.1
	maxUnserved = 0.5
	// floorStep is the time between the starts of two spans.
	floorStep = 50 * time.Millisecond
)

// isHealthy reports whether no fault affects a server in a span.
func (w *simulation) isHealthy(index int, from time.Duration) bool {
	for number, f := range w.Faults {
		for age := from; age <= from+floorSpan; age += floorStep {
			if f.Kind != faultLag && w.affects(number, index, age) {
				return false
			}
		}
	}
	return true
}

// unservedShare returns the share of the requests of a span that are not served.
func (w *simulation) unservedShare(from time.Duration) float64 {
	all, failed := 0, 0
	for _, o := range w.outcomes {
		if age := o.began.Sub(w.began); age < from || age >= from+floorSpan {
			continue
		}
		all++
		if !o.served {
			failed++
		}
	}
	return float64(failed) / float64(max(all, 1))
}

// askedShare returns the share of the healthy servers that get requests in a span.
func (w *simulation) askedShare(from time.Duration) float64 {
	healthy, asked := 0, 0
	for _, s := range w.servers {
		if !w.isHealthy(s.index, from) {
			continue
		}
		healthy++
		if slices.ContainsFunc(s.arrivals, func(at time.Time) bool { age := at.Sub(w.began); return age >= from && age < from+floorSpan }) {
			asked++
		}
	}
	return float64(asked) / float64(max(healthy, 1))
}

// floor returns the least share of the healthy servers that get requests in any span for which
// the floor is required, and the number of these spans.
func (w *simulation) floor() (least float64, spans int) {
	least = 1
	for from := time.Duration(0); from+floorSpan <= w.Length; from += floorStep {
		if unserved := w.unservedShare(from); unserved > minUnserved && unserved < maxUnserved {
			spans++
			least = min(least, w.askedShare(from))
		}
	}
	return least, spans
}

// TestHealthyServersBesideSlowProcesses checks that the breaker of a healthy server does not open
// because its sidecar, or an ingress that sends it requests, is slow.
func TestHealthyServersBesideSlowProcesses(t *testing.T) {
	for seed, milliseconds := range []int{50, 200, 400, 600} {
		for _, share := range []float64{0.3, 1} {
			delay := time.Duration(milliseconds) * time.Millisecond
			t.Run(fmt.Sprint(delay, " ", share), func(t *testing.T) {
				t.Parallel()
				w := newSimulation(pattern{
					Length: 8 * time.Second, DataCentres: 3, Servers: 73, Slots: 4, Rate: 700, Mean: 130 * time.Millisecond,
					Objective: 600 * time.Millisecond, Patience: 750 * time.Millisecond, Repeatable: 0.6,
					Near: time.Millisecond, Far: 2 * time.Millisecond, Ratio: 0.17, Slack: 196,
					Faults: []fault{
						{Kind: faultLag, Share: share, From: time.Second, For: 6 * time.Second, Delay: delay},
						{Kind: faultSlow, Share: 0.5, From: 2 * time.Second, For: 5 * time.Second, Chance: 1, Times: 6},
					},
				}, uint64(seed))
				w.run()
				least, spans := w.floor()
				t.Logf("served %.3f, floor %.2f in %d spans, %d false openings", float64(w.served)/float64(w.requests), least, spans, w.falseOpenings)
				assert.Assert(t, least >= floorShare, "%.2f of the healthy servers got requests", least)
				assert.Assert(t, float64(w.falseOpenings) <= (1-floorShare)*float64(w.Servers), "%d breakers of %d servers opened while the servers were healthy", w.falseOpenings, w.Servers)
			})
		}
	}
}
