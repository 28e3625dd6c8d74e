// Package sidecar is the proxy in front of the servers of its own VM.
//
// All requests of the fleet to a server pass through its sidecar, and only the
// sidecar connects to the server. It can therefore count the slots in use
// exactly, keep few idle connections, probe once for all ingresses, observe
// every outcome, and determine reliably whether a request was started.
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

// tickInterval is the interval between checks of queues, overdue requests and
// epochs.
const tickInterval = 100 * time.Millisecond

// pauseThreshold is the time since the last tick above which the process is
// assumed to have been paused.
const pauseThreshold = time.Second

// Limits bounds the memory of a sidecar; zero means the default.
type Limits struct {
	OnceRecords     int
	OnceAnswerBytes int
	Attempts        int
}

// Sidecar holds the state of the servers of one VM and runs attempts at them.
type Sidecar struct {
	vm          string
	incarnation uint64
	limits      Limits
	store       *config.Store
	journal     slatewind.Journal
	caller      ServerCaller
	// suspects holds the requests during which servers crashed.
	suspects *quarantine.Table

	// outcomes limits the replies that carry outcomes.
	outcomes *rate.Limiter

	// mu guards servers and leaving. It is locked before the mutex of a server.
	mu      sync.RWMutex
	servers map[string]*localServer
	leaving string

	// onceMu guards records and waiting.
	onceMu  sync.Mutex
	records *once.Store
	// waiting holds, for each running record, a channel that is closed at its end.
	waiting map[once.ID]chan struct{}
}

// ServerCaller sends one request to a server.
type ServerCaller interface {
	// Call returns the server's answer. started is false only if the server
	// cannot have seen the request.
	Call(ctx context.Context, address string, request *slatewindv1.RunRequest) (answer *ServerAnswer, started bool, err error)
	// Probe checks a server's health and reports whether it is draining.
	Probe(ctx context.Context, address, path string) (draining bool, err error)
	// Reach returns an error if no connection to the server can be opened.
	Reach(ctx context.Context, address string) error
}

// New returns a sidecar without servers; Update adds them.
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
		servers:     map[string]*localServer{},
		records:     once.NewStore(time.Now(), limits.OnceRecords, limits.OnceAnswerBytes),
		waiting:     map[once.ID]chan struct{}{},
	}
}

// Start begins the periodic checks and probes, which end with ctx.
func (s *Sidecar) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(ctx, tickInterval, func(t timer.Tick) { s.tick(t.Now) })
	timers.Subscribe(ctx, probeTick, func(t timer.Tick) { s.probeDue(ctx, t.Now) })
}

// Update applies new settings: the VM's servers and the owners of the keys.
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
			s.updateServer(now, service, server)
			s.onceMu.Lock()
			s.records.SetOwners(now, service.GetName(), snapshot.Owners[service.GetName()])
			s.onceMu.Unlock()
		}
	}
	for name, ls := range s.servers {
		if !present[name] {
			ls.leave("the server was removed from the settings")
			delete(s.servers, name)
		}
	}
}

func (s *Sidecar) updateServer(now time.Time, service *slatewindv1.Service, server *slatewindv1.Server) {
	ls := s.servers[server.GetName()]
	if ls == nil {
		ls = newLocalServer(now, service.GetName(), server, s.incarnation, s.limits.Attempts)
		ls.crashes = crash.New(func(ctx context.Context) error { return s.caller.Reach(ctx, ls.serverAddress()) }, ls.isLeaving)
		if s.leaving != "" {
			ls.leave(s.leaving)
		}
		s.servers[server.GetName()] = ls
	}
	ls.update(service, server)
}

// Leave begins the drain: new and queued requests are refused as not run, and
// running ones are completed.
func (s *Sidecar) Leave(now time.Time, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving != "" {
		return
	}
	s.leaving = reason
	s.journal.Add(slatewind.Decision{Time: now, Kind: slatewind.DecisionLeaving, Reason: "the VM accepts no new work: " + reason})
	for _, ls := range s.servers {
		ls.leave(reason)
	}
}

