// Package choice decides which server of a service gets a request, as one
// ingress sees them.
//
// Each server has a cost: how full it was when its process last told, plus what
// this ingress has sent there since, plus surcharges for another data centre, a
// sickness that was told, and silence on the way. The cheapest server is asked
// first. A wrong choice is cheap, since a server that is full or sick refuses
// the reservation within a round trip, without a request being lost; what it
// tells with the refusal makes the next choice better.
package choice

import (
	"math/rand/v2"
	"sort"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
)

// Told is what the process beside a server told of it.
type Told struct {
	Load    float64
	Slots   float64
	Sick    bool
	Leaving bool
	// SuccessShare is the share of its newest requests that it answered well.
	SuccessShare float64
	// ShedShare is the share of its newest requests that it rejected.
	ShedShare float64
	// Full says that a reservation was refused for want of a slot.
	Full bool
	// TrialIn is when a sick server may get its next trial.
	TrialIn time.Duration
}

// Server is one server in the eyes of an ingress.
type Server struct {
	slatewind.ServerEntry
	told      Told
	toldAt    time.Time
	success   time.Time
	warmUntil time.Time
	// sentSince counts reservations since the last word, inFlight all of them.
	sentSince int
	inFlight  int
	silence   time.Duration
	avoid     time.Time
}

// Service chooses among the servers of one service. It is not safe for use by
// several goroutines; its host guards it.
type Service struct {
	dataCentre string
	random     *rand.Rand
	servers    map[string]*Server
}

// NewService returns a service without servers, as seen from a data centre.
func NewService(dataCentre string, seed uint64) *Service {
	return &Service{dataCentre: dataCentre, random: rand.New(rand.NewPCG(seed, ^seed)), servers: map[string]*Server{}}
}

// Put notes a new or changed server.
func (s *Service) Put(now time.Time, entry slatewind.ServerEntry) {
	server := s.servers[entry.Name]
	if server == nil {
		server = &Server{}
		s.servers[entry.Name] = server
	}
	server.ServerEntry = entry
	server.warmUntil = now.Add(entry.Warming)
}

// Remove forgets a server.
func (s *Service) Remove(name string) {
	delete(s.servers, name)
}

// Order returns the servers that may get a request, cheapest first.
func (s *Service) Order(now time.Time, ask breaker.Ask) []slatewind.ServerEntry {
	type priced struct {
		entry slatewind.ServerEntry
		cost  float64
	}
	list := make([]priced, 0, len(s.servers))
	for _, server := range s.servers {
		if !server.worthAsking(now, ask) {
			continue
		}
		list = append(list, priced{server.ServerEntry, s.cost(now, server, ask) + jitter*s.random.Float64()})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].cost < list[j].cost })
	entries := make([]slatewind.ServerEntry, len(list))
	for i, p := range list {
		entries[i] = p.entry
	}
	return entries
}

// Reserved notes that a reservation goes to a server.
func (s *Service) Reserved(name string) {
	if server := s.servers[name]; server != nil {
		server.inFlight++
		server.sentSince++
	}
}

// Ended notes that a reservation is over, in whatever way.
func (s *Service) Ended(name string) {
	if server := s.servers[name]; server != nil {
		server.inFlight = max(server.inFlight-1, 0)
		server.sentSince = max(server.sentSince-1, 0)
	}
}

// Heard takes what the process beside a server told.
func (s *Service) Heard(now time.Time, name string, told Told) {
	server := s.servers[name]
	if server == nil {
		return
	}
	server.told = told
	server.toldAt = now
	server.sentSince = 0
	server.silence = 0
	server.avoid = time.Time{}
}

// Succeeded notes a whole answer of a server.
func (s *Service) Succeeded(now time.Time, name string) {
	if server := s.servers[name]; server != nil {
		server.success = now
	}
}

// Silent notes that the process beside a server did not answer; it is avoided
// for a while that doubles.
func (s *Service) Silent(now time.Time, name string) {
	if server := s.servers[name]; server != nil {
		server.silence = min(max(2*server.silence, firstSilence), maxSilence)
		server.avoid = now.Add(server.silence)
	}
}

// Moved notes that another server stands at a server's address.
func (s *Service) Moved(now time.Time, name string) {
	if server := s.servers[name]; server != nil {
		server.avoid = now.Add(goneMemory)
	}
}
