package discovery

import (
	"maps"
	"slices"
	"sync"
	"time"

	"slatewind.example/slatewind"
)

// EvacuationSink receives the list of evacuated data centres.
type EvacuationSink interface {
	// Evacuations delivers a list that differs from the one before.
	Evacuations(now time.Time, list slatewind.Evacuations)
}

// evacuationList keeps the newest known list of evacuated data centres. A list is ordered by a
// revision at which it was current, so lists may arrive from anywhere and in any order. It is safe
// for concurrent use.
type evacuationList struct {
	sink EvacuationSink

	// mu guards the fields below. It is held while the sink is called, so that the sink gets
	// lists in order.
	mu   sync.Mutex
	list slatewind.Evacuations
}

// apply applies changes that a store reported up to a revision, since a revision that is not later
// than that of the list.
func (l *evacuationList) apply(now time.Time, revision slatewind.Revision, changes slatewind.EvacuationChanges) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision.IsZero() || l.list.Revision.After(revision) {
		return
	}
	names := map[string]bool{}
	if !changes.Complete {
		for _, name := range l.list.DataCentres {
			names[name] = true
		}
	}
	for _, name := range changes.Began {
		names[name] = true
	}
	for _, name := range changes.Ended {
		delete(names, name)
	}
	l.set(now, slatewind.Evacuations{Revision: revision, DataCentres: slices.Sorted(maps.Keys(names))})
}

// observe adopts a list of another process if it is newer.
func (l *evacuationList) observe(now time.Time, list slatewind.Evacuations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Revision.After(l.list.Revision) {
		l.set(now, list)
	}
}

// set replaces the list and notifies the sink if it differs. l.mu is held.
func (l *evacuationList) set(now time.Time, list slatewind.Evacuations) {
	changed := !slices.Equal(l.list.DataCentres, list.DataCentres)
	l.list = list
	if changed {
		l.sink.Evacuations(now, list)
	}
}

// revision returns the revision of the list.
func (l *evacuationList) revision() slatewind.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list.Revision
}

// newerThan returns the list for a process that knows one of the given revision; its revision is
// zero if that process knows as much. A list that only has a later revision is sent too: a process
// that then polls the store needs no older changes.
func (l *evacuationList) newerThan(revision slatewind.Revision) slatewind.Evacuations {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.list.Revision.After(revision) {
		return slatewind.Evacuations{}
	}
	return l.list
}

// EvacuationFilter is a Sink that marks the servers of evacuated data centres before it forwards
// them to another one.
type EvacuationFilter struct {
	Sink

	// mu guards list.
	mu   sync.Mutex
	list slatewind.Evacuations
}

// NewEvacuationFilter returns a filter that forwards to sink. No data centre is evacuated yet.
func NewEvacuationFilter(sink Sink) *EvacuationFilter {
	return &EvacuationFilter{Sink: sink}
}

// Server implements Sink.
func (f *EvacuationFilter) Server(now time.Time, entry slatewind.ServerEntry) {
	entry.Evacuated = f.Evacuated().Contains(entry.DataCentre)
	f.Sink.Server(now, entry)
}

// Evacuate replaces the list of evacuated data centres, and returns those whose state changes. Their
// servers must be delivered again (Watcher.Redeliver).
func (f *EvacuationFilter) Evacuate(list slatewind.Evacuations) (changed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.list
	f.list = list
	for _, name := range slices.Concat(before.DataCentres, list.DataCentres) {
		if before.Contains(name) != list.Contains(name) {
			changed = append(changed, name)
		}
	}
	return changed
}

// Evacuated returns the list of evacuated data centres.
func (f *EvacuationFilter) Evacuated() slatewind.Evacuations {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}
