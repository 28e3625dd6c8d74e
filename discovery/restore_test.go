package discovery

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// Servers of the model: the leaver reports to be leaving and is removed, the starter starts.
const (
	leaver  = "leaver"
	starter = "starter"
)

// otherChanges is the number of changes to other data that a restored store lacks.
const otherChanges = 10

// move is one event of the model.
type move string

const (
	// moveLeave: the leaver reports to be leaving. moveEnd: its entry is removed.
	moveLeave move = "leave"
	moveEnd   move = "end"
	// moveStart: the starter writes its first entry. moveCrash: it ends without a report.
	moveStart move = "start"
	moveCrash move = "crash"
	// moveBackup takes a backup of the store, moveRestore restores it. moveRenew makes the
	// servers write their entries again.
	moveBackup  move = "backup"
	moveRestore move = "restore"
	moveRenew   move = "renew"
	// moveRead makes the reader read the store, moveQuery makes the other process query the
	// reader.
	moveRead  move = "read"
	moveQuery move = "query"
	// moveReadStore makes the other process read the store itself, moveRestart restarts it.
	moveReadStore move = "read-store"
	moveRestart   move = "restart"
)

var moves = []move{moveLeave, moveEnd, moveStart, moveCrash, moveBackup, moveRestore, moveRenew, moveRead, moveQuery, moveReadStore, moveRestart}

// modelEntry is a server's entry in the store.
type modelEntry struct {
	slatewind.ServerEntry
	written uint64
}

// restoreSignal is how a store indicates that it was restored.
type restoreSignal string

const (
	// signalEra is how stores behave: they state their era.
	signalEra restoreSignal = "era"
	// signalGone reports only that a revision is not available, signalNone not even that.
	signalGone restoreSignal = "gone"
	signalNone restoreSignal = "none"
)

// variant configures a model.
type variant struct {
	restoreSignal restoreSignal
	// losesHistory reports that a restored store has no history.
	losesHistory bool
	// dropsLower reports that the other process ignores updates whose number is lower than its
	// own.
	dropsLower bool
}

// modelStore is a store of which backups can be taken.
type modelStore struct {
	restoreSignal restoreSignal
	revision      slatewind.Revision
	entries       map[string]modelEntry
	// removed holds the revisions at which entries were removed. The history before compacted is
	// lost.
	removed   map[string]uint64
	compacted uint64
}

func (s modelStore) clone() modelStore {
	s.entries, s.removed = maps.Clone(s.entries), maps.Clone(s.removed)
	return s
}

// write writes an entry, or removes it if entry is nil.
func (s *modelStore) write(name string, entry *slatewind.ServerEntry) {
	s.revision.Number++
	if entry == nil {
		delete(s.entries, name)
		s.removed[name] = s.revision.Number
		return
	}
	e := modelEntry{*entry, s.revision.Number}
	e.Created = s.revision.Number
	if before, ok := s.entries[name]; ok {
		e.Created = before.Created
	}
	delete(s.removed, name)
	s.entries[name] = e
}

// read answers a process that knows the store up to a revision: with the changes since, or with
// the full state.
func (s *modelStore) read(after slatewind.Revision) slatewind.ServerUpdate {
	gone := s.restoreSignal != signalNone && (after.Number > s.revision.Number || after.Number < s.compacted)
	full := after.IsZero() || after.Era != s.revision.Era || gone
	p := slatewind.ServerUpdate{Revision: s.revision, Complete: full}
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[name]; full || e.written > after.Number {
			p.Servers = append(p.Servers, e.ServerEntry)
		}
	}
	for name, at := range s.removed {
		if !full && at > after.Number {
			p.Removed = append(p.Removed, name)
		}
	}
	return p
}

// modelProcess is a process and its view of the servers.
type modelProcess struct {
	*recordingSink
	*Watcher
	entries map[string]slatewind.ServerEntry
	// sawLeaving reports that it knew once that the leaver is leaving or was removed, lostStarter
	// that it removed the starter.
	sawLeaving, lostStarter bool
	violation               string
}

func newModelProcess() *modelProcess {
	p := &modelProcess{recordingSink: newRecordingSink(), entries: map[string]slatewind.ServerEntry{}}
	p.Watcher = NewWatcher(nil, p)
	return p
}

