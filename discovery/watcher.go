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
	watchWait = 500 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// lapseTime is how long after an outage servers may write their entries
	// anew before they count as gone: a heartbeat of theirs.
	lapseTime = 1500 * time.Millisecond
	// slowCall is how long a call for news may last before it is told of. One to a
	// peer takes some milliseconds, one to the store may wait for watchWait.
	slowCall = watchWait + 100*time.Millisecond
	// maxRemoved bounds how many removed servers are remembered for peers; one
	// that asks for changes from before them gets everything.
	maxRemoved = 1024
)

// Sink takes what a watcher learns. Its methods are called one after the other.
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
	// Slow says that news took long to come.
	Slow(news SlowNews)
}

// SlowNews is a call for news that took long. It tells a slow source from a long
// transfer and from an old view.
type SlowNews struct {
	// From is who was asked in the end: a peer's address, or empty for the store.
	From string
	// Took is how long the call lasted.
	Took time.Duration
	// Age is how old the view was when the call ended.
	Age time.Duration
	// Servers and Removed count the entries that came and went; Version is that of
	// the settings that came, or 0.
	Servers, Removed int
	Version          uint64
}

// Watcher follows a publisher. It keeps what was published, to tell changes and
// to pass the news on.
type Watcher struct {
	source slatewind.Publisher
	sink   Sink

	mu sync.Mutex
	// revision is the store's up to which everything is known, seen when the store
	// last said so, be it to a peer.
	revision uint64
	seen     time.Time
	settings *slatewind.PublishedSettings
	servers  map[string]known
	// removed holds the revisions at which servers went; forgotten is the
	// revision up to which it may lack some.
	removed   map[string]uint64
	forgotten uint64
	// lapsed holds servers whose entries vanished during an outage.
	lapsed map[string]bool
	// lost says that the last call failed, regained when the last outage ended.
	lost     bool
	regained time.Time
}

// NewWatcher returns a watcher that has heard nothing yet.
func NewWatcher(source slatewind.Publisher, sink Sink) *Watcher {
	return &Watcher{
		source: source, sink: sink,
		servers: map[string]known{}, removed: map[string]uint64{}, lapsed: map[string]bool{},
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
			w.rest(ctx, paceOf(relayed))
		case errors.Is(err, slatewind.ErrHistoryGone):
			w.readAnew()
		default:
			sleep(ctx, spread(retry))
			retry = min(2*retry, maxRetry)
		}
	}
}

// paceOf returns the least time between two calls.
func paceOf(relayed bool) time.Duration {
	if relayed {
		return peerPace
	}
	return storePace
}

// rest pauses between two calls, and meanwhile lets servers go whose time for a
// new entry after an outage ends.
func (w *Watcher) rest(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	if wait, waiting := w.lapseEnds(); waiting && wait < pause {
		sleep(ctx, wait)
		w.mu.Lock()
		w.expire(time.Now())
		w.mu.Unlock()
	}
	sleep(ctx, time.Until(end))
}

// lapseEnds returns when entries that vanished during an outage count as gone,
// if there are any.
func (w *Watcher) lapseEnds() (wait time.Duration, waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.regained.Add(lapseTime)), !w.lost && len(w.lapsed) > 0
}

// step makes one call and tells what it brought. relayed says that it came from
// a peer.
func (w *Watcher) step(ctx context.Context) (relayed bool, err error) {
	after := w.Revision()
	began := time.Now()
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
	if took := now.Sub(began); took >= slowCall && after > 0 {
		w.sink.Slow(slowNews(p, took, now.Sub(w.seen)))
	}
	if p.Cut {
		w.failed(now, errCut)
	} else {
		w.reached(now)
	}
	w.take(now, p)
	return p.Relayed, nil
}

// slowNews describes a call that took long, and the age that the view had.
func slowNews(p slatewind.Publication, took, age time.Duration) SlowNews {
	news := SlowNews{From: p.From, Took: took, Age: age, Servers: len(p.Servers), Removed: len(p.Removed)}
	if p.Settings != nil {
		news.Version = p.Settings.Version
	}
	return news
}

// Revision returns the store's revision up to which everything is known.
func (w *Watcher) Revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// errCut: others reach the store, this process does not.
var errCut = Error.New("only other processes reach the store")

// readAnew makes the next call read everything.
func (w *Watcher) readAnew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = 0
}

// reached notes that the store can be reached. The lock is held.
func (w *Watcher) reached(now time.Time) {
	if !w.lost {
		return
	}
	w.lost = false
	w.regained = now
	w.sink.Reach(now, true, nil)
}

// failed notes that the store cannot be reached. The lock is held.
func (w *Watcher) failed(now time.Time, err error) {
	if !w.lost {
		w.sink.Reach(now, false, err)
	}
	w.lost = true
}
