package discovery

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"slatewind.example/slatewind"
)

// known is an entry with the revision at which it was heard of.
type known struct {
	slatewind.ServerEntry
	revision slatewind.Revision
	// left is the revision at which the server was first heard to leave.
	left slatewind.Revision
}

// follow returns what is known after an entry of the same name was heard of at a revision. A
// start that said that it leaves does not stay because a copy of the store knows it so.
func (k known) follow(entry slatewind.ServerEntry, revision slatewind.Revision) known {
	next := known{ServerEntry: entry, revision: revision}
	if k.Leaving && k.ID() == entry.ID() {
		next.left = k.left
		next.Leaving = entry.Leaving || revision.Era > k.left.Era
	} else if entry.Leaving {
		next.left = revision
	}
	return next
}

// removal is the revision at which a server went, and its newest start that is known.
type removal struct {
	revision slatewind.Revision
	start    int64
}

// StartError says that an entry is not its server's newest word.
type StartError struct {
	Entry slatewind.ServerEntry
	// Newest is the newest start of the server that was heard of.
	Newest int64
	// Revision is the source's at which the entry was heard of.
	Revision slatewind.Revision
}

// Error implements error.
func (e *StartError) Error() string {
	if e.Entry.Start == 0 {
		return fmt.Sprintf("server %s at revision %s: the entry states no start, as its server (%d) or most others do", e.Entry.Name, e.Revision, e.Newest)
	}
	return fmt.Sprintf("server %s at revision %s: the entry is of start %d, older than %d", e.Entry.Name, e.Revision, e.Entry.Start, e.Newest)
}

// take takes a publication. Servers that a whole one lacks are gone. What another process
// knew at an earlier revision than this one adds nothing. The lock is held.
func (w *Watcher) take(now time.Time, p slatewind.ServerUpdate) {
	if p.Relayed && w.revision.After(p.Revision) {
		return
	}
	w.noteRestored(now, p)
	w.reread = false
	begins := w.eras.enter(w.revision, p.Revision)
	for _, finding := range p.EntryErrors {
		w.sink.Finding(now, finding)
	}
	if p.Complete {
		w.removeOthers(now, p)
	}
	if p.Complete && !begins {
		// What went before is not known here, so whoever knows less gets everything.
		w.complete = w.complete.Later(p.Revision)
	}
	for _, name := range p.Removed {
		w.vanished(now, name, p.Revision)
	}
	for _, ended := range p.Ended {
		w.ended(ended, p.Revision)
	}
	w.takeServers(now, p, begins)
	if p.Complete && !p.Relayed {
		w.revision = p.Revision
	}
	w.revision = w.revision.Later(p.Revision)
	if seen := w.clock.Now().Add(-p.Age); seen.After(w.seen) {
		w.seen = seen
	}
}

// takeServers takes the entries of a publication, which may begin an era.
func (w *Watcher) takeServers(now time.Time, p slatewind.ServerUpdate, begins bool) {
	stated := w.mostStateStarts(p)
	for _, entry := range p.Servers {
		switch {
		case stated && entry.Start == 0:
			w.putUnstated(now, entry, p.Revision)
		case p.Complete && w.broughtBack(entry, p.Revision):
			w.overtake(now, entry)
		case begins && w.unchanged(entry):
			// Whoever knows what was known here before knows it as well.
		default:
			w.put(now, entry, p.Revision)
		}
	}
	if stated {
		w.dropUnstated(now, p.Revision)
	}
}

// put takes an entry that was heard of at a revision.
func (w *Watcher) put(now time.Time, entry slatewind.ServerEntry, revision slatewind.Revision) {
	if entry.Start < w.newestStart(entry.Name) {
		w.putOlder(now, entry, revision)
		return
	}
	delete(w.lapsed, entry.Name)
	before, ok := w.servers[entry.Name]
	next := before.follow(entry, revision)
	if next.Leaving == entry.Leaving {
		delete(w.overtaken, entry.Name)
	} else {
		w.overtake(now, entry)
	}
	// One that was written anew is told anew: others may have heard that it had gone, or of
	// another entry in between.
	w.servers[entry.Name] = next
	if ok && before.ServerEntry == next.ServerEntry {
		return
	}
	if !ok || before.Address != entry.Address || before.DataCentre != entry.DataCentre {
		w.electorate = nil
	}
	delete(w.removed, entry.Name)
	w.sink.Server(now, next.ServerEntry)
}

