package member

import "time"

// Limits and timing of readers of the platform. A constant number of processes per data
// centre reads it, so that calls to the platform do not grow with the fleet. When the newest
// known successful read gets old, further processes join one after the other, up to
// MaxReaders.
const (
	// Readers is the number of processes per data centre that read the platform.
	Readers = 2
	// MaxReaders limits their number while the platform seems unavailable.
	MaxReaders = 6
	// lateAfter is the age of the newest read from which the first further reader joins.
	lateAfter = 10 * time.Second
	// joinEvery is the interval at which more readers join after that.
	joinEvery = 5 * time.Second
)

// MayRead reports whether the process of a rank (see ReaderRank) reads the platform, given
// the age of the newest read of the platform that it knows of.
func MayRead(rank int, age time.Duration) bool {
	allowed := Readers
	if age > lateAfter {
		allowed += 1 + int((age-lateAfter)/joinEvery)
	}
	return rank < min(allowed, MaxReaders)
}
