// Package ingress accepts callers' HTTP requests, selects a server for each one
// and returns the answer.
//
// A repeatable request goes to the less loaded of two candidate servers, may be
// retried on another server, and is hedged once it takes longer than nearly all
// requests of its class. A once-request follows the chain of its key (package
// once) and goes to a further server only with a proof that it did not run. A
// request that the fleet abandons is answered immediately, with a Retry-After.
package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/policy"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
)

// tickInterval is the interval between checks of waiting servers and overdue
// attempts.
const tickInterval = 100 * time.Millisecond

// Links carries messages to the sidecars of other VMs.
type Links interface {
	// Run sends an attempt; written is false only if nothing was ever sent.
	Run(ctx context.Context, address string, request *slatewindv1.RunRequest) (reply *link.Reply, written bool, err error)
	Cancel(ctx context.Context, address string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error)
	Seal(ctx context.Context, address string, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error)
}

// Members holds the addresses and states of VMs.
type Members interface {
	// Address returns the peer address of a VM, or "".
	Address(vm string) string
	// DataCentre returns the data centre of a VM, or "".
	DataCentre(vm string) string
	// Leaving reports whether a VM is known to accept no new work.
	Leaving(vm string) bool
	// RefreshDigests fetches the latest digests of the servers of VMs.
	RefreshDigests(ctx context.Context, vms []string)
	// Relay forwards digests to a few other processes.
	Relay(digests []*slatewindv1.Digest)
	// Hint records that the process at an address reported a settings version.
	Hint(address string, version config.Version)
}

// Meter counts the outcomes of requests, extra attempts and dropped replies.
type Meter interface {
	Request(route string, outcome slatewind.Outcome, took time.Duration)
	Extra(service, why string)
	Dropped(service, why string)
}

// shard is the state of one service, under its own lock.
type shard struct {
	// mu guards the fields below, including calls to policy.
	mu      sync.Mutex
	policy  *policy.Service
	service *slatewindv1.Service
}

// Ingress handles the callers' requests of one process and holds the state on
// which they are decided.
type Ingress struct {
	name    string
	local   string
	store   *config.Store
	journal slatewind.Journal
	links   Links
	members Members
	meter   Meter
	recent  Recorder
	limiter slatewind.Limiter
	// suspects holds the requests during which servers crashed.
	suspects *quarantine.Table

	nextID atomic.Uint64
	prefix uint64

	// ctx ends work that does not belong to a single request.
	ctx context.Context
	// mu guards shards.
	mu     sync.RWMutex
	shards map[string]*shard
	// stop is the schedule of the process's shutdown, nil before it begins.
	stop atomic.Pointer[drain.Schedule]
	// inFlight counts callers' requests; a drain waits for it to reach zero.
	inFlight atomic.Int64
}

// maxInFlight bounds the callers that wait at one ingress, and so the memory of
// their requests; further requests are refused immediately.
const maxInFlight = 4096

// Recorder keeps recent events for slatewind record.
type Recorder interface {
	RecordDigest(now time.Time, digest *slatewindv1.Digest)
	RecordLostReply(now time.Time, service, server string)
}

// New returns an ingress without services; Update adds them.
func New(name, local string, store *config.Store, journal slatewind.Journal, links Links, members Members, meter Meter, recent Recorder, limiter slatewind.Limiter, suspects *quarantine.Table) *Ingress {
	return &Ingress{
		name: name, local: local, store: store, journal: journal, links: links, members: members, meter: meter, recent: recent, limiter: limiter, suspects: suspects,
		prefix: rand.Uint64(),
		ctx:    context.Background(),
		shards: map[string]*shard{},
	}
}

// Start begins the periodic checks, which end with ctx.
func (in *Ingress) Start(ctx context.Context, timers *timer.Service) {
	in.ctx = ctx
	timers.Subscribe(ctx, tickInterval, func(t timer.Tick) {
		if t.Paused > 0 {
			in.journal.Add(slatewind.Decision{
				Time: t.Now, Kind: slatewind.DecisionAway,
				Reason: fmt.Sprintf("the process was suspended for %s; loads reported before are discarded", t.Paused.Round(time.Millisecond)),
			})
		}
		in.tick(t.Now)
	})
}

// Update applies new settings. Services that remain keep their state.
func (in *Ingress) Update(now time.Time, snapshot *config.Snapshot) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for name, service := range snapshot.Services {
		sh := in.shards[name]
		if sh == nil {
			sh = &shard{policy: policy.NewService(name, in.local, rand.Uint64())}
			in.shards[name] = sh
		}
		sh.mu.Lock()
		sh.service = service
		sh.policy.Update(now, service, in.members.DataCentre)
		in.unlockAndPublish(sh)
	}
	for name := range in.shards {
		if snapshot.Services[name] == nil {
			delete(in.shards, name)
		}
	}
}

