package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// startSink keeps the entry in use, and records a violation if an older start is used again.
type startSink struct {
	*recordingSink
	entry     *slatewind.ServerEntry
	newest    int64
	violation string
}

func newStartSink() *startSink { return &startSink{recordingSink: newRecordingSink()} }

func (s *startSink) Server(_ time.Time, e slatewind.ServerEntry) {
	if e.Start < s.newest {
		s.violation = fmt.Sprintf("start %d is used after start %d", e.Start, s.newest)
	}
	s.newest = e.Start
	s.entry = &e
}

func (s *startSink) ServerGone(time.Time, string) { s.entry = nil }

// write is one change of a server's key: an entry, or its removal if it is zero.
type write struct {
	start   int64
	leaving bool
}

// writes are all changes that two starts of one server can cause. A store may apply a write late,
// so they occur in any order.
var writes = []write{{1, false}, {1, true}, {2, false}, {2, true}, {}}

// history is the sequence of writes that a store applied, the first one at revision 1.
type history []write

// at returns the entry at a revision, or nil.
func (h history) at(revision int) *slatewind.ServerEntry {
	created := 0
	for i, w := range h[:revision] {
		switch {
		case w == write{}:
			created = 0
		case created == 0:
			created = i + 1
		}
	}
	if created == 0 {
		return nil
	}
	w := h[revision-1]
	return &slatewind.ServerEntry{Name: "s", Service: "svc", Address: "a:1", Start: w.start, Leaving: w.leaving, Created: uint64(created)}
}

// read is the store's answer at a revision: the full state, or the changes since another
// revision.
func (h history) read(after, revision int) slatewind.ServerUpdate {
	p := slatewind.ServerUpdate{Revision: at(uint64(revision)), Complete: after == 0}
	entry := h.at(revision)
	switch {
	case entry != nil && revision > after:
		p.Servers = []slatewind.ServerEntry{*entry}
	case entry == nil && after > 0 && revision > after:
		p.Removed = []string{"s"}
	}
	return p
}

// step is what the other process does after a write: nothing, query the reader, or read the store
// itself.
type step string

const (
	stepNone  step = "none"
	stepQuery step = "query"
	stepRead  step = "read"
)

// schedule states when two processes receive updates. After some of the writes, and after the
// last, the reader reads the store; the other process follows its steps, and queries the reader
// after the last write.
type schedule struct {
	reads []bool
	steps []step
	// complete reports that the store has lost its history each time.
	complete bool
}

// allSchedules returns all schedules for a number of writes.
func allSchedules(writes int) []schedule {
	list := []schedule{{}, {complete: true}}
	for range writes - 1 {
		var longer []schedule
		for _, m := range list {
			for _, read := range []bool{false, true} {
				for _, s := range []step{stepNone, stepQuery, stepRead} {
					longer = append(longer, schedule{append(slices.Clone(m.reads), read), append(slices.Clone(m.steps), s), m.complete})
				}
			}
		}
		list = longer
	}
	for i := range list {
		list[i].reads, list[i].steps = append(list[i].reads, true), append(list[i].steps, stepQuery)
	}
	return list
}

// allHistories returns all histories with a number of writes.
func allHistories(length int) []history {
	list := []history{nil}
	for range length {
		var longer []history
		for _, h := range list {
			for _, w := range writes {
				longer = append(longer, append(slices.Clone(h), w))
			}
		}
		list = longer
	}
	return list
}

// TestStartsInEveryOrder explores all histories of four writes of two starts of a server, in all
// schedules in which one process reads the store and another queries the reader or the store. It
// checks that neither process uses an older start after a newer one, that both agree in the end
// unless one knows of a newer start, that the last write of the newer start is in use, and that a
// server whose entry is removed is removed.
func TestStartsInEveryOrder(t *testing.T) {
	const length = 4
	all := allSchedules(length)
	for _, h := range allHistories(length) {
		for _, m := range all {
			runStarts(t, h, m)
		}
	}
}

// runStarts runs one history.
func runStarts(t *testing.T, h history, m schedule) {
	now := time.Unix(1000, 0)
	readerSink, otherSink := newStartSink(), newStartSink()
	reader, other := NewWatcher(nil, readerSink), NewWatcher(nil, otherSink)
	var want *slatewind.ServerEntry
	newest, read := int64(0), 0
	for i := range h {
		revision := i + 1
		if m.reads[i] {
			reader.apply(now, h.read(m.after(reader), revision))
			want = expected(want, newest, read, h.at(revision))
			if want != nil {
				newest = want.Start
			}
			read = revision
		}
		switch m.steps[i] {
		case stepQuery:
			otherSink.query(now, other, reader)
		case stepRead:
			other.apply(now, h.read(m.after(other), revision))
		}
	}
	last := h[len(h)-1]
	switch {
	case readerSink.violation != "" || otherSink.violation != "":
	case !equal(readerSink.entry, want), !otherSink.agrees(want):
	case last == write{} && want != nil:
	case last.start == 2 && (want == nil || write{want.Start, want.Leaving} != last):
	default:
		return
	}
	t.Fatalf("history %v, schedule %v: the reader uses %v %s, the other %v %s, expected %v",
		h, m, readerSink.entry, readerSink.violation, otherSink.entry, otherSink.violation, want)
}

