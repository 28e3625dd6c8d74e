// Package admission limits the concurrency of one server: it counts the slots in
// use and decides which request gets the next free one.
//
// A request that cannot start in time is refused immediately, together with the
// time after which a slot is likely to be free: a request that is refused early
// can still be served by another server, one that is refused late cannot. The
// queue is short for the same reason.
//
// Queued requests are ordered by these criteria:
//
//  1. Interactive requests go before background ones, which must leave
//     some slots free.
//  2. Requests that belong to work already begun on another server go first, but
//     overtake each other request only a few times.
//  3. Requests of a lower rank go first.
//  4. Requests of the customer with the fewest requests in slots go first, so that
//     a burst of one customer does not starve the others.
package admission

import (
	"maps"
	"math"
	"time"

	"slatewind.example/slatewind"
)

// queuePerSlot limits the queue to this many items for each slot. Two keep the
// server busy between the replies of its sidecar and add a wait of at most two
// service times.
const queuePerSlot = 2

// averageWeight is the weight of the newest sample in the moving averages of the
// service time and of the share of queued items that start.
const averageWeight = 0.1

// minRetryAfter prevents refused callers from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// Item is one request that asks for a slot.
type Item struct {
	ID       string
	Priority slatewind.Priority
	Customer string
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// Rank orders requests of one priority; lower goes first.
	Rank uint32
	// Begun is set if the item belongs to work that has begun on another server and
	// would be lost if the item were refused.
	Begun bool
	// Overcommit allows the item to start in one slot more than the server has. At most
	// one item exceeds the slots at a time: it probes a server all of whose slots are
	// held by hanging requests.
	Overcommit bool
	// StartBy is the time after which the item should no longer wait for a slot; zero
	// means no limit.
	StartBy time.Time
}

// late reports whether an item that starts at the given time would start after
// StartBy or, at the mean service time, end after its deadline.
func (it Item) late(start time.Time, service time.Duration) bool {
	return start.Add(service).After(it.Deadline) || !it.StartBy.IsZero() && start.After(it.StartBy)
}

// Action is what happens to an item.
type Action string

// Actions for items.
const (
	ActionStart  Action = "start"
	ActionQueue  Action = "queue"
	ActionRefuse Action = "refuse"
)

// Decision is the action for an item. Reason and RetryAfter are set for refusals.
type Decision struct {
	Item       Item
	Action     Action
	Reason     string
	RetryAfter time.Duration
}

// Server controls the admission of requests to one server. It is not safe for
// concurrent use; the caller must hold a lock.
type Server struct {
	slots int
	inUse int
	// started holds the IDs of the items that are in slots, replaced the IDs of those
	// that were in slots when the server was replaced.
	started  map[string]bool
	replaced map[string]bool
	// running counts the slots in use by customer, without entries for zero.
	running map[string]int
	// queue holds the waiting items in the order of their arrival.
	queue []queuedItem
	// service is the moving average of service times.
	service time.Duration
	// startShare is the moving average of the share of queued items that got their
	// slot here; the others were removed, since another server had a slot earlier.
	startShare float64
}

// NewServer returns the admission control of a server with the given number of slots.
func NewServer(slots int) *Server {
	return &Server{slots: slots, started: map[string]bool{}, replaced: map[string]bool{}, running: map[string]int{}, startShare: 1}
}

// SetSlots changes the number of slots. Running requests are not affected.
func (s *Server) SetSlots(slots int) {
	s.slots = slots
}

// ResetSlots frees all slots and clears the mean service time, for use when a new server
// replaces this one. The queue is kept.
func (s *Server) ResetSlots() {
	s.inUse, s.service = 0, 0
	maps.Copy(s.replaced, s.started)
	clear(s.started)
	clear(s.running)
}

// InUse returns the number of slots in use.
func (s *Server) InUse() int { return s.inUse }

// Queued returns the number of waiting requests.
func (s *Server) Queued() int { return len(s.queue) }

// Slots returns the number of slots.
func (s *Server) Slots() int { return s.slots }

// Mean returns the mean service time, or zero before the first request has ended.
func (s *Server) Mean() time.Duration { return s.service }

// spare returns the number of slots that background requests must leave free.
func (s *Server) spare() int {
	if s.slots < 2 {
		return 0
	}
	return max(1, s.slots/4)
}

