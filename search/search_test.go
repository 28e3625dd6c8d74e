package search_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/retry"
	"slatewind.example/slatewind/search"
)

var start = time.Unix(1000, 0)

// candidates returns servers of the given costs, named s-0 and so on.
func candidates(costs ...float64) []choice.Candidate {
	var list []choice.Candidate
	for i, cost := range costs {
		list = append(list, choice.Candidate{ServerEntry: &slatewind.ServerEntry{Name: fmt.Sprint("s-", i), DataCentre: "dc"}, Cost: cost})
	}
	return list
}

// begin starts a round among servers of the given costs, for a request that waits for up to a
// second.
func begin(request search.Request, costs ...float64) *search.Search {
	request.Until = start.Add(time.Second)
	s := search.New(request)
	s.Begin(candidates(costs...))
	return s
}

func skipNone(choice.Candidate) bool { return false }

// nextReservation returns the next reservation, which must exist.
func nextReservation(t *testing.T, s *search.Search) *search.Reservation {
	t.Helper()
	r, ok := s.Next(start, skipNone)
	assert.Assert(t, ok, "no server is left to ask")
	return r
}

// TestOrder checks that servers are asked in the order of their cost, but for those that have
// received the request and those that are skipped by their newer status.
func TestOrder(t *testing.T) {
	s := begin(search.Request{Tried: map[string]bool{"s-1": true}}, 0.1, 0.2, 0.3, 0.4)
	assert.Equal(t, nextReservation(t, s).Server.Name, "s-0")
	r, ok := s.Next(start, func(server choice.Candidate) bool { return server.Name == "s-2" })
	assert.Assert(t, ok)
	assert.Equal(t, r.Server.Name, "s-3")
	_, ok = s.Next(start, skipNone)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, s.Asked(), map[string]bool{"s-0": true, "s-3": true})
}

// TestQueues checks that a request waits at three servers, at fewer if the next one is much more
// expensive, and at more once it has waited in vain.
func TestQueues(t *testing.T) {
	tests := map[string]struct {
		costs []float64
		// more is whether another is asked after each reply that the request is queued.
		more []bool
	}{
		"three near servers":   {[]float64{0.1, 0.2, 0.3, 0.4}, []bool{true, true, false}},
		"the next is far":      {[]float64{0.1, 0.2, 1.0, 1.1}, []bool{true, false}},
		"all cost the same":    {[]float64{1.1, 1.1, 1.1, 1.1}, []bool{true, true, false}},
		"no other server left": {[]float64{0.1}, []bool{false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := begin(search.Request{}, test.costs...)
			for i, more := range test.more {
				assert.Equal(t, s.Queued(nextReservation(t, s)), more, "after %d", i+1)
			}
			assert.Assert(t, s.Widen())
		})
	}
}

// TestWidenStaysInRegion checks how far a request that has waited in vain goes: to any data centre of
// its region, and with a small body to another region, but not with a large one.
func TestWidenStaysInRegion(t *testing.T) {
	tests := map[string]struct {
		costs []float64
		more  bool
	}{
		"another data centre":                  {[]float64{0.5, 1.5}, true},
		"another data centre, a large request": {[]float64{0.5, 4.5}, true},
		"another region":                       {[]float64{0.5, 3.5}, true},
		"another region, a large request":      {[]float64{0.5, 12.5}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := begin(search.Request{}, test.costs...)
			first := nextReservation(t, s)
			assert.Assert(t, !s.Queued(first))
			assert.Equal(t, s.Widen(), test.more)
			assert.Assert(t, s.Refused(first, search.Refusal{}), "after a refusal the next server is asked, wherever it is")
		})
	}
}

// TestWidenWithoutQueue checks that a request that waits at no server is not sent to further
// ones by the widening timer.
func TestWidenWithoutQueue(t *testing.T) {
	s := begin(search.Request{}, 0.1, 0.2)
	nextReservation(t, s)
	assert.Assert(t, !s.Widen())
}

