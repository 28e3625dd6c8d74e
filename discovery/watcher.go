package discovery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/recovery"
	"slatewind.example/slatewind/timer"
)

const (
	// storePollInterval is the time between two calls to the store, which are charged. Calls do
	// not wait for changes: if the process was paused, the age of the answer to a long poll is
	// unknown. peerPollInterval is the time between two queries to a peer.
	storePollInterval = 900 * time.Millisecond
	peerPollInterval  = 450 * time.Millisecond
	// emptyPollInterval is the time between two calls to the store while no server is known: then
	// no server can be leaving, and all processes call the store.
	emptyPollInterval = 1500 * time.Millisecond
	// postReadInterval follows the first complete read: only its result shows which peers to
	// query from then on.
	postReadInterval = 100 * time.Millisecond
	// storeLatency is the maximum duration of a call to a healthy store, on a busy process too;
	// typical calls take milliseconds.
	storeLatency = 75 * time.Millisecond
	// MaxViewAge is the maximum age of the view of a process that can reach the store, whatever
	// happens to other processes: updates are accepted up to maxPeerAge, the next query follows
	// after peerPollInterval, it may time out, and then the store is queried. A leaving server
	// gets no new requests once the process beside it knows, so this must be below the time that
	// operators allow, which is at least two seconds.
	MaxViewAge = maxPeerAge + peerPollInterval + peerTimeout + storeLatency
	// minRetry and maxRetry bound the backoff after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// renewalGrace is how long after an outage servers may renew their entries before they count
	// as removed: one heartbeat interval of the servers.
	renewalGrace = 1500 * time.Millisecond
	// supersededTimeout is how long the source must list a superseded entry until it is used. A
	// server that runs overwrites it within one heartbeat, and an entry that is not renewed
	// expires after three.
	supersededTimeout = 10 * time.Second
	// slowPollTime is the duration from which a poll is reported as slow. A normal poll takes
	// some milliseconds.
	slowPollTime = 300 * time.Millisecond
	// maxTombstones bounds the number of tombstones kept for peers. If it is exceeded, all are
	// dropped, and peers that request earlier changes get a complete update.
	maxTombstones = 1024
)

// Sink receives the changes that a Watcher observes. Its methods are not called concurrently.
type Sink interface {
	// Server delivers a new or changed entry.
	Server(now time.Time, entry slatewind.ServerEntry)
	// ServerGone reports that a server was removed.
	ServerGone(now time.Time, name string)
	// InvalidData reports an entry that cannot be decoded or is not used.
	InvalidData(now time.Time, err error)
	// Restored reports that the source returned to an earlier state: before is the revision known
	// until then, since the revision that it has now.
	Restored(now time.Time, before, since slatewind.Revision)
	// SourceReachable reports that the source became unreachable or reachable again.
	SourceReachable(now time.Time, reachable bool, cause error)
	// SlowPoll reports a poll that took long.
	SlowPoll(poll SlowPoll)
}

// SlowPoll describes a poll that took long. Its fields distinguish a slow source from a
// long transfer and from an old view.
type SlowPoll struct {
	// From is the address of the peer that answered, or empty for the store.
	From string
	// Took is the duration of the poll.
	Took time.Duration
	// Age is the age of the view at the end of the poll.
	Age time.Duration
	// Servers and Removed are the numbers of changed and removed entries.
	Servers, Removed int
}

// Watcher follows the servers that a source publishes. It keeps their entries, to detect changes
// and to send the changes to other processes.
type Watcher struct {
	source slatewind.ServerSource
	sink   Sink

	// mu guards the fields below.
	mu sync.Mutex
	// revision is the store's revision up to which everything is known. confirmedAt is when the
	// store last confirmed it, to this process or to a peer.
	revision    slatewind.Revision
	confirmedAt timer.Instant
	// clock includes the time for which the VM was suspended, since the view ages meanwhile.
	clock timer.Clock
	// readAll reports that the changes since revision are not available, so that the next poll
	// must read the full state.
	readAll bool
	servers map[string]knownServer
	// ranking ranks the endpoints of the known servers; nil after they changed.
	ranking *ranking
	// tombstones holds the removed servers. It lacks none of those that were removed after the
	// revision complete.
	tombstones map[string]tombstone
	complete   slatewind.Revision
	eraChange  eraChange
	// awaitingRenewal holds the known servers whose entries were removed during or after an
	// outage and that are in their grace period, with the revision of the removal.
	awaitingRenewal map[string]slatewind.Revision
	// superseded holds, by name, the superseded entries that the source still lists.
	superseded map[string]superseded
	// unreachable reports that the last call failed, or that its update came from a peer because this
	// process cannot reach the store. reachableSince is when the last outage or
	// restore of the source ended.
	unreachable    bool
	reachableSince time.Time
}