// Leaving reports whether the VM accepts no new work.
func (s *Sidecar) Leaving() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.leaving != ""
}

// Running returns how many requests are running at the VM's servers.
func (s *Sidecar) Running() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, ls := range s.servers {
		n += ls.inUse()
	}
	return n
}

// Digests returns the digests of the VM's servers for gossip, with or without
// their latest outcomes.
func (s *Sidecar) Digests(outcomes bool) []*slatewindv1.Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	digests := make([]*slatewindv1.Digest, 0, len(s.servers))
	for _, ls := range s.servers {
		digests = append(digests, ls.digest(outcomes))
	}
	return digests
}

// Limits of the outcomes sent with replies, for all servers of a VM together. The
// outcomes of one reply take 128 bytes, so the limit is 8 KB per second. Outcomes
// left out of one reply are sent with a later one.
const (
	// OutcomeReplies is the number of replies per second that carry outcomes.
	OutcomeReplies = 64
	// OutcomeBurst is the burst of such replies.
	OutcomeBurst = 64
)

// allowOutcomes reports whether the next reply may carry outcomes, and counts it
// against the limit.
func (s *Sidecar) allowOutcomes() bool {
	return s.outcomes.Allow()
}

func (s *Sidecar) server(name string) *localServer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.servers[name]
}

func (s *Sidecar) tick(now time.Time) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, ls := range s.servers {
		ls.tick(now)
	}
}

// Cancel handles an ingress's request not to start an attempt.
func (s *Sidecar) Cancel(_ context.Context, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	reply := &slatewindv1.CancelReply{AttemptId: request.GetAttemptId(), State: string(slatewind.CancelUnknown)}
	ls := s.server(request.GetServer())
	if ls == nil {
		return reply, nil
	}
	state := ls.cancel(time.Now(), request.GetAttemptId(), request.GetIncarnation())
	if state == slatewind.CancelNotStarted && request.GetOnce() != nil {
		state = s.cancelOnce(ls, request)
	}
	reply.State = string(state)
	reply.Digest = ls.digest(s.allowOutcomes())
	return reply, nil
}

// cancelOnce updates the record of an attempt that will not start. If the record
// is running for the attempt, or a first attempt never arrived, the record is
// revoked, which is the proof for later retries. If another attempt is running
// the request or has run it, the request as a whole counts as started.
func (s *Sidecar) cancelOnce(ls *localServer, request *slatewindv1.CancelRequest) slatewind.CancelState {
	r := onceRequest(ls, request.GetOnce())
	s.endOnce(r.ID, request.GetAttemptId(), func(records *once.Store, id once.ID) {
		records.Revoke(time.Now(), id, r.Claim)
	})
	return s.settleUnstarted(r)
}

// settleUnstarted updates the record of an attempt that will not start, and returns
// whether another attempt has started the request (see once.Store.Cancelled).
func (s *Sidecar) settleUnstarted(r once.Request) slatewind.CancelState {
	s.onceMu.Lock()
	defer s.onceMu.Unlock()
	return s.records.Cancelled(time.Now(), r)
}

// Seal seals the key of a once-request and returns the state of its record.
func (s *Sidecar) Seal(_ context.Context, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	ls := s.server(request.GetServer())
	if ls == nil {
		return &slatewindv1.SealReply{OwnersDiffer: true}, nil
	}
	s.onceMu.Lock()
	reply := s.records.Seal(time.Now(), onceRequest(ls, request.GetOnce()))
	s.onceMu.Unlock()
	return &slatewindv1.SealReply{
		State:           string(reply.State),
		RevokedAgeNanos: int64(reply.RevokedAge),
		CoverAgeNanos:   int64(reply.CoverAge),
		OwnersDiffer:    reply.OwnersDiffer,
	}, nil
}

func onceRequest(ls *localServer, o *slatewindv1.Once) once.Request {
	return once.Request{
		ID:          once.ID{Service: ls.service, Server: ls.name, Key: o.GetKey()},
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
	for _, ls := range s.servers {
		v.Servers = append(v.Servers, ls.view())
	}
	return v
}
