package retry

import "time"

// scarceTime is how long after a denied extra attempt lower ranks make none: as long as
// a request of a higher rank is likely to come back for another server.
const scarceTime = 500 * time.Millisecond

// Turns says who may make an extra attempt while there are too few for all. First come
// would serve as many, but as many of the lowest rank as of the highest. It is not safe
// for use by several goroutines; its host guards it.
type Turns struct {
	// denied holds when each rank was last denied an attempt for want of any.
	denied map[uint32]time.Time
}

// NewTurns returns turns in which nobody was denied anything.
func NewTurns() *Turns { return &Turns{denied: map[uint32]time.Time{}} }

// Allow reports whether a request of a rank, of which 0 is the highest, may make an
// extra attempt; left says that one is left.
func (t *Turns) Allow(now time.Time, rank uint32, left bool) bool {
	if !left {
		t.denied[rank] = now
		return false
	}
	for higher, at := range t.denied {
		if higher < rank && now.Sub(at) < scarceTime {
			return false
		}
	}
	return true
}
