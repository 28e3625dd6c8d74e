package tail_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/tail"
)

// TestWeight checks the weight of a late answer after a number of answers, of which every nth was late.
func TestWeight(t *testing.T) {
	tests := map[string]struct {
		answers, every int
		least, most    float64
	}{
		"no answer yet":                      {0, 1, 1, 1},
		"none late":                          {500, 1000, 1, 1},
		"one in two hundred, as assumed":     {1000, 200, 0.95, 1},
		"three in a hundred":                 {500, 33, 0.6, 0.7},
		"three in a hundred, a few requests": {70, 33, 0.65, 0.85},
		"one in ten":                         {500, 10, 0.4, 0.5},
		"all":                                {500, 1, 0.4, 0.45},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e tail.Estimate
			for i := range test.answers {
				e.Record(i%test.every == test.every-1)
			}
			assert.Assert(t, e.Weight() >= test.least && e.Weight() <= test.most, "%.3f at a share of %.3f", e.Weight(), e.Share())
		})
	}
}

// TestEstimateFollowsChange checks that a route whose answers are no longer late gets its full weight back.
func TestEstimateFollowsChange(t *testing.T) {
	var e tail.Estimate
	for i := range 400 {
		e.Record(i%10 == 0)
	}
	for range 2000 {
		e.Record(false)
	}
	assert.Assert(t, e.Weight() > 0.95, "%.3f", e.Weight())
}

// BenchmarkEstimate measures one answer with its weight.
func BenchmarkEstimate(b *testing.B) {
	var e tail.Estimate
	for b.Loop() {
		e.Record(false)
		_ = e.Weight()
	}
}
