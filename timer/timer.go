// Package timer is the one place from which parts of a process learn that time
// has passed. A part subscribes with an interval and a context; each tick
// tells it the time and how long the process was away. A process that was
// paused, or whose VM was suspended, sees a jump between two ticks; whoever
// holds a view of the world then knows that it has to be rebuilt.
package timer

import (
	"context"
	"time"
)

// slack is how late a tick may come before it counts as an absence. A loaded
// VM delays ticks by some hundred milliseconds; a pause that matters to views
// of the fleet lasts seconds.
const slack = 2 * time.Second

// Tick is one call of a subscriber.
type Tick struct {
	Now time.Time
	// Away is how long the process did not run; zero for an ordinary tick.
	Away time.Duration
}

// Service hands out ticks.
type Service struct{ clock Clock }

// New returns a timer service.
func New() *Service {
	return &Service{}
}

// Subscribe calls handle each interval until ctx ends. It returns at once; the
// calls come from one goroutine for each subscription, one after the other.
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
				handle(Tick{Now: now, Away: max(Absence(last, now, interval), since-suspended)})
				last, suspended = now, since
			}
		}
	}()
}

// Absence returns how long a process was away between two ticks that should be
// an interval apart. The wall clock is asked too, since the monotonic clock of
// a suspended VM stands still.
func Absence(last, now time.Time, interval time.Duration) time.Duration {
	passed := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	if wall > passed {
		passed = wall
	}
	late := passed - interval
	if late < slack {
		return 0
	}
	return late
}
