package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells moments between which the time counts too in which the VM was suspended. The steady
// clock, which the time package's differences and timers use, stands still meanwhile; the time of
// day goes on, and may be set. The zero value reads the clocks of the machine.
type Clock struct {
	// Suspension returns for how long the VM has been suspended so far; nil reads the clocks.
	Suspension func() time.Duration
}

// Suspended returns for how long the VM has been suspended so far.
func (c Clock) Suspended() time.Duration {
	if c.Suspension != nil {
		return c.Suspension()
	}
	return suspended()
}

// suspended returns the difference of the two clocks that count from the start of the VM: one goes
// on while it is suspended.
func suspended() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano()).Truncate(readingTime)
}

// readingTime is more than passes between the readings of two clocks.
const readingTime = time.Millisecond

// Now returns the present moment.
func (c Clock) Now() Instant { return Instant{time.Now().Add(c.Suspended())} }

// Since returns the time from a moment until now.
func (c Clock) Since(i Instant) time.Duration { return c.Now().Sub(i) }

// Instant is a moment of a Clock. Only the time between two of them means anything.
type Instant struct{ counted time.Time }

// Sub returns the time from another moment to this one.
func (i Instant) Sub(other Instant) time.Duration { return i.counted.Sub(other.counted) }

// Add returns the moment after a time.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.counted.Add(d)} }

// After reports whether the moment is after another one.
func (i Instant) After(other Instant) bool { return i.counted.After(other.counted) }
