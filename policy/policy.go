// Package policy combines the decisions of an ingress about one service: which servers
// are unhealthy (outlier), which server gets the next request (balance), and how many
// extra attempts are allowed (retry). Its input is events with their times, its output
// is decisions. It uses no clock, no input or output and no goroutine, so the daemon,
// the replay of traces and the measurements run the same code.
package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/balance"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/retry"
)

const (
	// loadMemory is how long a reported load is used. After that, the requests of
	// this ingress are the only estimate.
	loadMemory = time.Second
	// trialInterval is the minimum time between two trial requests to a server.
	trialInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff limit how long a server whose sidecar could not be
	// reached gets no requests.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxOverdueReports is how many times one unanswered attempt is observed as
	// overdue, each time after twice the wait.
	maxOverdueReports = 3
)

// server is the traffic state of one server at this ingress.
type server struct {
	// incarnation, sequence and serial are from the newest digest.
	incarnation uint64
	sequence    uint64
	serial      uint64
	// listedLeaving is set if the VM list has the server's VM as leaving,
	// reportsLeaving if the sidecar reports that the server is leaving. Either is
	// enough, since each may lag behind the other.
	listedLeaving, reportsLeaving bool
	// lastDigest is the newest digest, to be passed on when the server is ejected.
	lastDigest *slatewindv1.Digest
	inFlight   int
	// load and slots are as the sidecar reported them, at loadAt. The attempts of this
	// ingress that started or ended since are added to or subtracted from load.
	load   float64
	slots  float64
	loadAt time.Time
	// reportedAt is when the newest digest came with a reply.
	reportedAt time.Time
	// lastTrial is when the server was last picked for a trial request.
	lastTrial time.Time
	// backoff is zero if the sidecar can be reached. Otherwise no request is sent before
	// retryAt, unless no other server can be chosen.
	backoff time.Duration
	retryAt time.Time
}

// Attempt is an attempt at a server that has no reply yet.
type Attempt struct {
	Server string
	class  uint8
	sent   time.Time
	// reported counts the observations of the attempt as overdue.
	reported int
}

// Service makes the decisions about one service. It is not safe for concurrent use;
// the caller must hold a lock.
type Service struct {
	name       string
	dataCentre string
	detector   *outlier.Detector
	budget     *retry.Budget
	random     *rand.Rand
	// servers are in the order of the settings, as in detector.
	servers []server
	// local and remote are the indices of the servers by data centre.
	local, remote []int
	pick          pick
	pending       map[*Attempt]bool
}

// NewService returns the policy of an ingress in the data centre local for a service
// without servers; Update sets them.
func NewService(name, local string, seed uint64) *Service {
	return &Service{
		name:       name,
		dataCentre: local,
		detector:   outlier.NewDetector(name),
		budget:     retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
		random:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		pending:    map[*Attempt]bool{},
	}
}

// Update applies new settings of the service. dataCentre returns the data centre of a VM.
func (s *Service) Update(now time.Time, settings *slatewindv1.Service, dataCentre func(vm string) string) {
	names := make([]string, len(settings.GetServers()))
	servers := make([]server, len(names))
	for i, sv := range settings.GetServers() {
		names[i] = sv.GetName()
		if old := s.detector.Find(names[i]); old >= 0 {
			servers[i] = s.servers[old]
		}
		servers[i].slots = float64(sv.GetSlots())
	}
	s.servers = servers
	s.UpdateDataCentres(settings, dataCentre)
	s.detector.Update(now, int(settings.GetFloor()), settings.GetCaution(), names)
}

// UpdateDataCentres updates the data centres of the servers' VMs.
func (s *Service) UpdateDataCentres(settings *slatewindv1.Service, dataCentre func(vm string) string) {
	s.local, s.remote = s.local[:0], s.remote[:0]
	for i, sv := range settings.GetServers() {
		if dataCentre(sv.GetVm()) == s.dataCentre {
			s.local = append(s.local, i)
		} else {
			s.remote = append(s.remote, i)
		}
	}
}

