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

// Servers of the model: one leaves and goes, the other starts.
const (
	leaver  = "leaver"
	starter = "starter"
)

// otherChanges is how many changes to other things a restored store lacks.
const otherChanges = 10

// move is one event of the model.
type move string

const (
	// moveSay: the leaver says that it leaves. moveEnd: its entry goes.
	moveSay move = "say"
	moveEnd move = "end"
	// moveStart: the starter writes its first entry. moveCrash: it ends without a word.
	moveStart move = "start"
	moveCrash move = "crash"
	// moveCopy takes a copy of the store, moveRestore brings it back. moveAgain has the servers
	// write their entries again.
	moveCopy    move = "copy"
	moveRestore move = "restore"
	moveAgain   move = "again"
	// moveRead has the reader read the store, moveAsk the other process ask the reader.
	moveRead move = "read"
	moveAsk  move = "ask"
	// moveLook has the other process read the store itself, moveBegin has it start anew.
	moveLook  move = "look"
	moveBegin move = "begin"
)

var moves = []move{moveSay, moveEnd, moveStart, moveCrash, moveCopy, moveRestore, moveAgain, moveRead, moveAsk, moveLook, moveBegin}

// modelEntry is what a store holds of a server.
type modelEntry struct {
	slatewind.ServerEntry
	written uint64
}

// telling is how a store tells that it was restored.
type telling string

const (
	// tellsEra is what a store does: it states its era.
	tellsEra telling = "era"
	// tellsGone says only that it does not have a revision, tellsNothing not even that.
	tellsGone    telling = "gone"
	tellsNothing telling = "nothing"
)

// variant is what a model is like.
type variant struct {
	telling telling
	// compacts says that a restored store has no history.
	compacts bool
	// dropsLower says that the other process drops news with a lower number than its own.
	dropsLower bool
}

// modelStore is a store of which copies can be taken.
type modelStore struct {
	telling  telling
	revision slatewind.Revision
	entries  map[string]modelEntry
	// removed holds the revisions at which entries went, forgotten is that up to which the
	// history is lost.
	removed   map[string]uint64
	forgotten uint64
}

func (s modelStore) clone() modelStore {
	s.entries, s.removed = maps.Clone(s.entries), maps.Clone(s.removed)
	return s
}

// write writes an entry, or removes it.
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

// read answers a process that knows the store until a revision: with what changed since, or
// with everything.
func (s *modelStore) read(after slatewind.Revision) slatewind.ServerUpdate {
	gone := s.telling != tellsNothing && (after.Number > s.revision.Number || after.Number < s.forgotten)
	whole := after.IsZero() || after.Era != s.revision.Era || gone
	p := slatewind.ServerUpdate{Revision: s.revision, Complete: whole}
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if e := s.entries[name]; whole || e.written > after.Number {
			p.Servers = append(p.Servers, e.ServerEntry)
		}
	}
	for name, at := range s.removed {
		if !whole && at > after.Number {
			p.Removed = append(p.Removed, name)
		}
	}
	return p
}

// modelProcess is a process with what it believes of the servers.
type modelProcess struct {
	*heardBy
	*Watcher
	believed map[string]slatewind.ServerEntry
	// left says that it knew once that the leaver leaves or is gone, lost that the starter went.
	left, lost bool
	broken     string
}

func newModelProcess() *modelProcess {
	p := &modelProcess{heardBy: newHeardBy(), believed: map[string]slatewind.ServerEntry{}}
	p.Watcher = NewWatcher(nil, p)
	return p
}

func (p *modelProcess) Server(_ time.Time, e slatewind.ServerEntry) {
	p.believed[e.Name] = e
	if e.Name != leaver {
		return
	}
	if p.left && !e.Leaving {
		p.broken = "a server that leaves came back as staying"
	}
	p.left = p.left || e.Leaving
}

func (p *modelProcess) ServerGone(_ time.Time, name string) {
	delete(p.believed, name)
	p.left = p.left || name == leaver
	p.lost = p.lost || name == starter
}

