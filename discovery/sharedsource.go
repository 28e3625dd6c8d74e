package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/timer"
)

// Error is the class of the errors of this package.
var Error = errs.Class("discovery")

const (
	// maxPeerAge is the maximum age of an update from a peer; if it is older, the store is
	// queried. It is the age that a reader's view reaches between the start of one call and the
	// end of the next.
	maxPeerAge = storePollInterval + 2*storeLatency
	// peerTimeout bounds a query to a peer. Within a data centre an answer takes about a
	// millisecond, and some tens of milliseconds from a busy process.
	peerTimeout = 200 * time.Millisecond
	// peerRetryDelay is how long a peer that did not answer, or whose update as a reader was old,
	// does not count as a reader.
	peerRetryDelay = 3 * time.Second
	// pingTimeout bounds the check whether this process can reach the store itself. pingInterval
	// is the interval of the checks while it cannot. outagePingInterval is the interval while its
	// reader cannot reach the store either: then the store is down for all, and the reader
	// reports when it is back. The interval is longer because failed calls are charged in full.
	pingTimeout        = 700 * time.Millisecond
	pingInterval       = 500 * time.Millisecond
	outagePingInterval = 2 * time.Second
	// slowCallTime is the duration from which a direct call counts as slow. minDirectBackoff is
	// the time from a direct call that failed or was slow to the next one of a process that is
	// not a reader; it doubles up to maxDirectBackoff. While the store is down or slow, the
	// readers keep trying on behalf of all.
	slowCallTime     = 2 * storeLatency
	minDirectBackoff = time.Second
	maxDirectBackoff = 4 * time.Second
)

// Peers queries other processes.
type Peers interface {
	// Since queries the process beside the server at address for the servers that changed after a
	// revision of the store; version is that of the settings that this process has.
	Since(ctx context.Context, address string, after slatewind.Revision, version uint64) (slatewind.ServerUpdate, error)
	// Exchange exchanges reports of unhealthy servers with another reader. Of the update, only the
	// version of the settings and the evacuations are used.
	Exchange(ctx context.Context, address string) (slatewind.ServerUpdate, error)
}

// Store is direct access to the platform's store.
type Store interface {
	slatewind.ServerSource
	// Ping checks with a cheap call whether the store is reachable.
	Ping(ctx context.Context) error
}

// SharedSource is a slatewind.ServerSource that limits the load on the store: a few processes
// read the store, and the others query these readers, in their own data centre if it has one. The
// readers are determined by the list of servers, without messages for an election: of each data
// centre the first processes that answer, by the hash of their addresses, as many as the fleet
// needs. If a reader's answer is too old, a process queries the store itself.
//
// A SharedSource serves one Watcher. Its methods must not be called concurrently, except for
// IsReader, SetSeeds and otherProcesses.
type SharedSource struct {
	// isReader reports whether this process reads the store on behalf of others.
	isReader atomic.Bool

	store Store
	peers Peers
	// clock includes the time for which the VM was suspended.
	clock timer.Clock
	// self is the address of the server beside this process. Processes are identified by the
	// addresses of their servers.
	self       string
	dataCentre string
	// endpoints returns the endpoints of the known servers, ranking their order.
	endpoints func() []Endpoint
	ranking   func() *ranking
	// removesActive reports whether an update removes servers that were not reported to be
	// leaving. Their entries may be missing only because the store was down.
	removesActive func(slatewind.ServerUpdate) bool
	// settings is the settings watcher. Its version is sent to peers, and it observes the
	// versions that peers report.
	settings *SettingsWatcher
	// seeds are queried while no server is known.
	seeds atomic.Pointer[[]string]

	// skipUntil holds, for each peer that did not answer and each reader whose update was old, the
	// time until which it does not count as a reader.
	skipUntil map[string]time.Time
	// nextDirect is the time before which a process that is not a reader does not query the
	// store for changes, unless the reader does not answer. directBackoff is the last backoff.
	nextDirect    time.Time
	directBackoff time.Duration
	// unreachable reports that the store could not be reached at lastContact.
	unreachable bool
	lastContact time.Time
	// outage reports that the reader that was queried last could not reach the store either.
	outage bool
	// intN returns a random number in [0, n), which selects one of n processes.
	intN func(n int) int
}

// NewSharedSource returns a source for the process beside the server at self. Attach must be
// called before its first use.
func NewSharedSource(store Store, peers Peers, self string, seeds []string) *SharedSource {
	s := &SharedSource{store: store, peers: peers, self: self, skipUntil: map[string]time.Time{}, intN: rand.IntN}
	s.SetSeeds(seeds)
	return s
}

