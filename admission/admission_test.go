package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	_ "slatewind.example/slatewind/internal/seeded"
)

var begin = time.Unix(1_000_000, 0)

// TestSlotsAreExact offers and ends random requests: the slots and the queue never
// exceed their limits, every item gets one final decision, and background requests
// leave a slot free.
func TestSlotsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s := admission.NewServer(slots)
		now := begin
		running := map[string]admission.Item{}
		waiting := map[string]bool{}
		background := 0
		serial := 0
		apply := func(decisions []admission.Decision) {
			for _, d := range decisions {
				switch d.Action {
				case admission.ActionStart:
					delete(waiting, d.Item.ID)
					running[d.Item.ID] = d.Item
					if d.Item.Priority == slatewind.PriorityBackground {
						background++
					}
				case admission.ActionRefuse:
					delete(waiting, d.Item.ID)
					assert.Assert(t, d.RetryAfter > 0 && d.Reason != "")
				case admission.ActionQueue:
					waiting[d.Item.ID] = true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				serial++
				apply(s.Offer(now, admission.Item{
					ID:       fmt.Sprint(serial),
					Priority: rapid.SampledFrom([]slatewind.Priority{slatewind.PriorityInteractive, slatewind.PriorityBackground}).Draw(t, "priority"),
					Customer: fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "customer")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond),
				}))
			},
			"done": func(t *rapid.T) {
				for id, it := range running {
					if id == fmt.Sprint(rapid.IntRange(0, serial).Draw(t, "id")) {
						delete(running, id)
						if it.Priority == slatewind.PriorityBackground {
							background--
						}
						apply(s.Done(now, it, 50*time.Millisecond))
						return
					}
				}
				t.Skip("not running")
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				apply(s.Advance(now))
			},
			"": func(t *rapid.T) {
				assert.Equal(t, s.InUse(), len(running))
				assert.Equal(t, s.Queued(), len(waiting))
				assert.Assert(t, len(running) <= slots)
				assert.Assert(t, len(waiting) <= 2*slots)
				assert.Assert(t, slots == 1 || background < slots)
			},
		})
	})
}

// TestOneCustomerDoesNotStarveTheRest guards against a customer that fills the queue
// with a burst of requests: a request of another customer evicts one of them and gets
// the next free slot.
func TestOneCustomerDoesNotStarveTheRest(t *testing.T) {
	s := admission.NewServer(2)
	deadline := begin.Add(time.Second)
	var first admission.Item
	for i := range 20 {
		it := admission.Item{ID: fmt.Sprint("launch-", i), Customer: "launch", Deadline: deadline}
		if i == 0 {
			first = it
		}
		s.Offer(begin, it)
	}
	assert.Equal(t, s.Queued(), 4)
	decisions := s.Offer(begin, admission.Item{ID: "other", Customer: "other", Deadline: deadline})
	assert.Equal(t, decisions[0].Action, admission.ActionRefuse)
	assert.Equal(t, decisions[0].Item.Customer, "launch")
	assert.Equal(t, decisions[1].Action, admission.ActionQueue)
	started := s.Done(begin, first, 10*time.Millisecond)
	assert.Equal(t, started[0].Item.ID, "other")
}

// TestHopelessRequestsAreRefusedAtOnce checks that a request that cannot start in time
// is refused immediately, with the time after which to retry.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	s := admission.NewServer(1)
	first := admission.Item{ID: "1", Deadline: begin.Add(time.Hour)}
	s.Offer(begin, first)
	s.Done(begin, first, 300*time.Millisecond)
	s.Offer(begin, first)
	decisions := s.Offer(begin, admission.Item{ID: "2", Deadline: begin.Add(400 * time.Millisecond)})
	assert.Equal(t, decisions[0].Action, admission.ActionRefuse)
	assert.Equal(t, decisions[0].RetryAfter, 300*time.Millisecond)
}

// TestRemovedItemsShortenEstimatedWait guards against needless refusals: where most
// queued items are removed, since they got a slot on another server, the queue ahead of
// a new item shrinks faster than slots come free.
func TestRemovedItemsShortenEstimatedWait(t *testing.T) {
	const service = 100 * time.Millisecond
	for name, test := range map[string]struct {
		removed int
		action  admission.Action
	}{
		"none is removed":  {0, admission.ActionRefuse},
		"most are removed": {30, admission.ActionQueue},
	} {
		t.Run(name, func(t *testing.T) {
			s, held := full(1)
			s.Done(begin, held[0], service)
			s.Offer(begin, held[0])
			for i := range test.removed {
				id := fmt.Sprint("given-up-", i)
				s.Offer(begin, admission.Item{ID: id, Deadline: begin.Add(time.Hour)})
				assert.Assert(t, s.Remove(id))
			}
			s.Offer(begin, admission.Item{ID: "waits", Deadline: begin.Add(time.Hour)})
			// Waiting for two service times and running for one exceeds the deadline.
			decisions := s.Offer(begin, admission.Item{ID: "id", Deadline: begin.Add(5 * service / 2)})
			assert.Equal(t, decisions[0].Action, test.action)
		})
	}
}

// TestResetSlots checks that a replacement of the server begins with all slots free, that
// waiting items get them, and that requests of the replaced server free none when they
// end.
func TestResetSlots(t *testing.T) {
	s := admission.NewServer(2)
	items := make([]admission.Item, 4)
	for i := range items {
		items[i] = admission.Item{ID: fmt.Sprint(i), Deadline: begin.Add(time.Hour)}
		s.Offer(begin, items[i])
	}
	assert.Equal(t, s.InUse(), 2)
	assert.Equal(t, s.Queued(), 2)
	s.ResetSlots()
	assert.Equal(t, s.InUse(), 0)
	started := s.Advance(begin)
	assert.Equal(t, len(started), 2)
	for _, it := range items[:2] {
		assert.Equal(t, len(s.Done(begin, it, time.Second)), 0)
	}
	assert.Equal(t, s.InUse(), 2, "requests of the replaced server free no slot")
	s.Done(begin, items[2], time.Second)
	assert.Equal(t, s.InUse(), 1)
}
