package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"slatewind.example/slatewind"
)

const (
	// storePace is the least time between two calls to the store. Servers write
	// their entries all the time, so an eager watch would return many times a
	// second, and each call is paid for. peerPace is that between two questions
	// to a peer. A leaving server must be heard of within two seconds, which
	// both together leave time for.
	storePace = 800 * time.Millisecond
	peerPace  = 450 * time.Millisecond
	// watchWait is how long the store may hold a watch. A connection that has
	// gone silent is noticed after that and the call's own timeout.
	watchWait = time.Second
	// firstRetry and maxRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// lapseTime is how long a server whose entry vanished while the store was
	// out of reach may write it anew before it counts as gone.
	lapseTime = 1500 * time.Millisecond
	// maxRemoved bounds how many removed servers are remembered for others;
	// whoever lacks more is told everything.
	maxRemoved = 1024
)

// Sink takes what a watcher hears.
type Sink interface {
	// Settings offers settings; older ones are ignored.
	Settings(now time.Time, settings *slatewind.PublishedSettings)
	// Server brings a new or changed entry.
	Server(now time.Time, entry slatewind.ServerEntry)
	// ServerGone says that an entry is gone.
	ServerGone(now time.Time, name string)
	// Finding brings an entry that could not be read.
	Finding(now time.Time, finding error)
	// Reach says that the source was lost or regained.
	Reach(now time.Time, reached bool, cause error)
}

// known is an entry with the revision at which it was heard of.
type known struct {
	slatewind.ServerEntry
	revision uint64
}

// Watcher follows a publisher. It keeps what was published, to tell changes and
// to pass the news on.
type Watcher struct {
	source slatewind.Publisher
	sink   Sink

	mu       sync.Mutex
	revision uint64
	seen     time.Time
	settings *slatewind.PublishedSettings
	servers  map[string]known
	// removed holds the revisions at which servers went; forgotten is the
	// revision up to which it may lack some.
	removed   map[string]uint64
	forgotten uint64
	// lapsed holds servers whose entries vanished, with the time at which they
	// count as gone.
	lapsed map[string]time.Time
	// lost says that the last call failed, lostAt when the last failure was.
	lost   bool
	lostAt time.Time
}

// NewWatcher returns a watcher that has heard nothing yet.
func NewWatcher(source slatewind.Publisher, sink Sink) *Watcher {
	return &Watcher{
		source: source, sink: sink,
		servers: map[string]known{}, removed: map[string]uint64{}, lapsed: map[string]time.Time{},
	}
}

// Start follows the publisher until ctx ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.loop(ctx)
}

func (w *Watcher) loop(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		relayed, err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			retry = firstRetry
			sleep(ctx, paceOf(relayed))
		case errors.Is(err, slatewind.ErrHistoryGone):
			w.readAnew()
		default:
			sleep(ctx, spread(retry))
			retry = min(2*retry, maxRetry)
		}
	}
}

func paceOf(relayed bool) time.Duration {
	if relayed {
		return peerPace
	}
	return storePace
}

// step makes one call and tells what it brought. relayed says that it came from
// a peer.
func (w *Watcher) step(ctx context.Context) (relayed bool, err error) {
	after := w.Revision()
	var p slatewind.Publication
	if after == 0 {
		p, err = w.source.Read(ctx)
	} else {
		p, err = w.source.Changes(ctx, after, watchWait)
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.expire(now)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, slatewind.ErrHistoryGone) {
			w.failed(now, err)
		}
		return false, err
	}
	if p.Cut {
		w.failed(now, errCut)
	} else {
		w.reached(now)
	}
	w.take(now, p)
	return p.Relayed, nil
}

// Revision returns the store's revision up to which everything is known.
func (w *Watcher) Revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// errCut: others reach the store, this process does not.
var errCut = Error.New("only other processes reach the store")

func (w *Watcher) readAnew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = 0
}

func (w *Watcher) reached(now time.Time) {
	if w.lost {
		w.sink.Reach(now, true, nil)
	}
	w.lost = false
}

func (w *Watcher) failed(now time.Time, err error) {
	if !w.lost {
		w.sink.Reach(now, false, err)
	}
	w.lost = true
	w.lostAt = now
}

