// Package gossip keeps membership and settings consistent among the processes.
//
// Each second a process exchanges state with a few random others: the version of its
// settings, recent changes of members, and the digests of its own servers (summaries of
// their load and state). A process that learns of newer settings fetches the missing chunks
// from that peer, puts them in force and pushes the new version to others at once. A few
// readers in each data centre watch the platform; the other processes get its data by gossip.
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
	// fanOut is the number of peers in a round.
	fanOut = 2
	// pushFanOut is the number of peers in a push of new settings.
	pushFanOut = 4
	// pushes is the number of pushes of new settings, pushEvery the time between them.
	pushes    = 4
	pushEvery = 200 * time.Millisecond
	// maxMembers limits the members sent in one exchange.
	maxMembers = 32
	// smallFleet is the number of processes up to which every exchange includes the
	// outcomes of the servers.
	smallFleet = 50
	// callTimeout limits one exchange.
	callTimeout = 900 * time.Millisecond
	// fetchHedgeDelay is how long a fetch of settings may take before another one may start.
	fetchHedgeDelay = 250 * time.Millisecond
	// fetchTimeout limits one fetch of settings.
	fetchTimeout = 5 * time.Second
)

// Peers calls other processes at their IP:port addresses.
type Peers interface {
	Sync(ctx context.Context, address string, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error)
	Fetch(ctx context.Context, address string, request *slatewindv1.FetchRequest) (*slatewindv1.FetchReply, error)
}

// Events connects gossip to the rest of the process: it takes what is received and supplies
// what is sent.
type Events interface {
	// SettingsChanged is called when another settings file is in force.
	SettingsChanged(now time.Time, snapshot *config.Snapshot)
	// MembersChanged is called when the address or state of a VM may have changed.
	MembersChanged(now time.Time)
	// DigestsReceived is called with the digests received in an exchange, and with this
	// process's own digests in each round.
	DigestsReceived(now time.Time, digests []*slatewindv1.Digest)
	// SelfLeaving is called when the platform's list shows this VM as leaving, whichever
	// process read it.
	SelfLeaving(now time.Time)
	// Digests returns the digests of this VM's servers, with or without outcomes.
	Digests(outcomes bool) []*slatewindv1.Digest
	// Suspects returns what to send about requests during which servers crashed.
	Suspects(now time.Time) []*slatewindv1.Suspect
	// SuspectsReceived is called with what other processes sent about such requests.
	SuspectsReceived(now time.Time, suspects []*slatewindv1.Suspect)
}

// Gossip owns the membership table of a process and exchanges state with other processes.
type Gossip struct {
	store   *config.Store
	journal slatewind.Journal
	peers   Peers
	events  Events
	seeds   []string
	self    string

	// mu guards table, random, platformSeen, fetches and lastFetch.
	mu     sync.Mutex
	table  *member.Table
	random *rand.Rand
	// platformSeen is the time of the newest successful read of the platform, by this
	// process or by another, as received by gossip. It is zero before the first.
	platformSeen time.Time
	// fetches is the number of fetches in progress, lastFetch is when the newest started.
	fetches   int
	lastFetch time.Time
	// ctx is the context of Start.
	ctx context.Context
}

// New returns the Gossip of a process. seeds are peer addresses to contact at the start and
// while no peers are known. Start must be called before use.
func New(self member.Entry, seeds []string, store *config.Store, journal slatewind.Journal, peers Peers) *Gossip {
	return &Gossip{
		store: store, journal: journal, peers: peers, seeds: seeds, self: self.VM,
		table:  member.NewTable(time.Now(), self),
		random: rand.New(rand.NewPCG(self.Incarnation, rand.Uint64())),
	}
}