func (p *modelProcess) Server(_ time.Time, e slatewind.ServerEntry) {
	p.entries[e.Name] = e
	if e.Name != leaver {
		return
	}
	if p.sawLeaving && !e.Leaving {
		p.violation = "a leaving server came back as not leaving"
	}
	p.sawLeaving = p.sawLeaving || e.Leaving
}

func (p *modelProcess) ServerGone(_ time.Time, name string) {
	delete(p.entries, name)
	p.sawLeaving = p.sawLeaving || name == leaver
	p.lostStarter = p.lostStarter || name == starter
}

// model is a store, its backup and two processes, one of which reads the store for both.
type model struct {
	now      time.Time
	store    modelStore
	backup   *modelStore
	restored bool
	leaving  bool
	ended    bool
	started  bool
	crashed  bool
	reader   *modelProcess
	other    *modelProcess
	variant  variant
	lastMove move
}

func entryOf(name string, leaving bool) *slatewind.ServerEntry {
	return &slatewind.ServerEntry{Name: name, Service: "svc", Address: name + ":1", Leaving: leaving}
}

// newModel returns a model in which both processes know the leaver.
func newModel(v variant) *model {
	m := &model{
		now: time.Unix(1000, 0), store: modelStore{restoreSignal: v.restoreSignal, entries: map[string]modelEntry{}, removed: map[string]uint64{}},
		reader: newModelProcess(), other: newModelProcess(), variant: v,
	}
	m.store.write(leaver, entryOf(leaver, false))
	m.run(moveRead)
	m.run(moveQuery)
	return m
}

// enabled reports whether an event can happen now and can make a difference.
func (m *model) enabled(e move) bool {
	switch e {
	case moveLeave:
		return !m.leaving
	case moveEnd:
		return m.leaving && !m.ended && m.store.entries[leaver].Leaving
	case moveStart:
		return !m.started
	case moveCrash:
		return m.started && !m.crashed
	case moveBackup:
		return m.backup == nil
	case moveRestore:
		return m.backup != nil && !m.restored
	case moveRenew:
		return m.restored && m.lastMove != moveRenew
	}
	return m.lastMove != e
}

// run runs one event.
func (m *model) run(e move) {
	switch e {
	case moveLeave:
		m.leaving = true
		m.store.write(leaver, entryOf(leaver, true))
	case moveEnd:
		m.ended = true
		m.store.write(leaver, nil)
	case moveStart:
		m.started = true
		m.store.write(starter, entryOf(starter, false))
	case moveCrash:
		m.crashed = true
	case moveBackup:
		backup := m.store.clone()
		m.backup = &backup
		m.store.revision.Number += otherChanges
	case moveRestore:
		m.restore()
	case moveRenew:
		m.renewAll()
	case moveRead:
		m.reader.apply(m.now, m.store.read(m.reader.after()))
	case moveQuery:
		m.query()
	case moveReadStore:
		m.other.apply(m.now, m.store.read(m.other.after()))
	case moveRestart:
		m.other = newModelProcess()
		m.run(moveReadStore)
	}
	m.lastMove = e
}

func (m *model) restore() {
	m.restored = true
	m.store = m.backup.clone()
	if m.store.restoreSignal == signalEra {
		m.store.revision.Era++
	}
	if m.variant.losesHistory {
		m.store.compacted = m.store.revision.Number
	}
}

// renewAll makes running servers write their entries, and entries that are not renewed expire.
func (m *model) renewAll() {
	m.renew(entryOf(leaver, m.leaving), !m.ended)
	if m.started {
		m.renew(entryOf(starter, false), !m.crashed)
	}
}

// renew writes the entry of a running server; the entry of another one expires.
func (m *model) renew(entry *slatewind.ServerEntry, running bool) {
	_, stands := m.store.entries[entry.Name]
	switch {
	case running:
		m.store.write(entry.Name, entry)
	case stands:
		m.store.write(entry.Name, nil)
	}
}

func (m *model) query() {
	p := m.reader.Since(m.other.after())
	p.Relayed = true
	if m.variant.dropsLower && p.Revision.Number < m.other.Revision().Number {
		return
	}
	m.other.apply(m.now, p)
}

// settle distributes all pending changes and lets time pass.
func (m *model) settle() {
	if m.restored || m.crashed {
		m.renewAll()
	}
	for range 2 {
		m.run(moveRead)
		m.run(moveQuery)
		m.now = m.now.Add(2 * renewalGrace)
		for _, p := range []*modelProcess{m.reader, m.other} {
			p.expire(m.now)
		}
	}
}

