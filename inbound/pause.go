package inbound

import (
	"time"

	"slatewind.example/slatewind/breaker"
)

// minPause is the shortest gap between ticks that counts as a pause of the process. Ticks come
// every tickInterval; on a busy machine they are late by less than this.
const minPause = 250 * time.Millisecond

// pauseDetector detects from the times of the ticks that the process did not run, because it was
// paused or its VM was suspended. Whatever code runs first after a pause must query it, whether
// that is a tick or not.
type pauseDetector struct{ last time.Time }

// tick records the time of a tick.
func (d *pauseDetector) tick(now time.Time) {
	if now.After(d.last) {
		d.last = now
	}
}

// paused returns how long the process did not run before now, or zero. Each pause is returned
// once.
func (d *pauseDetector) paused(now time.Time) time.Duration {
	gap := now.Sub(d.last)
	if d.last.IsZero() || gap < minPause {
		return 0
	}
	d.last = now
	return gap
}

// currentBreaker returns the breaker after excluding any pause of the process from the server's
// times. in.mu must be held.
func (in *Inbound) currentBreaker(now time.Time) *breaker.Breaker {
	if pause := in.pauses.paused(now); pause > 0 {
		in.breaker.ExcludePause(now, pause)
	}
	return in.breaker
}
