// Package choice decides which server of a service gets a request, as one
// ingress sees them.
//
// Each server has a cost: how full it was by the last reply of the process beside
// it, plus what this ingress has sent there since, plus surcharges for another
// data centre (the more, the larger the request and its answer are), a reported
// sickness, rejections, warming up, and a process that did not reply. The cheapest server is asked
// first. A wrong choice is cheap, since a server that is full or sick refuses
// the reservation within a round trip, without a request being lost; the state
// that comes with the refusal makes the next choice better.
package choice

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/retry"
)

// Status is what the process beside a server told of it.
type Status struct {
	// Load is how many requests hold a slot or wait for one, Slots how many
	// slots there are.
	Load  float64
	Slots float64
	// Unhealthy says that the breaker is not closed.
	Unhealthy    bool
	Leaving bool
	// SuccessShare is the share of its newest requests that it answered well,
	// from 0 to 1.
	SuccessShare float64
	// ShedShare is the share of its newest requests that it rejected, from 0 to 1.
	ShedShare float64
	// Suspicion says how long the server has not answered for (package breaker).
	Suspicion float64
	// Full says that a reservation was refused for want of a slot.
	Full bool
	// SlotIn is when a full server is likely to have a slot.
	SlotIn time.Duration
	// Stopping says that the process beside the server refused since it is about to end;
	// the next one is likely to be there after BackIn.
	Stopping bool
	BackIn   time.Duration
	// Spent says that the server may get no extra arrival just then.
	Spent bool
	// TrialIn is how long it is until a sick server may get its next trial.
	TrialIn time.Duration
	// TrialDue says that a sick server waits for a trial.
	TrialDue bool
}

// Server is one server in the eyes of an ingress.
type Server struct {
	// The entry is never changed, only replaced: searches hold it.
	*slatewind.ServerEntry
	// id is the identity of the start that the entry is of.
	id string
	// hash is that of its address.
	hash uint64
	// told is the newest state, as it was told at toldAt.
	told   Status
	toldAt time.Time
	// trialAt is when a trial of it became due, or will.
	trialAt time.Time
	// success is when this ingress last got a whole answer from it.
	success time.Time
	// knownAt is when this ingress heard of the server, askedAt when it last asked it for
	// a slot.
	knownAt   time.Time
	askedAt   time.Time
	warmUntil time.Time
	// sentSince counts reservations since toldAt, inFlight all that are open.
	sentSince int
	inFlight  int
	// silence is how long a process that does not reply is avoided, until avoid.
	silence time.Duration
	avoid   time.Time
}

// Service chooses among the servers of one service. It is not safe for use by
// several goroutines; its host guards it.
type Service struct {
	dataCentre string
	random     *rand.Rand
	// servers holds them by the identities of their starts, starts the newest of those by
	// the servers' names. Whatever is told of a start that is none of them is forgotten.
	servers map[string]*Server
	starts  map[string]string
}

// NewService returns a service without servers, as seen from a data centre.
func NewService(dataCentre string, seed uint64) *Service {
	return &Service{dataCentre: dataCentre, random: rand.New(rand.NewPCG(seed, ^seed)), servers: map[string]*Server{}, starts: map[string]string{}}
}

// Put notes a new or changed server. Another start of one that is known takes its place
// and begins with nothing; an older start changes nothing.
func (s *Service) Put(now time.Time, entry slatewind.ServerEntry) {
	id := entry.ID()
	server := s.servers[id]
	if server == nil {
		if before := s.servers[s.starts[entry.Name]]; before != nil && before.Start > entry.Start {
			return
		}
		delete(s.servers, s.starts[entry.Name])
		server = &Server{id: id, knownAt: now}
		s.servers[id], s.starts[entry.Name] = server, id
	}
	server.ServerEntry = &entry
	server.hash = xxhash.Sum64String(entry.Address)
	server.warmUntil = now.Add(entry.Warming)
}

// Remove forgets a start of a server.
func (s *Service) Remove(id string) {
	if server := s.servers[id]; server != nil {
		delete(s.starts, server.Name)
		delete(s.servers, id)
	}
}

// Takes reports whether a start of a server is known and does not leave.
func (s *Service) Takes(id string) bool {
	server := s.servers[id]
	return server != nil && !server.Leaving
}

// Addresses returns those of all known servers, in no order.
func (s *Service) Addresses() []string {
	addresses := make([]string, 0, len(s.servers))
	for _, server := range s.servers {
		addresses = append(addresses, server.Address)
	}
	return addresses
}