// MembersChanged updates the data centres of servers and marks those on leaving
// VMs.
func (in *Ingress) MembersChanged(now time.Time) {
	in.eachShard(func(sh *shard) {
		sh.policy.UpdateDataCentres(sh.service, in.members.DataCentre)
		for _, server := range sh.service.GetServers() {
			sh.policy.SetLeaving(now, server.GetName(), in.members.Leaving(server.GetVm()))
		}
	})
}

// ApplyDigests applies digests received by gossip.
func (in *Ingress) ApplyDigests(now time.Time, digests []*slatewindv1.Digest) {
	for _, digest := range digests {
		in.applyDigest(now, digest, false)
	}
}

func (in *Ingress) applyDigest(now time.Time, digest *slatewindv1.Digest, direct bool) {
	sh := in.shard(digest.GetService())
	if sh == nil {
		return
	}
	in.recent.RecordDigest(now, digest)
	sh.mu.Lock()
	sh.policy.ApplyDigest(now, digest, direct)
	in.unlockAndPublish(sh)
}

// Drain begins the graceful shutdown of the ingress: callers' connections are
// closed after the answer, so that they reconnect elsewhere, and requests in
// flight are completed.
func (in *Ingress) Drain(schedule drain.Schedule) {
	in.stop.Store(&schedule)
}

// InFlight returns how many callers wait for an answer.
func (in *Ingress) InFlight() int {
	return int(in.inFlight.Load())
}

func (in *Ingress) shard(service string) *shard {
	in.mu.RLock()
	defer in.mu.RUnlock()
	return in.shards[service]
}

// eachShard calls use with each shard, under its lock, and publishes the
// decisions that result.
func (in *Ingress) eachShard(use func(*shard)) {
	in.mu.RLock()
	defer in.mu.RUnlock()
	for _, sh := range in.shards {
		sh.mu.Lock()
		use(sh)
		in.unlockAndPublish(sh)
	}
}

// unlockAndPublish unlocks a shard after a change. It writes the pending
// decisions to the journal, forwards the digests of ejected servers to a few
// other processes, which decide on their own, and requests the fresh digests
// that the outlier detector asked for.
func (in *Ingress) unlockAndPublish(sh *shard) {
	decisions := sh.policy.TakeDecisions()
	vms := vmsOf(sh.service, sh.policy.TakeRefreshRequests())
	var ejected []*slatewindv1.Digest
	for _, d := range decisions {
		if last := sh.policy.LastDigest(d.Server); d.Kind == slatewind.DecisionEject && last != nil {
			ejected = append(ejected, last)
		}
	}
	sh.mu.Unlock()
	for _, d := range decisions {
		in.journal.Add(d)
	}
	if len(ejected) > 0 {
		in.members.Relay(ejected)
	}
	if len(vms) > 0 {
		go in.confirm(sh, vms)
	}
}

func vmsOf(service *slatewindv1.Service, names []string) []string {
	var vms []string
	for _, name := range names {
		vms = append(vms, findServer(service, name).GetVm())
	}
	return vms
}

// confirm fetches fresh digests of servers and evaluates pending suspicions.
func (in *Ingress) confirm(sh *shard, vms []string) {
	ctx, cancel := context.WithTimeout(in.ctx, refreshTimeout)
	defer cancel()
	in.members.RefreshDigests(ctx, vms)
	sh.mu.Lock()
	sh.policy.Confirm(time.Now())
	in.unlockAndPublish(sh)
}

// refreshTimeout bounds the wait for fresh digests.
const refreshTimeout = 400 * time.Millisecond

func (in *Ingress) tick(now time.Time) {
	in.eachShard(func(sh *shard) { sh.policy.Tick(now) })
}

// ServiceView is one service in a state dump.
type ServiceView struct {
	Name     string              `json:"name"`
	Capacity int                 `json:"capacity"`
	Floor    uint32              `json:"floor"`
	Waiting  int                 `json:"waiting"`
	Servers  []policy.ServerView `json:"servers"`
}

// View is the ingress's part of a state dump.
type View struct {
	InFlight int           `json:"in_flight"`
	Leaving  bool          `json:"leaving"`
	Services []ServiceView `json:"services"`
}

// View returns the ingress's part of a state dump.
func (in *Ingress) View(now time.Time) View {
	v := View{InFlight: in.InFlight(), Leaving: in.stop.Load() != nil}
	in.eachShard(func(sh *shard) {
		v.Services = append(v.Services, ServiceView{
			Name:     sh.service.GetName(),
			Capacity: sh.policy.Capacity(),
			Floor:    sh.service.GetFloor(),
			Waiting:  sh.policy.Pending(),
			Servers:  sh.policy.Views(now),
		})
	})
	return v
}