// model is a store, its copy and two processes, one of which reads for both.
type model struct {
	now         time.Time
	store       modelStore
	taken       *modelStore
	restored    bool
	leaving     bool
	ended       bool
	started     bool
	crashed     bool
	reader      *modelProcess
	other       *modelProcess
	variant     variant
	lastOfReads move
}

func entryOf(name string, leaving bool) *slatewind.ServerEntry {
	return &slatewind.ServerEntry{Name: name, Service: "svc", Address: name + ":1", Leaving: leaving}
}

// newModel returns a model in which both processes know the leaver.
func newModel(v variant) *model {
	m := &model{
		now: time.Unix(1000, 0), store: modelStore{telling: v.telling, entries: map[string]modelEntry{}, removed: map[string]uint64{}},
		reader: newModelProcess(), other: newModelProcess(), variant: v,
	}
	m.store.write(leaver, entryOf(leaver, false))
	m.play(moveRead)
	m.play(moveAsk)
	return m
}

// may reports whether an event can happen now and can make a difference.
func (m *model) may(e move) bool {
	switch e {
	case moveSay:
		return !m.leaving
	case moveEnd:
		return m.leaving && !m.ended && m.store.entries[leaver].Leaving
	case moveStart:
		return !m.started
	case moveCrash:
		return m.started && !m.crashed
	case moveCopy:
		return m.taken == nil
	case moveRestore:
		return m.taken != nil && !m.restored
	case moveAgain:
		return m.restored && m.lastOfReads != moveAgain
	}
	return m.lastOfReads != e
}

// play plays one event.
func (m *model) play(e move) {
	switch e {
	case moveSay:
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
	case moveCopy:
		taken := m.store.clone()
		m.taken = &taken
		m.store.revision.Number += otherChanges
	case moveRestore:
		m.restore()
	case moveAgain:
		m.writeAgain()
	case moveRead:
		m.reader.apply(m.now, m.store.read(m.reader.after()))
	case moveAsk:
		m.ask()
	case moveLook:
		m.other.apply(m.now, m.store.read(m.other.after()))
	case moveBegin:
		m.other = newModelProcess()
		m.play(moveLook)
	}
	m.lastOfReads = e
}

func (m *model) restore() {
	m.restored = true
	m.store = m.taken.clone()
	if m.store.telling == tellsEra {
		m.store.revision.Era++
	}
	if m.variant.compacts {
		m.store.forgotten = m.store.revision.Number
	}
}

// writeAgain has servers that live write their entries, and what nobody renews run out.
func (m *model) writeAgain() {
	m.renew(entryOf(leaver, m.leaving), !m.ended)
	if m.started {
		m.renew(entryOf(starter, false), !m.crashed)
	}
}

// renew writes the entry of a server that lives, and lets that of another one run out.
func (m *model) renew(entry *slatewind.ServerEntry, lives bool) {
	_, stands := m.store.entries[entry.Name]
	switch {
	case lives:
		m.store.write(entry.Name, entry)
	case stands:
		m.store.write(entry.Name, nil)
	}
}

func (m *model) ask() {
	p := m.reader.Since(m.other.after())
	p.Relayed = true
	if m.variant.dropsLower && p.Revision.Number < m.other.Revision().Number {
		return
	}
	m.other.apply(m.now, p)
}

// settle lets all be written and heard that is to be, and time pass.
func (m *model) settle() {
	if m.restored || m.crashed {
		m.writeAgain()
	}
	for range 2 {
		m.play(moveRead)
		m.play(moveAsk)
		m.now = m.now.Add(2 * renewalGrace)
		for _, p := range []*modelProcess{m.reader, m.other} {
			p.expire(m.now)
		}
	}
}