// Sharer returns the place of the server at an address among the servers by the hashes of
// their addresses, or none where it is not known. All processes find the same order, and a
// change of one server moves no other by more than one.
func (s *Service) Sharer(address string) retry.Sharer {
	place := retry.Sharer{Servers: len(s.servers)}
	own, known := xxhash.Sum64String(address), false
	for _, server := range s.servers {
		known = known || server.Address == address
		if server.hash < own {
			place.Rank++
		}
	}
	if !known {
		return retry.Sharer{}
	}
	return place
}

// Request says what the request is like that needs a server.
type Request struct {
	// Ask says what it may do to servers that look sick.
	breaker.Constraints
	// Extra says that a server has seen it before, or may see it.
	Extra bool
	// Bytes is how many bytes it and its answer are expected to have.
	Bytes float64
}

// Candidate is a server that may get a request.
type Candidate struct {
	*slatewind.ServerEntry
	id string
	// Cost is what it costs to send the request there; 1 is a server all of whose
	// slots are in use.
	Cost float64
	// Stale says that nothing was heard of it lately.
	Stale bool
}

// ID returns the identity of the server's start, by which the service knows it.
func (c Candidate) ID() string { return c.id }

// Order returns the servers that may get a request, cheapest first.
func (s *Service) Order(now time.Time, want Request) []Candidate {
	list := make([]Candidate, 0, len(s.servers))
	unheardCost := sickCost * s.sickShare(now)
	for _, server := range s.servers {
		if server.passedOver(now, want) != DispositionNone {
			continue
		}
		cost := s.cost(now, server, want) + jitter*s.random.Float64() - s.trialRelief(now, server, want)
		unheard := !server.heardLately(now)
		if unheard {
			cost += unheardCost
		}
		list = append(list, Candidate{server.ServerEntry, server.id, cost, unheard})
	}
	slices.SortFunc(list, byCost)
	return list
}

// byCost compares candidates by their costs, which are numbers.
func byCost(a, b Candidate) int {
	switch {
	case a.Cost < b.Cost:
		return -1
	case a.Cost > b.Cost:
		return 1
	}
	return 0
}

// sickShare returns the share of the servers that are expected to be sick among those of
// which nothing was heard lately, by those of which something was. A sick server is idle,
// so that at no cost it would be asked before all that are busy with the requests that it
// does not take.
func (s *Service) sickShare(now time.Time) float64 {
	heard, sick := 0, 0
	for _, server := range s.servers {
		if !server.heardLately(now) {
			continue
		}
		heard++
		if server.told.Unhealthy {
			sick++
		}
	}
	return shareOf(sick, heard)
}

// Skipped reports whether a server is not to be asked any more: it may have been heard
// of since the order was made.
func (s *Service) Skipped(now time.Time, id string, want Request) bool {
	server := s.servers[id]
	return server == nil || server.passedOver(now, want) != DispositionNone
}

// Reserved notes that a reservation goes to a server.
func (s *Service) Reserved(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.askedAt = now
		server.inFlight++
		server.sentSince++
	}
}

// Ended notes that a reservation is over, in whatever way.
func (s *Service) Ended(id string) {
	if server := s.servers[id]; server != nil {
		server.inFlight = max(server.inFlight-1, 0)
		server.sentSince = max(server.sentSince-1, 0)
	}
}

// Replied takes the state that the process beside a server replied with.
func (s *Service) Replied(now time.Time, id string, told Status) {
	server := s.servers[id]
	if server == nil {
		return
	}
	server.tell(now, told)
	server.sentSince = 0
	server.silence = 0
	server.avoid = time.Time{}
}

// Reported takes the state that the process beside a server told another one at a time,
// unless a newer one is known. What was sent there since counts on.
func (s *Service) Reported(at time.Time, id string, told Status) {
	server := s.servers[id]
	if server == nil || !at.After(server.toldAt) {
		return
	}
	server.tell(at, told)
}

// tell notes a state that was told at a time. A trial that was due already and was not made is
// due since then.
func (server *Server) tell(at time.Time, told Status) {
	if trialAt := at.Add(told.TrialIn); !server.told.Unhealthy || told.TrialIn > 0 || server.trialAt.After(trialAt) {
		server.trialAt = trialAt
	}
	server.told, server.toldAt = told, at
}

// Succeeded notes a whole answer of a server.
func (s *Service) Succeeded(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.success = now
	}
}

// NoReply notes that the process beside a server did not reply; it is avoided for
// a while, twice as long each time up to maxSilence.
func (s *Service) NoReply(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.silence = min(max(2*server.silence, firstSilence), maxSilence)
		server.avoid = now.Add(server.silence)
	}
}

// Moved notes that a server of another service runs at a server's address.
func (s *Service) Moved(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.avoid = now.Add(goneMemory)
	}
}
