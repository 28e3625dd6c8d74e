package choice_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
)

const ms = time.Millisecond

// TestOrder checks which of four servers, two in the own data centre (near) and two in another
// (far), an ingress asks first and which not at all, by their statuses.
func TestOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := func(name, dc string) slatewind.ServerEntry {
		return slatewind.ServerEntry{Name: name, Service: "s", DataCentre: dc, Slots: 4}
	}
	careful := breaker.Constraints{Careful: true}
	tests := map[string]struct {
		setup       func(s *choice.Service)
		after       time.Duration
		constraints breaker.Constraints
		// bytes is the expected size of the request and its answer.
		bytes float64
		// first is asked before all others; the servers in without are not asked.
		first   string
		without []string
	}{
		"a scarce request asks an unhealthy server whose trial is overdue, however often that is reported": {
			setup: func(s *choice.Service) {
				for _, at := range []time.Duration{0, 100 * ms, 200 * ms, 300 * ms} {
					s.Replied(start.Add(at-300*ms), "near-1", choice.Status{Unhealthy: true})
				}
				s.Replied(start, "near-2", choice.Status{Unhealthy: true})
			},
			constraints: breaker.Constraints{Scarce: true}, without: []string{"near-2"},
		},
		"far servers are cheaper than full ones": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Load: 5, Slots: 4})
				s.Replied(start, "near-2", choice.Status{Load: 6, Slots: 4})
				s.Replied(start, "far-1", choice.Status{Load: 3, Slots: 4})
			},
			first: "far-2",
		},
		"a large request stays local although the servers are full": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Load: 5, Slots: 4})
				s.Replied(start, "near-2", choice.Status{Load: 6, Slots: 4})
			},
			bytes: 9000,
			first: "near-1",
		},
		"a large request goes elsewhere if queues are long": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Load: 15, Slots: 4})
				s.Replied(start, "near-2", choice.Status{Load: 16, Slots: 4})
				s.Replied(start, "far-1", choice.Status{Load: 3, Slots: 4})
			},
			bytes: 9000,
			first: "far-2",
		},
		"a near server goes first while it is not much fuller": {
			setup: func(s *choice.Service) { s.Replied(start, "near-1", choice.Status{Load: 3, Slots: 4}) },
			first: "near-2",
		},
		"a leaving server is not asked": {
			setup:   func(s *choice.Service) { s.Replied(start, "near-1", choice.Status{Leaving: true}) },
			first:   "near-2",
			without: []string{"near-1"},
		},
		"an unhealthy server is not asked before its trial": {
			setup:   func(s *choice.Service) { s.Replied(start, "near-1", choice.Status{Unhealthy: true, TrialIn: 200 * ms}) },
			after:   100 * ms,
			first:   "near-2",
			without: []string{"near-1"},
		},
		"an unhealthy server is asked when its trial is due": {
			setup: func(s *choice.Service) { s.Replied(start, "near-1", choice.Status{Unhealthy: true, TrialIn: 200 * ms}) },
			after: 210 * ms,
			first: "near-2",
		},
		"a careful request avoids an unhealthy server for longer": {
			setup:       func(s *choice.Service) { s.Replied(start, "near-1", choice.Status{Unhealthy: true, TrialIn: 200 * ms}) },
			after:       210 * ms,
			constraints: careful,
			first:       "near-2",
			without:     []string{"near-1"},
		},
		"as a last resort a useful unhealthy server is asked": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Unhealthy: true, TrialIn: 200 * ms, SuccessShare: 0.7})
				s.Replied(start, "near-2", choice.Status{Unhealthy: true, TrialIn: 200 * ms, SuccessShare: 0.2})
			},
			after:       10 * ms,
			constraints: breaker.Constraints{Careful: true, LastResort: true},
			without:     []string{"near-2"},
		},
		"a full server is not asked again at once": {
			setup:   func(s *choice.Service) { s.Replied(start, "near-1", choice.Status{Load: 4, Slots: 4, Full: true}) },
			after:   50 * ms,
			first:   "near-2",
			without: []string{"near-1"},
		},
		"a full server is not asked before half of its wait has passed": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Load: 4, Slots: 4, Full: true, SlotIn: 400 * ms})
			},
			after:   190 * ms,
			first:   "near-2",
			without: []string{"near-1"},
		},
		"a full server is asked again after half of its wait": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Load: 4, Slots: 4, Full: true, SlotIn: 400 * ms})
			},
			after: 210 * ms,
			first: "near-2",
		},
		"a server whose sidecar did not reply is asked last": {
			setup: func(s *choice.Service) { s.NoReply(start, "near-1") },
			after: 100 * ms,
			first: "near-2",
		},
		"a reply ends the avoidance of a sidecar": {
			setup: func(s *choice.Service) {
				s.NoReply(start, "near-1")
				s.Replied(start, "near-1", choice.Status{Slots: 4})
				s.Replied(start, "near-2", choice.Status{Load: 4, Slots: 4})
			},
			first: "near-1",
		},
		"a careful request prefers a recent success": {
			setup: func(s *choice.Service) {
				s.Succeeded(start, "near-2")
			},
			after:       100 * ms,
			constraints: careful,
			first:       "near-2",
		},
		"a server that has not answered for long costs more": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Slots: 4, Suspicion: 4})
				s.Replied(start, "near-2", choice.Status{Slots: 4})
			},
			first: "near-2",
		},
		"a server that rejects costs more": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Slots: 4, ShedShare: 0.5})
			},
			first: "near-2",
		},
		"a server that has just started costs more": {
			setup: func(s *choice.Service) {
				warming := entry("near-1", "near")
				warming.Warming = time.Second
				s.Put(start, warming)
			},
			first: "near-2",
		},
		"a busy server goes before one without a status if many are unhealthy": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Load: 2, Slots: 4})
				s.Replied(start, "far-1", choice.Status{Unhealthy: true, TrialIn: time.Second})
				s.Replied(start, "far-2", choice.Status{Unhealthy: true, TrialIn: time.Second})
			},
			constraints: careful,
			first:       "near-1",
			without:     []string{"far-1", "far-2"},
		},
		"a server that waits for a trial is asked by some requests": {
			setup: func(s *choice.Service) {
				s.Reported(start, "near-1", choice.Status{Unhealthy: true, TrialDue: true})
				s.Replied(start, "near-2", choice.Status{Load: 4, Slots: 4})
			},
		},
		"a report that is older than the last reply changes nothing": {
			setup: func(s *choice.Service) {
				s.Replied(start, "near-1", choice.Status{Slots: 4})
				s.Reported(start.Add(-ms), "near-1", choice.Status{Unhealthy: true, TrialIn: time.Second})
			},
		},
		"a reported unhealthy state counts": {
			setup: func(s *choice.Service) {
				s.Reported(start, "near-1", choice.Status{Unhealthy: true, TrialIn: time.Second})
			},
			first:   "near-2",
			without: []string{"near-1"},
		},
		"a server whose entry says that it is leaving is not asked": {
			setup: func(s *choice.Service) {
				leaving := entry("near-1", "near")
				leaving.Leaving = true
				s.Put(start, leaving)
			},
			without: []string{"near-1"},
		},
		"a removed server is not asked": {
			setup:   func(s *choice.Service) { s.Remove("near-1") },
			without: []string{"near-1"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := choice.NewService(choice.Place{DataCentre: "near"}, seed)
				for _, name := range []string{"near-1", "near-2"} {
					s.Put(start, entry(name, "near"))
				}
				for _, name := range []string{"far-1", "far-2"} {
					s.Put(start, entry(name, "far"))
				}
				test.setup(s)
				var names []string
				for _, e := range s.Order(start.Add(test.after), choice.Request{Constraints: test.constraints, Bytes: test.bytes}) {
					names = append(names, e.Name)
				}
				if test.first != "" {
					assert.Equal(t, names[0], test.first, fmt.Sprint("seed ", seed, ": ", names))
				}
				assert.Equal(t, len(names), 4-len(test.without), fmt.Sprint(names))
				for _, absent := range test.without {
					for _, name := range names {
						assert.Assert(t, name != absent, fmt.Sprint(names))
					}
				}
			}
		})
	}
}