// after returns the revision after which a process requests changes from the store.
func (m schedule) after(w *Watcher) int {
	if m.complete {
		return 0
	}
	return int(w.Revision().Number)
}

// query makes a process query another one. The newest starts that it receives must not be
// superseded by older ones.
func (s *startSink) query(now time.Time, asking, asked *Watcher) {
	p := asked.Since(asking.Revision())
	p.Relayed = true
	applied := !asking.Revision().After(p.Revision)
	asking.apply(now, p)
	if !applied {
		return
	}
	for _, ended := range p.Ended {
		s.newest = max(s.newest, ended.Start)
	}
}

// expected returns the entry that a process uses, given the entry that it used up to a revision,
// the newest start that it knows of and the entry that it reads now.
func expected(before *slatewind.ServerEntry, newest int64, revision int, now *slatewind.ServerEntry) *slatewind.ServerEntry {
	switch {
	case now == nil, now.Start >= newest:
		return now
	case now.Created > uint64(revision):
		// The entry of the newer start was removed before that of the older one was created.
		return nil
	}
	return before
}

// agrees reports whether a process uses the same entry as the one that it queried. If it knows of
// a newer start, it must use that one or none.
func (s *startSink) agrees(other *slatewind.ServerEntry) bool {
	if other != nil && s.newest > other.Start {
		return s.entry == nil || s.entry.Start == s.newest
	}
	return equal(s.entry, other)
}

// same reports whether two entries are equal; nil means no entry.
func equal(a, b *slatewind.ServerEntry) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// TestOlderPeerView checks that a process that must read the full state and cannot reach the
// store keeps its view if a peer has an older one.
func TestOlderPeerView(t *testing.T) {
	now := time.Unix(1000, 0)
	h := history{{1, false}, {2, false}, {2, true}}
	for known := range len(h) {
		sink := newStartSink()
		w := NewWatcher(nil, sink)
		w.apply(now, h.read(0, 3))
		w.requestFullRead()
		older := h.read(0, known)
		older.Relayed = true
		w.apply(now, older)
		assert.Equal(t, sink.violation, "")
		assert.Assert(t, sink.entry != nil && sink.entry.Leaving, "a leaving server must not come back")
		assert.Equal(t, w.Revision(), at(3))
		assert.Equal(t, w.after(), slatewind.Revision{}, "the full state must still be read")
	}
}

// TestUnknownStart checks entries that state no start. They are used as long as their server
// states none; after that, they identify no server.
func TestUnknownStart(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(start int64) slatewind.ServerUpdate {
		return slatewind.ServerUpdate{Revision: at(2), Servers: []slatewind.ServerEntry{{Name: "s", Service: "svc", Address: "a:1", Start: start, Created: 1}}}
	}
	sink := newStartSink()
	w := NewWatcher(nil, sink)
	w.apply(now, entry(0))
	assert.Assert(t, sink.entry != nil)
	w.apply(now, entry(5))
	assert.Equal(t, sink.entry.Start, int64(5))
	w.apply(now, entry(0))
	assert.Assert(t, sink.entry == nil)
	assert.Equal(t, sink.invalid, 1)
	w.apply(now, entry(5))
	assert.Equal(t, sink.entry.Start, int64(5))
}

