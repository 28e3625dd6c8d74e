package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/timer"
)

// TestClockCountsSuspension: the time between two instants includes the time during which the VM
// was suspended, to the millisecond, however short that was.
func TestClockCountsSuspension(t *testing.T) {
	var suspended time.Duration
	clock := timer.Clock{Suspension: func() time.Duration { return suspended }}
	began := clock.Now()
	for _, pause := range []time.Duration{0, time.Millisecond, 700 * time.Millisecond, 4 * time.Second} {
		before := clock.Since(began)
		suspended += pause
		passed := clock.Since(began) - before
		assert.Assert(t, passed >= pause && passed < pause+500*time.Millisecond, "%s: %s", pause, passed)
	}
	assert.Assert(t, clock.Now().After(began.Add(4*time.Second)))
}

// TestMachineClock: the machine's clocks can be read, and no suspension is reported while
// the VM runs.
func TestMachineClock(t *testing.T) {
	var clock timer.Clock
	before := clock.Suspended()
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, clock.Suspended(), before)
	assert.Assert(t, before >= 0)
}
