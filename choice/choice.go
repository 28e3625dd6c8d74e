// Package choice orders the servers of a service for a request, as one ingress sees them.
//
// Each server has a cost: its occupancy by the last status of its sidecar, plus the requests
// that this ingress has sent there since, plus surcharges for another data centre (growing
// with the size of the request and its answer), a reported unhealthy state, rejections,
// warming up, and a sidecar that did not reply. The cheapest server is asked first. A wrong
// choice costs little: a full or unhealthy server refuses the reservation within a round trip,
// no request is lost, and the status that comes with the refusal improves the next choice.
package choice

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/retry"
)

// Status is the state of a server as its sidecar reported it.
type Status struct {
	// Load is the number of requests that hold a slot or wait for one, Slots the number of
	// slots.
	Load  float64
	Slots float64
	// Unhealthy reports that the breaker is not closed.
	Unhealthy bool
	Leaving   bool
	// StatedLeaving reports that the server itself stated that it is leaving, which is final.
	StatedLeaving bool
	// SuccessShare is the share of its recent requests that it answered well, from 0 to 1.
	SuccessShare float64
	// ShedShare is the share of its recent requests that it rejected, from 0 to 1.
	ShedShare float64
	// Suspicion measures how long the server has not answered (breaker.Breaker.Suspicion).
	Suspicion float64
	// Full reports that a reservation was refused for lack of a slot.
	Full bool
	// SlotIn is the time until a full server probably has a free slot.
	SlotIn time.Duration
	// Limited reports that a reservation was refused by the limit that the server states; it is
	// then Full, and SlotIn is exact.
	Limited bool
	// Limit is the limit that the server states, unless LimitUnknown reports that its sidecar does
	// not know.
	Limit        slatewind.ServerLimit
	LimitUnknown bool
	// Stopping reports that the sidecar refused because it is about to stop; its successor
	// is probably ready after BackIn.
	Stopping bool
	BackIn   time.Duration
	// Spent reports that the server's budget of extra attempts is spent for now.
	Spent bool
	// TrialIn is the time until an unhealthy server admits its next trial.
	TrialIn time.Duration
	// TrialDue reports that an unhealthy server waits for a trial.
	TrialDue bool
}

// Server is the state of one server at an ingress.
type Server struct {
	// The entry is never modified, only replaced, since searches keep pointers to it.
	*slatewind.ServerEntry
	// id identifies the start of the server that the entry describes.
	id string
	// hash is the hash of its address.
	hash uint64
	// abroad reports that it is in another region than the ingress.
	abroad bool
	// status is the newest status, statusAt when the sidecar reported it.
	status   Status
	statusAt time.Time
	// stated is what it stated in its answers, as far as any sidecar knew.
	stated statements
	// trialAt is when a trial became due or becomes due.
	trialAt time.Time
	// lastSuccess is when this ingress last got a complete answer from it.
	lastSuccess time.Time
	// knownAt is when this ingress learned of the server, askedAt when it last asked it for a
	// slot.
	knownAt   time.Time
	askedAt   time.Time
	warmUntil time.Time
	// sentSince counts the reservations made since statusAt, less those that ended; inFlight
	// counts all open ones.
	sentSince int
	inFlight  int
	// avoidFor is how long a sidecar that does not reply is avoided, avoidUntil when that ends.
	avoidFor   time.Duration
	avoidUntil time.Time
}

// statements are what a start of a server stated in its answers. The zero value means nothing.
type statements struct {
	limit slatewind.ServerLimit
	// leaving reports that it is leaving.
	leaving bool
	// at is when its sidecar last reported.
	at time.Time
}

// Service orders the servers of one service. It is not safe for concurrent use; its owner
// guards it by a lock.
type Service struct {
	from   Place
	random *rand.Rand
	// servers holds the servers by the ids of their starts; starts holds the id of the newest
	// start by server name. Anything reported about another start is discarded.
	servers map[string]*Server
	starts  map[string]string
	// removed holds what removed starts stated, by their ids. An entry that is removed may return
	// while the server lives.
	removed map[string]statements
}

// removedMemory is how long the statements of a removed server are remembered after the last report
// of its sidecar.
const removedMemory = time.Minute

