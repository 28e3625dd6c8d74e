package occupant

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/explore"
)

const (
	ownService   = "own"
	otherService = "other"
	modelAddress = "a:1"
)

// entryState is the state of a server's entry in the store.
type entryState string

// States of an entry.
const (
	entryNone      entryState = "none"
	entryPublished entryState = "published"
	entryExpired   entryState = "expired"
)

// modelServer is one of the servers that run at the address, one after the other.
type modelServer struct {
	service string
	start   int64
	entry   entryState
	// created is the store's revision at which the entry was created.
	created uint64
	// wroteLate reports that the server's last write was done after its end.
	wroteLate bool
}

// flight is a request on its way to the server at the address, or its answer.
type flight struct{ expected, by string }

// safeguard is a rule of the package that the model can leave out.
type safeguard string

const (
	// entriesOfService: only entries of the service name a server of it.
	entriesOfService safeguard = "entries of other services are told apart"
	// namesFromEntries: the name in an answer is not taken for that of a server of the service.
	namesFromEntries safeguard = "names come from entries"
	// entriesKept: entries that are not in use are kept.
	entriesKept safeguard = "entries not in use are kept"
	// olderAnswers: an answer to a request for an earlier server says nothing about the current one.
	olderAnswers safeguard = "older answers are ignored"
)

// world is a state of the model: the servers, the store, the process beside the address and an ingress.
type world struct {
	servers []modelServer
	// live is the index of the running server, or that of the next one minus one half if none runs.
	live     int
	running  bool
	revision uint64
	process  *Local
	ingress  *Table
	flight   *flight
	// strays is the number of requests that reached another server than the expected one since the process
	// last learned of an entry.
	strays int
	// misrouted is the name of a server of another service that ran a request.
	misrouted string
	// without is the safeguard that is left out, if any.
	without safeguard
}

func serverName(i int) string { return fmt.Sprint("s-", i) }

// entry returns the entry of a server as the store has it.
func (w *world) entry(i int) slatewind.ServerEntry {
	s := w.servers[i]
	return slatewind.ServerEntry{Name: serverName(i), Service: s.service, Address: modelAddress, Start: s.start, Created: s.created}
}

// clone returns a copy that shares nothing that changes.
func (w *world) clone() *world {
	c := *w
	c.servers = slices.Clone(w.servers)
	c.process = NewLocal(ownService)
	c.process.own, c.process.stranger = w.process.own.clone(), w.process.stranger
	for name, entry := range w.process.others {
		c.process.others[name] = entry
	}
	c.ingress = NewTable()
	for name, address := range w.ingress.byName {
		c.ingress.byName[name] = address
	}
	for address, a := range w.ingress.addresses {
		copied := a.clone()
		c.ingress.addresses[address] = &copied
	}
	return &c
}

func (a *Address) clone() Address {
	return Address{current: a.current, waiting: slices.Clone(a.waiting), replaced: slices.Clone(a.replaced)}
}

// describe returns the text of an address for a key.
func (a *Address) describe() string {
	if a == nil || a.current == nil {
		return "-"
	}
	var names []string
	for _, entry := range a.waiting {
		names = append(names, fmt.Sprint(entry.Name, entry.Created))
	}
	slices.Sort(names)
	return fmt.Sprint(a.current.Name, a.current.Created, names, a.replaced)
}

func (w *world) key() string {
	var others []string
	for name := range w.process.others {
		others = append(others, name)
	}
	slices.Sort(others)
	return fmt.Sprint(w.servers, w.live, w.running, w.process.own.describe(), w.process.stranger, others,
		w.ingress.addresses[modelAddress].describe(), w.flight, w.strays, w.misrouted)
}

// publish writes a server's entry; process and ingress learn of it at once. In which order they learn of
// changes does not depend on the delay.
func (w *world) publish(i int) {
	if s := &w.servers[i]; s.entry != entryPublished {
		w.revision++
		s.entry, s.created = entryPublished, w.revision
	}
	w.deliver(i)
}

func (w *world) deliver(i int) {
	entry := w.entry(i)
	w.ingress.Put(entry)
	if w.without == entriesOfService {
		entry.Service = ownService
	}
	w.process.Published(entry)
	w.strays = 0
	if w.without == entriesKept {
		w.process.own.waiting = nil
		for _, waiting := range slices.Clone(w.ingress.addresses[modelAddress].waiting) {
			w.ingress.Remove(waiting.Name)
		}
	}
}

func (w *world) expire(i int) {
	w.servers[i].entry = entryExpired
	w.process.Removed(serverName(i))
	w.ingress.Remove(serverName(i))
	w.strays = 0
}

// restart starts the process and the ingress anew. They read the entries in the given order.
func (w *world) restart(reversed bool) {
	w.process, w.ingress, w.strays, w.flight = NewLocal(ownService), NewTable(), 0, nil
	for i := range w.servers {
		if reversed {
			i = len(w.servers) - 1 - i
		}
		if w.servers[i].entry == entryPublished {
			w.deliver(i)
		}
	}
}

// send sends a request as the process addresses it. It arrives at once; its answer may come later.
func (w *world) send() {
	state := w.process.State()
	w.flight = &flight{expected: state.Entry.Name, by: serverName(w.live)}
	if w.flight.by != w.flight.expected {
		w.strays++
		return
	}
	if w.servers[w.live].service != ownService {
		w.misrouted = w.flight.by
	}
}

