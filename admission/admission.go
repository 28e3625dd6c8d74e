// Package admission counts the slots of one server and decides which request
// gets the next free one.
//
// A request that cannot start in time is refused at once, with the time after
// which a slot is likely: a quick refusal can still be served elsewhere, a late
// one cannot. The queue is short for the same reason. Interactive requests go
// before background ones, which get only spare slots; then the lower rank goes
// first; and among customers the one with the fewest requests in slots, so that
// one customer's launch does not starve the rest.
package admission

import (
	"math"
	"time"

	"slatewind.example/slatewind"
)

// queuePerSlot bounds the queue. Two waiting for each slot keep the server
// busy between the replies of its sidecar and add at most two service times.
const queuePerSlot = 2

// serviceWeight is the weight of the newest service time in their mean.
const serviceWeight = 0.1

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 100 * time.Millisecond

// Item is one request at the door.
type Item struct {
	ID       string
	Priority slatewind.Priority
	Customer string
	// Deadline is when the request must have its answer.
	Deadline time.Time
	// Rank orders requests of one priority; lower goes first.
	Rank uint32
	// StartBy is when waiting for a slot is no longer worth it; zero is never.
	StartBy time.Time
}

// late reports whether an item that starts at a time comes too late.
func (it Item) late(start time.Time, service time.Duration) bool {
	return start.Add(service).After(it.Deadline) || !it.StartBy.IsZero() && start.After(it.StartBy)
}

// Action says what becomes of an item.
type Action string

// Actions for items.
const (
	ActionStart  Action = "start"
	ActionQueue  Action = "queue"
	ActionRefuse Action = "refuse"
)

// Decision is an action with its reason.
type Decision struct {
	Item       Item
	Action     Action
	Reason     string
	RetryAfter time.Duration
}

// Server is the door of one server. It is not safe for use by several
// goroutines; its host guards it.
type Server struct {
	slots int
	inUse int
	// running counts the slots of each customer that has any.
	running map[string]int
	queue   []Item
	// service is the mean service time.
	service time.Duration
}

// NewServer returns the door of a server with so many slots.
func NewServer(slots int) *Server {
	return &Server{slots: slots, running: map[string]int{}}
}

// SetSlots changes the number of slots; what runs goes on.
func (s *Server) SetSlots(slots int) {
	s.slots = slots
}

// InUse returns the number of slots in use.
func (s *Server) InUse() int { return s.inUse }

// Queued returns the number of waiting requests.
func (s *Server) Queued() int { return len(s.queue) }

// Slots returns the number of slots.
func (s *Server) Slots() int { return s.slots }

// Mean returns the mean service time.
func (s *Server) Mean() time.Duration { return s.service }

// spare is how many slots background requests must leave free.
func (s *Server) spare() int {
	if s.slots < 2 {
		return 0
	}
	return max(1, s.slots/4)
}

// Offer decides about a new item. Further decisions concern items that had to
// make room for it.
func (s *Server) Offer(now time.Time, it Item) []Decision {
	if s.fits(it) && !s.othersGoFirst(it) {
		s.start(it)
		return []Decision{{Item: it, Action: ActionStart}}
	}
	if it.late(now.Add(s.wait(it)), s.service) {
		return []Decision{s.refuse(it, "no slot will be free in time")}
	}
	if len(s.queue) < s.slots*queuePerSlot {
		s.queue = append(s.queue, it)
		return []Decision{{Item: it, Action: ActionQueue}}
	}
	victim := s.victim(it)
	if victim < 0 {
		return []Decision{s.refuse(it, "the queue is full")}
	}
	refused := s.refuse(s.queue[victim], "the queue is full and another customer or priority goes first")
	s.queue = append(s.queue[:victim], s.queue[victim+1:]...)
	s.queue = append(s.queue, it)
	return []Decision{refused, {Item: it, Action: ActionQueue}}
}

// Done notes the end of a started item after the given service time and
// returns what starts or must be refused now.
func (s *Server) Done(now time.Time, it Item, service time.Duration) []Decision {
	s.inUse--
	s.running[it.Customer]--
	if s.running[it.Customer] <= 0 {
		delete(s.running, it.Customer)
	}
	if s.service == 0 {
		s.service = service
	}
	s.service += time.Duration(serviceWeight * float64(service-s.service))
	return s.Advance(now)
}

