package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGCPercent checks that the percentage rises with the use of the processor, within bounds.
func TestGCPercent(t *testing.T) {
	tests := map[string]struct {
		// share is the part of a core that the VM gives, cores the part that the process uses.
		share, cores float64
		percent      int
	}{
		"idle":                  {share: 0.32, cores: 0, percent: 30},
		"little use":            {share: 0.32, cores: 0.008, percent: 55},
		"large share":           {share: 0.8, cores: 0.05, percent: 92},
		"same use, small share": {share: 0.16, cores: 0.05, percent: 200},
		"no share":              {cores: 0.05, percent: 80},
		"use above the share":   {share: 0.16, cores: 0.5, percent: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGCTuner(test.share)
			now, cpuTime := time.Unix(1000, 0), time.Duration(0)
			assert.Equal(t, g.sample(now, cpuTime), minGCPercent, "no sample yet")
			percent := 0
			for range 100 {
				now = now.Add(gcInterval)
				cpuTime += time.Duration(test.cores * float64(gcInterval))
				percent = g.sample(now, cpuTime)
			}
			assert.Assert(t, percent >= test.percent-1 && percent <= test.percent, percent)
		})
	}
}
