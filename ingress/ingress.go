// Package ingress takes callers' HTTP requests, decides which server gets each
// one, and answers.
//
// A repeatable request goes to the server with the shorter line of two, may be
// tried again elsewhere, and is hedged once it takes longer than nearly all of
// its class. A once-request follows the chain of its key (package once) and is
// sent on only with a proof that it did not run. Whatever the fleet gives up on
// is answered at once, with when to come back.
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

// tickInterval is how often waiting servers and overdue attempts are looked at.
const tickInterval = 100 * time.Millisecond

// Links carries messages to the sidecars of other VMs.
type Links interface {
	// Run sends an attempt; written is false only if nothing was ever sent.
	Run(ctx context.Context, address string, request *slatewindv1.RunRequest) (reply *link.Reply, written bool, err error)
	Cancel(ctx context.Context, address string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error)
	Seal(ctx context.Context, address string, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error)
}

// Members tells where VMs are.
type Members interface {
	// Address returns the peer address of a VM, or "".
	Address(vm string) string
	// DataCentre returns the data centre of a VM, or "".
	DataCentre(vm string) string
	// Leaving reports whether a VM is known to take no new work.
	Leaving(vm string) bool
	// Ask brings the newest digests of the servers of VMs.
	Ask(ctx context.Context, vms []string)
	// Relay passes digests on to a few other processes.
	Relay(digests []*slatewindv1.Digest)
	// Hint notes that the process at an address spoke of a settings version.
	Hint(address string, version config.Version)
}

// Meter counts what became of requests.
type Meter interface {
	Request(route string, outcome slatewind.Outcome, took time.Duration)
	Extra(service, why string)
	Dropped(service, why string)
}

// shard is the state of one service, under its own lock.
type shard struct {
	mu      sync.Mutex
	policy  *policy.Service
	service *slatewindv1.Service
}

// Ingress is the host of the decisions of one process.
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
	// suspects are requests under which servers ended.
	suspects *quarantine.Table

	nextID atomic.Uint64
	prefix uint64

	// ctx ends what is not done for one request.
	ctx    context.Context
	mu     sync.RWMutex
	shards map[string]*shard
	// stop is the course of the process's stop, nil before it.
	stop atomic.Pointer[drain.Schedule]
	// inFlight counts callers' requests, for the drain.
	inFlight atomic.Int64
}

// maxInFlight bounds the callers that wait at one ingress, and so the memory of
// their requests; further ones are refused at once.
const maxInFlight = 4096

// Recorder keeps recent events for slatewind record.
type Recorder interface {
	Heard(now time.Time, digest *slatewindv1.Digest)
	Lost(now time.Time, service, server string)
}

// New returns an ingress without services; Update brings them.
func New(name, local string, store *config.Store, journal slatewind.Journal, links Links, members Members, meter Meter, recent Recorder, limiter slatewind.Limiter, suspects *quarantine.Table) *Ingress {
	return &Ingress{
		name: name, local: local, store: store, journal: journal, links: links, members: members, meter: meter, recent: recent, limiter: limiter, suspects: suspects,
		prefix: rand.Uint64(),
		ctx:    context.Background(),
		shards: map[string]*shard{},
	}
}

// Start begins the ticks, which end with ctx.
func (in *Ingress) Start(ctx context.Context, timers *timer.Service) {
	in.ctx = ctx
	timers.Subscribe(ctx, tickInterval, func(t timer.Tick) {
		if t.Paused > 0 {
			in.journal.Add(slatewind.Decision{
				Time: t.Now, Kind: slatewind.DecisionAway,
				Reason: fmt.Sprintf("the process did not run for %s; reported loads are void", t.Paused.Round(time.Millisecond)),
			})
		}
		in.tick(t.Now)
	})
}

// Update takes new settings. Services that stay keep what is known of them.
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
		in.unlock(sh)
	}
	for name := range in.shards {
		if snapshot.Services[name] == nil {
			delete(in.shards, name)
		}
	}
}

// MembersChanged looks anew at where VMs are and which of them leave.
func (in *Ingress) MembersChanged(now time.Time) {
	in.eachShard(func(sh *shard) {
		sh.policy.UpdateDataCentres(sh.service, in.members.DataCentre)
		for _, server := range sh.service.GetServers() {
			sh.policy.SetLeaving(now, server.GetName(), in.members.Leaving(server.GetVm()))
		}
	})
}

// Heard takes digests that came by gossip.
func (in *Ingress) Heard(now time.Time, digests []*slatewindv1.Digest) {
	for _, digest := range digests {
		in.heard(now, digest, false)
	}
}

func (in *Ingress) heard(now time.Time, digest *slatewindv1.Digest, direct bool) {
	sh := in.shard(digest.GetService())
	if sh == nil {
		return
	}
	in.recent.Heard(now, digest)
	sh.mu.Lock()
	sh.policy.ApplyDigest(now, digest, direct)
	in.unlock(sh)
}

// Drain begins the drain of the ingress role: callers are told to go elsewhere
// with their next connection, and requests in flight end in peace.
func (in *Ingress) Drain(course drain.Schedule) {
	in.stop.Store(&course)
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

// eachShard calls use with each shard, locked, and journals its decisions.
func (in *Ingress) eachShard(use func(*shard)) {
	in.mu.RLock()
	defer in.mu.RUnlock()
	for _, sh := range in.shards {
		sh.mu.Lock()
		use(sh)
		in.unlock(sh)
	}
}

// unlock ends a change of a shard: what was decided goes to the journal, the
// digests of ejected servers go to a few others, who judge for themselves, and
// what the detector wants to know is asked.
func (in *Ingress) unlock(sh *shard) {
	decisions := sh.policy.TakeDecisions()
	vms := vmsOf(sh.service, sh.policy.TakeRefreshRequests())
	var news []*slatewindv1.Digest
	for _, d := range decisions {
		if last := sh.policy.LastDigest(d.Server); d.Kind == slatewind.DecisionEject && last != nil {
			news = append(news, last)
		}
	}
	sh.mu.Unlock()
	for _, d := range decisions {
		in.journal.Add(d)
	}
	if len(news) > 0 {
		in.members.Relay(news)
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

// confirm brings fresh views of servers and has waiting suspicions judged.
func (in *Ingress) confirm(sh *shard, vms []string) {
	ctx, cancel := context.WithTimeout(in.ctx, askTimeout)
	defer cancel()
	in.members.Ask(ctx, vms)
	sh.mu.Lock()
	sh.policy.Confirm(time.Now())
	in.unlock(sh)
}

// askTimeout bounds the wait for fresh views.
const askTimeout = 400 * time.Millisecond

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