// TestReplyOverdue checks that the next server is asked too if a server does not reply, and that
// the silent one is avoided if it still does not.
func TestReplyOverdue(t *testing.T) {
	tests := map[string]struct {
		age                time.Duration
		replied            bool
		more, unresponsive bool
	}{
		"just asked":                {search.ReplyOverdueAfter - 1, false, false, false},
		"silent":                    {search.ReplyOverdueAfter, false, true, false},
		"no reply for long":         {120 * time.Millisecond, false, true, true},
		"a reply that it is queued": {120 * time.Millisecond, true, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := begin(search.Request{}, 0.1, 0.2)
			r := nextReservation(t, s)
			if test.replied {
				s.Replied(r)
			}
			assert.Equal(t, s.ReplyOverdue(start.Add(test.age)), test.more)
			assert.Equal(t, r.Unresponsive(start.Add(test.age)), test.unresponsive)
		})
	}
}

// TestDenials checks that a search for an extra attempt ends after a limited number of denials,
// and has no second round.
func TestDenials(t *testing.T) {
	tests := map[string]struct {
		request search.Request
		limit   int
		again   bool
	}{
		"an extra attempt":                {search.Request{Extra: true}, retry.MaxDenials(0, false), false},
		"while extra attempts are scarce": {search.Request{Extra: true, Scarce: true}, retry.MaxDenials(0, true), false},
		"a first attempt goes on":         {search.Request{}, 30, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := begin(test.request, make([]float64, 40)...)
			for i := range test.limit {
				assert.Assert(t, !s.TooManyDenials(), "after %d", i)
				s.Refused(nextReservation(t, s), search.Refusal{Denied: true})
			}
			assert.Equal(t, s.TooManyDenials(), !test.again)
			_, again := s.NextRound(start)
			assert.Equal(t, again, test.again)
		})
	}
}

// TestNextRound checks that pauses between rounds grow, that rounds after the first are a last
// resort, and that none begins after the request stops waiting.
func TestNextRound(t *testing.T) {
	s := begin(search.Request{}, 0.1)
	assert.Equal(t, s.Constraints(), breaker.Constraints{})
	for _, want := range []time.Duration{20, 40, 80, 80} {
		pause, again := s.NextRound(start)
		assert.Equal(t, pause, want*time.Millisecond)
		assert.Assert(t, again)
	}
	assert.Assert(t, s.Constraints().LastResort)
	_, again := s.NextRound(start.Add(920 * time.Millisecond))
	assert.Assert(t, !again)
}

// TestMaxSuspicion checks that a higher suspicion of a server is accepted the more expensive the
// next choice is.
func TestMaxSuspicion(t *testing.T) {
	tests := map[string]struct {
		costs     []float64
		low, high float64
	}{
		"the next costs the same":      {[]float64{0.5, 0.5}, 0.7, 0.7},
		"the next costs somewhat more": {[]float64{0.5, 0.7}, 1.29, 1.31},
		"the next is far":              {[]float64{0.5, 3}, 2.5, 2.5},
		"there is no next server":      {[]float64{0.5}, 1e9, math.Inf(1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			suspicion := nextReservation(t, begin(search.Request{}, test.costs...)).Constraints.MaxSuspicion
			assert.Assert(t, suspicion >= test.low && suspicion <= test.high, "%v", suspicion)
		})
	}
}

// TestMaxSlotWait checks how long an attempt may wait for a slot.
func TestMaxSlotWait(t *testing.T) {
	tests := map[string]struct {
		objective, remaining time.Duration
		eager                bool
		want                 time.Duration
	}{
		"by its objective":                     {objective: 800 * time.Millisecond, remaining: time.Second, want: 320 * time.Millisecond},
		"by its remaining time":                {objective: 800 * time.Millisecond, remaining: 4 * time.Second, want: time.Second},
		"never longer than its remaining time": {objective: 800 * time.Millisecond, remaining: 100 * time.Millisecond, want: 100 * time.Millisecond},
		"longer if eager":                      {objective: 800 * time.Millisecond, remaining: time.Second, eager: true, want: 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, search.MaxSlotWait(test.remaining, test.objective, test.eager), test.want)
		})
	}
}
