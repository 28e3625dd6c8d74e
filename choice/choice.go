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

// Costs, in units of one whole server's slots.
const (
	// remoteCost keeps requests in their own data centre until its servers are
	// that much fuller than others. Bytes between data centres are paid for.
	remoteCost = 0.5
	// sickCost stands for a sickness that was told a moment ago.
	sickCost = 3.0
	// shedCost stands for a server that rejects every request.
	shedCost = 1.5
	// silentCost stands for a process that did not answer.
	silentCost = 10.0
	// warmingCost stands for a server that has just started and is slow.
	warmingCost = 0.5
	// quietCost stands for a server without a recent success, for requests that
	// must not be trials.
	quietCost = 0.2
	// jitter separates equals, so that many ingresses do not choose the same.
	jitter = 0.15
)

const (
	// sickMemory is how long a told sickness counts for requests that may be
	// trials, and sickMemoryCareful for the others.
	sickMemory        = 600 * time.Millisecond
	sickMemoryCareful = 2 * time.Second
	// loadMemory is how long a told load counts.
	loadMemory = 1500 * time.Millisecond
	// shedMemory is how long a told share of rejections counts.
	shedMemory = 2 * time.Second
	// recentSuccess is how old a success may be that makes a server trusted.
	recentSuccess = 700 * time.Millisecond
	// firstSilence and maxSilence bound how long a silent process is avoided.
	firstSilence = 500 * time.Millisecond
	maxSilence   = 3 * time.Second
	// sickPause is the least time before a careful request asks a sick server
	// again, and fullPause that for any request and a full one. Asking all of
	// them over and over would fill the network just when all are full.
	sickPause = 300 * time.Millisecond
	fullPause = 60 * time.Millisecond
	// lastResortPause is that before a request without a better choice makes
	// itself the trial of a sick server.
	lastResortPause = 100 * time.Millisecond
	// goneMemory is how long a server is avoided that another took the place of.
	goneMemory = 3 * time.Second
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
		list = append(list, priced{server.ServerEntry, s.cost(now, server, ask)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].cost < list[j].cost })
	entries := make([]slatewind.ServerEntry, len(list))
	for i, p := range list {
		entries[i] = p.entry
	}
	return entries
}

// worthAsking reports whether a reservation may be granted now.
func (server *Server) worthAsking(now time.Time, ask breaker.Ask) bool {
	age := now.Sub(server.toldAt)
	switch {
	case server.Leaving, server.told.Leaving && age < loadMemory:
		return false
	case server.told.Full && age < fullPause:
		return false
	case server.told.Sick && ask.LastResort:
		return server.told.SuccessShare >= breaker.UsefulShare || age >= sickPause || !ask.Careful && age >= lastResortPause
	case server.told.Sick && ask.Careful:
		return age >= max(server.told.TrialIn, sickPause)
	case server.told.Sick:
		return age >= server.told.TrialIn
	}
	return true
}

// Cost returns a server's cost without the random part, for state dumps.
func (s *Service) Cost(now time.Time, server *Server, ask breaker.Ask) float64 {
	cost := server.occupancy(now)
	if server.DataCentre != s.dataCentre {
		cost += remoteCost
	}
	if now.Sub(server.toldAt) < shedMemory {
		cost += shedCost * server.told.ShedShare
	}
	if now.Before(server.avoid) {
		cost += silentCost
	}
	if now.Before(server.warmUntil) {
		cost += warmingCost
	}
	memory := sickMemory
	if ask.Careful {
		memory = sickMemoryCareful
	}
	if server.told.Sick && now.Sub(server.toldAt) < memory {
		cost += sickCost * (1 - server.told.SuccessShare/2)
	}
	if ask.Careful && now.Sub(server.success) > recentSuccess {
		cost += quietCost
	}
	return cost
}

func (s *Service) cost(now time.Time, server *Server, ask breaker.Ask) float64 {
	return s.Cost(now, server, ask) + jitter*s.random.Float64()
}

// occupancy is how full the server is, as a share of its slots.
func (server *Server) occupancy(now time.Time) float64 {
	slots := max(float64(server.Slots), server.told.Slots, 1)
	if now.Sub(server.toldAt) > loadMemory {
		return float64(server.inFlight) / slots
	}
	return (server.told.Load + float64(server.sentSince)) / slots
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

// View is one server in a state dump.
type View struct {
	slatewind.ServerEntry
	Cost     float64 `json:"cost"`
	Load     float64 `json:"load"`
	Sick     bool    `json:"sick,omitempty"`
	InFlight int     `json:"in_flight"`
}

// Views returns the servers for a state dump, by name.
func (s *Service) Views(now time.Time) []View {
	views := make([]View, 0, len(s.servers))
	for _, server := range s.servers {
		views = append(views, View{
			ServerEntry: server.ServerEntry, Cost: s.Cost(now, server, breaker.Ask{Careful: true}),
			Load: server.told.Load, Sick: server.told.Sick, InFlight: server.inFlight,
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}