// Start contacts the seeds and starts the rounds, which end with ctx.
func (g *Gossip) Start(ctx context.Context, timers *timer.Service, events Events) {
	g.ctx = ctx
	g.events = events
	for _, address := range g.seeds {
		go g.exchange(address, "", plain)
	}
	timers.Subscribe(ctx, interval, func(t timer.Tick) {
		if t.Paused > 0 {
			// After a pause of the process its state is outdated, so it asks more peers.
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

// Leaving reports whether a VM is known to be leaving, so that it takes no new work.
func (g *Gossip) Leaving(vm string) bool {
	e, ok := g.find(vm)
	return ok && e.State == slatewind.VMLeaving
}

func (g *Gossip) find(vm string) (member.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Find(vm)
}

// Members returns all known VMs, sorted by name.
func (g *Gossip) Members() []member.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All()
}

// MayRead reports whether this process may read the platform now (see member.MayRead).
func (g *Gossip) MayRead(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return member.MayRead(g.table.ReaderRank(), g.platformAge(now))
}

// PlatformAge returns the age of the newest known read of the platform, and an hour if none
// is known.
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

// PlatformSeen records a successful read of the platform by this process.
func (g *Gossip) PlatformSeen(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.After(g.platformSeen) {
		g.platformSeen = now
	}
}

// Listed merges the platform's VM list.
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

// Leave marks this process as leaving and publishes that it takes no new work.
func (g *Gossip) Leave(now time.Time) {
	g.mu.Lock()
	g.table.Leave(now)
	g.mu.Unlock()
	g.round(pushFanOut)
}

// push publishes new settings in several rounds, each with other random peers, since messages
// may be lost and a network partition may leave few paths open.
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

// deliverOwnDigests passes the digests of this process's own servers to its ingress, as if
// received from a peer.
func (g *Gossip) deliverOwnDigests() {
	g.events.DigestsReceived(time.Now(), g.events.Digests(true))
}

// round starts an exchange with each of n random peers, or with the seeds if no peer is known.
func (g *Gossip) round(n int) {
	g.deliverOwnDigests()
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

// RefreshDigests exchanges state, with the outcomes of servers, with the processes of VMs and
// waits for all exchanges to end. ctx limits them.
func (g *Gossip) RefreshDigests(ctx context.Context, vms []string) {
	var group sync.WaitGroup
	for _, vm := range vms {
		if vm == g.self {
			g.deliverOwnDigests()
			continue
		}
		address := g.Address(vm)
		if address == "" {
			continue
		}
		group.Go(func() { g.exchangeWithin(ctx, address, vm, wantOutcomes) })
	}
	group.Wait()
}

// Relay forwards digests of other VMs' servers to a few random processes.
func (g *Gossip) Relay(digests []*slatewindv1.Digest) {
	for _, peer := range g.choose(pushFanOut) {
		go g.exchange(peer.PeerAddress, peer.VM, func(r *slatewindv1.SyncRequest) {
			r.Digests = append(r.Digests, digests...)
		})
	}
}

// wantOutcomes requests the outcomes of servers in an exchange.
func wantOutcomes(r *slatewindv1.SyncRequest) { r.WantsOutcomes = true }

// plain leaves the request of an exchange unchanged.
func plain(*slatewindv1.SyncRequest) {}

// exchange calls Sync of the process at an address and handles the reply. vm is its VM, or
// "" if unknown. modify changes the request before it is sent.
func (g *Gossip) exchange(address, vm string, modify func(*slatewindv1.SyncRequest)) {
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	g.exchangeWithin(ctx, address, vm, modify)
}

// exchangeWithin is exchange with the deadline of ctx.
func (g *Gossip) exchangeWithin(ctx context.Context, address, vm string, modify func(*slatewindv1.SyncRequest)) {
	now := time.Now()
	g.mu.Lock()
	g.table.CallStarted(vm)
	g.mu.Unlock()
	request := g.request(now, false)
	modify(request)
	reply, err := g.peers.Sync(ctx, address, request)
	if g.ctx.Err() != nil {
		return
	}
	if err != nil {
		g.callFailed(vm)
		return
	}
	g.mu.Lock()
	g.table.CallEnded(time.Now(), vm, true)
	g.mu.Unlock()
	g.receive(time.Now(), address, &slatewindv1.SyncRequest{
		Self: reply.GetSelf(), Version: reply.GetVersion(), Members: reply.GetMembers(),
		Digests: reply.GetDigests(), PlatformAgeNanos: reply.GetPlatformAgeNanos(), Suspects: reply.GetSuspects(),
	})
}

// callFailed records that a call to a VM failed.
func (g *Gossip) callFailed(vm string) {
	now := time.Now()
	g.mu.Lock()
	gone := g.table.CallEnded(now, vm, false)
	g.mu.Unlock()
	if gone {
		g.journal.Add(slatewind.Decision{Time: now, Kind: slatewind.DecisionMember, Reason: "VM " + vm + " did not answer several calls in a row and counts as gone"})
	}
}

// request returns the request of an exchange. In a small fleet it always includes the newest
// outcomes of the servers. In a large fleet a random peer seldom uses these servers, so they
// are included only if outcomes is set.
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

// SendSuspects starts an exchange with the processes of some VMs and adds suspects to it. They
// are added explicitly, since an exchange sends only some of the suspects if there are many.
func (g *Gossip) SendSuspects(vms []string, suspects []*slatewindv1.Suspect) {
	modify := func(request *slatewindv1.SyncRequest) { request.Suspects = append(request.Suspects, suspects...) }
	for _, vm := range vms {
		if address := g.Address(vm); address != "" {
			go g.exchange(address, vm, modify)
		}
	}
}

// Sync serves an exchange that another process started.
func (g *Gossip) Sync(_ context.Context, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error) {
	now := time.Now()
	g.receive(now, request.GetSelf().GetPeerAddress(), request)
	r := g.request(now, request.GetWantsOutcomes())
	return &slatewindv1.SyncReply{
		Self: r.GetSelf(), Version: r.GetVersion(), Members: r.GetMembers(),
		Digests: r.GetDigests(), PlatformAgeNanos: r.GetPlatformAgeNanos(), Suspects: r.GetSuspects(),
	}, nil
}

// receive handles the state received from the process at address.
func (g *Gossip) receive(now time.Time, address string, received *slatewindv1.SyncRequest) {
	changed, leaves := g.merge(now, received)
	if leaves {
		g.events.SelfLeaving(now)
	}
	if changed {
		g.events.MembersChanged(now)
	}
	g.events.DigestsReceived(now, received.GetDigests())
	g.events.SuspectsReceived(now, received.GetSuspects())
	g.Hint(address, config.VersionFromAPI(received.GetVersion()))
}

// merge merges the received members and platform age. It reports whether a member has changed
// and whether this process is leaving from now on.
func (g *Gossip) merge(now time.Time, received *slatewindv1.SyncRequest) (changed, leaves bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.table.Self().State
	changed = g.table.Merge(now, fromAPI(received.GetSelf(), slatewind.SourceContact))
	for _, m := range received.GetMembers() {
		if m.GetVm() != received.GetSelf().GetVm() {
			changed = g.table.Merge(now, fromAPI(m, slatewind.SourceGossip)) || changed
		}
	}
	if seen := now.Add(-time.Duration(received.GetPlatformAgeNanos())); seen.After(g.platformSeen) {
		g.platformSeen = seen
	}
	leaves = before == slatewind.VMLive && g.table.Self().State == slatewind.VMLeaving
	return changed, leaves
}

// Hint is called with the version of the settings that the process at an address has. If it
// is newer than the version of this process, the settings are fetched from there.
func (g *Gossip) Hint(address string, version config.Version) {
	if version.Newer(g.store.Version()) {
		g.fetchFrom(address)
	}
}

// fetchFrom starts a fetch of newer settings from a peer. It does nothing while another fetch
// is in progress, unless that one has taken fetchHedgeDelay, since it may hang.
func (g *Gossip) fetchFrom(address string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fetches > 0 && now.Sub(g.lastFetch) < fetchHedgeDelay {
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

// fetch gets the missing chunks of the settings from a peer and offers the settings. If it
// fails, the next exchange with a peer that has newer settings starts another fetch.
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
	text, complete := config.Join(reply.GetChunks(), older, reply.GetMissing())
	if !complete {
		return
	}
	g.Offer(time.Now(), "peer "+address, config.VersionFromAPI(reply.GetVersion()).Written(), text)
}

// Fetch serves the chunks of the current settings that another process lacks.
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

// Offer puts a settings file in force if it is newer and has no findings, and then pushes it
// to other processes.
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