// Attach sets the watcher whose servers are the peers, the settings watcher and the data centre
// of this process.
func (s *SharedSource) Attach(w *Watcher, settings *SettingsWatcher, dataCentre string) {
	s.dataCentre = dataCentre
	s.endpoints, s.ranking = w.Endpoints, w.currentRanking
	s.removesActive = w.RemovesActive
	s.settings = settings
}

// Read implements slatewind.ServerSource. A process that has just started reads the store, so that
// it has the newest state; if the store is unreachable, it queries a peer.
func (s *SharedSource) Read(ctx context.Context) (slatewind.ServerUpdate, error) {
	began := s.clock.Now()
	p, err := s.store.Read(ctx)
	p.Age = s.clock.Since(began)
	if err == nil {
		return p, nil
	}
	if p, ok := s.queryAnyPeer(ctx, slatewind.Revision{}); ok {
		return p, nil
	}
	return p, err
}

// Changes implements slatewind.ServerSource. A reader queries the store. Any other process queries a
// reader and, if the reader does not answer or its update is not fresh, the store. While the store is
// unreachable or direct calls are backed off, it accepts an update that is not fresh. It fails if the
// reader does not answer while the store is unreachable.
func (s *SharedSource) Changes(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	elected := s.electedReaders(time.Now())
	readers := s.nearReaders(elected)
	if s.setReader(slices.Contains(readers, s.self) || len(readers) == 0) {
		s.exchange(ctx, elected)
		return s.queryStore(ctx, after)
	}
	reader := readers[s.intN(len(readers))]
	p, answered, fresh := s.queryReader(ctx, reader, after)
	switch {
	case fresh, answered && (s.unreachable || time.Now().Before(s.nextDirect)):
		return p, nil
	case s.unreachable:
		return slatewind.ServerUpdate{}, Error.New("neither the store nor the reader beside %s answered", reader)
	}
	p, err := s.queryStore(ctx, after)
	if err == nil && !p.Relayed {
		// The store is healthy and the reader's update is old: query another reader from now on.
		s.skipUntil[reader] = time.Now().Add(peerRetryDelay)
		s.settings.PollOnce()
	}
	return p, err
}

// queryReader queries a reader. It reports whether the reader answered, and whether its update is
// as current as the store's.
func (s *SharedSource) queryReader(ctx context.Context, reader string, after slatewind.Revision) (p slatewind.ServerUpdate, answered, fresh bool) {
	pinged := s.pingIfDue(ctx, time.Now())
	p, answered = s.queryPeer(ctx, reader, after)
	s.awaitPing(pinged)
	s.outage = answered && p.PlatformUnreachable
	// A reader without access to the store may have a recent update, since it queries other
	// processes in turn, but its settings may be older than its servers.
	fresh = answered && !p.PlatformUnreachable && p.Age <= maxPeerAge
	if fresh && !s.unreachable && s.removesActive(p) {
		s.awaitPing(s.ping(ctx))
	}
	p.PlatformUnreachable = s.unreachable
	return p, answered, fresh
}

// setReader records whether this process is a reader, and returns it.
func (s *SharedSource) setReader(isReader bool) bool {
	if s.isReader.Swap(isReader) != isReader {
		s.settings.Wake()
	}
	return isReader
}

// pingIfDue starts a check whether the store is reachable again if it was not and a check is due.
// The check runs concurrently with a query to a peer. The channel is nil if none is due.
func (s *SharedSource) pingIfDue(ctx context.Context, now time.Time) <-chan error {
	interval := pingInterval
	if s.outage {
		interval = outagePingInterval
	}
	if !s.unreachable || now.Sub(s.lastContact) < interval {
		return nil
	}
	return s.ping(ctx)
}

// ping checks whether this process can reach the store. The channel receives the result.
func (s *SharedSource) ping(ctx context.Context) <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		result <- s.store.Ping(ctx)
	}()
	return result
}

// awaitPing waits for the result of a ping, if one was started.
func (s *SharedSource) awaitPing(result <-chan error) {
	if result != nil {
		s.recordContact(<-result)
	}
}

// recordContact records the result of a call to the store.
func (s *SharedSource) recordContact(err error) {
	before := s.unreachable
	s.lastContact = time.Now()
	s.unreachable = err != nil && !errors.Is(err, slatewind.ErrHistoryGone)
	switch {
	case before && !s.unreachable:
		s.settings.RestartPoll()
	case !s.unreachable:
		s.settings.StoreAnswered()
	}
}

// queryStore queries the store. If that fails, it returns the update of a random peer if that is of
// a later revision than after, and the store's error otherwise.
func (s *SharedSource) queryStore(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	began := s.clock.Now()
	p, err := s.store.Changes(ctx, after)
	s.recordContact(err)
	p.Age = s.clock.Since(began)
	s.setDirectBackoff(!s.unreachable && p.Age < slowCallTime)
	if err == nil {
		return p, nil
	}
	if other, ok := s.queryAnyPeer(ctx, after); ok && other.Revision.After(after) {
		return other, nil
	}
	return p, err
}

