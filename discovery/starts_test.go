package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// startSink keeps the entry that is in use, and fails where an older start comes back.
type startSink struct {
	*heardBy
	entry  *slatewind.ServerEntry
	newest int64
	broken string
}

func newStartSink() *startSink { return &startSink{heardBy: newHeardBy()} }

func (s *startSink) Server(_ time.Time, e slatewind.ServerEntry) {
	if e.Start < s.newest {
		s.broken = fmt.Sprintf("start %d is used after start %d", e.Start, s.newest)
	}
	s.newest = e.Start
	s.entry = &e
}

func (s *startSink) ServerGone(time.Time, string) { s.entry = nil }

// write is one change of a server's key: an entry, or its removal where it is zero.
type write struct {
	start   int64
	leaving bool
}

// writes are all changes that two starts of one server can bring about. A store may take
// one late, so that they come in any order.
var writes = []write{{1, false}, {1, true}, {2, false}, {2, true}, {}}

// history is what a store took, the first write at revision 1.
type history []write

// at returns the entry that stands at a revision, or nil.
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

// read is an answer of the store at a revision: all there is, or what changed since.
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

// step is what the other process does after a write: nothing, ask the reading one, or read
// the store itself.
type step string

const (
	stepNone step = "none"
	stepAsk  step = "ask"
	stepRead step = "read"
)

// moments is when two processes learn: the reading one of the store after some writes and
// after the last, the other in whatever way it steps, and by asking after the last.
type moments struct {
	reads []bool
	steps []step
	// whole says that the store has lost its history each time.
	whole bool
}

// allMoments returns every choice of moments for so many writes.
func allMoments(writes int) []moments {
	list := []moments{{}, {whole: true}}
	for range writes - 1 {
		var longer []moments
		for _, m := range list {
			for _, read := range []bool{false, true} {
				for _, s := range []step{stepNone, stepAsk, stepRead} {
					longer = append(longer, moments{append(slices.Clone(m.reads), read), append(slices.Clone(m.steps), s), m.whole})
				}
			}
		}
		list = longer
	}
	for i := range list {
		list[i].reads, list[i].steps = append(list[i].reads, true), append(list[i].steps, stepAsk)
	}
	return list
}

// allHistories returns every history of so many writes.
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

// TestStartsInEveryOrder: whatever two starts of a server write in whatever order, whenever
// one process reads it and another hears of it from that one or the store, neither goes
// back to an older start, both agree in the end unless one knows of a newer start, what the newer start said last counts, and
// what is removed is gone. All histories of four writes and all moments are explored.
func TestStartsInEveryOrder(t *testing.T) {
	const length = 4
	all := allMoments(length)
	for _, h := range allHistories(length) {
		for _, m := range all {
			playStarts(t, h, m)
		}
	}
}

// playStarts plays one history.
func playStarts(t *testing.T, h history, m moments) {
	now := time.Unix(1000, 0)
	reading, hearing := newStartSink(), newStartSink()
	reader, other := NewWatcher(nil, reading), NewWatcher(nil, hearing)
	var want *slatewind.ServerEntry
	newest, read := int64(0), 0
	for i := range h {
		revision := i + 1
		if m.reads[i] {
			reader.apply(now, h.read(m.after(reader), revision))
			want = expect(want, newest, read, h.at(revision))
			if want != nil {
				newest = want.Start
			}
			read = revision
		}
		switch m.steps[i] {
		case stepAsk:
			hearing.ask(now, other, reader)
		case stepRead:
			other.apply(now, h.read(m.after(other), revision))
		}
	}
	last := h[len(h)-1]
	switch {
	case reading.broken != "" || hearing.broken != "":
	case !same(reading.entry, want), !hearing.agrees(want):
	case last == write{} && want != nil:
	case last.start == 2 && (want == nil || write{want.Start, want.Leaving} != last):
	default:
		return
	}
	t.Fatalf("history %v, moments %v: the reader uses %v %s, the other %v %s, expected %v",
		h, m, reading.entry, reading.broken, hearing.entry, hearing.broken, want)
}