// TestEntriesWithoutStart checks that an entry that states no start is rejected, whenever it
// arrives, if most servers state one, and that all are accepted if few do.
func TestEntriesWithoutStart(t *testing.T) {
	now := time.Unix(1000, 0)
	entries := func(start int64, names ...string) []slatewind.ServerEntry {
		list := servers(names...)
		for i := range list {
			list[i].Start = start
		}
		return list
	}
	full := func(list ...[]slatewind.ServerEntry) slatewind.ServerUpdate {
		return slatewind.ServerUpdate{Revision: at(1), Complete: true, Servers: slices.Concat(list...)}
	}
	later := func(revision uint64, list []slatewind.ServerEntry) slatewind.ServerUpdate {
		return slatewind.ServerUpdate{Revision: at(revision), Servers: list}
	}
	tests := map[string]struct {
		updates []slatewind.ServerUpdate
		used    []string
		invalid int
	}{
		"no entry states a start":                {[]slatewind.ServerUpdate{full(entries(0, "a", "b"))}, []string{"a", "b"}, 0},
		"all entries state a start":              {[]slatewind.ServerUpdate{full(entries(5, "a", "b"))}, []string{"a", "b"}, 0},
		"one entry states none":                  {[]slatewind.ServerUpdate{full(entries(0, "a"), entries(5, "b", "c", "d"))}, []string{"b", "c", "d"}, 1},
		"one that states none is added later":    {[]slatewind.ServerUpdate{full(entries(5, "b", "c", "d")), later(2, entries(0, "a"))}, []string{"b", "c", "d"}, 1},
		"one that states none was added first":   {[]slatewind.ServerUpdate{full(entries(0, "a")), later(2, entries(5, "b", "c", "d"))}, []string{"b", "c", "d"}, 1},
		"only an unrelated entry states a start": {[]slatewind.ServerUpdate{full(entries(0, "a", "b", "c"), entries(5, "x"))}, []string{"a", "b", "c", "x"}, 0},
		"half of the entries state a start":      {[]slatewind.ServerUpdate{full(entries(0, "a", "b"), entries(5, "c", "d"))}, []string{"a", "b", "c", "d"}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sink := newRecordingSink()
			w := NewWatcher(nil, sink)
			for _, p := range test.updates {
				w.apply(now, p)
			}
			assert.DeepEqual(t, sink.names(), test.used)
			assert.Equal(t, sink.invalid, test.invalid)
		})
	}
}

// TestStartAfterClockWentBack checks that a start that appears to be older is used after a while
// if its entry remains, because the clock of its VM was set back, and that it is not used if its
// entry is overwritten or removed in time.
func TestStartAfterClockWentBack(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := func(revision uint64, start int64) slatewind.ServerUpdate {
		e := slatewind.ServerEntry{Name: "s", Service: "svc", Address: "a:1", Start: start, Created: 1}
		return slatewind.ServerUpdate{Revision: at(revision), Servers: []slatewind.ServerEntry{e}}
	}
	removed := slatewind.ServerUpdate{Revision: at(4), Removed: []string{"s"}}
	tests := map[string]struct {
		updates []slatewind.ServerUpdate
		// before and after are the starts in use before and after supersededTimeout.
		before, after int64
	}{
		"the older entry remains":                                           {[]slatewind.ServerUpdate{entry(2, 5), entry(3, 3)}, 5, 3},
		"the newer start writes again":                                      {[]slatewind.ServerUpdate{entry(2, 5), entry(3, 3), entry(4, 5)}, 5, 5},
		"the entry is removed":                                              {[]slatewind.ServerUpdate{entry(2, 5), entry(3, 3), removed}, 0, 0},
		"the older entry follows a removal":                                 {[]slatewind.ServerUpdate{entry(2, 5), {Revision: at(3), Removed: []string{"s"}}, entry(4, 3)}, 0, 3},
		"the older entry follows a removal and is missing from a full read": {[]slatewind.ServerUpdate{entry(2, 5), {Revision: at(3), Removed: []string{"s"}}, entry(4, 3), {Revision: at(5), Complete: true}}, 0, 0},
		"only the newer start writes":                                       {[]slatewind.ServerUpdate{entry(2, 5)}, 5, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sink := newStartSink()
			w := NewWatcher(nil, sink)
			for _, p := range test.updates {
				w.apply(start, p)
			}
			w.expire(start.Add(supersededTimeout - time.Millisecond))
			assert.Equal(t, sink.usedStart(), test.before)
			w.expire(start.Add(supersededTimeout))
			assert.Equal(t, sink.usedStart(), test.after)
		})
	}
}

// usedStart returns the start in use, or 0.
func (s *startSink) usedStart() int64 {
	if s.entry == nil {
		return 0
	}
	return s.entry.Start
}

// TestNewerStartKeptAfterRestore checks that a start remains in use although a restored store
// contains an older one that was created at a higher number.
func TestNewerStartKeptAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(start int64, created uint64) slatewind.ServerEntry {
		return slatewind.ServerEntry{Name: "s", Service: "svc", Address: "a:1", Start: start, Created: created}
	}
	sink := newStartSink()
	w := NewWatcher(nil, sink)
	w.apply(now, slatewind.ServerUpdate{Revision: at(9), Complete: true, Servers: []slatewind.ServerEntry{entry(5, 8)}})
	w.apply(now, slatewind.ServerUpdate{Revision: slatewind.Revision{Era: 1, Number: 12}, Complete: true, Servers: []slatewind.ServerEntry{entry(3, 10)}})
	w.expire(now.Add(2 * renewalGrace))
	assert.Equal(t, sink.usedStart(), int64(5))
}
