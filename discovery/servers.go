package discovery

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"slatewind.example/slatewind"
)

// knownServer is an entry with the revision at which it was received.
type knownServer struct {
	slatewind.ServerEntry
	revision slatewind.Revision
	// leavingSince is the revision at which the server was first reported to be leaving.
	leavingSince slatewind.Revision
}

// replacedBy returns the state after an entry of the same name was received at a revision. A
// start that was reported to be leaving remains so if a restored backup of the store lists it as
// not leaving.
func (k knownServer) replacedBy(entry slatewind.ServerEntry, revision slatewind.Revision) knownServer {
	next := knownServer{ServerEntry: entry, revision: revision}
	if k.Leaving && k.ID() == entry.ID() {
		next.leavingSince = k.leavingSince
		next.Leaving = entry.Leaving || revision.Era > k.leavingSince.Era
	} else if entry.Leaving {
		next.leavingSince = revision
	}
	return next
}

// tombstone records the revision at which a server was removed, and its newest known start.
type tombstone struct {
	revision slatewind.Revision
	start    int64
}

// StartError reports an entry that is superseded by a newer start of its server, or that states
// no start although its server or most other servers do.
type StartError struct {
	Entry slatewind.ServerEntry
	// Newest is the newest known start of the server.
	Newest int64
	// Revision is the source's revision at which the entry was received.
	Revision slatewind.Revision
}

// Error implements error.
func (e *StartError) Error() string {
	if e.Entry.Start == 0 {
		return fmt.Sprintf("server %s at revision %s: the entry states no start, but its server (%d) or most others do", e.Entry.Name, e.Revision, e.Newest)
	}
	return fmt.Sprintf("server %s at revision %s: the entry is of start %d, which is superseded by start %d", e.Entry.Name, e.Revision, e.Entry.Start, e.Newest)
}

// apply applies an update. Servers that a complete update does not list are removed. An update
// that was relayed by another process is ignored if its revision is earlier than the current one.
// w.mu is held.
func (w *Watcher) apply(now time.Time, p slatewind.ServerUpdate) {
	if p.Relayed && w.revision.After(p.Revision) {
		return
	}
	w.detectRestore(now, p)
	w.readAll = false
	newEra := w.eraChange.advance(w.revision, p.Revision)
	for _, err := range p.EntryErrors {
		w.sink.InvalidData(now, err)
	}
	if p.Complete {
		w.removeUnlisted(now, p)
	}
	if p.Complete && !newEra {
		// There are no tombstones for servers that were removed before this revision, so
		// processes that know only earlier revisions must get a complete update.
		w.complete = w.complete.Later(p.Revision)
	}
	for _, name := range p.Removed {
		w.entryRemoved(now, name, p.Revision)
	}
	for _, ended := range p.Ended {
		w.recordEnded(ended, p.Revision)
	}
	w.applyServers(now, p, newEra)
	if p.Complete && !p.Relayed {
		w.revision = p.Revision
	}
	w.revision = w.revision.Later(p.Revision)
	if confirmedAt := w.clock.Now().Add(-p.Age); confirmedAt.After(w.confirmedAt) {
		w.confirmedAt = confirmedAt
	}
}

// applyServers applies the entries of an update; newEra reports that the update is the first of
// an era. w.mu is held.
func (w *Watcher) applyServers(now time.Time, p slatewind.ServerUpdate, newEra bool) {
	startExpected := w.mostHaveStarts(p)
	for _, entry := range p.Servers {
		switch {
		case startExpected && entry.Start == 0:
			w.rejectWithoutStart(now, entry, p.Revision)
		case p.Complete && w.resurrected(entry, p.Revision):
			w.recordSuperseded(now, entry)
		case newEra && w.unchanged(entry):
			// The entry is the same in both eras. It keeps its earlier revision, so that it is
			// not sent to processes that have it already.
		default:
			w.put(now, entry, p.Revision)
		}
	}
	if startExpected {
		w.rejectKnownWithoutStart(now, p.Revision)
	}
}

