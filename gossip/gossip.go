// Package gossip keeps the processes' views of each other and of the settings
// together.
//
// Each second a process exchanges news with a few random others: the version of
// its settings, recent changes of members, and the digests of its own servers.
// Whoever hears of newer settings fetches the chunks that it lacks from the
// peer that told, puts them in force and pushes the news on at once. A few
// readers of each data centre watch the platform; the others hear of it here.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/member"
	"slatewind.example/slatewind/timer"
)

const (
	// interval is the time between two rounds.
	interval = time.Second
	// fanOut is how many peers a round asks.
	fanOut = 2
	// pushFanOut is how many peers hear of new settings at once.
	pushFanOut = 4
	// pushes is how often, pushEvery at what distance.
	pushes    = 4
	pushEvery = 200 * time.Millisecond
	// maxMembers bounds the members told in one exchange.
	maxMembers = 32
	// smallFleet is the number of processes up to which every exchange brings
	// outcomes.
	smallFleet = 50
	// callTimeout bounds one exchange.
	callTimeout = 900 * time.Millisecond
	// fetchPatience is how long a transfer may take before another is begun.
	fetchPatience = 250 * time.Millisecond
	// fetchTimeout bounds the transfer of settings.
	fetchTimeout = 5 * time.Second
)

// Peers carries messages to other processes.
type Peers interface {
	Sync(ctx context.Context, address string, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error)
	Fetch(ctx context.Context, address string, request *slatewindv1.FetchRequest) (*slatewindv1.FetchReply, error)
}

// Events is who wants to know what gossip brings.
type Events interface {
	// SettingsChanged: another file is in force.
	SettingsChanged(now time.Time, snapshot *config.Snapshot)
	// MembersChanged: some VM's address or state is another.
	MembersChanged(now time.Time)
	// Heard brings digests of other VMs' servers.
	Heard(now time.Time, digests []*slatewindv1.Digest)
	// SelfLeaving: somebody read in the platform's list that this VM leaves.
	SelfLeaving(now time.Time)
	// Digests returns those of this VM's servers, with or without outcomes.
	Digests(outcomes bool) []*slatewindv1.Digest
	// Suspects returns what is told of requests under which servers ended, and HeardSuspects
	// brings what others tell.
	Suspects(now time.Time) []*slatewindv1.Suspect
	HeardSuspects(now time.Time, suspects []*slatewindv1.Suspect)
}

// Gossip is the host of the member table.
type Gossip struct {
	store   *config.Store
	journal slatewind.Journal
	peers   Peers
	events  Events
	seeds   []string
	self    string

	mu     sync.Mutex
	table  *member.Table
	random *rand.Rand
	// platformSeen is the time of the newest look at the platform that this
	// process made or heard of.
	platformSeen time.Time
	// fetches counts transfers in progress, lastFetch is when the newest began.
	fetches   int
	lastFetch time.Time
	ctx       context.Context
}

// New returns a gossip host for a process. Start must be called before use.
func New(self member.Entry, seeds []string, store *config.Store, journal slatewind.Journal, peers Peers) *Gossip {
	return &Gossip{
		store: store, journal: journal, peers: peers, seeds: seeds, self: self.VM,
		table:  member.NewTable(time.Now(), self),
		random: rand.New(rand.NewPCG(self.Incarnation, rand.Uint64())),
	}
}

// Start joins the others and begins the rounds, which end with ctx.
func (g *Gossip) Start(ctx context.Context, timers *timer.Service, events Events) {
	g.ctx = ctx
	g.events = events
	for _, address := range g.seeds {
		go g.exchange(address, "", plain)
	}
	timers.Subscribe(ctx, interval, func(t timer.Tick) {
		if t.Paused > 0 {
			// A process that was away holds old views; it asks more peers.
			g.round(pushFanOut)
			return
		}
		g.round(fanOut)
	})
}

