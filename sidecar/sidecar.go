// Package sidecar stands in front of the servers of its own VM.
//
// Everything that the fleet sends to a server passes here, and only the sidecar
// connects to the server. So it counts the slots exactly, keeps few warm
// connections, probes once for all ingresses, sees every outcome, and knows for
// certain whether a request was started.
package sidecar

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/once"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
)

// tickInterval is how often queues, overdue requests and epochs are looked at.
const tickInterval = 100 * time.Millisecond

// awakeBound is how long after the last tick the sidecar still trusts that it
// was not paused.
const awakeBound = time.Second

// Limits bounds the memory of a sidecar; zero means the default.
type Limits struct {
	OnceRecords     int
	OnceAnswerBytes int
	Attempts        int
}

// Sidecar is the host of the doors of one VM's servers.
type Sidecar struct {
	vm          string
	incarnation uint64
	limits      Limits
	store       *config.Store
	journal     slatewind.Journal
	caller      ServerCaller
	// suspects are requests under which servers ended.
	suspects *quarantine.Table

	outcomes *rate.Limiter

	mu      sync.RWMutex
	doors   map[string]*door
	leaving string

	onceMu  sync.Mutex
	records *once.Store
	// waiting holds, by record, what is closed when a running one ends.
	waiting map[once.ID]chan struct{}
}

// ServerCaller sends one request to a server.
type ServerCaller interface {
	// Call returns the server's answer. started is false only if the server
	// cannot have seen the request.
	Call(ctx context.Context, address string, request *slatewindv1.RunRequest) (answer *ServerAnswer, started bool, err error)
	// Probe asks a server for its health.
	Probe(ctx context.Context, address, path string) (draining bool, err error)
	// Reach returns an error where no connection to the server can be opened.
	Reach(ctx context.Context, address string) error
}

// New returns a sidecar without servers; Update brings them.
func New(vm string, incarnation uint64, limits Limits, store *config.Store, journal slatewind.Journal, caller ServerCaller, suspects *quarantine.Table) *Sidecar {
	return &Sidecar{
		vm:          vm,
		incarnation: incarnation,
		limits:      limits,
		store:       store,
		journal:     journal,
		caller:      caller,
		suspects:    suspects,
		outcomes:    rate.NewLimiter(OutcomeReplies, OutcomeBurst),
		doors:       map[string]*door{},
		records:     once.NewStore(time.Now(), limits.OnceRecords, limits.OnceAnswerBytes),
		waiting:     map[once.ID]chan struct{}{},
	}
}

// Start begins the ticks, which end with ctx.
func (s *Sidecar) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(ctx, tickInterval, func(t timer.Tick) { s.tick(t.Now) })
	timers.Subscribe(ctx, probeTick, func(t timer.Tick) { s.probeDue(ctx, t.Now) })
}

// Update takes new settings: the VM's servers and the owners of the keys.
func (s *Sidecar) Update(now time.Time, snapshot *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := map[string]bool{}
	for _, service := range snapshot.Fleet.GetServices() {
		for _, server := range service.GetServers() {
			if server.GetVm() != s.vm {
				continue
			}
			present[server.GetName()] = true
			s.updateDoor(now, service, server)
			s.onceMu.Lock()
			s.records.SetOwners(now, service.GetName(), snapshot.Owners[service.GetName()])
			s.onceMu.Unlock()
		}
	}
	for name, d := range s.doors {
		if !present[name] {
			d.leave("the settings no longer have the server")
			delete(s.doors, name)
		}
	}
}

func (s *Sidecar) updateDoor(now time.Time, service *slatewindv1.Service, server *slatewindv1.Server) {
	d := s.doors[server.GetName()]
	if d == nil {
		d = newDoor(now, service.GetName(), server, s.incarnation, s.limits.Attempts)
		d.crashes = crash.New(func(ctx context.Context) error { return s.caller.Reach(ctx, d.serverAddress()) }, d.isLeaving)
		if s.leaving != "" {
			d.leave(s.leaving)
		}
		s.doors[server.GetName()] = d
	}
	d.update(service, server)
}

// Leave begins the drain: from now on new work is refused as not run, waiting
// work too, and what runs goes on.
func (s *Sidecar) Leave(now time.Time, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving != "" {
		return
	}
	s.leaving = reason
	s.journal.Add(slatewind.Decision{Time: now, Kind: slatewind.DecisionLeaving, Reason: "the VM takes no new work: " + reason})
	for _, d := range s.doors {
		d.leave(reason)
	}
}

// Leaving reports whether the VM takes no new work.
func (s *Sidecar) Leaving() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.leaving != ""
}

