package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures time including the periods during which the VM was suspended. The monotonic
// clock, which the time package uses for differences and timers, stops during a suspension; the
// wall clock continues, but may be set. The zero value reads the machine's clocks.
type Clock struct {
	// Suspension returns the total time for which the VM has been suspended; if nil, the
	// machine's clocks are read.
	Suspension func() time.Duration
}

// Suspended returns the total time for which the VM has been suspended.
func (c Clock) Suspended() time.Duration {
	if c.Suspension != nil {
		return c.Suspension()
	}
	return suspended()
}

// suspended returns the difference between the two clocks that count from the boot of the VM, of
// which only one continues during a suspension.
func suspended() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano()).Truncate(maxReadingGap)
}

// maxReadingGap is longer than the time between the readings of the two clocks.
const maxReadingGap = time.Millisecond

// Now returns the current time.
func (c Clock) Now() Instant { return Instant{time.Now().Add(c.Suspended())} }

// Since returns the time elapsed since i.
func (c Clock) Since(i Instant) time.Duration { return c.Now().Sub(i) }

// Instant is a point in time of a Clock. Only the difference between two instants is meaningful.
type Instant struct{ counted time.Time }

// Sub returns the duration i - other.
func (i Instant) Sub(other Instant) time.Duration { return i.counted.Sub(other.counted) }

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.counted.Add(d)} }

// After reports whether i is after other.
func (i Instant) After(other Instant) bool { return i.counted.After(other.counted) }
