package discovery

import (
	"time"

	"slatewind.example/slatewind"
)

// noteRestored notes that a publication is of an earlier state than what was known: the source
// was restored from a copy. What the copy lacks may be written again, as after an outage. The
// lock is held.
func (w *Watcher) noteRestored(now time.Time, p slatewind.ServerUpdate) {
	restored := p.Revision.Era > w.revision.Era || p.Complete && w.revision.After(p.Revision)
	if w.revision.IsZero() || !restored {
		return
	}
	w.regained = now
	w.sink.Restored(now, w.revision, p.Revision)
}

// broughtBack reports whether an entry that a whole publication lists is of a server that went
// in an earlier era: a copy of the store may hold it. The lock is held.
func (w *Watcher) broughtBack(entry slatewind.ServerEntry, revision slatewind.Revision) bool {
	gone, ok := w.removed[entry.Name]
	return ok && revision.Era > gone.revision.Era && entry.Start <= gone.start
}

// eras says which revisions of the source's last two eras are known. Others that know no more
// of the older one need only be told what is different since.
type eras struct {
	// ended is the last revision that was known of the era before, began the first of this one.
	ended, began slatewind.Revision
}

// enter notes a revision that follows another. It reports whether it is the first of its era.
func (e *eras) enter(before, revision slatewind.Revision) bool {
	if !before.IsZero() && revision.Era <= before.Era {
		return false
	}
	e.ended, e.began = before, revision
	return !before.IsZero()
}

// holdsSince reports whether everything is known here that changed after a revision. The lock is
// held.
func (w *Watcher) holdsSince(after slatewind.Revision) bool {
	switch {
	case after.IsZero(), w.complete.After(after):
		return false
	case after.Era >= w.revision.Era:
		return !w.eras.began.After(after)
	}
	return after.Era == w.eras.ended.Era && !after.After(w.eras.ended)
}

// unchanged reports whether an entry stands as it is known. The lock is held.
func (w *Watcher) unchanged(entry slatewind.ServerEntry) bool {
	_, lapsed := w.lapsed[entry.Name]
	return !lapsed && w.servers[entry.Name].ServerEntry == entry
}