// after returns the revision after which a process asks the store for changes.
func (m moments) after(w *Watcher) int {
	if m.whole {
		return 0
	}
	return int(w.Revision().Number)
}

// ask has a process ask another one. No start that it was told of may be undone.
func (s *startSink) ask(now time.Time, asking, asked *Watcher) {
	p := asked.Since(asking.Revision())
	p.Relayed = true
	heard := !asking.Revision().After(p.Revision)
	asking.apply(now, p)
	if !heard {
		return
	}
	for _, ended := range p.Ended {
		s.newest = max(s.newest, ended.Start)
	}
}

// expect returns what a process uses that used before until a revision, knows of a newest
// start, and finds now.
func expect(before *slatewind.ServerEntry, newest int64, revision int, now *slatewind.ServerEntry) *slatewind.ServerEntry {
	switch {
	case now == nil, now.Start >= newest:
		return now
	case now.Created > uint64(revision):
		// The newer start's own entry was removed before the older one's came.
		return nil
	}
	return before
}

// agrees reports whether a process uses what the one that it asked does, unless it knows of
// a newer start: then that one or none.
func (s *startSink) agrees(other *slatewind.ServerEntry) bool {
	if other != nil && s.newest > other.Start {
		return s.entry == nil || s.entry.Start == s.newest
	}
	return same(s.entry, other)
}

// same reports whether two views of a server are the same; nil is none.
func same(a, b *slatewind.ServerEntry) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// TestOlderViewOfAnother: a process that lost the store's history and the store itself
// keeps what it knows where another one knows less.
func TestOlderViewOfAnother(t *testing.T) {
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
		assert.Equal(t, sink.broken, "")
		assert.Assert(t, sink.entry != nil && sink.entry.Leaving, "a server that said it leaves does not come back")
		assert.Equal(t, w.Revision(), at(3))
		assert.Equal(t, w.after(), slatewind.Revision{}, "everything is still to be read")
	}
}

// TestStartOfUnknownTime: where servers state no start, their names tell starts apart; an
// entry without one, under a name whose server states it, names no server.
func TestStartOfUnknownTime(t *testing.T) {
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
	assert.Equal(t, sink.findings, 1)
	w.apply(now, entry(5))
	assert.Equal(t, sink.entry.Start, int64(5))
}

// TestEntriesWithoutStart: where most servers state when they started, an entry that does
// not names no server, whenever it comes; where few do, all count.
func TestEntriesWithoutStart(t *testing.T) {
	now := time.Unix(1000, 0)
	entries := func(start int64, names ...string) []slatewind.ServerEntry {
		list := servers(names...)
		for i := range list {
			list[i].Start = start
		}
		return list
	}
	whole := func(list ...[]slatewind.ServerEntry) slatewind.ServerUpdate {
		return slatewind.ServerUpdate{Revision: at(1), Complete: true, Servers: slices.Concat(list...)}
	}
	later := func(revision uint64, list []slatewind.ServerEntry) slatewind.ServerUpdate {
		return slatewind.ServerUpdate{Revision: at(revision), Servers: list}
	}
	tests := map[string]struct {
		news     []slatewind.ServerUpdate
		used     []string
		findings int
	}{
		"none states one":           {[]slatewind.ServerUpdate{whole(entries(0, "a", "b"))}, []string{"a", "b"}, 0},
		"all do":                    {[]slatewind.ServerUpdate{whole(entries(5, "a", "b"))}, []string{"a", "b"}, 0},
		"one does not":              {[]slatewind.ServerUpdate{whole(entries(0, "a"), entries(5, "b", "c", "d"))}, []string{"b", "c", "d"}, 1},
		"one that comes later":      {[]slatewind.ServerUpdate{whole(entries(5, "b", "c", "d")), later(2, entries(0, "a"))}, []string{"b", "c", "d"}, 1},
		"one that came before most": {[]slatewind.ServerUpdate{whole(entries(0, "a")), later(2, entries(5, "b", "c", "d"))}, []string{"b", "c", "d"}, 1},
		"one stranger states one":   {[]slatewind.ServerUpdate{whole(entries(0, "a", "b", "c"), entries(5, "x"))}, []string{"a", "b", "c", "x"}, 0},
		"half of them":              {[]slatewind.ServerUpdate{whole(entries(0, "a", "b"), entries(5, "c", "d"))}, []string{"a", "b", "c", "d"}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sink := newHeardBy()
			w := NewWatcher(nil, sink)
			for _, p := range test.news {
				w.apply(now, p)
			}
			assert.DeepEqual(t, sink.names(), test.used)
			assert.Equal(t, sink.findings, test.findings)
		})
	}
}

