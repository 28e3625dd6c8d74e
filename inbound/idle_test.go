package inbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIdle: an idle time is recorded after a second, then whenever it has doubled, and ends with
// a request.
func TestIdle(t *testing.T) {
	start := time.Unix(1000, 0)
	l := newIdleTime(start)
	noted := []float64{}
	for tick := 50 * time.Millisecond; tick <= 5*time.Second; tick += 50 * time.Millisecond {
		if l.due(start.Add(tick)) {
			noted = append(noted, tick.Seconds())
		}
	}
	assert.DeepEqual(t, noted, []float64{1, 2, 4})
	l.refused[CauseUnhealthy], l.refused[CauseFull] = 2, 1
	l.unused = 3
	assert.Equal(t, l.describe(start.Add(4*time.Second)), "for=4.0s unused=3 full=1 sick=2")
	l.reset(start.Add(5 * time.Second))
	assert.Assert(t, !l.due(start.Add(5900*time.Millisecond)))
	assert.Equal(t, l.describe(start.Add(6*time.Second)), "for=1.0s unused=0")
}