// checkSettled returns what is wrong with a process after all changes were distributed.
func (m *model) checkSettled(p *modelProcess) string {
	leaver, listed := p.entries[leaver]
	_, startedListed := p.entries[starter]
	switch {
	case listed == m.ended:
		return fmt.Sprintf("the leaver is listed: %t, ended: %t", listed, m.ended)
	case listed && leaver.Leaving != m.leaving:
		return fmt.Sprintf("the leaver is known as leaving: %t, expected: %t", leaver.Leaving, m.leaving)
	case startedListed != (m.started && !m.crashed):
		return fmt.Sprintf("the starter is listed: %t, started: %t, crashed: %t", startedListed, m.started, m.crashed)
	}
	return ""
}

// runAll runs events on a new model.
func runAll(v variant, events []move) *model {
	m := newModel(v)
	for _, e := range events {
		m.run(e)
	}
	return m
}

// enabledMoves returns the events that may follow.
func (m *model) enabledMoves() []move {
	return slices.DeleteFunc(slices.Clone(moves), func(e move) bool { return !m.enabled(e) })
}

// check settles the model and returns what is wrong, or an empty string.
func (m *model) check() string {
	for _, p := range []*modelProcess{m.reader, m.other} {
		switch {
		case p.violation != "":
			return p.violation
		case p.lostStarter && !m.crashed:
			return "a running server was removed"
		}
	}
	m.settle()
	for name, p := range map[string]*modelProcess{"reader": m.reader, "other": m.other} {
		if failure := m.checkSettled(p); failure != "" {
			return name + ", settled: " + failure
		}
	}
	return ""
}

// explore runs all sequences of up to length events and returns the first failure and the number
// of sequences.
func explore(v variant, events []move, length int) (failure string, sequences int) {
	m := runAll(v, events)
	next := m.enabledMoves()
	if failure := m.check(); failure != "" {
		return fmt.Sprintf("%v: %s", events, failure), 1
	}
	sequences = 1
	if len(events) == length {
		return "", sequences
	}
	for _, e := range next {
		failure, more := explore(v, append(slices.Clone(events), e), length)
		sequences += more
		if failure != "" {
			return failure, sequences
		}
	}
	return "", sequences
}

// TestRestoresInEveryOrder checks that a server that is leaving never comes back and that all
// processes agree in the end, for all sequences of reports, backups, restores, reads and starts.
func TestRestoresInEveryOrder(t *testing.T) {
	for _, losesHistory := range []bool{false, true} {
		failure, sequences := explore(variant{restoreSignal: signalEra, losesHistory: losesHistory}, nil, 6)
		assert.Equal(t, failure, "", "history lost: %t", losesHistory)
		t.Logf("%d sequences, history lost: %t", sequences, losesHistory)
	}
}

// TestUnsignalledRestores checks that the exploration finds the failures that occur if a restore
// is indicated by a missing revision alone or not at all, and if updates with a lower number are
// ignored.
func TestUnsignalledRestores(t *testing.T) {
	for _, v := range []variant{{restoreSignal: signalGone}, {restoreSignal: signalNone}, {restoreSignal: signalEra, dropsLower: true}} {
		failure, _ := explore(v, nil, 6)
		assert.Assert(t, failure != "", v)
		t.Log(v, failure)
	}
}

// TestRestoreSendsOnlyChanges checks that, after a restore, a process that knew as much as the
// reader gets only what differs in the backup.
func TestRestoreSendsOnlyChanges(t *testing.T) {
	const count = 1000
	now := time.Unix(1000, 0)
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("server-", i)
	}
	reader, other := NewWatcher(nil, newRecordingSink()), NewWatcher(nil, newRecordingSink())
	reader.apply(now, complete(50, names...).ServerUpdate)
	relayed := reader.Since(other.Revision())
	relayed.Relayed = true
	other.apply(now, relayed)
	backup := slatewind.ServerUpdate{Revision: slatewind.Revision{Era: 1, Number: 40}, Complete: true, Servers: servers(names[1:]...)}
	reader.apply(now, backup)
	update := reader.Since(other.Revision())
	assert.Equal(t, len(update.Servers), 0)
	assert.DeepEqual(t, update.Removed, names[:1])
	assert.Assert(t, reader.Since(at(51)).Complete, "a process that knows more of the older era gets the full state")
}
