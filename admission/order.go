package admission

import (
	"time"

	"slatewind.example/slatewind"
)

// queuedItem is an item in the queue.
type queuedItem struct {
	Item
	// overtaken counts the begun items that arrived later and started earlier.
	overtaken int
}

// level orders the waiting items; lower goes first. Rank applies within a level.
type level int

const (
	// levelOvertaken is for items that were overtaken maxOvertaken times.
	levelOvertaken level = iota
	// levelBegun is for items whose refusal would waste work done on another server.
	levelBegun
	levelNew
	levelBackground
)

// maxOvertaken is how many times begun items may overtake another item: they delay it by
// a few of their service times and never starve it.
const maxOvertaken = 2

// levelOf returns the level of a waiting item.
func (s *Server) levelOf(w queuedItem) level {
	switch {
	case w.Priority == slatewind.PriorityBackground:
		return levelBackground
	case w.Begun:
		return levelBegun
	case w.overtaken >= maxOvertaken:
		return levelOvertaken
	}
	return levelNew
}

// countOvertaken records that an item starts before the first n in the queue, which
// arrived earlier and still wait. Only begun items count.
func (s *Server) countOvertaken(it Item, n int) {
	if !it.Begun {
		return
	}
	for i := range s.queue[:n] {
		s.queue[i].overtaken++
	}
}

// mustQueue reports whether the queue holds an item that goes before a new one.
func (s *Server) mustQueue(it Item) bool {
	own := s.levelOf(queuedItem{Item: it})
	for _, q := range s.queue {
		if s.precedes(q, it, own) {
			return true
		}
	}
	return false
}

// precedes reports whether the queued item q goes before the new item of level own:
// q is interactive and of a lower level, or of the same level and no higher rank.
func (s *Server) precedes(q queuedItem, it Item, own level) bool {
	l := s.levelOf(q)
	return l != levelBackground && (l < own || l == own && q.Rank <= it.Rank)
}

// nextItem returns the index of the waiting item that gets the next free slot, or -1
// if there is no such item or no free slot.
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

// before reports whether a goes before b, which arrived earlier.
func (s *Server) before(a, b queuedItem) bool {
	if la, lb := s.levelOf(a), s.levelOf(b); la != lb {
		return la < lb
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return s.running[a.Customer] < s.running[b.Customer]
}

// victim returns the index of the item to evict from the full queue in favour of a new
// one, or -1, always so for a new background item: the latest of the items that go last if the new one goes before them,
// otherwise the latest item of a customer that has at least two more waiting than the
// customer of the new one.
func (s *Server) victim(it Item) int {
	own := s.levelOf(queuedItem{Item: it})
	if own == levelBackground {
		return -1
	}
	i := s.lowest()
	if l := s.levelOf(s.queue[i]); l > own || l == own && s.queue[i].Rank > it.Rank {
		return i
	}
	return s.largestCustomer(it, own)
}

// lowest returns the index of the latest of the waiting items that go last. The
// queue must not be empty.
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

// largestCustomer returns the index of the latest item of the customer with the most
// items waiting, or -1. It considers only items that do not go before level own and customers
// with at least two more items waiting than the customer of the new item.
func (s *Server) largestCustomer(it Item, own level) int {
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

// wait estimates how long a new item would wait for a slot.
func (s *Server) wait(it Item) time.Duration {
	ahead := len(s.queue) + 1
	if it.Priority != slatewind.PriorityBackground {
		ahead = 1
		own := s.levelOf(queuedItem{Item: it})
		for _, q := range s.queue {
			if s.precedes(q, it, own) {
				ahead++
			}
		}
	}
	rounds := (1 + s.startShare*float64(ahead-1)) / float64(max(s.slots, 1))
	return time.Duration(rounds * float64(s.service))
}
