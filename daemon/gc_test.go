package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGCPercent: the less processor time is left, the more the heap may grow, within bounds.
func TestGCPercent(t *testing.T) {
	tests := map[string]struct {
		// share is the part of a core that the VM gives, cores what the process uses of one.
		share, cores float64
		percent      int
	}{
		"idle":                   {share: 0.32, cores: 0, percent: 30},
		"a quiet day":            {share: 0.32, cores: 0.008, percent: 55},
		"a busy strong VM":       {share: 0.8, cores: 0.05, percent: 92},
		"the same on a weak one": {share: 0.16, cores: 0.05, percent: 200},
		"no share is stated":     {cores: 0.05, percent: 80},
		"beyond its share":       {share: 0.16, cores: 0.5, percent: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGCTuner(test.share)
			now, spent := time.Unix(1000, 0), time.Duration(0)
			assert.Equal(t, g.sample(now, spent), minGCPercent, "nothing is known yet")
			percent := 0
			for range 100 {
				now = now.Add(gcInterval)
				spent += time.Duration(test.cores * float64(gcInterval))
				percent = g.sample(now, spent)
			}
			assert.Assert(t, percent >= test.percent-1 && percent <= test.percent, percent)
		})
	}
}
