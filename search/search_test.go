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

// begin returns a search for a request that waits for a second, among servers of the given
// costs.
func begin(request search.Request, costs ...float64) *search.Search {
	request.Until = start.Add(time.Second)
	s := search.New(request)
	s.Begin(candidates(costs...))
	return s
}

func none(choice.Candidate) bool { return false }

// ask returns the next question, which must be there.
func ask(t *testing.T, s *search.Search) *search.Reservation {
	t.Helper()
	q, ok := s.Next(start, none)
	assert.Assert(t, ok, "nobody is left to ask")
	return q
}

// TestOrder: servers are asked by their cost, but for those that have seen the request and
// those that were heard of meanwhile.
func TestOrder(t *testing.T) {
	s := begin(search.Request{Tried: map[string]bool{"s-1": true}}, 0.1, 0.2, 0.3, 0.4)
	assert.Equal(t, ask(t, s).Server.Name, "s-0")
	q, ok := s.Next(start, func(server choice.Candidate) bool { return server.Name == "s-2" })
	assert.Assert(t, ok)
	assert.Equal(t, q.Server.Name, "s-3")
	_, ok = s.Next(start, none)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, s.Asked(), map[string]bool{"s-0": true, "s-3": true})
}

// TestQueues: a request waits at three servers, fewer where the next is much dearer, and at
// more once it has waited in vain.
func TestQueues(t *testing.T) {
	tests := map[string]struct {
		costs []float64
		// more is whether another is asked after each word that the request waits.
		more []bool
	}{
		"three near ones":      {[]float64{0.1, 0.2, 0.3, 0.4}, []bool{true, true, false}},
		"the next is far":      {[]float64{0.1, 0.2, 1.0, 1.1}, []bool{true, false}},
		"all cost as much":     {[]float64{1.1, 1.1, 1.1, 1.1}, []bool{true, true, false}},
		"no other server left": {[]float64{0.1}, []bool{false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := begin(search.Request{}, test.costs...)
			for i, more := range test.more {
				assert.Equal(t, s.Queued(ask(t, s)), more, "after %d", i+1)
			}
			assert.Assert(t, s.Widen())
		})
	}
}

// TestWidenInVain: a request that waits nowhere is not sent to more servers by the time.
func TestWidenInVain(t *testing.T) {
	s := begin(search.Request{}, 0.1, 0.2)
	ask(t, s)
	assert.Assert(t, !s.Widen())
}

// TestSilent: a server that does not reply has the next one asked as well, and is avoided if
// it stays silent.
func TestSilent(t *testing.T) {
	tests := map[string]struct {
		age              time.Duration
		heard            bool
		more, unreplying bool
	}{
		"a moment ago": {search.ReplyOverdueAfter - 1, false, false, false},
		"silent":       {search.ReplyOverdueAfter, false, true, false},
		"long silent":  {120 * time.Millisecond, false, true, true},
		"it waits":     {120 * time.Millisecond, true, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := begin(search.Request{}, 0.1, 0.2)
			q := ask(t, s)
			if test.heard {
				s.Replied(q)
			}
			assert.Equal(t, s.ReplyOverdue(start.Add(test.age)), test.more)
			assert.Equal(t, q.Unresponsive(start.Add(test.age)), test.unreplying)
		})
	}
}

// TestDenials: a look for an extra attempt that is denied ends after so many servers, and
// has no second round.
func TestDenials(t *testing.T) {
	tests := map[string]struct {
		request search.Request
		most    int
		again   bool
	}{
		"an extra attempt":           {search.Request{Extra: true}, retry.MaxDenials(0, false), false},
		"while these are scarce":     {search.Request{Extra: true, Scarce: true}, retry.MaxDenials(0, true), false},
		"a first attempt goes on on": {search.Request{}, 30, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := begin(test.request, make([]float64, 40)...)
			for i := range test.most {
				assert.Assert(t, !s.TooManyDenials(), "after %d", i)
				s.Refused(ask(t, s), search.Refusal{Denied: true})
			}
			assert.Equal(t, s.TooManyDenials(), !test.again)
			_, again := s.NextRound(start)
			assert.Equal(t, again, test.again)
		})
	}
}

// TestAgain: pauses between rounds grow, the last resort follows the first, and none begins
// when the request gives up before.
func TestAgain(t *testing.T) {
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

// TestBears: the dearer the next choice is, the more suspicion of a server is borne.
func TestBears(t *testing.T) {
	tests := map[string]struct {
		costs       []float64
		least, most float64
	}{
		"the next costs the same":  {[]float64{0.5, 0.5}, 0.7, 0.7},
		"the next is somewhat far": {[]float64{0.5, 0.7}, 1.29, 1.31},
		"the next is far":          {[]float64{0.5, 3}, 2.5, 2.5},
		"there is no next":         {[]float64{0.5}, 1e9, math.Inf(1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bears := ask(t, begin(search.Request{}, test.costs...)).Constraints.MaxSuspicion
			assert.Assert(t, bears >= test.least && bears <= test.most, "%v", bears)
		})
	}
}

// TestPatience states how long an attempt may wait for a slot.
func TestPatience(t *testing.T) {
	tests := map[string]struct {
		objective, remaining time.Duration
		eager                bool
		want                 time.Duration
	}{
		"by its objective":                 {objective: 800 * time.Millisecond, remaining: time.Second, want: 320 * time.Millisecond},
		"by its time":                      {objective: 800 * time.Millisecond, remaining: 4 * time.Second, want: time.Second},
		"never longer than its time":       {objective: 800 * time.Millisecond, remaining: 100 * time.Millisecond, want: 100 * time.Millisecond},
		"longer after a server has failed": {objective: 800 * time.Millisecond, remaining: time.Second, eager: true, want: 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, search.MaxSlotWait(test.remaining, test.objective, test.eager), test.want)
		})
	}
}
