// Package policy puts the decisions about one service together, as one ingress
// makes them: who is sick (outlier), who gets the next request (balance), and
// how many extra attempts may go (retry). Events and their time go in,
// decisions come out; there is no clock, no input or output and no goroutine,
// so the daemon, the replay of traces and the measurements drive the same code.
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
	// loadMemory is how long a reported load counts; then only the requests
	// of this ingress do.
	loadMemory = time.Second
	// trialEvery is the least time between two trial requests to a server.
	trialEvery = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound how long a server whose sidecar could
	// not be reached is left alone.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// overdueTimes is how often one unanswered attempt is told as overdue, each
	// time after twice the wait.
	overdueTimes = 3
)

// server is the traffic state of one server at this ingress.
type server struct {
	incarnation uint64
	sequence    uint64
	serial      uint64
	// listed and said: the VM list has its VM as leaving; it says so itself.
	// Either is enough, since each may lag behind the other.
	listed, said bool
	// last is the newest digest, to pass on when the server is ejected.
	last     *slatewindv1.Digest
	inFlight int
	// load and slots are as the sidecar reported them, load brought forward by
	// this ingress's own requests.
	load      float64
	slots     float64
	reported  time.Time
	heard     time.Time
	lastTrial time.Time
	backoff   time.Duration
	retryAt   time.Time
}

// Attempt is an attempt at a server that has no reply yet.
type Attempt struct {
	Server string
	class  uint8
	sent   time.Time
	told   int
}

// Service decides about one service. It is not safe for use by several
// goroutines; its host guards it.
type Service struct {
	name       string
	dataCentre string
	detector   *outlier.Detector
	budget     *retry.Budget
	random     *rand.Rand
	servers    []server
	// local and remote list the servers by data centre.
	local, remote []int
	pick          pick
	waiting       map[*Attempt]bool
}

// NewService returns the decisions of an ingress in the data centre local.
func NewService(name, local string, seed uint64) *Service {
	return &Service{
		name:       name,
		dataCentre: local,
		detector:   outlier.NewDetector(name),
		budget:     retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
		random:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		waiting:    map[*Attempt]bool{},
	}
}

// Update takes new settings of the service. dataCentre tells where a VM is.
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
	s.Locate(settings, dataCentre)
	s.detector.Update(now, int(settings.GetFloor()), settings.GetCaution(), names)
}

// Locate notes the data centres of the servers' VMs anew.
func (s *Service) Locate(settings *slatewindv1.Service, dataCentre func(vm string) string) {
	s.local, s.remote = s.local[:0], s.remote[:0]
	for i, sv := range settings.GetServers() {
		if dataCentre(sv.GetVm()) == s.dataCentre {
			s.local = append(s.local, i)
		} else {
			s.remote = append(s.remote, i)
		}
	}
}

// None is returned by Pick where no server may get the request.
const None = balance.None

// Pick chooses a server for one attempt. Servers in tried are passed over.
func (s *Service) Pick(now time.Time, kind slatewind.Kind, tried []int) int {
	if kind == slatewind.KindRepeatable && len(tried) == 0 {
		if i := s.pickTrial(now); i != None {
			return i
		}
	}
	s.pick = pick{service: s, now: now, tried: tried}
	i := balance.Pick(s.random, &s.pick, s.local, s.remote)
	if i == None {
		// Every server is out of reach: trying one is better than refusing.
		s.pick.unreachable = true
		i = balance.Pick(s.random, &s.pick, s.local, s.remote)
	}
	return i
}

// pick is one choice; it tells package balance of the servers that it draws.
type pick struct {
	service *Service
	now     time.Time
	tried   []int
	// unreachable servers may be chosen too.
	unreachable bool
}

// Target implements balance.Targets.
func (p *pick) Target(i int) balance.Target {
	sv := &p.service.servers[i]
	t := balance.Target{Load: sv.load, Slots: sv.slots, Weight: p.service.detector.Weight(p.now, i)}
	if !p.unreachable && sv.backoff > 0 && p.now.Before(sv.retryAt) {
		t.Weight = 0
	}
	if p.now.Sub(sv.reported) > loadMemory {
		t.Load = float64(sv.inFlight)
	}
	if slices.Contains(p.tried, i) {
		t.Weight = 0
	}
	return t
}

// pickTrial returns a server that may get a single request to prove itself.
func (s *Service) pickTrial(now time.Time) int {
	for i, known := range s.detector.Servers() {
		if known.State != slatewind.ServerTrial || known.Leaving || known.Unreachable {
			continue
		}
		if s.servers[i].inFlight > 0 || now.Sub(s.servers[i].lastTrial) < trialEvery {
			continue
		}
		s.servers[i].lastTrial = now
		return i
	}
	return None
}

// First notes a first attempt in the budget of extra ones.
func (s *Service) First() {
	s.budget.First()
}

// TakeExtra allows or denies a retry or a hedge.
func (s *Service) TakeExtra() bool {
	return s.budget.Take()
}