// Advance refuses items whose time is over and fills free slots.
func (s *Server) Advance(now time.Time) []Decision {
	decisions := s.expire(now)
	for {
		i := s.nextItem()
		if i < 0 {
			return decisions
		}
		it := s.queue[i]
		s.queue = append(s.queue[:i], s.queue[i+1:]...)
		s.start(it)
		decisions = append(decisions, Decision{Item: it, Action: ActionStart})
	}
}

// Remove takes a waiting item out of the queue; it reports whether it waited.
func (s *Server) Remove(id string) bool {
	for i, it := range s.queue {
		if it.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// RefuseAll empties the queue, for a server that leaves.
func (s *Server) RefuseAll(reason string) []Decision {
	decisions := make([]Decision, 0, len(s.queue))
	for _, it := range s.queue {
		decisions = append(decisions, s.refuse(it, reason))
	}
	s.queue = nil
	return decisions
}

func (s *Server) start(it Item) {
	s.inUse++
	s.running[it.Customer]++
}

func (s *Server) fits(it Item) bool {
	free := s.slots - s.inUse
	if it.Priority == slatewind.PriorityBackground {
		free -= s.spare()
	}
	return free > 0
}

// othersGoFirst reports whether an item waits that a newcomer must not pass: an
// interactive one of the same rank or a lower.
func (s *Server) othersGoFirst(it Item) bool {
	for _, q := range s.queue {
		if q.Priority != slatewind.PriorityBackground && q.Rank <= it.Rank {
			return true
		}
	}
	return false
}

// nextItem returns the index of the waiting item that gets the next slot.
func (s *Server) nextItem() int {
	best := -1
	for i, it := range s.queue {
		if !s.fits(it) {
			continue
		}
		if best < 0 || s.before(it, s.queue[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a goes before b, which came earlier.
func (s *Server) before(a, b Item) bool {
	aBack := a.Priority == slatewind.PriorityBackground
	bBack := b.Priority == slatewind.PriorityBackground
	if aBack != bBack {
		return bBack
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return s.running[a.Customer] < s.running[b.Customer]
}

// victim returns the index of the item that makes room for a newcomer, or -1:
// a background item for an interactive one, else the latest of the items with the
// highest rank if that is above the newcomer's, else the latest item of a customer
// that has at least two more waiting than the newcomer's.
func (s *Server) victim(it Item) int {
	waiting := map[string]int{}
	for i := len(s.queue) - 1; i >= 0; i-- {
		q := s.queue[i]
		if q.Priority == slatewind.PriorityBackground && it.Priority != slatewind.PriorityBackground {
			return i
		}
		waiting[q.Customer]++
	}
	if it.Priority == slatewind.PriorityBackground {
		return -1
	}
	if i := s.lowest(); s.queue[i].Rank > it.Rank {
		return i
	}
	best := -1
	for i, q := range s.queue {
		if waiting[q.Customer] < waiting[it.Customer]+2 {
			continue
		}
		if best < 0 || waiting[q.Customer] >= waiting[s.queue[best].Customer] {
			best = i
		}
	}
	return best
}

// lowest returns the index of the latest of the waiting items with the highest
// rank, which go last. The queue is not empty.
func (s *Server) lowest() int {
	last := 0
	for i, q := range s.queue {
		if q.Rank >= s.queue[last].Rank {
			last = i
		}
	}
	return last
}

// wait estimates how long an item would wait for its slot.
func (s *Server) wait(it Item) time.Duration {
	ahead := len(s.queue) + 1
	if it.Priority != slatewind.PriorityBackground {
		ahead = 1
		for _, q := range s.queue {
			if q.Priority != slatewind.PriorityBackground && q.Rank <= it.Rank {
				ahead++
			}
		}
	}
	rounds := float64(ahead) / float64(max(s.slots, 1))
	return time.Duration(rounds * float64(s.service))
}

func (s *Server) expire(now time.Time) []Decision {
	var decisions []Decision
	kept := s.queue[:0]
	for _, it := range s.queue {
		if it.late(now, s.service) {
			decisions = append(decisions, s.refuse(it, "no slot came free in time"))
			continue
		}
		kept = append(kept, it)
	}
	s.queue = kept
	return decisions
}

// refuse computes when a slot is likely: when all that waits now has run.
func (s *Server) refuse(it Item, reason string) Decision {
	rounds := math.Ceil(float64(len(s.queue)+1) / float64(max(s.slots, 1)))
	after := max(time.Duration(rounds*float64(s.service)), minRetryAfter)
	return Decision{Item: it, Action: ActionRefuse, Reason: reason, RetryAfter: after}
}
