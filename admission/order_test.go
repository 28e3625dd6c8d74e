package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind/admission"
)

// full returns a server with all slots held by begun items, and these items.
func full(slots int) (s *admission.Server, held []admission.Item) {
	s = admission.NewServer(slots)
	for i := range slots {
		it := admission.Item{ID: fmt.Sprint("held-", i), Begun: true, Deadline: begin.Add(time.Hour)}
		s.Offer(begin, it)
		held = append(held, it)
	}
	return s, held
}

// TestOrder checks the order in which waiting items get slots that become free one at
// a time, and which items a full queue of two refuses.
func TestOrder(t *testing.T) {
	item := func(id string, rank uint32, begun bool) admission.Item {
		return admission.Item{ID: id, Rank: rank, Begun: begun, Deadline: begin.Add(time.Hour)}
	}
	tests := map[string]struct {
		offered []admission.Item
		// started holds the IDs of the items in the order of their starts.
		started []string
	}{
		"earlier arrival first":                    {[]admission.Item{item("a", 1, false), item("b", 1, false)}, []string{"a", "b"}},
		"lower rank first":                         {[]admission.Item{item("a", 1, false), item("b", 0, false)}, []string{"b", "a"}},
		"begun before a lower rank":                {[]admission.Item{item("a", 0, false), item("b", 2, true)}, []string{"b", "a"}},
		"begun by rank":                            {[]admission.Item{item("a", 1, true), item("b", 0, true)}, []string{"b", "a"}},
		"begun evicts a new item":                  {[]admission.Item{item("a", 0, false), item("b", 0, false), item("c", 2, true)}, []string{"c", "a"}},
		"new does not evict begun":                 {[]admission.Item{item("a", 2, true), item("b", 2, true), item("c", 0, false)}, []string{"a", "b"}},
		"lower rank evicts a higher rank":          {[]admission.Item{item("a", 1, false), item("b", 0, false), item("c", 0, false)}, []string{"b", "c"}},
		"equal rank does not evict":                {[]admission.Item{item("a", 1, false), item("b", 1, false), item("c", 1, false)}, []string{"a", "b"}},
		"begun does not evict begun of lower rank": {[]admission.Item{item("a", 0, true), item("b", 0, true), item("c", 1, true)}, []string{"a", "b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, held := full(1)
			for _, it := range test.offered {
				s.Offer(begin, it)
			}
			running := held[0]
			var started []string
			for {
				decisions := s.Done(begin, running, time.Millisecond)
				if len(decisions) == 0 {
					break
				}
				running = decisions[0].Item
				started = append(started, running.ID)
			}
			assert.DeepEqual(t, started, test.started)
		})
	}
}

// TestBegunItemsDoNotStarve checks that the first waiting item that is not begun starts
// after begun items have overtaken it twice, however many of them arrive.
func TestBegunItemsDoNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s, running := full(slots)
		s.Offer(begin, admission.Item{ID: "waits", Rank: 5, Deadline: begin.Add(time.Hour)})
		overtaken := 0
		for serial := 0; ; serial++ {
			s.Offer(begin, admission.Item{ID: fmt.Sprint(serial), Begun: true, Deadline: begin.Add(time.Hour)})
			if rapid.Bool().Draw(t, "another") && s.Queued() < slots {
				continue
			}
			end := rapid.IntRange(0, len(running)-1).Draw(t, "end")
			decisions := s.Done(begin, running[end], time.Millisecond)
			assert.Equal(t, len(decisions), 1)
			running[end] = decisions[0].Item
			if decisions[0].Item.ID == "waits" {
				break
			}
			overtaken++
			assert.Assert(t, overtaken <= 2, "overtaken %d times", overtaken)
		}
	})
}