// Place is where an ingress is.
type Place struct {
	DataCentre string
	// Regions holds the region of each data centre. Data centres that are not listed belong to
	// the region "".
	Regions map[string]string
}

// sameRegion reports whether a data centre is in the region of the place.
func (p Place) sameRegion(dataCentre string) bool {
	return p.Regions[dataCentre] == p.Regions[p.DataCentre]
}

// NewService returns a service without servers, as seen from a place.
func NewService(from Place, seed uint64) *Service {
	return &Service{from: from, random: rand.New(rand.NewPCG(seed, ^seed)), servers: map[string]*Server{}, starts: map[string]string{}, removed: map[string]statements{}}
}

// Put adds or updates a server. A newer start of a known server replaces the older one and
// inherits none of its state; an older start changes nothing.
func (s *Service) Put(now time.Time, entry slatewind.ServerEntry) {
	id := entry.ID()
	server := s.servers[id]
	if server == nil {
		if before := s.servers[s.starts[entry.Name]]; before != nil && before.Start > entry.Start {
			return
		}
		s.Remove(s.starts[entry.Name])
		s.forgetRemoved(now)
		server = &Server{id: id, knownAt: now, stated: s.removed[id]}
		s.servers[id], s.starts[entry.Name] = server, id
	}
	server.ServerEntry = &entry
	server.hash = xxhash.Sum64String(entry.Address)
	server.abroad = !s.from.sameRegion(entry.DataCentre)
	server.warmUntil = now.Add(entry.Warming)
}

// Remove deletes a start of a server.
func (s *Service) Remove(id string) {
	if server := s.servers[id]; server != nil {
		delete(s.starts, server.Name)
		delete(s.servers, id)
		if server.stated.limit.Stated || server.stated.leaving {
			s.removed[id] = server.stated
		}
	}
}

// forgetRemoved forgets what removed starts stated too long ago.
func (s *Service) forgetRemoved(now time.Time) {
	maps.DeleteFunc(s.removed, func(_ string, stated statements) bool { return now.Sub(stated.at) > removedMemory })
}

// Takes reports whether a start of a server is known and, by its entry and its answers, accepts work.
func (s *Service) Takes(id string) bool {
	server := s.servers[id]
	return server != nil && server.AcceptsWork() && !server.stated.leaving
}

// Evacuated reports that no known server accepts work, and that evacuation is the reason for at least
// one: unlike leaving servers, evacuated ones are not about to be replaced.
func (s *Service) Evacuated() bool {
	evacuated := false
	for _, server := range s.servers {
		if server.AcceptsWork() {
			return false
		}
		evacuated = evacuated || server.Evacuated
	}
	return evacuated
}

// Addresses returns the addresses of all known servers, in no particular order.
func (s *Service) Addresses() []string {
	addresses := make([]string, 0, len(s.servers))
	for _, server := range s.servers {
		addresses = append(addresses, server.Address)
	}
	return addresses
}

// Sharer returns the rank of the server at an address among the servers, by the hashes of
// their addresses, or the zero Sharer if it is not known. All processes compute the same
// ranks, and adding or removing one server changes the rank of any other by at most one.
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

// Request describes the request for which a server is chosen.
type Request struct {
	// Constraints restrict the servers to which it may go, by their health.
	breaker.Constraints
	// Extra reports that a server has received it before, or may have.
	Extra bool
	// Bytes is the expected size of the request and its answer in bytes.
	Bytes float64
}

// Candidate is a server that may be asked for a slot.
type Candidate struct {
	*slatewind.ServerEntry
	id string
	// Cost is the cost of sending the request there; 1 is a server all of whose slots are in
	// use.
	Cost float64
	// Stale reports that there is no recent status of the server.
	Stale bool
}

// ID returns the id of the server's start, by which the Service methods identify it.
func (c Candidate) ID() string { return c.id }