// None is returned by Pick if no server may get the request.
const None = balance.None

// Pick returns the index of a server for one attempt, or None. Servers in tried are
// excluded.
func (s *Service) Pick(now time.Time, kind slatewind.Kind, tried []int) int {
	if kind == slatewind.KindRepeatable && len(tried) == 0 {
		if i := s.pickTrial(now); i != None {
			return i
		}
	}
	s.pick = pick{service: s, now: now, tried: tried}
	i := balance.Pick(s.random, &s.pick, s.local, s.remote)
	if i == None {
		// No server is known to be reachable: an attempt is better than a refusal.
		s.pick.unreachable = true
		i = balance.Pick(s.random, &s.pick, s.local, s.remote)
	}
	return i
}

// pick is one choice of a server. It provides package balance with the state of the
// servers it draws.
type pick struct {
	service *Service
	now     time.Time
	tried   []int
	// unreachable allows unreachable servers.
	unreachable bool
}

// Target implements balance.Targets.
func (p *pick) Target(i int) balance.Target {
	sv := &p.service.servers[i]
	t := balance.Target{Load: sv.load, Slots: sv.slots, Weight: p.service.detector.Weight(p.now, i)}
	if !p.unreachable && sv.backoff > 0 && p.now.Before(sv.retryAt) {
		t.Weight = 0
	}
	if p.now.Sub(sv.loadAt) > loadMemory {
		t.Load = float64(sv.inFlight)
	}
	if slices.Contains(p.tried, i) {
		t.Weight = 0
	}
	return t
}

// pickTrial returns the index of a server on trial that may get a single request now, or
// None.
func (s *Service) pickTrial(now time.Time) int {
	for i, known := range s.detector.Servers() {
		if known.State != slatewind.ServerTrial || known.Leaving || known.Unreachable {
			continue
		}
		if s.servers[i].inFlight > 0 || now.Sub(s.servers[i].lastTrial) < trialInterval {
			continue
		}
		s.servers[i].lastTrial = now
		return i
	}
	return None
}

// RecordFirst records a first attempt in the budget for extra attempts.
func (s *Service) RecordFirst() {
	s.budget.RecordFirst()
}

// TakeExtra reports whether the budget allows a retry or a hedge, and charges it.
func (s *Service) TakeExtra() bool {
	return s.budget.Take()
}

// Started records that an attempt is sent to server i.
func (s *Service) Started(now time.Time, i int, class uint8) *Attempt {
	s.servers[i].inFlight++
	s.servers[i].load++
	a := &Attempt{Server: s.Name(i), class: class, sent: now}
	s.pending[a] = true
	return a
}

// Ended records the end of an attempt, whatever its result.
func (s *Service) Ended(a *Attempt) {
	delete(s.pending, a)
	i := s.detector.Find(a.Server)
	if i < 0 {
		return
	}
	s.servers[i].inFlight = max(s.servers[i].inFlight-1, 0)
	s.servers[i].load = max(s.servers[i].load-1, 0)
}

// ConnectFailed records that a server's sidecar could not be reached, so that no request was
// sent. The server gets no requests for a time that doubles with each failure.
func (s *Service) ConnectFailed(now time.Time, name string) {
	i := s.detector.Find(name)
	if i < 0 {
		return
	}
	sv := &s.servers[i]
	sv.backoff = min(max(2*sv.backoff, minBackoff), maxBackoff)
	sv.retryAt = now.Add(sv.backoff)
	s.detector.SetReachable(now, name, false)
}

// ReplyLost records that an attempt was sent and no reply arrived.
func (s *Service) ReplyLost(now time.Time, name string) {
	s.detector.ObservePath(now, name, false)
}

