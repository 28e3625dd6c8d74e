// Package timer calls the parts of a process periodically. A part subscribes with an interval and
// a context; each tick passes the time and how long the process did not run. After the process
// was paused or its VM was suspended there is a gap between two ticks; parts that hold state
// about other processes must then treat it as outdated.
package timer

import (
	"context"
	"time"

	"slatewind.example/slatewind/recovery"
)

// minPause is how late a tick may be before the delay counts as a pause. A loaded VM delays ticks
// by some hundred milliseconds; a pause that makes the state about the fleet outdated lasts
// seconds.
const minPause = 2 * time.Second

// Tick is the argument of one call of a subscriber.
type Tick struct {
	Now time.Time
	// Paused is how long the process did not run; zero for an ordinary tick.
	Paused time.Duration
}

// Service calls its subscribers periodically.
type Service struct{ clock Clock }

// New returns a timer service.
func New() *Service {
	return &Service{}
}

// Subscribe calls handle at every interval until ctx ends. It returns immediately; the calls of
// one subscription are made one after the other from one goroutine.
func (s *Service) Subscribe(ctx context.Context, interval time.Duration, handle func(Tick)) {
	ticker := time.NewTicker(interval)
	last, suspended := time.Now(), s.clock.Suspended()
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				now, since := time.Now(), s.clock.Suspended()
				tick := Tick{Now: now, Paused: max(PauseBetween(last, now, interval), since-suspended)}
				_ = recovery.Run("tick", func() { handle(tick) })
				last, suspended = now, since
			}
		}
	}()
}

// PauseBetween returns how long a process did not run between two ticks that should be one interval
// apart. It also considers the wall clock, since the monotonic clock stops while the VM is
// suspended.
func PauseBetween(last, now time.Time, interval time.Duration) time.Duration {
	passed := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	if wall > passed {
		passed = wall
	}
	late := passed - interval
	if late < minPause {
		return 0
	}
	return late
}
