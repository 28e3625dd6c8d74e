package discovery

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// nobody is passed over.
func nobody(string) bool { return false }

// TestElect states how many processes read the store, and in which data centres, by the
// sizes of these.
func TestElect(t *testing.T) {
	tests := map[string]struct {
		sizes []int
		// readers are those of the data centres together, far says that some data centre
		// has none of its own.
		readers int
		far     bool
	}{
		"one small":                  {[]int{12}, 2, false},
		"three small":                {[]int{7, 7, 7}, 2, true},
		"five very small":            {[]int{5, 4, 4, 4, 4}, 2, true},
		"three of an ordinary size":  {[]int{27, 27, 25}, 2, true},
		"five large":                 {[]int{47, 47, 47, 47, 47}, 5, false},
		"six at the target size":     {[]int{400, 400, 400, 400, 300, 300}, 44, false},
		"fewer than there should be": {[]int{1}, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var places []Place
			for dc, size := range test.sizes {
				for i := range size {
					places = append(places, Place{fmt.Sprintf("10.%d.%d.%d:1", dc, i/250, i%250), fmt.Sprint("dc-", dc)})
				}
			}
			elected := newRanking(places).readers(nobody)
			assert.Equal(t, len(elected), test.readers)
			with := map[string]int{}
			for _, place := range elected {
				with[place.DataCentre]++
			}
			assert.Equal(t, len(with) < len(test.sizes), test.far)
			slices.Reverse(places)
			assert.DeepEqual(t, newRanking(places).readers(nobody), elected)
		})
	}
}

// TestElectPassesOver: in place of a reader that does not answer the next of its data
// centre reads.
func TestElectPassesOver(t *testing.T) {
	var places []Place
	for i := range 60 {
		places = append(places, Place{fmt.Sprint("10.0.0.", i, ":1"), fmt.Sprint("dc-", i%2)})
	}
	e := newRanking(places)
	before := e.readers(nobody)
	after := e.readers(func(address string) bool { return address == before[0].Address })
	assert.Equal(t, len(after), len(before))
	assert.Assert(t, !slices.Contains(after, before[0]))
	assert.Assert(t, slices.Contains(after, before[1]))
	assert.Equal(t, after[0].DataCentre != after[1].DataCentre, true)
}

// BenchmarkElect gives the time to find the readers of the target size's 21,000 servers,
// as each process does each 0.45 s.
func BenchmarkElect(b *testing.B) {
	w := NewWatcher(nil, nil)
	for i := range 21_000 {
		name := fmt.Sprint("s-", i)
		w.servers[name] = knownServer{ServerEntry: slatewind.ServerEntry{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:1", i%6, i/250, i%250), DataCentre: fmt.Sprint("dc-", i%6)}}
	}
	for b.Loop() {
		w.currentRanking().readers(nobody)
	}
}
