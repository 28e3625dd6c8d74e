package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/timer"
)

const (
	// storePace is the time between two calls to the store, which are paid for. A
	// call does not wait for changes: how old the answer to a call that waits is
	// cannot be told where the process was paused. peerPace is the time between two
	// questions to a peer.
	storePace = 900 * time.Millisecond
	peerPace  = 450 * time.Millisecond
	// emptyPace is the time between two calls to the store while no server is known:
	// none can leave then, and everybody asks.
	emptyPace = 1500 * time.Millisecond
	// readPace follows a call that read everything: only what it told shows whom to
	// ask from then on.
	readPace = 100 * time.Millisecond
	// storeTime is how long a call to a store that is well may last, on a busy
	// process too; it answers in milliseconds.
	storeTime = 75 * time.Millisecond
	// NewsAge is the greatest age of a view in a process that reaches the store,
	// whatever befalls the others: news are accepted up to freshAge, the next
	// question follows after peerPace, it may be in vain, and then the store is
	// asked. A leaving server gets no new work once its process knows, so this has
	// to lie below the time that operators allow, two seconds at the least.
	NewsAge = freshAge + peerPace + askTimeout + storeTime
	// firstRetry and maxRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// lapseTime is how long after an outage servers may write their entries
	// anew before they count as gone: a heartbeat of theirs.
	lapseTime = 1500 * time.Millisecond
	// overtakenTime is how long an entry that was true once may stand before it counts
	// again. A server that lives overwrites it within a heartbeat, and one that
	// does not write goes after three.
	overtakenTime = 10 * time.Second
	// slowCall is how long a call for news may last before it is told of. It takes
	// some milliseconds.
	slowCall = 300 * time.Millisecond
	// maxRemoved bounds how many removed servers are remembered for peers; one
	// that asks for changes from before them gets everything.
	maxRemoved = 1024
)

// Sink takes what a watcher learns. Its methods are called one after the other.
type Sink interface {
	// Server brings a new or changed entry.
	Server(now time.Time, entry slatewind.ServerEntry)
	// ServerGone says that an entry is gone.
	ServerGone(now time.Time, name string)
	// Finding brings an entry that could not be read.
	Finding(now time.Time, finding error)
	// Restored says that the source came back at an earlier state.
	Restored(now time.Time, before, since slatewind.Revision)
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
	// Servers and Removed count the entries that came and went.
	Servers, Removed int
}

// Watcher follows the servers that a publisher tells of. It keeps what was
// published, to tell changes and to pass the news on.
type Watcher struct {
	source slatewind.ServerSource
	sink   Sink

	mu sync.Mutex
	// revision is the store's up to which everything is known, seen when the store
	// last said so, be it to a peer.
	revision slatewind.Revision
	seen     timer.Instant
	// clock counts the time too in which the VM was suspended: a view grows old meanwhile.
	clock timer.Clock
	// reread says that the changes since revision cannot be had, so that everything is
	// read anew.
	reread  bool
	servers map[string]known
	// electorate ranks the known servers' places, nil after they changed.
	electorate *electorate
	// removed holds the servers that went; since complete it lacks none.
	removed  map[string]removal
	complete slatewind.Revision
	eras     eras
	// lapsed holds, of the servers, those whose entries vanished during an outage, at
	// which revision.
	lapsed map[string]slatewind.Revision
	// overtaken holds, by their names, entries that stand although something newer is known.
	overtaken map[string]overtaken
	// lost says that the last call failed, regained when the last outage ended.
	lost     bool
	regained time.Time
}

// NewWatcher returns a watcher that has heard nothing yet.
func NewWatcher(source slatewind.ServerSource, sink Sink) *Watcher {
	return &Watcher{
		source: source, sink: sink,
		servers: map[string]known{}, removed: map[string]removal{}, lapsed: map[string]slatewind.Revision{}, overtaken: map[string]overtaken{},
	}
}

// Start follows the publisher until ctx ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.loop(ctx)
}

func (w *Watcher) loop(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		pace, err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			retry = firstRetry
			w.rest(ctx, pace)
		case errors.Is(err, slatewind.ErrHistoryGone):
			w.readAnew()
		default:
			sleep(ctx, spread(retry))
			retry = min(2*retry, maxRetry)
		}
	}
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

// step makes one call and tells what it brought. pace is the time until the next.
func (w *Watcher) step(ctx context.Context) (pace time.Duration, err error) {
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
			w.failed(now, err)
		}
		return 0, err
	}
	if took := now.Sub(began); took >= slowCall && !after.IsZero() {
		w.sink.Slow(SlowNews{From: p.From, Took: took, Age: w.clock.Since(w.seen), Servers: len(p.Servers), Removed: len(p.Removed)})
	}
	if p.PlatformUnreachable {
		w.failed(now, errCut)
	} else {
		w.reached(now)
	}
	w.take(now, p)
	switch {
	case len(w.servers) == 0:
		return emptyPace, nil
	case after.IsZero() && !w.reread:
		return readPace, nil
	case p.Relayed:
		return peerPace, nil
	}
	return storePace, nil
}

// Revision returns the store's revision up to which everything is known.
func (w *Watcher) Revision() slatewind.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// after returns the revision after which changes are asked for, zero for everything.
func (w *Watcher) after() slatewind.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reread {
		return slatewind.Revision{}
	}
	return w.revision
}

// errCut: others reach the store, this process does not.
var errCut = Error.New("only other processes reach the store")

// readAnew makes the next call read everything.
func (w *Watcher) readAnew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reread = true
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