// checkSettled returns what is wrong once all is heard.
func (m *model) checkSettled(p *modelProcess) string {
	leaver, listed := p.believed[leaver]
	_, startedListed := p.believed[starter]
	switch {
	case listed == m.ended:
		return fmt.Sprintf("the leaver is listed: %t, ended: %t", listed, m.ended)
	case listed && leaver.Leaving != m.leaving:
		return fmt.Sprintf("the leaver is believed to leave: %t, not: %t", leaver.Leaving, m.leaving)
	case startedListed != (m.started && !m.crashed):
		return fmt.Sprintf("the starter is listed: %t, started: %t, crashed: %t", startedListed, m.started, m.crashed)
	}
	return ""
}

// playAll plays events from the start.
func playAll(v variant, events []move) *model {
	m := newModel(v)
	for _, e := range events {
		m.play(e)
	}
	return m
}

// possible returns the events that may follow.
func (m *model) possible() []move {
	return slices.DeleteFunc(slices.Clone(moves), func(e move) bool { return !m.may(e) })
}

// verdict returns what is wrong, or nothing. It has the model settle.
func (m *model) verdict() string {
	for _, p := range []*modelProcess{m.reader, m.other} {
		switch {
		case p.broken != "":
			return p.broken
		case p.lost && !m.crashed:
			return "a server that lives was taken for gone"
		}
	}
	m.settle()
	for name, p := range map[string]*modelProcess{"reader": m.reader, "other": m.other} {
		if wrong := m.checkSettled(p); wrong != "" {
			return name + ", settled: " + wrong
		}
	}
	return ""
}

// explore plays all orders of so many events and returns the first that goes wrong, and how.
func explore(v variant, events []move, length int) (wrong string, orders int) {
	m := playAll(v, events)
	next := m.possible()
	if wrong := m.verdict(); wrong != "" {
		return fmt.Sprintf("%v: %s", events, wrong), 1
	}
	orders = 1
	if len(events) == length {
		return "", orders
	}
	for _, e := range next {
		wrong, more := explore(v, append(slices.Clone(events), e), length)
		orders += more
		if wrong != "" {
			return wrong, orders
		}
	}
	return "", orders
}

// TestRestoresInEveryOrder: in no order of words, copies, restores, reads and starts does a server that leaves come back, and all processes agree in the end.
func TestRestoresInEveryOrder(t *testing.T) {
	for _, compacts := range []bool{false, true} {
		wrong, orders := explore(variant{telling: tellsEra, compacts: compacts}, nil, 6)
		assert.Equal(t, wrong, "", "history lost: %t", compacts)
		t.Logf("%d orders, history lost: %t", orders, compacts)
	}
}

// TestRestoresUntold: the exploration finds what goes wrong where a restore is told by a lost revision alone, or not at all, and where news with a lower number are dropped.
func TestRestoresUntold(t *testing.T) {
	for _, v := range []variant{{telling: tellsGone}, {telling: tellsNothing}, {telling: tellsEra, dropsLower: true}} {
		wrong, _ := explore(v, nil, 6)
		assert.Assert(t, wrong != "", v)
		t.Log(v, wrong)
	}
}

// TestRestoreTellsOnlyChanges: after a restore a process that knew what the reader knew is told only of what the copy has otherwise.
func TestRestoreTellsOnlyChanges(t *testing.T) {
	const many = 1000
	now := time.Unix(1000, 0)
	names := make([]string, many)
	for i := range names {
		names[i] = fmt.Sprint("server-", i)
	}
	reader, other := NewWatcher(nil, newHeardBy()), NewWatcher(nil, newHeardBy())
	reader.apply(now, all(50, names...).ServerUpdate)
	relayed := reader.Since(other.Revision())
	relayed.Relayed = true
	other.apply(now, relayed)
	taken := slatewind.ServerUpdate{Revision: slatewind.Revision{Era: 1, Number: 40}, Complete: true, Servers: servers(names[1:]...)}
	reader.apply(now, taken)
	news := reader.Since(other.Revision())
	assert.Equal(t, len(news.Servers), 0)
	assert.DeepEqual(t, news.Removed, names[:1])
	assert.Assert(t, reader.Since(at(51)).Complete, "who knows more of the older era is told everything")
}