// TestStartAfterClockWentBack: a start that seems to be older and whose entry stands on is
// used after a while: its VM's clock went back. One whose entry is overwritten or removed in
// time is not.
func TestStartAfterClockWentBack(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := func(revision uint64, start int64) slatewind.ServerUpdate {
		e := slatewind.ServerEntry{Name: "s", Service: "svc", Address: "a:1", Start: start, Created: 1}
		return slatewind.ServerUpdate{Revision: at(revision), Servers: []slatewind.ServerEntry{e}}
	}
	removed := slatewind.ServerUpdate{Revision: at(4), Removed: []string{"s"}}
	tests := map[string]struct {
		news []slatewind.ServerUpdate
		// soon and late are the starts that are used before and after the while.
		soon, late int64
	}{
		"it stands on":                    {[]slatewind.ServerUpdate{entry(2, 5), entry(3, 3)}, 5, 3},
		"the newer one writes again":      {[]slatewind.ServerUpdate{entry(2, 5), entry(3, 3), entry(4, 5)}, 5, 5},
		"it goes":                         {[]slatewind.ServerUpdate{entry(2, 5), entry(3, 3), removed}, 0, 0},
		"it came after the newer one's":   {[]slatewind.ServerUpdate{entry(2, 5), {Revision: at(3), Removed: []string{"s"}}, entry(4, 3)}, 0, 3},
		"and goes before all is read":     {[]slatewind.ServerUpdate{entry(2, 5), {Revision: at(3), Removed: []string{"s"}}, entry(4, 3), {Revision: at(5), Complete: true}}, 0, 0},
		"nothing but the newer one wrote": {[]slatewind.ServerUpdate{entry(2, 5)}, 5, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sink := newStartSink()
			w := NewWatcher(nil, sink)
			for _, p := range test.news {
				w.apply(start, p)
			}
			w.expire(start.Add(supersededTimeout - time.Millisecond))
			assert.Equal(t, sink.used(), test.soon)
			w.expire(start.Add(supersededTimeout))
			assert.Equal(t, sink.used(), test.late)
		})
	}
}

// used returns the start that is used, 0 for none.
func (s *startSink) used() int64 {
	if s.entry == nil {
		return 0
	}
	return s.entry.Start
}

// TestNewerStartLostToCopy: a start is used on though a copy of the store holds an older one that came to be at a higher number.
func TestNewerStartLostToCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(start int64, created uint64) slatewind.ServerEntry {
		return slatewind.ServerEntry{Name: "s", Service: "svc", Address: "a:1", Start: start, Created: created}
	}
	sink := newStartSink()
	w := NewWatcher(nil, sink)
	w.apply(now, slatewind.ServerUpdate{Revision: at(9), Complete: true, Servers: []slatewind.ServerEntry{entry(5, 8)}})
	w.apply(now, slatewind.ServerUpdate{Revision: slatewind.Revision{Era: 1, Number: 12}, Complete: true, Servers: []slatewind.ServerEntry{entry(3, 10)}})
	w.expire(now.Add(2 * renewalGrace))
	assert.Equal(t, sink.used(), int64(5))
}
