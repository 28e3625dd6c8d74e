package discovery

import (
	"slices"
	"time"

	"slatewind.example/slatewind"
)

// known is an entry with the revision at which it was heard of.
type known struct {
	slatewind.ServerEntry
	revision uint64
}

// take takes a publication. Servers that a whole one lacks are gone. The lock is
// held.
func (w *Watcher) take(now time.Time, p slatewind.Publication) {
	for _, finding := range p.Findings {
		w.sink.Finding(now, finding)
	}
	if p.Whole {
		w.removeOthers(now, p)
		// What went before is not known here, so whoever knows less gets everything.
		w.forgotten = max(w.forgotten, max(p.Revision, 1)-1)
	}
	for _, name := range p.Removed {
		w.vanished(now, name, p.Revision)
	}
	for _, entry := range p.Servers {
		if _, lapsed := w.lapsed[entry.Name]; lapsed {
			// Others were told that it had gone, so that it is news to them.
			delete(w.lapsed, entry.Name)
			delete(w.servers, entry.Name)
		}
		before, ok := w.servers[entry.Name]
		if ok && before.ServerEntry == entry {
			continue
		}
		if !ok || before.Address != entry.Address || before.DataCentre != entry.DataCentre {
			w.electorate = nil
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

// removeOthers handles the servers that a whole publication lacks.
func (w *Watcher) removeOthers(now time.Time, all slatewind.Publication) {
	listed := listedIn(all)
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
	if w.lost || now.Before(w.regained.Add(lapseTime)) {
		w.lapsed[name] = revision
		return
	}
	w.gone(now, name, revision)
}

// gone forgets a server and tells the sink.
func (w *Watcher) gone(now time.Time, name string, revision uint64) {
	delete(w.servers, name)
	w.electorate = nil
	delete(w.lapsed, name)
	if len(w.removed) >= maxRemoved {
		clear(w.removed)
		w.forgotten = max(w.revision, revision)
	}
	w.removed[name] = revision
	w.sink.ServerGone(now, name)
}

// expire ends the waiting for entries that did not come back. While the store
// is away nobody can write, so the waiting goes on.
func (w *Watcher) expire(now time.Time) {
	if w.lost || now.Before(w.regained.Add(lapseTime)) {
		return
	}
	for name, revision := range w.lapsed {
		w.gone(now, name, revision)
	}
}

// Since returns what changed after a revision, for another process. The publication
// is empty where nothing is known yet.
func (w *Watcher) Since(after uint64) slatewind.Publication {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == 0 {
		return slatewind.Publication{}
	}
	p := slatewind.Publication{Revision: w.revision, Age: time.Since(w.seen), Whole: after == 0 || after <= w.forgotten, Cut: w.lost}
	for name, server := range w.servers {
		if _, lapsed := w.lapsed[name]; !lapsed && (p.Whole || server.revision > after) {
			p.Servers = append(p.Servers, server.ServerEntry)
		}
	}
	if p.Whole {
		return p
	}
	// What is only kept here has gone for others: each decides for itself.
	for _, removed := range []map[string]uint64{w.removed, w.lapsed} {
		for name, revision := range removed {
			if revision > after {
				p.Removed = append(p.Removed, name)
			}
		}
	}
	return p
}

// Places returns where all known servers are.
func (w *Watcher) Places() []Place {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.places()
}

// places is Places with the lock held.
func (w *Watcher) places() []Place {
	places := make([]Place, 0, len(w.servers))
	for _, server := range w.servers {
		places = append(places, Place{server.Address, server.DataCentre})
	}
	return places
}

// ranks returns the electorate of all known servers.
func (w *Watcher) ranks() *electorate {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.electorate == nil {
		w.electorate = newElectorate(w.places())
	}
	return w.electorate
}

// Startles reports whether a publication takes away servers that did not say that they
// leave.
func (w *Watcher) Startles(p slatewind.Publication) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Whole {
		return w.lacks(p)
	}
	return slices.ContainsFunc(p.Removed, func(name string) bool { return w.stays(name) })
}

// lacks reports whether a whole publication lacks a server that did not say that it
// leaves. The lock is held.
func (w *Watcher) lacks(all slatewind.Publication) bool {
	listed := listedIn(all)
	for name := range w.servers {
		if !listed[name] && w.stays(name) {
			return true
		}
	}
	return false
}

// stays reports whether a server is known and did not say that it leaves. The lock is
// held.
func (w *Watcher) stays(name string) bool {
	server, known := w.servers[name]
	return known && !server.Leaving
}

func listedIn(all slatewind.Publication) map[string]bool {
	listed := make(map[string]bool, len(all.Servers))
	for _, entry := range all.Servers {
		listed[entry.Name] = true
	}
	return listed
}