// TestRegions checks how many more requests than slots the servers of a region must have before a
// request goes to another region, by its size.
func TestRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	place := choice.Place{DataCentre: "a-1", Regions: map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}}
	tests := map[string]struct {
		bytes float64
		// load is the occupancy of the servers of the own region, in slots.
		load  float64
		first string
	}{
		"idle":                      {0, 0, "a-1"},
		"full":                      {0, 1, "a-1"},
		"long queues":               {0, 4, "b-1"},
		"a large request":           {60_000, 4, "a-1"},
		"a large request, far more": {60_000, 13, "b-1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := choice.NewService(place, 1)
			for _, dataCentre := range []string{"a-1", "a-2", "b-1"} {
				s.Put(now, slatewind.ServerEntry{Name: dataCentre, DataCentre: dataCentre, Slots: 10})
			}
			for _, name := range []string{"a-1", "a-2"} {
				s.Replied(now, name, choice.Status{Slots: 10, Load: 10 * test.load})
			}
			s.Replied(now, "b-1", choice.Status{Slots: 10})
			assert.Equal(t, s.Order(now, choice.Request{Bytes: test.bytes})[0].Name, test.first)
		})
	}
}

// TestAskedAgainLaterAbroad checks how long after a refusal a server is asked again, in the region of the
// ingress and in another one.
func TestAskedAgainLaterAbroad(t *testing.T) {
	now := time.Unix(1000, 0)
	place := choice.Place{DataCentre: "a-1", Regions: map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}}
	tests := map[string]struct {
		status      choice.Status
		constraints breaker.Constraints
		near, far   time.Duration
	}{
		"full":                   {status: choice.Status{Full: true, SlotIn: 400 * time.Millisecond}, near: 200 * time.Millisecond, far: 600 * time.Millisecond},
		"unhealthy, last resort": {status: choice.Status{Unhealthy: true}, constraints: breaker.Constraints{LastResort: true, Careful: true}, near: 300 * time.Millisecond, far: 900 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := choice.NewService(place, 1)
			for dataCentre, pause := range map[string]time.Duration{"a-1": test.near, "a-2": test.near, "b-1": test.far} {
				s.Put(now, slatewind.ServerEntry{Name: dataCentre, DataCentre: dataCentre, Slots: 10})
				s.Replied(now, dataCentre, test.status)
				request := choice.Request{Constraints: test.constraints}
				assert.Assert(t, s.Skipped(now.Add(pause-time.Millisecond), dataCentre, request), dataCentre)
				assert.Assert(t, !s.Skipped(now.Add(pause), dataCentre, request), dataCentre)
			}
		})
	}
}