// Started notes that an attempt goes to a server.
func (s *Service) Started(now time.Time, i int, class uint8) *Attempt {
	s.servers[i].inFlight++
	s.servers[i].load++
	a := &Attempt{Server: s.Name(i), class: class, sent: now}
	s.waiting[a] = true
	return a
}

// Ended notes that an attempt is over, in whatever way.
func (s *Service) Ended(a *Attempt) {
	delete(s.waiting, a)
	i := s.detector.Find(a.Server)
	if i < 0 {
		return
	}
	s.servers[i].inFlight = max(s.servers[i].inFlight-1, 0)
	s.servers[i].load = max(s.servers[i].load-1, 0)
}

// Unreached notes that a server's sidecar could not be reached at all, for
// which no request is lost: it is left alone for a while that doubles.
func (s *Service) Unreached(now time.Time, name string) {
	i := s.detector.Find(name)
	if i < 0 {
		return
	}
	sv := &s.servers[i]
	sv.backoff = min(max(2*sv.backoff, firstBackoff), maxBackoff)
	sv.retryAt = now.Add(sv.backoff)
	s.detector.SetReachable(now, name, false)
}

// Lost notes that an attempt was sent and no reply came at all.
func (s *Service) Lost(now time.Time, name string) {
	s.detector.ObservePath(now, name, false)
}

// noteOverdue makes an attempt without a reply evidence against its server, if
// nothing else has come from the server meanwhile. Otherwise the server's own
// sidecar has told it already.
func (s *Service) noteOverdue(now time.Time, a *Attempt) {
	bound := s.detector.OverdueAfter(a.class)
	waited := now.Sub(a.sent)
	if bound == 0 || a.told >= overdueTimes || waited < bound<<a.told {
		return
	}
	a.told++
	i := s.detector.Find(a.Server)
	if i < 0 || !s.servers[i].heard.Before(a.sent) {
		return
	}
	s.detector.Observe(now, slatewind.Observation{
		Server: a.Server, Class: a.class, Result: slatewind.ResultOverdue, Latency: waited,
	})
}

// OverdueAfter returns when an attempt of a class is overdue; zero is unknown.
func (s *Service) OverdueAfter(class uint8) time.Duration {
	return s.detector.OverdueAfter(class)
}

// Incarnation returns the incarnation by which a server's sidecar is addressed,
// or zero while it is unknown.
func (s *Service) Incarnation(name string) uint64 {
	i := s.detector.Find(name)
	if i < 0 {
		return 0
	}
	return s.servers[i].incarnation
}

// SetLeaving notes that a server's VM leaves or is back.
func (s *Service) SetLeaving(now time.Time, name string, leaving bool) {
	if i := s.detector.Find(name); i >= 0 {
		s.servers[i].listed = leaving
		s.detector.SetLeaving(now, name, leaving || s.servers[i].said)
	}
}

// Observe takes one outcome directly; traces and models use it.
func (s *Service) Observe(now time.Time, o slatewind.Observation) {
	s.detector.Observe(now, o)
}

// Waiting returns how many attempts have no reply yet.
func (s *Service) Waiting() int {
	return len(s.waiting)
}

// Tick looks at unanswered attempts and moves servers along whose waiting is
// over.
func (s *Service) Tick(now time.Time) {
	for a := range s.waiting {
		s.noteOverdue(now, a)
	}
	s.detector.Tick(now)
}

// Questions returns the servers whose present is wanted to confirm a suspicion.
// The host brings their digests and then calls Confirm.
func (s *Service) Questions() []string {
	return s.detector.Questions()
}

// Confirm judges the suspicions that waited for answers.
func (s *Service) Confirm(now time.Time) {
	s.detector.Confirm(now)
}

// TakeDecisions returns the decisions since the last call.
func (s *Service) TakeDecisions() []slatewind.Decision {
	return s.detector.TakeDecisions()
}

// Last returns the newest digest of a server, or nil.
func (s *Service) Last(name string) *slatewindv1.Digest {
	i := s.detector.Find(name)
	if i < 0 {
		return nil
	}
	return s.servers[i].last
}

// Name returns the name of a server by its index.
func (s *Service) Name(i int) string {
	return s.detector.Servers()[i].Name
}

// Serving reports whether a server may get a request that runs only once.
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

// Capacity returns how many servers are in service and can be reached.
func (s *Service) Capacity() int {
	return s.detector.Capacity()
}

// Idle returns how many servers are set aside although they could serve.
func (s *Service) Idle() int {
	n := 0
	for _, known := range s.detector.Servers() {
		if !known.Serving() && !known.Leaving && !known.Unreachable {
			n++
		}
	}
	return n
}

// State returns the state of a server, or "" where it is unknown.
func (s *Service) State(name string) slatewind.ServerState {
	i := s.detector.Find(name)
	if i < 0 {
		return ""
	}
	return s.detector.Servers()[i].State
}