// Running returns how many requests the VM's servers have in hand.
func (s *Sidecar) Running() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, d := range s.doors {
		n += d.inUse()
	}
	return n
}

// Digests returns what gossip tells of the VM's servers, with or without their
// newest outcomes.
func (s *Sidecar) Digests(outcomes bool) []*slatewindv1.Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	digests := make([]*slatewindv1.Digest, 0, len(s.doors))
	for _, d := range s.doors {
		digests = append(digests, d.digest(outcomes))
	}
	return digests
}

// Outcomes with replies are bounded for all servers of a VM together: 128 bytes
// each, so 8 KB a second. What is left out of one reply comes with a later one.
const (
	// OutcomeReplies is how many replies a second carry outcomes.
	OutcomeReplies = 64
	// OutcomeBurst is how many of them may come at once.
	OutcomeBurst = 64
)

// spend reports whether a reply may carry outcomes.
func (s *Sidecar) spend() bool {
	return s.outcomes.Allow()
}

func (s *Sidecar) door(name string) *door {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.doors[name]
}

func (s *Sidecar) tick(now time.Time) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, d := range s.doors {
		d.tick(now)
	}
}

// Cancel answers an ingress that wants an attempt not to be started.
func (s *Sidecar) Cancel(_ context.Context, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	reply := &slatewindv1.CancelReply{AttemptId: request.GetAttemptId(), State: string(slatewind.CancelUnknown)}
	d := s.door(request.GetServer())
	if d == nil {
		return reply, nil
	}
	state := d.cancel(time.Now(), request.GetAttemptId(), request.GetIncarnation())
	if state == slatewind.CancelNotStarted && request.GetOnce() != nil {
		state = s.cancelOnce(d, request)
	}
	reply.State = string(state)
	reply.Digest = d.digest(s.spend())
	return reply, nil
}

// cancelOnce settles the record of an attempt that will not start. Where the
// record runs for the attempt, or a first attempt never arrived, it is revoked,
// which is the proof for later retries; where another attempt runs or ran it,
// the request as a whole counts as started.
func (s *Sidecar) cancelOnce(d *door, request *slatewindv1.CancelRequest) slatewind.CancelState {
	r := onceRequest(d, request.GetOnce())
	s.endOnce(r.ID, request.GetAttemptId(), func(records *once.Store, id once.ID) {
		records.Revoke(time.Now(), id, r.Claim)
	})
	return s.settleUnstarted(r)
}

// settleUnstarted settles the record of an attempt that will not start.
func (s *Sidecar) settleUnstarted(r once.Request) slatewind.CancelState {
	s.onceMu.Lock()
	defer s.onceMu.Unlock()
	return s.records.Cancelled(time.Now(), r)
}

// Seal answers an ingress that asks what became of a once-request.
func (s *Sidecar) Seal(_ context.Context, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	d := s.door(request.GetServer())
	if d == nil {
		return &slatewindv1.SealReply{OwnersDiffer: true}, nil
	}
	s.onceMu.Lock()
	reply := s.records.Seal(time.Now(), onceRequest(d, request.GetOnce()))
	s.onceMu.Unlock()
	return &slatewindv1.SealReply{
		State:           string(reply.State),
		RevokedAgeNanos: int64(reply.RevokedAge),
		CoverAgeNanos:   int64(reply.CoverAge),
		OwnersDiffer:    reply.OwnersDiffer,
	}, nil
}

func onceRequest(d *door, o *slatewindv1.Once) once.Request {
	return once.Request{
		ID:          once.ID{Service: d.service, Server: d.name, Key: o.GetKey()},
		Fingerprint: o.GetFingerprint(),
		Claim:       slatewind.Claim(o.GetClaim()),
		KeyBorn:     time.Unix(0, o.GetKeyBornUnixNanos()),
		Home:        o.GetHome(),
		Owners:      o.GetOwners(),
	}
}

// View is the sidecar's part of a state dump.
type View struct {
	Leaving     string     `json:"leaving,omitempty"`
	OnceRecords int        `json:"once_records"`
	AnswerBytes int        `json:"once_answer_bytes"`
	Servers     []DoorView `json:"servers"`
}

// View returns the sidecar's part of a state dump.
func (s *Sidecar) View() View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := View{Leaving: s.leaving}
	s.onceMu.Lock()
	v.OnceRecords, v.AnswerBytes = s.records.Len()
	s.onceMu.Unlock()
	for _, d := range s.doors {
		v.Servers = append(v.Servers, d.view())
	}
	return v
}
