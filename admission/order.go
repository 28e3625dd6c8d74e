package admission

import (
	"time"

	"slatewind.example/slatewind"
)

// waiting is an item in the queue.
type waiting struct {
	Item
	// passed counts the begun items that came later and were started before it.
	passed int
}

// level orders the waiting items before their ranks do; lower goes first.
type level int

const (
	// levelPassed: others were preferred often enough.
	levelPassed level = iota
	// levelBegun: a refusal would waste what was already done elsewhere.
	levelBegun
	levelNew
	levelBackground
)

// mostPassed is how often begun items may pass another one: they delay it by a
// few service times of theirs and never starve it.
const mostPassed = 2

// levelOf returns the level of a waiting item.
func (s *Server) levelOf(w waiting) level {
	switch {
	case w.Priority == slatewind.PriorityBackground:
		return levelBackground
	case w.Begun:
		return levelBegun
	case w.passed >= mostPassed:
		return levelPassed
	}
	return levelNew
}

// notePassed counts an item that starts for the first n in the queue, which came
// before it and wait on.
func (s *Server) notePassed(it Item, n int) {
	if !it.Begun {
		return
	}
	for i := range s.queue[:n] {
		s.queue[i].passed++
	}
}

// othersGoFirst reports whether an item waits that a newcomer must not pass.
func (s *Server) othersGoFirst(it Item) bool {
	own := s.levelOf(waiting{Item: it})
	for _, q := range s.queue {
		if s.goesFirst(q, it, own) {
			return true
		}
	}
	return false
}

// goesFirst reports whether a waiting interactive item goes before a newcomer of
// some level: one of a lower level, or of the same and no higher rank.
func (s *Server) goesFirst(q waiting, it Item, own level) bool {
	l := s.levelOf(q)
	return l != levelBackground && (l < own || l == own && q.Rank <= it.Rank)
}

// nextItem returns the index of the waiting item that gets the next slot, or -1.
func (s *Server) nextItem() int {
	best := -1
	for i, it := range s.queue {
		if !s.fits(it.Item) {
			continue
		}
		if best < 0 || s.before(it, s.queue[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a goes before b, which came earlier.
func (s *Server) before(a, b waiting) bool {
	if la, lb := s.levelOf(a), s.levelOf(b); la != lb {
		return la < lb
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return s.running[a.Customer] < s.running[b.Customer]
}

// victim returns the index of the item that makes room for a newcomer, or -1:
// the latest of those that go last if the newcomer goes before them, else the
// latest item of a customer that has at least two more waiting than the
// newcomer's.
func (s *Server) victim(it Item) int {
	own := s.levelOf(waiting{Item: it})
	if own == levelBackground {
		return -1
	}
	i := s.lowest()
	if l := s.levelOf(s.queue[i]); l > own || l == own && s.queue[i].Rank > it.Rank {
		return i
	}
	return s.crowding(it, own)
}

// lowest returns the index of the latest of the waiting items that go last. The
// queue is not empty.
func (s *Server) lowest() int {
	last := 0
	for i, q := range s.queue {
		l, lowest := s.levelOf(q), s.levelOf(s.queue[last])
		if l > lowest || l == lowest && q.Rank >= s.queue[last].Rank {
			last = i
		}
	}
	return last
}

// crowding returns the index of the latest item, of no lower level than the
// newcomer's, of the customer that has most waiting, or -1.
func (s *Server) crowding(it Item, own level) int {
	count := map[string]int{}
	for _, q := range s.queue {
		count[q.Customer]++
	}
	best := -1
	for i, q := range s.queue {
		if count[q.Customer] < count[it.Customer]+2 || s.levelOf(q) < own {
			continue
		}
		if best < 0 || count[q.Customer] >= count[s.queue[best].Customer] {
			best = i
		}
	}
	return best
}

// wait estimates how long an item would wait for its slot.
func (s *Server) wait(it Item) time.Duration {
	ahead := len(s.queue) + 1
	if it.Priority != slatewind.PriorityBackground {
		ahead = 1
		own := s.levelOf(waiting{Item: it})
		for _, q := range s.queue {
			if s.goesFirst(q, it, own) {
				ahead++
			}
		}
	}
	rounds := (1 + s.startShare*float64(ahead-1)) / float64(max(s.slots, 1))
	return time.Duration(rounds * float64(s.service))
}