// Offer decides about a new item. If another item has to leave the queue to make
// room, its refusal comes first in the result.
func (s *Server) Offer(now time.Time, it Item) []Decision {
	if s.fits(it) && (it.Overcommit || !s.mustQueue(it)) {
		s.countOvertaken(it, len(s.queue))
		s.start(it)
		return []Decision{{Item: it, Action: ActionStart}}
	}
	if it.late(now.Add(s.wait(it)), s.service) {
		return []Decision{s.refuse(it, "no slot will be free in time")}
	}
	if len(s.queue) < s.slots*queuePerSlot {
		s.queue = append(s.queue, queuedItem{Item: it})
		return []Decision{{Item: it, Action: ActionQueue}}
	}
	victim := s.victim(it)
	if victim < 0 {
		return []Decision{s.refuse(it, "the queue is full")}
	}
	refused := s.refuse(s.take(victim), "the queue is full and another customer or priority goes first")
	s.queue = append(s.queue, queuedItem{Item: it})
	return []Decision{refused, {Item: it, Action: ActionQueue}}
}

// Done records the end of a started item after the given service time and returns the
// decisions about items that start or are refused as a result. Items that started before
// a ResetSlots free no slot.
func (s *Server) Done(now time.Time, it Item, service time.Duration) []Decision {
	if s.replaced[it.ID] {
		delete(s.replaced, it.ID)
		return s.Advance(now)
	}
	delete(s.started, it.ID)
	s.inUse--
	s.running[it.Customer]--
	if s.running[it.Customer] <= 0 {
		delete(s.running, it.Customer)
	}
	if s.service == 0 {
		s.service = service
	}
	s.service += time.Duration(averageWeight * float64(service-s.service))
	return s.Advance(now)
}

// Advance refuses queued items that can no longer start in time and fills free slots.
func (s *Server) Advance(now time.Time) []Decision {
	decisions := s.expire(now)
	for {
		i := s.nextItem()
		if i < 0 {
			return decisions
		}
		it := s.take(i)
		s.countOvertaken(it, i)
		s.startShare += averageWeight * (1 - s.startShare)
		s.start(it)
		decisions = append(decisions, Decision{Item: it, Action: ActionStart})
	}
}

// Remove removes a waiting item from the queue and reports whether it was there.
func (s *Server) Remove(id string) bool {
	for i, it := range s.queue {
		if it.ID == id {
			s.take(i)
			s.startShare -= averageWeight * s.startShare
			return true
		}
	}
	return false
}

// take removes the item at index i from the queue and returns it.
func (s *Server) take(i int) Item {
	it := s.queue[i].Item
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
	return it
}

// RefuseAll refuses all waiting items, for use when the server is leaving.
func (s *Server) RefuseAll(reason string) []Decision {
	decisions := make([]Decision, 0, len(s.queue))
	for _, it := range s.queue {
		decisions = append(decisions, s.refuse(it.Item, reason))
	}
	s.queue = nil
	return decisions
}

// start gives the item a slot.
func (s *Server) start(it Item) {
	s.inUse++
	s.started[it.ID] = true
	s.running[it.Customer]++
}

// fits reports whether a slot is free for the item, whatever is in the queue.
func (s *Server) fits(it Item) bool {
	free := s.slots - s.inUse
	if it.Priority == slatewind.PriorityBackground {
		free -= s.spare()
	}
	if it.Overcommit {
		free++
	}
	return free > 0
}

// expire removes the queued items that can no longer start in time and returns their refusals.
func (s *Server) expire(now time.Time) []Decision {
	var decisions []Decision
	kept := s.queue[:0]
	for _, it := range s.queue {
		if it.late(now, s.service) {
			decisions = append(decisions, s.refuse(it.Item, "no slot came free in time"))
			continue
		}
		kept = append(kept, it)
	}
	s.queue = kept
	return decisions
}

// refuse returns a refusal of the item. A slot is likely to be free once everything
// that is waiting now has run, which determines RetryAfter.
func (s *Server) refuse(it Item, reason string) Decision {
	rounds := math.Ceil(float64(len(s.queue)+1) / float64(max(s.slots, 1)))
	after := max(time.Duration(rounds*float64(s.service)), minRetryAfter)
	return Decision{Item: it, Action: ActionRefuse, Reason: reason, RetryAfter: after}
}