// TestReservationsAddToLoad checks that the own open reservations of an ingress count as load
// until the next status.
func TestReservationsAddToLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	s := choice.NewService(choice.Place{DataCentre: "dc"}, 1)
	for _, name := range []string{"a", "b"} {
		s.Put(now, slatewind.ServerEntry{Name: name, DataCentre: "dc", Slots: 2})
		s.Replied(now, name, choice.Status{Slots: 2})
	}
	s.Reserved(now, "a")
	assert.Equal(t, s.Order(now, choice.Request{})[0].Name, "b")
	s.Ended("a")
	s.Reserved(now, "b")
	assert.Equal(t, s.Order(now, choice.Request{})[0].Name, "a")
}

// TestStoppingIsRetried checks that a server whose sidecar stops is asked again soon, since the
// next sidecar may be ready at any moment.
func TestStoppingIsRetried(t *testing.T) {
	tests := map[string]struct {
		backIn, age time.Duration
		skipped     bool
	}{
		"just stopped":                     {2 * time.Second, 290 * time.Millisecond, true},
		"long before the next is expected": {2 * time.Second, 310 * time.Millisecond, false},
		"when the next is expected":        {100 * time.Millisecond, 110 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := choice.NewService(choice.Place{DataCentre: "near"}, 1)
			s.Put(now, slatewind.ServerEntry{Name: "a", Service: "s", DataCentre: "near", Slots: 4})
			s.Replied(now, "a", choice.Status{Stopping: true, BackIn: test.backIn})
			assert.Equal(t, s.Skipped(now.Add(test.age), "a", choice.Request{}), test.skipped)
		})
	}
}