func (w *world) answer() {
	expected, by := w.flight.expected, w.flight.by
	w.flight = nil
	if by == expected {
		return
	}
	current := w.process.State().Entry
	switch {
	case w.without == namesFromEntries:
		w.process.Published(slatewind.ServerEntry{Name: by, Service: ownService, Address: modelAddress})
		return
	case w.without == olderAnswers && current != nil:
		expected = current.Name
	}
	w.process.Misdirected(expected, by)
}

// next calls step with every event that may follow.
func (w *world) next(step func(string, *world)) {
	do := func(event string, change func(*world)) {
		c := w.clone()
		change(c)
		step(event, c)
	}
	if w.running {
		do("the server ends", func(w *world) { w.running = false })
		do("the server writes", func(w *world) { w.publish(w.live) })
	} else if w.live+1 < len(w.servers) {
		do("the next server starts", func(w *world) { w.running, w.live = true, w.live+1 })
	}
	for i, s := range w.servers {
		ended := i < w.live || i == w.live && !w.running
		if ended && s.entry == entryPublished {
			do(serverName(i)+" expires", func(w *world) { w.expire(i) })
		}
		if ended && s.entry != entryNone && !s.wroteLate {
			do(serverName(i)+" writes late", func(w *world) { w.servers[i].wroteLate = true; w.publish(i) })
		}
	}
	if w.flight != nil {
		do("the answer arrives", func(w *world) { w.answer() })
	} else if state := w.process.State(); w.running && state.Entry != nil && state.Conflict == "" {
		do("a request is sent", func(w *world) { w.send() })
	}
	do("the processes start anew", func(w *world) { w.restart(false) })
	do("the processes start anew, the list is reversed", func(w *world) { w.restart(true) })
}

// maxStrays returns the number of requests that may reach another server than the expected one without a change of
// the entries: each of the service's servers may be expected once.
func (w *world) maxStrays() int {
	own := 0
	for _, s := range w.servers {
		if s.service == ownService {
			own++
		}
	}
	return own
}

// check returns an error if a state breaks a property.
func (w *world) check() error {
	if w.misrouted != "" {
		return fmt.Errorf("server %s of another service ran a request", w.misrouted)
	}
	if entry := w.process.State().Entry; entry != nil && entry.Service != ownService {
		return fmt.Errorf("requests are addressed to %s of another service", entry.Name)
	}
	if w.strays > w.maxStrays() {
		return fmt.Errorf("%d requests reached other servers", w.strays)
	}
	if !w.settled() {
		return nil
	}
	if w.ingress.InUse(serverName(w.live)) == nil {
		return fmt.Errorf("the ingress does not use %s", serverName(w.live))
	}
	if w.servers[w.live].service != ownService {
		return nil
	}
	if state := w.process.State(); state.Entry == nil || state.Entry.Name != serverName(w.live) || state.Conflict != "" {
		return fmt.Errorf("the process beside %s uses %v: %s", serverName(w.live), state.Entry, state.Conflict)
	}
	return nil
}

// settled reports whether a server runs, its entry is the only one and no answer is on its way.
func (w *world) settled() bool {
	if !w.running || w.flight != nil {
		return false
	}
	for i, s := range w.servers {
		if (s.entry == entryPublished) != (i == w.live) {
			return false
		}
	}
	return true
}

// TestOccupantInAllOrders guards against requests that are addressed to a server of another service, and
// against a live server that stays unused, in all orders of starts, ends, late writes and answers at one address.
func TestOccupantInAllOrders(t *testing.T) {
	for name, servers := range sequences() {
		t.Run(name, func(t *testing.T) {
			result := exploreServers(servers, "")
			t.Log(result.States, "states")
			assert.NilError(t, result.Err, "%s", strings.Join(result.Events, "; "))
		})
	}
}

// TestOccupantWithoutSafeguard checks that leaving out any safeguard breaks a property of the model.
func TestOccupantWithoutSafeguard(t *testing.T) {
	for _, without := range []safeguard{entriesOfService, namesFromEntries, entriesKept, olderAnswers} {
		t.Run(string(without), func(t *testing.T) {
			for _, servers := range sequences() {
				if result := exploreServers(servers, without); result.Err != nil {
					t.Log(result)
					return
				}
			}
			t.Error("no property is broken")
		})
	}
}

// exploreServers visits all states of the model with the given servers.
func exploreServers(servers []modelServer, without safeguard) explore.Result {
	for i := range servers {
		servers[i].entry = entryNone
	}
	return explore.Model[*world, string]{
		Start: &world{servers: servers, live: -1, process: NewLocal(ownService), ingress: NewTable(), without: without},
		Key:   (*world).key, Check: (*world).check, MaxStates: 400_000,
		Next: func(w *world, step func(string, *world)) { w.next(step) },
	}.Run()
}

// sequences returns the servers that run at the address, by the name of the case.
func sequences() map[string][]modelServer {
	return map[string][]modelServer{
		"another service follows":            {{service: ownService}, {service: otherService}},
		"the same service follows":           {{service: ownService}, {service: ownService}},
		"another service was before":         {{service: otherService}, {service: ownService}},
		"another service between":            {{service: ownService}, {service: otherService}, {service: ownService}},
		"two of the service, then another":   {{service: ownService}, {service: ownService}, {service: otherService}},
		"starts are stated":                  {{service: ownService, start: 1}, {service: otherService, start: 2}, {service: ownService, start: 3}},
		"a clock is behind":                  {{service: ownService, start: 2}, {service: ownService, start: 1}},
		"the clock of another's VM is ahead": {{service: otherService, start: 2}, {service: ownService, start: 1}},
	}
}