// take takes a publication. Servers that a whole one lacks are gone.
func (w *Watcher) take(now time.Time, p slatewind.Publication) {
	for _, finding := range p.Findings {
		w.sink.Finding(now, finding)
	}
	if p.Settings != nil && (w.settings == nil || p.Settings.Version > w.settings.Version) {
		w.settings = p.Settings
		w.sink.Settings(now, p.Settings)
	}
	if p.Whole {
		w.removeOthers(now, p)
	}
	for _, name := range p.Removed {
		w.vanished(now, name, p.Revision)
	}
	for _, entry := range p.Servers {
		delete(w.lapsed, entry.Name)
		if before, ok := w.servers[entry.Name]; ok && before.ServerEntry == entry {
			continue
		}
		w.servers[entry.Name] = known{entry, p.Revision}
		delete(w.removed, entry.Name)
		w.sink.Server(now, entry)
	}
	w.revision = max(w.revision, p.Revision)
	if seen := now.Add(-p.Age); seen.After(w.seen) {
		w.seen = seen
	}
}

func (w *Watcher) removeOthers(now time.Time, all slatewind.Publication) {
	listed := make(map[string]bool, len(all.Servers))
	for _, entry := range all.Servers {
		listed[entry.Name] = true
	}
	for name := range w.servers {
		if !listed[name] {
			w.vanished(now, name, all.Revision)
		}
	}
}

// vanished handles an entry that is no longer there. Entries run out while the
// store is away although their servers are well, so after an outage a server
// may come back for a moment; otherwise it is gone at once.
func (w *Watcher) vanished(now time.Time, name string, revision uint64) {
	if _, ok := w.servers[name]; !ok {
		return
	}
	if w.lost || !w.lostAt.IsZero() && now.Sub(w.lostAt) < lapseTime {
		if _, waiting := w.lapsed[name]; !waiting {
			w.lapsed[name] = now.Add(lapseTime)
		}
		return
	}
	w.gone(now, name, revision)
}

func (w *Watcher) gone(now time.Time, name string, revision uint64) {
	delete(w.servers, name)
	delete(w.lapsed, name)
	if len(w.removed) >= maxRemoved {
		clear(w.removed)
		w.forgotten = revision
	}
	w.removed[name] = revision
	w.sink.ServerGone(now, name)
}

// expire ends the waiting for entries that did not come back. While the store
// is away nobody can write, so the waiting goes on.
func (w *Watcher) expire(now time.Time) {
	if w.lost {
		for name := range w.lapsed {
			w.lapsed[name] = now.Add(lapseTime)
		}
		return
	}
	for name, until := range w.lapsed {
		if now.After(until) {
			// Others may know the revision already, so that they hear of this
			// only as part of everything.
			w.forgotten = w.revision
			w.gone(now, name, w.revision)
		}
	}
}

// Since returns what changed after a revision, for another process. version is
// that of its settings.
func (w *Watcher) Since(after, version uint64) slatewind.Publication {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == 0 {
		return slatewind.Publication{}
	}
	p := slatewind.Publication{Revision: w.revision, Age: time.Since(w.seen), Whole: after == 0 || after <= w.forgotten}
	if w.settings != nil && w.settings.Version > version {
		p.Settings = w.settings
	}
	for _, server := range w.servers {
		if p.Whole || server.revision > after {
			p.Servers = append(p.Servers, server.ServerEntry)
		}
	}
	for name, revision := range w.removed {
		if !p.Whole && revision > after {
			p.Removed = append(p.Removed, name)
		}
	}
	return p
}

// Version returns the version of the newest settings, or 0.
func (w *Watcher) Version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.settings == nil {
		return 0
	}
	return w.settings.Version
}

// Peers returns the addresses of the servers in a data centre, or everywhere
// where it is empty.
func (w *Watcher) Peers(dataCentre string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	addresses := make([]string, 0, len(w.servers))
	for _, server := range w.servers {
		if dataCentre == "" || server.DataCentre == dataCentre {
			addresses = append(addresses, server.Address)
		}
	}
	return addresses
}
