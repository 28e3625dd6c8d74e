package quarantine

import "time"

// answers remembers which requests were answered lately, in two sets: the newer one takes the
// place of the older when it is full or its time is over.
type answers struct {
	newer, older map[Digest]struct{}
	// since is when the newer set was begun.
	since time.Time
}

// add notes an answer.
func (a *answers) add(now time.Time, digest Digest) {
	a.turn(now)
	a.newer[digest] = struct{}{}
}

// has reports whether a request was answered lately.
func (a *answers) has(now time.Time, digest Digest) bool {
	a.turn(now)
	_, newer := a.newer[digest]
	_, older := a.older[digest]
	return newer || older
}

// turn begins the next set where that is due.
func (a *answers) turn(now time.Time) {
	age := now.Sub(a.since)
	if a.newer != nil && len(a.newer) < mostLately && age < latelyTime {
		return
	}
	a.older = a.newer
	if age >= 2*latelyTime {
		a.older = nil
	}
	a.newer, a.since = map[Digest]struct{}{}, now
}
