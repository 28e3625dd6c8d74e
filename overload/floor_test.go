package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// floorSpan and floorShare are the operators' floor: in each span this share of the sound
	// servers gets requests, where more than a tenth of all requests are not served, but less than
	// half of them.
	floorSpan    = 2 * time.Second
	floorShare   = 0.7
	fewUnserved  = 0.1
	mostUnserved = 0.5
	// floorStep is the time between the begins of two spans that are looked at.
	floorStep = 50 * time.Millisecond
)

// isSound reports whether no fault befalls a server in a span.
func (w *world) isSound(index int, from time.Duration) bool {
	for number, f := range w.Faults {
		for age := from; age <= from+floorSpan; age += floorStep {
			if f.Kind != faultLag && w.strikes(number, index, age) {
				return false
			}
		}
	}
	return true
}

// unserved returns the share of the requests of a span that are not served.
func (w *world) unserved(from time.Duration) float64 {
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

// asked returns the share of the sound servers that gets requests in a span.
func (w *world) asked(from time.Duration) float64 {
	sound, asked := 0, 0
	for _, s := range w.servers {
		if !w.isSound(s.index, from) {
			continue
		}
		sound++
		if slices.ContainsFunc(s.arrivals, func(at time.Time) bool { age := at.Sub(w.began); return age >= from && age < from+floorSpan }) {
			asked++
		}
	}
	return float64(asked) / float64(max(sound, 1))
}

// floor returns the least share of the sound servers that gets requests in any span in which that
// matters, and how many of these there are.
func (w *world) floor() (least float64, spans int) {
	least = 1
	for from := time.Duration(0); from+floorSpan <= w.Length; from += floorStep {
		if unserved := w.unserved(from); unserved > fewUnserved && unserved < mostUnserved {
			spans++
			least = min(least, w.asked(from))
		}
	}
	return least, spans
}

// TestSoundServersBesideSlowProcesses: a server is not set aside since its process, or one that sends it requests, is slow.
func TestSoundServersBesideSlowProcesses(t *testing.T) {
	for seed, milliseconds := range []int{50, 200, 400, 600} {
		for _, share := range []float64{0.3, 1} {
			delay := time.Duration(milliseconds) * time.Millisecond
			t.Run(fmt.Sprint(delay, " ", share), func(t *testing.T) {
				t.Parallel()
				w := newWorld(pattern{
					Length: 8 * time.Second, DataCentres: 3, Servers: 73, Slots: 4, Rate: 700, Mean: 130 * time.Millisecond,
					Objective: 600 * time.Millisecond, Patience: 750 * time.Millisecond, Repeatable: 0.6,
					Near: time.Millisecond, Far: 2 * time.Millisecond, Ratio: 0.17, Slack: 196,
					Faults: []fault{
						{Kind: faultLag, Share: share, From: time.Second, For: 6 * time.Second, Delay: delay},
						{Kind: faultSlow, Share: 0.5, From: 2 * time.Second, For: 5 * time.Second, Chance: 1, Times: 6},
					},
				}, uint64(seed))
				w.play()
				least, spans := w.floor()
				t.Logf("served %.3f, floor %.2f in %d spans, %d set aside", float64(w.served)/float64(w.requests), least, spans, w.setAside)
				assert.Assert(t, least >= floorShare, "%.2f of the sound servers got requests", least)
				assert.Assert(t, float64(w.setAside) <= (1-floorShare)*float64(w.Servers), "%d of %d servers were set aside while they were well", w.setAside, w.Servers)
			})
		}
	}
}