// newestStart returns the newest start of a server that was heard of, 0 where none was.
func (w *Watcher) newestStart(name string) int64 {
	return max(w.servers[name].Start, w.removed[name].start)
}

// putOlder takes an entry of a start that another one followed: a write that came late, or
// one that states no start although its server does. The newer start goes on, unless its
// own entry was removed in between or the new one names no server at all.
func (w *Watcher) putOlder(now time.Time, entry slatewind.ServerEntry, revision slatewind.Revision) {
	w.sink.Finding(now, &StartError{Entry: entry, Newest: w.newestStart(entry.Name), Revision: revision})
	server, ok := w.servers[entry.Name]
	// What is known is told anew, so that whoever took the older one hears of the newer.
	switch {
	case !ok:
		w.remember(entry.Name, removal{revision, w.removed[entry.Name].start})
	case entry.Start == 0, createdAfter(entry, revision.Era, server.revision):
		w.vanished(now, entry.Name, revision)
	default:
		server.revision = revision
		w.servers[entry.Name] = server
	}
	if entry.Start != 0 {
		w.overtake(now, entry)
	}
}

// createdAfter reports whether an entry that stands in an era came to be after a revision. What
// came to be before a restore cannot be told from what came after it.
func createdAfter(entry slatewind.ServerEntry, era uint64, revision slatewind.Revision) bool {
	created := slatewind.Revision{Era: era, Number: entry.Created}
	return era == revision.Era && created.After(revision)
}

// overtaken is an entry that was true once, and since when it stands: that of a start which
// another one followed, or one that a copy of the store brought back.
type overtaken struct {
	entry slatewind.ServerEntry
	since time.Time
}

// overtake keeps an entry that was true once.
func (w *Watcher) overtake(now time.Time, entry slatewind.ServerEntry) {
	since := now
	if before, ok := w.overtaken[entry.Name]; ok && before.entry.Start == entry.Start {
		since = before.since
	}
	w.overtaken[entry.Name] = overtaken{entry, since}
}

// adopt takes the entries that go on to stand although something newer is known: nobody else
// writes there, so it seems that the clock of the server's VM went back, or that the server
// itself wrote it anew.
func (w *Watcher) adopt(now time.Time) {
	for name, o := range w.overtaken {
		if now.Sub(o.since) < overtakenTime {
			continue
		}
		delete(w.overtaken, name)
		if _, ok := w.servers[name]; ok {
			w.gone(now, name, w.revision)
		}
		delete(w.removed, name)
		w.put(now, o.entry, w.revision)
	}
}

// statingShare is the share of all servers, in quarters, from which on an entry without a
// start is not one of a server's: servers of one deployment all state it, or none does.
const statingShare = 3

