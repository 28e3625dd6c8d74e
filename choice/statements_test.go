package choice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
)

var start = time.Unix(1000, 0)

// near returns the entry of a server.
func near() slatewind.ServerEntry {
	return slatewind.ServerEntry{Name: "near-1", Service: "s", DataCentre: "near", Slots: 4}
}

// TestStatedLeaving checks for how long a server that stated that it is leaving gets no requests.
func TestStatedLeaving(t *testing.T) {
	states := func(s *choice.Service) { s.Replied(start, "near-1", choice.Status{StatedLeaving: true}) }
	tests := map[string]struct {
		then  func(s *choice.Service)
		takes bool
	}{
		"nothing else happens": {func(*choice.Service) {}, false},
		"a later reply of a process that does not know": {func(s *choice.Service) {
			s.Replied(start.Add(time.Second), "near-1", choice.Status{})
		}, false},
		"its entry changes": {func(s *choice.Service) {
			s.Put(start.Add(time.Second), near())
		}, false},
		"its entry is removed and returns": {func(s *choice.Service) {
			s.Remove("near-1")
			s.Put(start.Add(time.Second), near())
		}, false},
		"its entry returns after a long time": {func(s *choice.Service) {
			s.Remove("near-1")
			s.Put(start.Add(time.Hour), near())
		}, true},
		"another start": {func(s *choice.Service) {
			next := near()
			next.Start = 1
			s.Put(start.Add(time.Second), next)
		}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := choice.NewService(choice.Place{DataCentre: "near"}, 1)
			s.Put(start, near())
			states(s)
			test.then(s)
			order := s.Order(start.Add(time.Second), choice.Request{})
			assert.Equal(t, len(order) > 0, test.takes)
			assert.Equal(t, s.Takes("near-1") || s.Takes("near-1@1"), test.takes)
		})
	}
}

// TestLimitRemembered checks which limit of a server an ingress remembers.
func TestLimitRemembered(t *testing.T) {
	limit := slatewind.ServerLimit{Stated: true, PerSecond: 2}
	replies := func(status choice.Status) func(s *choice.Service) {
		return func(s *choice.Service) { s.Replied(start.Add(time.Second), "near-1", status) }
	}
	tests := map[string]struct {
		then func(s *choice.Service)
		want slatewind.ServerLimit
	}{
		"its process does not know": {replies(choice.Status{LimitUnknown: true}), limit},
		"it states another":         {replies(choice.Status{Limit: slatewind.ServerLimit{Stated: true, PerSecond: 3}}), slatewind.ServerLimit{Stated: true, PerSecond: 3}},
		"it states none":            {replies(choice.Status{}), slatewind.ServerLimit{}},
		"its entry is removed and returns": {func(s *choice.Service) {
			s.Remove("near-1")
			s.Put(start.Add(time.Second), near())
		}, limit},
		"its entry is removed and returns twice": {func(s *choice.Service) {
			for i := range 2 {
				s.Remove("near-1")
				s.Put(start.Add(time.Duration(i+1)*time.Second), near())
			}
		}, limit},
		"its entry returns after a long time": {func(s *choice.Service) {
			s.Remove("near-1")
			s.Put(start.Add(time.Hour), near())
		}, slatewind.ServerLimit{}},
		"another start whose entry is removed": {func(s *choice.Service) {
			next := near()
			next.Start = 1
			s.Put(start.Add(time.Second), next)
			s.Remove("near-1@1")
			s.Put(start.Add(2*time.Second), near())
		}, limit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := choice.NewService(choice.Place{DataCentre: "near"}, 1)
			s.Put(start, near())
			s.Replied(start, "near-1", choice.Status{Limit: limit})
			test.then(s)
			assert.Equal(t, s.Limit("near-1"), test.want)
		})
	}
}

// TestLimitedServerIsAskedLater checks that a server that is at its limit is not asked before it may
// take a request.
func TestLimitedServerIsAskedLater(t *testing.T) {
	s := choice.NewService(choice.Place{DataCentre: "near"}, 1)
	s.Put(start, near())
	s.Replied(start, "near-1", choice.Status{Full: true, Limited: true, SlotIn: 700 * time.Millisecond})
	assert.Assert(t, s.Skipped(start.Add(699*time.Millisecond), "near-1", choice.Request{}))
	assert.Assert(t, !s.Skipped(start.Add(700*time.Millisecond), "near-1", choice.Request{}))
}
