package discovery

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastReaders is how many processes follow the store at least, and perReader how
	// many share one in a larger fleet. The others ask these, so that calls to the store
	// grow slowly with the fleet, and not with its data centres.
	leastReaders = 2
	perReader    = 50
)

// Place is where a server is, and so the process beside it.
type Place struct{ Address, DataCentre string }

// candidate is a place with the hash of its address, by which processes are ranked.
type candidate struct {
	Place
	hash uint64
}

// before orders candidates by their hashes.
func (c candidate) before(other candidate) int {
	switch {
	case c.hash < other.hash:
		return -1
	case c.hash > other.hash:
		return 1
	}
	return 0
}

// electorate ranks the processes of each data centre. It is made when servers come or
// go, and not for each question to a reader: sorting all servers is far more work than
// finding the readers among ranked ones (BenchmarkElect).
type electorate struct {
	// ranked holds the candidates of each data centre by their hashes.
	ranked map[string][]candidate
	size   int
}

// newElectorate ranks the processes at the given places.
func newElectorate(places []Place) *electorate {
	e := &electorate{ranked: map[string][]candidate{}}
	for _, place := range places {
		e.ranked[place.DataCentre] = append(e.ranked[place.DataCentre], candidate{place, xxhash.Sum64String(place.Address)})
	}
	for dataCentre, list := range e.ranked {
		slices.SortFunc(list, candidate.before)
		// A server and the one that takes its place may both be listed for a moment.
		list = slices.Compact(list)
		e.ranked[dataCentre] = list
		e.size += len(list)
	}
	return e
}

// readers returns which processes read the store: of each data centre the first, then of
// each the second and so on, until there are enough for all. Some may be passed over.
func (e *electorate) readers(passedOver func(address string) bool) []Place {
	enough := max(leastReaders, (e.size+perReader-1)/perReader)
	readers := make([]Place, 0, enough)
	next := make(map[string]int, len(e.ranked))
	for len(readers) < enough {
		rank := e.rank(next, passedOver)
		if len(rank) == 0 {
			break
		}
		for _, c := range rank[:min(len(rank), enough-len(readers))] {
			readers = append(readers, c.Place)
		}
	}
	return readers
}

// rank takes the next candidate of each data centre that has one left; next says which
// of its list that is.
func (e *electorate) rank(next map[string]int, passedOver func(address string) bool) []candidate {
	var rank []candidate
	for dataCentre, list := range e.ranked {
		i := next[dataCentre]
		for i < len(list) && passedOver(list[i].Address) {
			i++
		}
		if i < len(list) {
			rank = append(rank, list[i])
		}
		next[dataCentre] = i + 1
	}
	slices.SortFunc(rank, candidate.before)
	return rank
}