// Order returns the servers that may get a request, cheapest first.
func (s *Service) Order(now time.Time, request Request) []Candidate {
	list := make([]Candidate, 0, len(s.servers))
	staleCost := unhealthyCost * s.unhealthyShare(now)
	for _, server := range s.servers {
		if server.skipReason(now, request) != DispositionNone {
			continue
		}
		cost := s.cost(now, server, request) + jitter*s.random.Float64() - s.trialDiscount(now, server, request)
		stale := !server.hasRecentStatus(now)
		if stale {
			cost += staleCost
		}
		list = append(list, Candidate{server.ServerEntry, server.id, cost, stale})
	}
	slices.SortFunc(list, byCost)
	return list
}

// byCost compares candidates by cost. No cost is NaN.
func byCost(a, b Candidate) int {
	switch {
	case a.Cost < b.Cost:
		return -1
	case a.Cost > b.Cost:
		return 1
	}
	return 0
}

// unhealthyShare estimates the share of unhealthy servers among those without a recent status
// from those with one. An unhealthy server is idle, so without the estimated cost all stale
// servers would be asked before the healthy ones, which are busy with the requests that the
// unhealthy ones do not take.
func (s *Service) unhealthyShare(now time.Time) float64 {
	replied, unhealthy := 0, 0
	for _, server := range s.servers {
		if !server.hasRecentStatus(now) {
			continue
		}
		replied++
		if server.status.Unhealthy {
			unhealthy++
		}
	}
	return unhealthyShareOf(unhealthy, replied)
}

// Skipped reports whether a server must not be asked any more: its status may have changed
// since Order.
func (s *Service) Skipped(now time.Time, id string, request Request) bool {
	server := s.servers[id]
	return server == nil || server.skipReason(now, request) != DispositionNone
}

// Reserved records that a reservation is sent to a server.
func (s *Service) Reserved(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.askedAt = now
		server.inFlight++
		server.sentSince++
	}
}

// Ended records that a reservation ended, whatever its result.
func (s *Service) Ended(id string) {
	if server := s.servers[id]; server != nil {
		server.inFlight = max(server.inFlight-1, 0)
		server.sentSince = max(server.sentSince-1, 0)
	}
}

// Replied updates the status of a server by a reply of its sidecar to this ingress.
func (s *Service) Replied(now time.Time, id string, status Status) {
	server := s.servers[id]
	if server == nil {
		return
	}
	server.updateStatus(now, status)
	server.sentSince = 0
	server.avoidFor = 0
	server.avoidUntil = time.Time{}
}

// Reported updates the status of a server as its sidecar reported it to another process at a
// time, unless a newer one is known. Reservations made since then still count.
func (s *Service) Reported(at time.Time, id string, status Status) {
	server := s.servers[id]
	if server == nil || !at.After(server.statusAt) {
		return
	}
	server.updateStatus(at, status)
}

// updateStatus sets a status reported at a time. If a trial was already due and has not been
// made, the time since when it is due does not change.
func (server *Server) updateStatus(at time.Time, status Status) {
	if trialAt := at.Add(status.TrialIn); !server.status.Unhealthy || status.TrialIn > 0 || server.trialAt.After(trialAt) {
		server.trialAt = trialAt
	}
	server.status, server.statusAt = status, at
	if !status.LimitUnknown {
		server.stated.limit = status.Limit
	}
	server.stated.leaving = server.stated.leaving || status.StatedLeaving
	server.stated.at = at
}

// Limit returns the limit that a start of a server stated, as far as is known.
func (s *Service) Limit(id string) slatewind.ServerLimit {
	if server := s.servers[id]; server != nil {
		return server.stated.limit
	}
	return slatewind.ServerLimit{}
}

// Succeeded records a complete answer of a server.
func (s *Service) Succeeded(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.lastSuccess = now
	}
}

// NoReply records that the sidecar of a server did not reply. The server is avoided for a
// while, twice as long each time, up to maxAvoid.
func (s *Service) NoReply(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.avoidFor = min(max(2*server.avoidFor, minAvoid), maxAvoid)
		server.avoidUntil = now.Add(server.avoidFor)
	}
}

// Moved records that a server of another service runs at a server's address.
func (s *Service) Moved(now time.Time, id string) {
	if server := s.servers[id]; server != nil {
		server.avoidUntil = now.Add(movedAvoid)
	}
}