// setDirectBackoff determines when a process that is not a reader may query the store again.
// There is no backoff after a call that was neither failed nor slow: the store can handle the
// load, and the view must not become old.
func (s *SharedSource) setDirectBackoff(healthy bool) {
	if healthy {
		s.directBackoff, s.nextDirect = 0, time.Time{}
		return
	}
	s.directBackoff = min(max(2*s.directBackoff, minDirectBackoff), maxDirectBackoff)
	s.nextDirect = time.Now().Add(s.directBackoff)
}

// electedReaders returns the processes that read the store.
func (s *SharedSource) electedReaders(now time.Time) []Endpoint {
	return s.ranking().readers(func(address string) bool { return now.Before(s.skipUntil[address]) })
}

// nearReaders returns the readers that this process queries: those of its own data centre or, if
// there are none, all.
func (s *SharedSource) nearReaders(elected []Endpoint) []string {
	if near := addresses(elected, s.dataCentre); len(near) > 0 {
		return near
	}
	return addresses(elected, "")
}

// exchange exchanges reports of unhealthy servers with another reader, concurrently with the call
// to the store, and observes what that reader knows of settings. Errors are ignored, because the
// next exchange follows soon.
func (s *SharedSource) exchange(ctx context.Context, elected []Endpoint) {
	others := slices.DeleteFunc(addresses(elected, ""), s.isSelf)
	if len(others) == 0 {
		return
	}
	other := others[rand.IntN(len(others))]
	go func() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		if update, err := s.peers.Exchange(ctx, other); err == nil {
			s.observe(update, other)
		}
	}()
}

// addresses returns the addresses of the endpoints in a data centre, or of all if dataCentre is
// empty.
func addresses(endpoints []Endpoint, dataCentre string) []string {
	var list []string
	for _, endpoint := range endpoints {
		if dataCentre == "" || endpoint.DataCentre == dataCentre {
			list = append(list, endpoint.Address)
		}
	}
	return list
}

// queryPeer queries one process; ok reports that it answered and has data.
func (s *SharedSource) queryPeer(ctx context.Context, address string, after slatewind.Revision) (p slatewind.ServerUpdate, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	began := s.clock.Now()
	p, err := s.peers.Since(ctx, address, after, s.settings.Version())
	if err != nil || p.Revision.IsZero() {
		s.skipUntil[address] = time.Now().Add(peerRetryDelay)
		return p, false
	}
	s.observe(p, address)
	p.Relayed, p.From = true, address
	// The peer may have been paused after it determined the age of its update.
	p.Age += s.clock.Since(began)
	return p, true
}

// observe records what the process beside the server at address knows of settings and evacuations.
func (s *SharedSource) observe(update slatewind.ServerUpdate, address string) {
	s.settings.ObserveVersion(update.Version, address)
	s.settings.ObserveEvacuations(update.Evacuations)
}

// queryAnyPeer queries a random process.
func (s *SharedSource) queryAnyPeer(ctx context.Context, after slatewind.Revision) (p slatewind.ServerUpdate, ok bool) {
	others := s.exceptSelf(addresses(s.endpoints(), ""))
	if len(others) == 0 {
		return p, false
	}
	p, ok = s.queryPeer(ctx, others[s.intN(len(others))], after)
	p.PlatformUnreachable = s.unreachable
	return p, ok
}

// otherProcesses returns the addresses of the other processes in this data centre or, if there
// are none, of all others.
func (s *SharedSource) otherProcesses() []string {
	endpoints := s.endpoints()
	if near := slices.DeleteFunc(addresses(endpoints, s.dataCentre), s.isSelf); len(near) > 0 {
		return near
	}
	return s.exceptSelf(addresses(endpoints, ""))
}

// exceptSelf returns the given addresses without that of this process, or the seeds if none are
// left.
func (s *SharedSource) exceptSelf(all []string) []string {
	if others := slices.DeleteFunc(all, s.isSelf); len(others) > 0 {
		return others
	}
	return *s.seeds.Load()
}

// SetSeeds sets the addresses that are queried while no server is known. It may be called
// concurrently.
func (s *SharedSource) SetSeeds(seeds []string) { s.seeds.Store(&seeds) }

func (s *SharedSource) isSelf(address string) bool { return address == s.self }

// IsReader reports whether this process reads the store on behalf of others. It may be called
// concurrently.
func (s *SharedSource) IsReader() bool {
	return s.isReader.Load()
}
