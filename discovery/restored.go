package discovery

import (
	"time"

	"slatewind.example/slatewind"
)

// noteRestored notes that a publication is of an earlier state than what was known: the source
// was restored from a copy. What the copy lacks may be written again, as after an outage. The
// lock is held.
func (w *Watcher) noteRestored(now time.Time, p slatewind.Publication) {
	restored := p.Revision.Era > w.revision.Era || p.Whole && w.revision.After(p.Revision)
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
