package choice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
)

// TestRestartDiscardsState checks that nothing known about one start of a server counts for the
// next one, even if it is reported after the next one is known.
func TestRestartDiscardsState(t *testing.T) {
	now := time.Unix(1000, 0)
	older := slatewind.ServerEntry{Name: "s", Service: "svc", Address: "a:1", DataCentre: "dc", Slots: 4, Start: 1}
	newer := older
	newer.Start = 2
	id := older.ID()
	unhealthy := choice.Status{Load: 9, Slots: 4, Unhealthy: true, Leaving: true, ShedShare: 1, Suspicion: 4, Full: true, SlotIn: time.Second, TrialIn: time.Second}
	tests := map[string]func(c *choice.Service){
		"a reply":                          func(c *choice.Service) { c.Replied(now, id, unhealthy) },
		"a report by another process":      func(c *choice.Service) { c.Reported(now, id, unhealthy) },
		"a sidecar that does not reply":    func(c *choice.Service) { c.NoReply(now, id) },
		"a server that moved":              func(c *choice.Service) { c.Moved(now, id) },
		"a success":                        func(c *choice.Service) { c.Succeeded(now, id) },
		"reservations":                     func(c *choice.Service) { c.Reserved(now, id); c.Reserved(now, id) },
		"reservations that end":            func(c *choice.Service) { c.Reserved(now, id); c.Ended(id); c.Ended(id) },
		"an entry that says it is leaving": func(c *choice.Service) { leaving := older; leaving.Leaving = true; c.Put(now, leaving) },
		"an entry of the older start":      func(c *choice.Service) { c.Put(now, older) },
		"the older start's removal":        func(c *choice.Service) { c.Remove(id) },
	}
	fresh := choice.NewService(choice.Place{DataCentre: "dc"}, 1)
	fresh.Put(now, newer)
	want := fresh.Views(now)
	for name, change := range tests {
		for order, run := range map[string]func(c *choice.Service){
			"before": func(c *choice.Service) { c.Put(now, older); change(c); c.Put(now, newer) },
			"after":  func(c *choice.Service) { c.Put(now, older); c.Put(now, newer); change(c) },
			"both":   func(c *choice.Service) { c.Put(now, older); change(c); c.Put(now, newer); change(c) },
		} {
			t.Run(name+" "+order, func(t *testing.T) {
				c := choice.NewService(choice.Place{DataCentre: "dc"}, 1)
				run(c)
				assert.DeepEqual(t, c.Views(now), want)
				candidates := c.Order(now, choice.Request{})
				assert.Equal(t, len(candidates), 1)
				assert.Equal(t, candidates[0].ID(), newer.ID())
				assert.Assert(t, candidates[0].Stale)
				assert.Assert(t, c.Takes(newer.ID()))
				assert.Assert(t, !c.Takes(id), "an older start takes no requests")
			})
		}
	}
}