// Address returns the peer address of a VM, or "".
func (g *Gossip) Address(vm string) string {
	e, _ := g.find(vm)
	return e.PeerAddress
}

// DataCentre returns the data centre of a VM, or "".
func (g *Gossip) DataCentre(vm string) string {
	e, _ := g.find(vm)
	return e.DataCentre
}

// Leaving reports whether a VM is known to take no new work.
func (g *Gossip) Leaving(vm string) bool {
	e, ok := g.find(vm)
	return ok && e.State == slatewind.VMLeaving
}

func (g *Gossip) find(vm string) (member.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Find(vm)
}

// Members returns every known VM, by name.
func (g *Gossip) Members() []member.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All()
}

// MayRead reports whether this process reads the platform now.
func (g *Gossip) MayRead(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return member.MayRead(g.table.ReaderRank(), g.platformAge(now))
}

// PlatformAge returns the age of the newest look at the platform known here.
func (g *Gossip) PlatformAge(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.platformAge(now)
}

func (g *Gossip) platformAge(now time.Time) time.Duration {
	if g.platformSeen.IsZero() {
		return time.Hour
	}
	return now.Sub(g.platformSeen)
}

// PlatformSeen notes a look at the platform by this process.
func (g *Gossip) PlatformSeen(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.After(g.platformSeen) {
		g.platformSeen = now
	}
}

// Listed takes the platform's VM list.
func (g *Gossip) Listed(now time.Time, vms []slatewind.VM) {
	g.mu.Lock()
	before := g.table.Self().State
	g.table.MergeList(now, vms)
	leaves := before == slatewind.VMLive && g.table.Self().State == slatewind.VMLeaving
	g.mu.Unlock()
	if leaves {
		g.events.SelfLeaving(now)
	}
	g.events.MembersChanged(now)
}

// Leave tells the others that this process takes no new work.
func (g *Gossip) Leave(now time.Time) {
	g.mu.Lock()
	g.table.Leave(now)
	g.mu.Unlock()
	g.round(pushFanOut)
}

// push tells some peers at once of new settings, and then a few more times, each
// time others: a message may be lost, and a cut may leave few ways open.
func (g *Gossip) push() {
	for range pushes {
		g.round(pushFanOut)
		select {
		case <-g.ctx.Done():
			return
		case <-time.After(pushEvery):
		}
	}
}

func (g *Gossip) choose(n int) []member.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Peers(g.random, n)
}

// hearSelf tells this process's ingress of its own servers, as a peer would.
func (g *Gossip) hearSelf() {
	g.events.Heard(time.Now(), g.events.Digests(true))
}

func (g *Gossip) round(n int) {
	g.hearSelf()
	peers := g.choose(n)
	if len(peers) == 0 {
		for _, address := range g.seeds {
			go g.exchange(address, "", plain)
		}
		return
	}
	for _, peer := range peers {
		go g.exchange(peer.PeerAddress, peer.VM, plain)
	}
}

// RefreshDigests exchanges news with the processes of VMs and waits for all, or for ctx.
func (g *Gossip) RefreshDigests(ctx context.Context, vms []string) {
	var group sync.WaitGroup
	for _, vm := range vms {
		if vm == g.self {
			g.hearSelf()
			continue
		}
		address := g.Address(vm)
		if address == "" {
			continue
		}
		group.Go(func() { g.exchangeWithin(ctx, address, vm, ask) })
	}
	group.Wait()
}

// Relay passes digests of other VMs' servers on to a few processes.
func (g *Gossip) Relay(digests []*slatewindv1.Digest) {
	for _, peer := range g.choose(pushFanOut) {
		go g.exchange(peer.PeerAddress, peer.VM, func(r *slatewindv1.SyncRequest) {
			r.Digests = append(r.Digests, digests...)
		})
	}
}

// ask marks an exchange as one that wants outcomes.
func ask(r *slatewindv1.SyncRequest) { r.WantsOutcomes = true }

