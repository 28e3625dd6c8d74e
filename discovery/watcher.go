package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/timer"
)

const (
	// pace is the least time between two calls of a watcher. Servers write
	// their entries all the time, so an eager watch would return many times a
	// second, and each call is paid for. A leaving server must be heard of
	// within two seconds.
	pace = 500 * time.Millisecond
	// watchWait is how long the store may hold a watch. A connection that has
	// gone silent is noticed after that and the call's own timeout.
	watchWait = time.Second
	// firstRetry and maxRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// lapseTime is how long a server whose entry vanished while the store was
	// out of reach may write it anew before it counts as gone.
	lapseTime = 1500 * time.Millisecond
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

// Watcher follows a publisher and keeps no state but what it takes to tell
// changes.
type Watcher struct {
	source slatewind.Publisher
	sink   Sink

	revision uint64
	known    map[string]slatewind.ServerEntry
	// lapsed holds servers whose entries vanished, with the time at which they
	// count as gone.
	lapsed map[string]time.Time
	// lost says that the last call failed, lostAt when the last failure was.
	lost   bool
	lostAt time.Time
}

// NewWatcher returns a watcher that has heard nothing yet.
func NewWatcher(source slatewind.Publisher, sink Sink) *Watcher {
	return &Watcher{source: source, sink: sink, known: map[string]slatewind.ServerEntry{}, lapsed: map[string]time.Time{}}
}

// Start follows the publisher until ctx ends.
func (w *Watcher) Start(ctx context.Context, _ *timer.Service) {
	go w.loop(ctx)
}

func (w *Watcher) loop(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		err := w.step(ctx)
		now := time.Now()
		w.expire(now)
		if err == nil {
			w.reached(now)
			retry = firstRetry
			sleep(ctx, pace)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, slatewind.ErrHistoryGone) {
			w.revision = 0
			continue
		}
		w.failed(now, err)
		sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, maxRetry)
	}
}

// step makes one call and tells what it brought.
func (w *Watcher) step(ctx context.Context) error {
	if w.revision == 0 {
		all, err := w.source.Read(ctx)
		if err != nil {
			return err
		}
		w.takeAll(time.Now(), all)
		return nil
	}
	changes, err := w.source.Changes(ctx, w.revision, watchWait)
	if err != nil {
		return err
	}
	w.take(time.Now(), changes)
	return nil
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

// takeAll takes a whole publication: servers that it lacks are gone.
func (w *Watcher) takeAll(now time.Time, all slatewind.Publication) {
	listed := make(map[string]bool, len(all.Servers))
	for _, entry := range all.Servers {
		listed[entry.Name] = true
	}
	for name := range w.known {
		if !listed[name] {
			w.vanished(now, name)
		}
	}
	w.take(now, all)
}

func (w *Watcher) take(now time.Time, p slatewind.Publication) {
	for _, finding := range p.Findings {
		w.sink.Finding(now, finding)
	}
	if p.Settings != nil {
		w.sink.Settings(now, p.Settings)
	}
	for _, name := range p.Removed {
		w.vanished(now, name)
	}
	for _, entry := range p.Servers {
		delete(w.lapsed, entry.Name)
		if before, ok := w.known[entry.Name]; ok && before == entry {
			continue
		}
		w.known[entry.Name] = entry
		w.sink.Server(now, entry)
	}
	w.revision = max(w.revision, p.Revision)
}

// vanished handles an entry that is no longer there. Entries run out while the
// store is away although their servers are well, so after an outage a server
// may come back for a moment; otherwise it is gone at once.
func (w *Watcher) vanished(now time.Time, name string) {
	if _, ok := w.known[name]; !ok {
		return
	}
	if w.lost || !w.lostAt.IsZero() && now.Sub(w.lostAt) < lapseTime {
		if _, waiting := w.lapsed[name]; !waiting {
			w.lapsed[name] = now.Add(lapseTime)
		}
		return
	}
	w.gone(now, name)
}

func (w *Watcher) gone(now time.Time, name string) {
	delete(w.known, name)
	delete(w.lapsed, name)
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
			w.gone(now, name)
		}
	}
}