// observeOverdue counts an attempt without a reply as evidence against its server, unless
// another reply has arrived from the server since the attempt was sent. In that case the
// server's own sidecar has already reported the attempt as overdue.
func (s *Service) observeOverdue(now time.Time, a *Attempt) {
	bound := s.detector.OverdueAfter(a.class)
	waited := now.Sub(a.sent)
	if bound == 0 || a.reported >= maxOverdueReports || waited < bound<<a.reported {
		return
	}
	a.reported++
	i := s.detector.Find(a.Server)
	if i < 0 || !s.servers[i].reportedAt.Before(a.sent) {
		return
	}
	s.detector.Observe(now, slatewind.Observation{
		Server: a.Server, Class: a.class, Result: slatewind.ResultOverdue, Latency: waited,
	})
}

// OverdueAfter returns the time after which an attempt of a class is overdue, or zero if
// it is unknown.
func (s *Service) OverdueAfter(class uint8) time.Duration {
	return s.detector.OverdueAfter(class)
}

// Incarnation returns the incarnation to which attempts at a server are addressed, or
// zero while it is unknown.
func (s *Service) Incarnation(name string) uint64 {
	i := s.detector.Find(name)
	if i < 0 {
		return 0
	}
	return s.servers[i].incarnation
}

// SetLeaving records whether the VM list has a server's VM as leaving.
func (s *Service) SetLeaving(now time.Time, name string, leaving bool) {
	if i := s.detector.Find(name); i >= 0 {
		s.servers[i].listedLeaving = leaving
		s.detector.SetLeaving(now, name, leaving || s.servers[i].reportsLeaving)
	}
}

// Observe passes one outcome to the detector. Traces and models use it in place of
// digests.
func (s *Service) Observe(now time.Time, o slatewind.Observation) {
	s.detector.Observe(now, o)
}

// Pending returns the number of attempts that have no reply yet.
func (s *Service) Pending() int {
	return len(s.pending)
}

// Tick checks unanswered attempts and applies the changes of servers' states that are
// due.
func (s *Service) Tick(now time.Time) {
	for a := range s.pending {
		s.observeOverdue(now, a)
	}
	s.detector.Tick(now)
}

// TakeRefreshRequests returns the servers whose current digests are needed to confirm a
// suspicion, and clears the list. The caller fetches the digests, applies them and then
// calls Confirm.
func (s *Service) TakeRefreshRequests() []string {
	return s.detector.TakeRefreshRequests()
}

// Confirm judges the suspicions that wait for fresh digests.
func (s *Service) Confirm(now time.Time) {
	s.detector.Confirm(now)
}

// TakeDecisions returns the decisions since the last call.
func (s *Service) TakeDecisions() []slatewind.Decision {
	return s.detector.TakeDecisions()
}

// LastDigest returns the newest digest of a server, or nil if there is none.
func (s *Service) LastDigest(name string) *slatewindv1.Digest {
	i := s.detector.Find(name)
	if i < 0 {
		return nil
	}
	return s.servers[i].lastDigest
}

// Name returns the name of the server with index i.
func (s *Service) Name(i int) string {
	return s.detector.Servers()[i].Name
}

// Serving reports whether a server may get a request that must not be repeated.
func (s *Service) Serving(now time.Time, name string) bool {
	i := s.detector.Find(name)
	if i < 0 || s.detector.Weight(now, i) == 0 {
		return false
	}
	return s.servers[i].backoff == 0 || !now.Before(s.servers[i].retryAt)
}

// Index returns the index of a server by its name, or None.
func (s *Service) Index(name string) int {
	return s.detector.Find(name)
}

// Capacity returns the number of servers that are in service, reachable and not leaving.
func (s *Service) Capacity() int {
	return s.detector.Capacity()
}

// Idle returns the number of servers that are out of service although they could serve.
func (s *Service) Idle() int {
	n := 0
	for _, known := range s.detector.Servers() {
		if !known.Serving() && !known.Leaving && !known.Unreachable {
			n++
		}
	}
	return n
}

// State returns the state of a server, or "" if the server is unknown.
func (s *Service) State(name string) slatewind.ServerState {
	i := s.detector.Find(name)
	if i < 0 {
		return ""
	}
	return s.detector.Servers()[i].State
}