// plain leaves an exchange as it is.
func plain(*slatewindv1.SyncRequest) {}

// exchange syncs with the process at an address; vm is its VM where known. with
// adds to what every exchange tells.
func (g *Gossip) exchange(address, vm string, with func(*slatewindv1.SyncRequest)) {
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	g.exchangeWithin(ctx, address, vm, with)
}

func (g *Gossip) exchangeWithin(ctx context.Context, address, vm string, with func(*slatewindv1.SyncRequest)) {
	now := time.Now()
	g.mu.Lock()
	g.table.Calling(vm)
	g.mu.Unlock()
	request := g.request(now, false)
	with(request)
	reply, err := g.peers.Sync(ctx, address, request)
	if g.ctx.Err() != nil {
		return
	}
	if err != nil {
		g.unreached(vm)
		return
	}
	g.mu.Lock()
	g.table.Contact(time.Now(), vm, true)
	g.mu.Unlock()
	g.take(time.Now(), address, &slatewindv1.SyncRequest{
		Self: reply.GetSelf(), Version: reply.GetVersion(), Members: reply.GetMembers(),
		Digests: reply.GetDigests(), PlatformAgeNanos: reply.GetPlatformAgeNanos(), Suspects: reply.GetSuspects(),
	})
}

func (g *Gossip) unreached(vm string) {
	now := time.Now()
	g.mu.Lock()
	gone := g.table.Contact(now, vm, false)
	g.mu.Unlock()
	if gone {
		g.journal.Add(slatewind.Decision{Time: now, Kind: slatewind.DecisionMember, Reason: "VM " + vm + " did not answer several calls in a row and counts as gone"})
	}
}

// request is what every exchange tells. In a small fleet it brings the servers'
// newest outcomes along; in a large one a random peer seldom uses just these
// servers, and whoever wants outcomes asks.
func (g *Gossip) request(now time.Time, outcomes bool) *slatewindv1.SyncRequest {
	g.mu.Lock()
	small := g.table.Len() <= smallFleet
	g.mu.Unlock()
	digests := g.events.Digests(outcomes || small)
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.table.Self()
	return &slatewindv1.SyncRequest{
		Self:             toAPI(now, self),
		Version:          g.store.Version().ToAPI(),
		Members:          membersToAPI(now, g.table.Recent(now, maxMembers)),
		Digests:          digests,
		PlatformAgeNanos: int64(g.platformAge(now)),
		Suspects:         g.events.Suspects(now),
	}
}

// Tell exchanges news with the processes of some VMs at once, what it is given among them: of much
// that is known an exchange tells a part only.
func (g *Gossip) Tell(vms []string, suspects []*slatewindv1.Suspect) {
	with := func(request *slatewindv1.SyncRequest) { request.Suspects = append(request.Suspects, suspects...) }
	for _, vm := range vms {
		if address := g.Address(vm); address != "" {
			go g.exchange(address, vm, with)
		}
	}
}

// Sync answers another process's round.
func (g *Gossip) Sync(_ context.Context, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error) {
	now := time.Now()
	g.take(now, request.GetSelf().GetPeerAddress(), request)
	r := g.request(now, request.GetWantsOutcomes())
	return &slatewindv1.SyncReply{
		Self: r.GetSelf(), Version: r.GetVersion(), Members: r.GetMembers(),
		Digests: r.GetDigests(), PlatformAgeNanos: r.GetPlatformAgeNanos(), Suspects: r.GetSuspects(),
	}, nil
}

// take handles what another process told.
func (g *Gossip) take(now time.Time, address string, told *slatewindv1.SyncRequest) {
	changed, leaves := g.merge(now, told)
	if leaves {
		g.events.SelfLeaving(now)
	}
	if changed {
		g.events.MembersChanged(now)
	}
	g.events.Heard(now, told.GetDigests())
	g.events.HeardSuspects(now, told.GetSuspects())
	g.Hint(address, config.VersionFromAPI(told.GetVersion()))
}

