package discovery

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// skipNone skips no process.
func skipNone(string) bool { return false }

// TestElect checks how many processes read the store, and in how many data centres, for fleets of
// various sizes.
func TestElect(t *testing.T) {
	tests := map[string]struct {
		sizes []int
		// readers is the total number of readers; far reports that some data centre has none of
		// its own.
		readers int
		far     bool
	}{
		"one small":                    {[]int{12}, 2, false},
		"three small":                  {[]int{7, 7, 7}, 2, true},
		"five very small":              {[]int{5, 4, 4, 4, 4}, 2, true},
		"three of an ordinary size":    {[]int{27, 27, 25}, 2, true},
		"five large":                   {[]int{47, 47, 47, 47, 47}, 5, false},
		"six at the target size":       {[]int{400, 400, 400, 400, 300, 300}, 44, false},
		"fewer processes than readers": {[]int{1}, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var endpoints []Endpoint
			for dc, size := range test.sizes {
				for i := range size {
					endpoints = append(endpoints, Endpoint{fmt.Sprintf("10.%d.%d.%d:1", dc, i/250, i%250), fmt.Sprint("dc-", dc)})
				}
			}
			elected := newRanking(endpoints).readers(skipNone)
			assert.Equal(t, len(elected), test.readers)
			with := map[string]int{}
			for _, endpoint := range elected {
				with[endpoint.DataCentre]++
			}
			assert.Equal(t, len(with) < len(test.sizes), test.far)
			slices.Reverse(endpoints)
			assert.DeepEqual(t, newRanking(endpoints).readers(skipNone), elected)
		})
	}
}

// TestElectSkips checks that a reader that does not answer is replaced by the next process of its
// data centre.
func TestElectSkips(t *testing.T) {
	var endpoints []Endpoint
	for i := range 60 {
		endpoints = append(endpoints, Endpoint{fmt.Sprint("10.0.0.", i, ":1"), fmt.Sprint("dc-", i%2)})
	}
	r := newRanking(endpoints)
	before := r.readers(skipNone)
	after := r.readers(func(address string) bool { return address == before[0].Address })
	assert.Equal(t, len(after), len(before))
	assert.Assert(t, !slices.Contains(after, before[0]))
	assert.Assert(t, slices.Contains(after, before[1]))
	assert.Equal(t, after[0].DataCentre != after[1].DataCentre, true)
}

// BenchmarkElect measures how long it takes to find the readers among 21,000 servers, the target
// size. Each process does this every 0.45 s.
func BenchmarkElect(b *testing.B) {
	w := NewWatcher(nil, nil)
	for i := range 21_000 {
		name := fmt.Sprint("s-", i)
		w.servers[name] = knownServer{ServerEntry: slatewind.ServerEntry{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:1", i%6, i/250, i%250), DataCentre: fmt.Sprint("dc-", i%6)}}
	}
	for b.Loop() {
		w.currentRanking().readers(skipNone)
	}
}
