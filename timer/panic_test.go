package timer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/timer"
)

// TestPanicEndsOnlyItsTick checks that a subscriber that panics gets its next tick.
func TestPanicEndsOnlyItsTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticks := 0
		timer.New().Subscribe(t.Context(), time.Second, func(timer.Tick) {
			ticks++
			panic("tick")
		})
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, ticks, 3)
	})
}