// mostStateStarts reports whether most servers state when they started, by what is known
// together with a publication.
func (w *Watcher) mostStateStarts(p slatewind.ServerUpdate) bool {
	if len(p.Servers) == 0 {
		return false
	}
	all, stated := 0, 0
	count := func(entry slatewind.ServerEntry) {
		all++
		if entry.Start != 0 {
			stated++
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
	return stated > 0 && 4*stated >= statingShare*all
}

// putUnstated takes an entry without a start where most servers state theirs: it names no
// server, and what stood there before is gone.
func (w *Watcher) putUnstated(now time.Time, entry slatewind.ServerEntry, revision slatewind.Revision) {
	w.sink.Finding(now, &StartError{Entry: entry, Newest: w.newestStart(entry.Name), Revision: revision})
	w.vanished(now, entry.Name, revision)
}

// dropUnstated lets go of servers that were taken before most others stated their starts.
func (w *Watcher) dropUnstated(now time.Time, revision slatewind.Revision) {
	for name, server := range w.servers {
		if _, lapsed := w.lapsed[name]; server.Start == 0 && !lapsed {
			w.putUnstated(now, server.ServerEntry, revision)
		}
	}
}

// ended takes another process's word of the newest start of a server that is gone.
func (w *Watcher) ended(s slatewind.ServerStart, revision slatewind.Revision) {
	if _, ok := w.servers[s.Name]; ok {
		return
	}
	before, ok := w.removed[s.Name]
	if !ok {
		before.revision = revision
	}
	w.remember(s.Name, removal{before.revision, max(before.start, s.Start)})
}

// removeOthers handles the servers that a whole publication lacks.
func (w *Watcher) removeOthers(now time.Time, all slatewind.ServerUpdate) {
	listed := listedIn(all)
	maps.DeleteFunc(w.overtaken, func(name string, _ overtaken) bool { return !listed[name] })
	for name := range w.servers {
		if !listed[name] {
			w.vanished(now, name, all.Revision)
		}
	}
}

// vanished handles an entry that is no longer there. Entries run out while the
// store is away although their servers are well, so after an outage a server
// may come back for a moment; otherwise it is gone at once.
func (w *Watcher) vanished(now time.Time, name string, revision slatewind.Revision) {
	delete(w.overtaken, name)
	if _, ok := w.servers[name]; !ok {
		// It came and went unseen; others may have seen it.
		w.remember(name, removal{revision, w.removed[name].start})
		return
	}
	if w.lost || now.Before(w.regained.Add(lapseTime)) {
		w.lapsed[name] = revision
		return
	}
	w.gone(now, name, revision)
}

// gone forgets a server and tells the sink.
func (w *Watcher) gone(now time.Time, name string, revision slatewind.Revision) {
	start := w.servers[name].Start
	delete(w.servers, name)
	w.electorate = nil
	delete(w.lapsed, name)
	w.remember(name, removal{revision, start})
	w.sink.ServerGone(now, name)
}

// remember keeps that a server is gone.
func (w *Watcher) remember(name string, gone removal) {
	if _, known := w.removed[name]; !known && len(w.removed) >= maxRemoved {
		clear(w.removed)
		w.complete = w.revision.Later(gone.revision)
	}
	w.removed[name] = gone
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
	w.adopt(now)
}

// Since returns what changed after a revision, for another process. The publication
// is empty where nothing is known yet.
func (w *Watcher) Since(after slatewind.Revision) slatewind.ServerUpdate {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision.IsZero() {
		return slatewind.ServerUpdate{}
	}
	p := slatewind.ServerUpdate{Revision: w.revision, Age: w.clock.Since(w.seen), Complete: !w.holdsSince(after), PlatformUnreachable: w.lost}
	for name, server := range w.servers {
		if _, lapsed := w.lapsed[name]; !lapsed && (p.Complete || server.revision.After(after)) {
			p.Servers = append(p.Servers, server.ServerEntry)
		}
	}
	w.addRemoved(&p, after)
	return p
}

// addRemoved adds to a publication which servers went after a revision, and the newest
// starts of those. A whole one names all of the latter: its reader knows none of them.
func (w *Watcher) addRemoved(p *slatewind.ServerUpdate, after slatewind.Revision) {
	add := func(name string, gone removal) {
		if !p.Complete && !gone.revision.After(after) {
			return
		}
		if !p.Complete {
			p.Removed = append(p.Removed, name)
		}
		if gone.start != 0 {
			p.Ended = append(p.Ended, slatewind.ServerStart{Name: name, Start: gone.start})
		}
	}
	for name, gone := range w.removed {
		add(name, gone)
	}
	// What is only kept here has gone for others: each decides for itself.
	for name, revision := range w.lapsed {
		add(name, removal{revision, w.servers[name].Start})
	}
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
func (w *Watcher) Startles(p slatewind.ServerUpdate) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Complete {
		return w.lacks(p)
	}
	return slices.ContainsFunc(p.Removed, func(name string) bool { return w.stays(name) })
}

// lacks reports whether a whole publication lacks a server that did not say that it
// leaves. The lock is held.
func (w *Watcher) lacks(all slatewind.ServerUpdate) bool {
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

func listedIn(all slatewind.ServerUpdate) map[string]bool {
	listed := make(map[string]bool, len(all.Servers))
	for _, entry := range all.Servers {
		listed[entry.Name] = true
	}
	return listed
}
