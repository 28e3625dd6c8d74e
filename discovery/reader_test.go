package discovery

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSleepWithoutWait checks that no timer is set if there is nothing to wait for: timers that
// are due at once crash the race detector if goroutines of one synctest bubble set them.
func TestSleepWithoutWait(t *testing.T) {
	for name, wait := range map[string]time.Duration{"none": 0, "past": -time.Second} {
		t.Run(name, func(t *testing.T) {
			timers := testing.AllocsPerRun(100, func() { sleep(context.Background(), wait) })
			assert.Equal(t, timers, 0.0)
		})
	}
}