// put applies an entry that was received at a revision. w.mu is held.
func (w *Watcher) put(now time.Time, entry slatewind.ServerEntry, revision slatewind.Revision) {
	if entry.Start < w.newestStart(entry.Name) {
		w.putOlderStart(now, entry, revision)
		return
	}
	delete(w.awaitingRenewal, entry.Name)
	before, ok := w.servers[entry.Name]
	next := before.replacedBy(entry, revision)
	if next.Leaving == entry.Leaving {
		delete(w.superseded, entry.Name)
	} else {
		w.recordSuperseded(now, entry)
	}
	// An unchanged entry gets the new revision too, so that it is sent to other processes again:
	// they may have received a removal or a different entry in between.
	w.servers[entry.Name] = next
	if ok && before.ServerEntry == next.ServerEntry {
		return
	}
	if !ok || before.Address != entry.Address || before.DataCentre != entry.DataCentre {
		w.ranking = nil
	}
	delete(w.tombstones, entry.Name)
	w.sink.Server(now, next.ServerEntry)
}

// newestStart returns the newest known start of a server, or 0. w.mu is held.
func (w *Watcher) newestStart(name string) int64 {
	return max(w.servers[name].Start, w.tombstones[name].start)
}

// putOlderStart handles an entry of an older start than the newest known one: a write that was
// delayed, or an entry without a start although its server states one. The newer start stays in
// use, unless its own entry was removed before the older one was created, or the entry states no
// start and so identifies no server. w.mu is held.
func (w *Watcher) putOlderStart(now time.Time, entry slatewind.ServerEntry, revision slatewind.Revision) {
	w.sink.InvalidData(now, &StartError{Entry: entry, Newest: w.newestStart(entry.Name), Revision: revision})
	server, ok := w.servers[entry.Name]
	// The state gets the new revision, so that processes that applied the older entry receive the
	// newer one again.
	switch {
	case !ok:
		w.recordTombstone(entry.Name, tombstone{revision, w.tombstones[entry.Name].start})
	case entry.Start == 0, createdAfter(entry, revision.Era, server.revision):
		w.entryRemoved(now, entry.Name, revision)
	default:
		server.revision = revision
		w.servers[entry.Name] = server
	}
	if entry.Start != 0 {
		w.recordSuperseded(now, entry)
	}
}

// createdAfter reports whether an entry of an era was created after a revision. It returns false
// for a revision of another era: after a restore, the numbers cannot be compared.
func createdAfter(entry slatewind.ServerEntry, era uint64, revision slatewind.Revision) bool {
	created := slatewind.Revision{Era: era, Number: entry.Created}
	return era == revision.Era && created.After(revision)
}

// superseded is an entry that was valid once and that the source still lists: an entry of a start
// that a newer one replaced, or one that a restored backup contains. since is when it was first
// received.
type superseded struct {
	entry slatewind.ServerEntry
	since time.Time
}

// recordSuperseded records a superseded entry. The time is kept if the entry was recorded before.
// w.mu is held.
func (w *Watcher) recordSuperseded(now time.Time, entry slatewind.ServerEntry) {
	since := now
	if before, ok := w.superseded[entry.Name]; ok && before.entry.Start == entry.Start {
		since = before.since
	}
	w.superseded[entry.Name] = superseded{entry, since}
}

// adoptSuperseded puts superseded entries into use that the source has listed for
// supersededTimeout. No other server writes them, so either the clock of the server's VM was set
// back or the server itself has written the entry anew. w.mu is held.
func (w *Watcher) adoptSuperseded(now time.Time) {
	for name, s := range w.superseded {
		if now.Sub(s.since) < supersededTimeout {
			continue
		}
		delete(w.superseded, name)
		if _, ok := w.servers[name]; ok {
			w.remove(now, name, w.revision)
		}
		delete(w.tombstones, name)
		w.put(now, s.entry, w.revision)
	}
}

