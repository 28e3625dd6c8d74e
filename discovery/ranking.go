package discovery

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minReaders is the minimum number of processes that read the store, and processesPerReader
	// the number of processes per reader in a larger fleet. The other processes query the
	// readers, so that the number of calls to the store grows slowly with the fleet and does not
	// depend on the number of data centres.
	minReaders         = 2
	processesPerReader = 50
)

// Endpoint is the location of a server. It also identifies the process beside that server.
type Endpoint struct{ Address, DataCentre string }

// candidate is an endpoint with the hash of its address, by which processes are ranked.
type candidate struct {
	Endpoint
	hash uint64
}

// compare orders candidates by their hashes.
func (c candidate) compare(other candidate) int {
	switch {
	case c.hash < other.hash:
		return -1
	case c.hash > other.hash:
		return 1
	}
	return 0
}

// ranking holds the processes of each data centre in the order in which they become readers. It
// is built when servers are added or removed and not for each poll: sorting all servers takes far
// longer than finding the readers in a sorted list (BenchmarkElect).
type ranking struct {
	// byDataCentre holds the candidates of each data centre, sorted by hash.
	byDataCentre map[string][]candidate
	size         int
}

// newRanking ranks the processes at the given endpoints.
func newRanking(endpoints []Endpoint) *ranking {
	r := &ranking{byDataCentre: map[string][]candidate{}}
	for _, endpoint := range endpoints {
		r.byDataCentre[endpoint.DataCentre] = append(r.byDataCentre[endpoint.DataCentre], candidate{endpoint, xxhash.Sum64String(endpoint.Address)})
	}
	for dataCentre, list := range r.byDataCentre {
		slices.SortFunc(list, candidate.compare)
		// A server and its replacement at the same address may both be listed for a short time.
		list = slices.Compact(list)
		r.byDataCentre[dataCentre] = list
		r.size += len(list)
	}
	return r
}

// readers returns the processes that read the store: the first of each data centre, then the
// second of each and so on, until there are enough for the fleet. Processes for which skip
// returns true are left out.
func (r *ranking) readers(skip func(address string) bool) []Endpoint {
	enough := max(minReaders, (r.size+processesPerReader-1)/processesPerReader)
	readers := make([]Endpoint, 0, enough)
	next := make(map[string]int, len(r.byDataCentre))
	for len(readers) < enough {
		round := r.nextRound(next, skip)
		if len(round) == 0 {
			break
		}
		for _, c := range round[:min(len(round), enough-len(readers))] {
			readers = append(readers, c.Endpoint)
		}
	}
	return readers
}

// nextRound returns the next candidate of each data centre that has one left. next holds the
// position in the list of each data centre and is advanced.
func (r *ranking) nextRound(next map[string]int, skip func(address string) bool) []candidate {
	var round []candidate
	for dataCentre, list := range r.byDataCentre {
		i := next[dataCentre]
		for i < len(list) && skip(list[i].Address) {
			i++
		}
		if i < len(list) {
			round = append(round, list[i])
		}
		next[dataCentre] = i + 1
	}
	slices.SortFunc(round, candidate.compare)
	return round
}
