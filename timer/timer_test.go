package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/timer"
)

func TestSubscribe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var ticks []timer.Tick
		timer.New().Subscribe(ctx, time.Second, func(tick timer.Tick) {
			ticks = append(ticks, tick)
			if len(ticks) == 2 {
				// The subscriber itself is delayed, as it would be by a pause.
				time.Sleep(10 * time.Second)
			}
		})
		time.Sleep(15*time.Second + time.Millisecond)
		cancel()
		synctest.Wait()
		assert.Equal(t, ticks[0].Paused, time.Duration(0))
		assert.Equal(t, ticks[1].Paused, time.Duration(0))
		late := false
		for _, tick := range ticks[2:] {
			late = late || tick.Paused >= 8*time.Second
		}
		assert.Assert(t, late, "%v", ticks)
		count := len(ticks)
		time.Sleep(time.Minute)
		assert.Equal(t, len(ticks), count)
	})
}

func TestPauseBetween(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		now  time.Time
		away time.Duration
	}{
		"in time":     {start.Add(time.Second), 0},
		"a bit late":  {start.Add(2500 * time.Millisecond), 0},
		"paused":      {start.Add(time.Minute), 59 * time.Second},
		"set back":    {start.Add(-time.Hour), 0},
		"set forward": {start.Round(0).Add(time.Hour), 3599 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, timer.PauseBetween(start, tt.now, time.Second), tt.away)
		})
	}
}