func (g *Gossip) merge(now time.Time, told *slatewindv1.SyncRequest) (changed, leaves bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.table.Self().State
	changed = g.table.Merge(now, fromAPI(told.GetSelf(), slatewind.SourceContact))
	for _, m := range told.GetMembers() {
		if m.GetVm() != told.GetSelf().GetVm() {
			changed = g.table.Merge(now, fromAPI(m, slatewind.SourceGossip)) || changed
		}
	}
	if seen := now.Add(-time.Duration(told.GetPlatformAgeNanos())); seen.After(g.platformSeen) {
		g.platformSeen = seen
	}
	leaves = before == slatewind.VMLive && g.table.Self().State == slatewind.VMLeaving
	return changed, leaves
}

// Hint notes that the process at an address spoke of a settings version.
func (g *Gossip) Hint(address string, version config.Version) {
	if version.Newer(g.store.Version()) {
		g.fetchFrom(address)
	}
}

// fetchFrom gets newer settings from a peer. One transfer at a time is enough,
// unless it hangs: then the next peer that tells of the news is asked too.
func (g *Gossip) fetchFrom(address string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetches > 0 && now.Sub(g.lastFetch) < fetchPatience {
		return
	}
	g.fetches++
	g.lastFetch = now
	go func() {
		g.fetch(address)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.fetches--
	}()
}

func (g *Gossip) fetch(address string) {
	ctx, cancel := context.WithTimeout(g.ctx, fetchTimeout)
	defer cancel()
	var older [][]byte
	if current := g.store.Current(); current != nil {
		older = config.Split(current.Text)
	}
	reply, err := g.peers.Fetch(ctx, address, &slatewindv1.FetchRequest{Have: config.ChunkDigests(older)})
	if err != nil {
		return
	}
	text, whole := config.Join(reply.GetChunks(), older, reply.GetMissing())
	if !whole {
		return
	}
	g.Offer(time.Now(), "peer "+address, config.VersionFromAPI(reply.GetVersion()).Written(), text)
}

// Fetch answers a process that lacks settings.
func (g *Gossip) Fetch(_ context.Context, request *slatewindv1.FetchRequest) (*slatewindv1.FetchReply, error) {
	current := g.store.Current()
	if current == nil {
		return &slatewindv1.FetchReply{}, nil
	}
	chunks := config.Split(current.Text)
	return &slatewindv1.FetchReply{
		Version: current.Version.ToAPI(),
		Chunks:  config.ChunkDigests(chunks),
		Missing: config.Missing(chunks, request.GetHave()),
	}, nil
}

// Offer puts a file in force if it is newer and without findings, and then
// tells others at once.
func (g *Gossip) Offer(now time.Time, source string, revision slatewind.Revision, text []byte) {
	changed, err := g.store.Offer(now, source, revision, text)
	if err != nil || !changed {
		return
	}
	g.events.SettingsChanged(now, g.store.Current())
	go g.push()
}

func toAPI(now time.Time, e member.Entry) *slatewindv1.Member {
	return &slatewindv1.Member{
		Vm: e.VM, DataCentre: e.DataCentre, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation,
		Serial: e.Serial, State: string(e.State), Source: string(e.Source), AgeNanos: int64(now.Sub(e.Updated)),
	}
}

func membersToAPI(now time.Time, entries []member.Entry) []*slatewindv1.Member {
	members := make([]*slatewindv1.Member, len(entries))
	for i, e := range entries {
		members[i] = toAPI(now, e)
	}
	return members
}

func fromAPI(m *slatewindv1.Member, source slatewind.Source) member.Entry {
	return member.Entry{
		VM: m.GetVm(), DataCentre: m.GetDataCentre(), PeerAddress: m.GetPeerAddress(), Incarnation: m.GetIncarnation(),
		Serial: m.GetSerial(), State: slatewind.VMState(m.GetState()), Source: source,
	}
}