// minStartQuarters is the share of all servers, in quarters, that must state a start before
// entries without one are rejected. Either all servers of a deployment state it or none does.
const minStartQuarters = 3

// mostHaveStarts reports whether most servers state a start, according to an update and, if that
// is not complete, to the known servers. w.mu is held.
func (w *Watcher) mostHaveStarts(p slatewind.ServerUpdate) bool {
	if len(p.Servers) == 0 {
		return false
	}
	all, withStart := 0, 0
	count := func(entry slatewind.ServerEntry) {
		all++
		if entry.Start != 0 {
			withStart++
		}
	}
	for _, entry := range p.Servers {
		count(entry)
	}
	if !p.Complete {
		for _, server := range w.servers {
			count(server.ServerEntry)
		}
	}
	return withStart > 0 && 4*withStart >= minStartQuarters*all
}

// rejectWithoutStart handles an entry without a start where most servers state one: it identifies
// no server, and the entry that it replaced no longer exists. w.mu is held.
func (w *Watcher) rejectWithoutStart(now time.Time, entry slatewind.ServerEntry, revision slatewind.Revision) {
	w.sink.InvalidData(now, &StartError{Entry: entry, Newest: w.newestStart(entry.Name), Revision: revision})
	w.entryRemoved(now, entry.Name, revision)
}

// rejectKnownWithoutStart removes servers without a start that were accepted before most servers
// stated theirs. w.mu is held.
func (w *Watcher) rejectKnownWithoutStart(now time.Time, revision slatewind.Revision) {
	for name, server := range w.servers {
		if _, awaiting := w.awaitingRenewal[name]; server.Start == 0 && !awaiting {
			w.rejectWithoutStart(now, server.ServerEntry, revision)
		}
	}
}

// recordEnded records the newest start of a removed server as reported by another process.
// w.mu is held.
func (w *Watcher) recordEnded(s slatewind.ServerStart, revision slatewind.Revision) {
	if _, ok := w.servers[s.Name]; ok {
		return
	}
	before, ok := w.tombstones[s.Name]
	if !ok {
		before.revision = revision
	}
	w.recordTombstone(s.Name, tombstone{before.revision, max(before.start, s.Start)})
}

// removeUnlisted handles the servers that a complete update does not list. w.mu is held.
func (w *Watcher) removeUnlisted(now time.Time, all slatewind.ServerUpdate) {
	listed := listedNames(all)
	maps.DeleteFunc(w.superseded, func(name string, _ superseded) bool { return !listed[name] })
	for name := range w.servers {
		if !listed[name] {
			w.entryRemoved(now, name, all.Revision)
		}
	}
}

// entryRemoved handles the removal of an entry. Entries expire while the store is unreachable
// even if their servers are healthy. After an outage, a server is therefore kept for
// renewalGrace, in which it may write its entry again; otherwise it is removed at once.
// w.mu is held.
func (w *Watcher) entryRemoved(now time.Time, name string, revision slatewind.Revision) {
	delete(w.superseded, name)
	if _, ok := w.servers[name]; !ok {
		// The entry was created and removed between two updates. Other processes may have
		// received it.
		w.recordTombstone(name, tombstone{revision, w.tombstones[name].start})
		return
	}
	if w.unreachable || now.Before(w.reachableSince.Add(renewalGrace)) {
		w.awaitingRenewal[name] = revision
		return
	}
	w.remove(now, name, revision)
}

// remove removes a server and notifies the sink. w.mu is held.
func (w *Watcher) remove(now time.Time, name string, revision slatewind.Revision) {
	start := w.servers[name].Start
	delete(w.servers, name)
	w.ranking = nil
	delete(w.awaitingRenewal, name)
	w.recordTombstone(name, tombstone{revision, start})
	w.sink.ServerGone(now, name)
}