// NewWatcher returns a watcher that has no data yet.
func NewWatcher(source slatewind.ServerSource, sink Sink) *Watcher {
	return &Watcher{
		source: source, sink: sink,
		servers: map[string]knownServer{}, tombstones: map[string]tombstone{}, awaitingRenewal: map[string]slatewind.Revision{}, superseded: map[string]superseded{},
	}
}

// Start polls the source until ctx ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.loop(ctx)
}

func (w *Watcher) loop(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		var interval time.Duration
		err := recovery.Call("poll for servers", func() (err error) {
			interval, err = w.poll(ctx)
			return err
		})
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			retry = minRetry
			w.rest(ctx, interval)
		case errors.Is(err, slatewind.ErrHistoryGone):
			w.requestFullRead()
		default:
			sleep(ctx, jitter(retry))
			retry = min(2*retry, maxRetry)
		}
	}
}

// rest waits between two polls. If a grace period ends meanwhile, it removes the servers whose
// entries were not renewed.
func (w *Watcher) rest(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	if wait, waiting := w.graceRemaining(); waiting && wait < pause {
		sleep(ctx, wait)
		w.mu.Lock()
		w.expire(time.Now())
		w.mu.Unlock()
	}
	sleep(ctx, time.Until(end))
}

// graceRemaining returns the remaining grace period, and whether any server is in it.
func (w *Watcher) graceRemaining() (wait time.Duration, waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.reachableSince.Add(renewalGrace)), !w.unreachable && len(w.awaitingRenewal) > 0
}

// poll makes one call and applies the result. It returns the time until the next one.
func (w *Watcher) poll(ctx context.Context) (interval time.Duration, err error) {
	after := w.after()
	began := time.Now()
	var p slatewind.ServerUpdate
	if after.IsZero() {
		p, err = w.source.Read(ctx)
	} else {
		p, err = w.source.Changes(ctx, after)
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.expire(now)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, slatewind.ErrHistoryGone) {
			w.markUnreachable(now, err)
		}
		return 0, err
	}
	if took := now.Sub(began); took >= slowPollTime && !after.IsZero() {
		w.sink.SlowPoll(SlowPoll{From: p.From, Took: took, Age: w.clock.Since(w.confirmedAt), Servers: len(p.Servers), Removed: len(p.Removed)})
	}
	if p.PlatformUnreachable {
		w.markUnreachable(now, errOnlyPeers)
	} else {
		w.markReachable(now)
	}
	w.apply(now, p)
	switch {
	case len(w.servers) == 0:
		return emptyPollInterval, nil
	case after.IsZero() && !w.readAll:
		return postReadInterval, nil
	case p.Relayed:
		return peerPollInterval, nil
	}
	return storePollInterval, nil
}

// Revision returns the store's revision up to which everything is known.
func (w *Watcher) Revision() slatewind.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// after returns the revision from which the next poll requests changes; zero requests the full
// state.
func (w *Watcher) after() slatewind.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.readAll {
		return slatewind.Revision{}
	}
	return w.revision
}

// errOnlyPeers is the cause that is reported when an update came from a peer because this process
// cannot reach the store.
var errOnlyPeers = Error.New("the store is reachable only through other processes")

// requestFullRead makes the next poll read the full state.
func (w *Watcher) requestFullRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAll = true
}

// Redeliver delivers the entries of all servers in some data centres to the sink again.
func (w *Watcher) Redeliver(now time.Time, dataCentres []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, server := range w.servers {
		if slices.Contains(dataCentres, server.DataCentre) {
			w.sink.Server(now, server.ServerEntry)
		}
	}
}

// markReachable records that the store is reachable. w.mu is held.
func (w *Watcher) markReachable(now time.Time) {
	if !w.unreachable {
		return
	}
	w.unreachable = false
	w.reachableSince = now
	w.sink.SourceReachable(now, true, nil)
}

// markUnreachable records that the store is unreachable. w.mu is held.
func (w *Watcher) markUnreachable(now time.Time, err error) {
	if !w.unreachable {
		w.sink.SourceReachable(now, false, err)
	}
	w.unreachable = true
}
