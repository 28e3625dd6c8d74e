package member

import "time"

// Readers of the platform. A constant number a data centre reads, so that the
// platform's calls do not grow with the fleet; when no fresh look at the
// platform is heard of, further ones join, slowly and up to a bound.
const (
	// Readers is how many processes of a data centre watch the platform.
	Readers = 2
	// MaxReaders bounds them while the platform seems away.
	MaxReaders = 6
	// lateAfter is the age of the newest look at which the next one joins.
	lateAfter = 10 * time.Second
	// joinEvery is the time after which a further one joins.
	joinEvery = 5 * time.Second
)

// MayRead reports whether the process of a rank reads the platform now, given
// the age of the newest look at the platform that it heard of.
func MayRead(rank int, age time.Duration) bool {
	allowed := Readers
	if age > lateAfter {
		allowed += 1 + int((age-lateAfter)/joinEvery)
	}
	return rank < min(allowed, MaxReaders)
}