// recordTombstone records that a server was removed. w.mu is held.
func (w *Watcher) recordTombstone(name string, removed tombstone) {
	if _, known := w.tombstones[name]; !known && len(w.tombstones) >= maxTombstones {
		clear(w.tombstones)
		w.complete = w.revision.Later(removed.revision)
	}
	w.tombstones[name] = removed
}

// expire removes the servers whose entries were not renewed within the grace period, and adopts
// superseded entries. While the store is unreachable, servers cannot renew their entries, so the
// period does not end. w.mu is held.
func (w *Watcher) expire(now time.Time) {
	if w.unreachable || now.Before(w.reachableSince.Add(renewalGrace)) {
		return
	}
	for name, revision := range w.awaitingRenewal {
		w.remove(now, name, revision)
	}
	w.adoptSuperseded(now)
}

// Since returns the changes after a revision, for another process. The update is empty if nothing
// is known yet.
func (w *Watcher) Since(after slatewind.Revision) slatewind.ServerUpdate {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision.IsZero() {
		return slatewind.ServerUpdate{}
	}
	p := slatewind.ServerUpdate{Revision: w.revision, Age: w.clock.Since(w.confirmedAt), Complete: !w.hasChangesSince(after), PlatformUnreachable: w.unreachable}
	for name, server := range w.servers {
		if _, awaiting := w.awaitingRenewal[name]; !awaiting && (p.Complete || server.revision.After(after)) {
			p.Servers = append(p.Servers, server.ServerEntry)
		}
	}
	w.addRemovals(&p, after)
	return p
}

// addRemovals adds to an update the servers that were removed after a revision, and their newest
// starts. A complete update gets the starts of all removed servers, since its receiver may know
// none of them. w.mu is held.
func (w *Watcher) addRemovals(p *slatewind.ServerUpdate, after slatewind.Revision) {
	add := func(name string, removed tombstone) {
		if !p.Complete && !removed.revision.After(after) {
			return
		}
		if !p.Complete {
			p.Removed = append(p.Removed, name)
		}
		if removed.start != 0 {
			p.Ended = append(p.Ended, slatewind.ServerStart{Name: name, Start: removed.start})
		}
	}
	for name, removed := range w.tombstones {
		add(name, removed)
	}
	// Servers in their grace period are reported as removed: each process applies its own grace
	// period.
	for name, revision := range w.awaitingRenewal {
		add(name, tombstone{revision, w.servers[name].Start})
	}
}

// Endpoints returns the endpoints of all known servers.
func (w *Watcher) Endpoints() []Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints()
}

// endpoints is Endpoints with w.mu held.
func (w *Watcher) endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(w.servers))
	for _, server := range w.servers {
		endpoints = append(endpoints, Endpoint{server.Address, server.DataCentre})
	}
	return endpoints
}

// currentRanking returns the ranking of all known servers.
func (w *Watcher) currentRanking() *ranking {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ranking == nil {
		w.ranking = newRanking(w.endpoints())
	}
	return w.ranking
}

// RemovesActive reports whether an update removes servers that were not reported to be leaving.
func (w *Watcher) RemovesActive(p slatewind.ServerUpdate) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Complete {
		return w.omitsActive(p)
	}
	return slices.ContainsFunc(p.Removed, func(name string) bool { return w.isActive(name) })
}

// omitsActive reports whether a complete update does not list a server that was not reported to
// be leaving. w.mu is held.
func (w *Watcher) omitsActive(all slatewind.ServerUpdate) bool {
	listed := listedNames(all)
	for name := range w.servers {
		if !listed[name] && w.isActive(name) {
			return true
		}
	}
	return false
}

// isActive reports whether a server is known and was not reported to be leaving. w.mu is held.
func (w *Watcher) isActive(name string) bool {
	server, known := w.servers[name]
	return known && !server.Leaving
}

func listedNames(all slatewind.ServerUpdate) map[string]bool {
	listed := make(map[string]bool, len(all.Servers))
	for _, entry := range all.Servers {
		listed[entry.Name] = true
	}
	return listed
}
