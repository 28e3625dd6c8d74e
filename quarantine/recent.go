package quarantine

import "time"

// recentAnswers is the set of recently answered requests, kept in two generations: a new generation
// replaces the older one when it is full or has expired.
type recentAnswers struct {
	newer, older map[Digest]struct{}
	// since is the start of the newer generation.
	since time.Time
}

// add records that a request was answered.
func (a *recentAnswers) add(now time.Time, digest Digest) {
	a.rotate(now)
	a.newer[digest] = struct{}{}
}

// has reports whether a request was answered recently.
func (a *recentAnswers) has(now time.Time, digest Digest) bool {
	a.rotate(now)
	_, newer := a.newer[digest]
	_, older := a.older[digest]
	return newer || older
}

// rotate starts the next generation if the newer one is full or has expired.
func (a *recentAnswers) rotate(now time.Time) {
	age := now.Sub(a.since)
	if a.newer != nil && len(a.newer) < minRecentAnswers && age < recentAnswerTime {
		return
	}
	a.older = a.newer
	if age >= 2*recentAnswerTime {
		a.older = nil
	}
	a.newer, a.since = map[Digest]struct{}{}, now
}
