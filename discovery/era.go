package discovery

import (
	"time"

	"slatewind.example/slatewind"
)

// detectRestore detects that an update is of an earlier state than the current one because the
// source was restored from a backup. Servers whose entries the backup lacks get a grace period to
// write them again, as after an outage. w.mu is held.
func (w *Watcher) detectRestore(now time.Time, p slatewind.ServerUpdate) {
	restored := p.Revision.Era > w.revision.Era || p.Complete && w.revision.After(p.Revision)
	if w.revision.IsZero() || !restored {
		return
	}
	w.reachableSince = now
	w.sink.Restored(now, w.revision, p.Revision)
}

// resurrected reports whether an entry of a complete update belongs to a server that was removed
// in an earlier era: a restored backup of the store may still contain it. w.mu is held.
func (w *Watcher) resurrected(entry slatewind.ServerEntry, revision slatewind.Revision) bool {
	removed, ok := w.tombstones[entry.Name]
	return ok && revision.Era > removed.revision.Era && entry.Start <= removed.start
}

// eraChange holds the revisions around the source's last change of era. A process that knows all
// of the older era up to ended needs only the differences since then.
type eraChange struct {
	// ended is the last known revision of the previous era, began the first of the current era.
	ended, began slatewind.Revision
}

// advance records the transition to a revision and reports whether that is the first of a new
// era.
func (e *eraChange) advance(before, revision slatewind.Revision) bool {
	if !before.IsZero() && revision.Era <= before.Era {
		return false
	}
	e.ended, e.began = before, revision
	return !before.IsZero()
}

// hasChangesSince reports whether all changes after a revision are known. w.mu is held.
func (w *Watcher) hasChangesSince(after slatewind.Revision) bool {
	switch {
	case after.IsZero(), w.complete.After(after):
		return false
	case after.Era >= w.revision.Era:
		return !w.eraChange.began.After(after)
	}
	return after.Era == w.eraChange.ended.Era && !after.After(w.eraChange.ended)
}

// unchanged reports whether an entry equals the known one and its server is not in its grace
// period. w.mu is held.
func (w *Watcher) unchanged(entry slatewind.ServerEntry) bool {
	_, awaiting := w.awaitingRenewal[entry.Name]
	return !awaiting && w.servers[entry.Name].ServerEntry == entry
}
