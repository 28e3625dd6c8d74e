// Package member holds what one process knows of the others: from the
// platform's VM list, which lags, from gossip, and from direct contact. Each
// entry says how it is known and how old it is.
//
// A process announces its own state with a serial that grows with each change,
// and a new process on the same VM has a later incarnation; the later word
// wins, so news can travel by any path and in any order.
package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
)

// Entry is one known process.
type Entry struct {
	VM          string            `json:"vm"`
	DataCentre  string            `json:"data_centre"`
	PeerAddress string            `json:"peer_address"`
	Incarnation uint64            `json:"incarnation"`
	Serial      uint64            `json:"serial"`
	State       slatewind.VMState `json:"state"`
	Source      slatewind.Source  `json:"source"`
	// Listed is the VM's state in the platform's list; "" is not listed.
	Listed slatewind.VMState `json:"listed,omitempty"`
	// Updated is when the entry last changed or was confirmed by contact.
	Updated time.Time `json:"updated"`
	// Noted is when the entry last became news here.
	Noted time.Time `json:"noted"`
	// Failed counts calls in a row that got no reply.
	Failed int `json:"failed,omitempty"`
	// Waiting counts calls that have no reply yet.
	Waiting int `json:"waiting,omitempty"`
}

// goneAfter is how many calls in a row must fail for a VM to count as gone.
const goneAfter = 3

// forget is how long a gone VM that is not listed is kept, so that late news
// of it is not taken for a new one.
const forget = 10 * time.Minute

// Live reports whether a process may be asked or get new work.
func (e *Entry) Live() bool {
	return e.State == slatewind.VMLive
}

// Table is what one process knows. It is not safe for use by several
// goroutines; its host guards it.
type Table struct {
	self    string
	entries map[string]*Entry
	// names lists the known VMs in no order, for random draws.
	names []string
	// changed lists VMs by their last change, newest last, for gossip.
	changed []string
}

// NewTable returns a table that knows only the process itself.
func NewTable(now time.Time, self Entry) *Table {
	self.State = slatewind.VMLive
	self.Source = slatewind.SourceSelf
	self.Serial = 1
	self.Updated = now
	t := &Table{self: self.VM, entries: map[string]*Entry{}}
	t.add(&self)
	t.note(now, self.VM)
	return t
}

func (t *Table) add(e *Entry) {
	t.entries[e.VM] = e
	t.names = append(t.names, e.VM)
}

// Len returns the number of known processes.
func (t *Table) Len() int {
	return len(t.names)
}

// Self returns the entry of the process itself.
func (t *Table) Self() Entry {
	return *t.entries[t.self]
}

// Leave announces that the process itself is leaving.
func (t *Table) Leave(now time.Time) {
	self := t.entries[t.self]
	if self.State == slatewind.VMLeaving {
		return
	}
	self.State = slatewind.VMLeaving
	self.Serial++
	self.Updated = now
	t.note(now, t.self)
}

// Find returns the entry of a VM.
func (t *Table) Find(vm string) (Entry, bool) {
	e, ok := t.entries[vm]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// All returns every entry, by name.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, *e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].VM < all[j].VM })
	return all
}

// Merge takes another process's word about a VM. It reports whether it was
// news.
func (t *Table) Merge(now time.Time, heard Entry) bool {
	if heard.VM == t.self {
		return t.mergeSelf(now, heard)
	}
	if heard.VM == "" {
		return false
	}
	known := t.entries[heard.VM]
	if known == nil {
		heard.Updated = now
		heard.Failed = 0
		t.add(&heard)
		t.note(now, heard.VM)
		return true
	}
	if !later(heard, *known) {
		if leavingNews(heard, *known) {
			known.State = slatewind.VMLeaving
			known.Updated = now
			t.note(now, known.VM)
			return true
		}
		if heard.Source == slatewind.SourceContact {
			t.confirm(now, known, heard)
		}
		return false
	}
	listed := known.Listed
	if sameProcess(heard, *known) || known.Incarnation == 0 {
		heard.Listed = listed
	} else {
		// The list may still speak of the process before this one.
		heard.Listed = ""
	}
	heard.Updated = now
	heard.Failed = 0
	heard.Waiting = known.Waiting
	*known = heard
	t.note(now, heard.VM)
	return true
}

// mergeSelf takes another's word about this very process: only that it leaves,
// which somebody read in the platform's list.
func (t *Table) mergeSelf(now time.Time, heard Entry) bool {
	self := t.entries[t.self]
	if !leavingNews(heard, *self) {
		return false
	}
	t.Leave(now)
	return true
}

// leavingNews reports whether the same word of a process is now told with the
// addition that it leaves, as the platform's list can add.
func leavingNews(heard, known Entry) bool {
	return heard.State == slatewind.VMLeaving && known.State == slatewind.VMLive &&
		heard.Incarnation == known.Incarnation && heard.Serial == known.Serial
}

// confirm notes a direct reply that told nothing new.
func (t *Table) confirm(now time.Time, known *Entry, heard Entry) {
	if heard.Incarnation < known.Incarnation {
		return
	}
	known.Updated = now
	known.Failed = 0
	known.Source = slatewind.SourceContact
	if known.State == slatewind.VMGone {
		known.State = heard.State
		t.note(now, known.VM)
	}
}

// later reports whether a was said after b.
func later(a, b Entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Serial > b.Serial
}

func sameProcess(a, b Entry) bool {
	return a.Incarnation == b.Incarnation
}

// MergeList takes the platform's VM list. It lags, so it adds VMs and marks
// them leaving, but does not contradict what a process said of itself.
func (t *Table) MergeList(now time.Time, vms []slatewind.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		t.mergeListed(now, vm)
	}
	for name, e := range t.entries {
		if name != t.self && !listed[name] {
			t.unlisted(now, name, e)
		}
	}
}

func (t *Table) mergeListed(now time.Time, vm slatewind.VM) {
	e := t.entries[vm.Name]
	if e == nil {
		t.add(&Entry{
			VM: vm.Name, DataCentre: vm.DataCentre, PeerAddress: vm.PeerAddress,
			State: vm.State, Source: slatewind.SourceList, Listed: vm.State, Updated: now,
		})
		t.note(now, vm.Name)
		return
	}
	changed := e.Listed != vm.State
	e.Listed = vm.State
	if e.Source == slatewind.SourceList {
		e.PeerAddress = vm.PeerAddress
		e.DataCentre = vm.DataCentre
	}
	if changed && vm.Name == t.self && vm.State == slatewind.VMLeaving {
		t.Leave(now)
		return
	}
	if changed && vm.State == slatewind.VMLeaving && e.State == slatewind.VMLive {
		e.State = slatewind.VMLeaving
		e.Updated = now
		t.note(now, vm.Name)
	}
	if changed && vm.State == slatewind.VMLive && e.Source == slatewind.SourceList {
		e.State = slatewind.VMLive
		e.Updated = now
	}
}

// unlisted forgets a VM that the list does not have and nobody heard of for
// long; a VM that answers is kept, since the list lags.
func (t *Table) unlisted(now time.Time, name string, e *Entry) {
	e.Listed = ""
	if now.Sub(e.Updated) >= forget {
		delete(t.entries, name)
		i := slices.Index(t.names, name)
		t.names = slices.Delete(t.names, i, i+1)
	}
}

// Calling notes the beginning of a call to a VM, which ends with Contact.
func (t *Table) Calling(vm string) {
	if e := t.entries[vm]; e != nil {
		e.Waiting++
	}
}

// Contact notes whether a call to a VM got a reply. It reports whether the VM
// counts as gone from now on.
func (t *Table) Contact(now time.Time, vm string, reached bool) bool {
	e := t.entries[vm]
	if e == nil || vm == t.self {
		return false
	}
	e.Waiting = max(e.Waiting-1, 0)
	if reached {
		e.Failed = 0
		e.Updated = now
		if e.State == slatewind.VMGone {
			e.State = slatewind.VMLive
		}
		return false
	}
	e.Failed++
	if e.Failed < goneAfter || e.State == slatewind.VMGone {
		return false
	}
	e.State = slatewind.VMGone
	return true
}

// note puts a VM at the end of the list of changes.
func (t *Table) note(now time.Time, vm string) {
	t.entries[vm].Noted = now
	for i, name := range t.changed {
		if name == vm {
			t.changed = append(t.changed[:i], t.changed[i+1:]...)
			break
		}
	}
	t.changed = append(t.changed, vm)
	if len(t.changed) > maxChanged {
		t.changed = t.changed[1:]
	}
}

// maxChanged bounds how many recent changes gossip can carry.
const maxChanged = 64

// spreadTime is how long a change is news. Within it gossip has brought the
// change to every process that can be reached; who could not hears it from its
// later contacts, for whom it is news again.
const spreadTime = 30 * time.Second

// Recent returns the changes that are news, newest first, at most n. That a VM
// is gone is left out: it is this process's view alone.
func (t *Table) Recent(now time.Time, n int) []Entry {
	var recent []Entry
	for i := len(t.changed) - 1; i >= 0 && len(recent) < n; i-- {
		e := t.entries[t.changed[i]]
		if e != nil && e.State != slatewind.VMGone && now.Sub(e.Noted) < spreadTime {
			recent = append(recent, *e)
		}
	}
	return recent
}

// Peers returns up to n random processes to gossip with, the first of them of
// the process's own data centre where one is found. Now and then a gone one is
// tried too, since the two sides of a mended cut must find each other. The cost
// does not grow with the number of processes known.
func (t *Table) Peers(r *rand.Rand, n int) []Entry {
	near := t.entries[t.self].DataCentre
	var chosen []Entry
	chosen = t.draw(r, chosen, func(e *Entry) bool { return e.State != slatewind.VMGone && e.DataCentre == near })
	for len(chosen) < n {
		before := len(chosen)
		chosen = t.draw(r, chosen, func(e *Entry) bool { return e.State != slatewind.VMGone })
		if len(chosen) == before {
			break
		}
	}
	const tryGone = 0.2
	if len(chosen) == 0 || r.Float64() < tryGone {
		chosen = t.draw(r, chosen, func(e *Entry) bool { return e.State == slatewind.VMGone })
	}
	return chosen
}

// drawTries bounds the random draws for one peer; with a sixth of the fleet in
// each data centre, 40 miss a near one once in 1,500 rounds.
const drawTries = 40

// draw adds a random process that fits and is not yet chosen. Processes that
// answer go before those that did not of late: behind a cut that leaves few
// ways open, news must find these ways soon.
func (t *Table) draw(r *rand.Rand, chosen []Entry, fits func(*Entry) bool) []Entry {
	var silent *Entry
	for range drawTries {
		e := t.entries[t.names[r.IntN(len(t.names))]]
		if e.VM == t.self || e.PeerAddress == "" || !fits(e) || contains(chosen, e.VM) {
			continue
		}
		if e.Failed == 0 && e.Waiting == 0 {
			return append(chosen, *e)
		}
		silent = e
	}
	if silent != nil {
		return append(chosen, *silent)
	}
	return chosen
}

func contains(entries []Entry, vm string) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.VM == vm })
}

// ReaderRank returns the place of the process among those of its data centre
// that may read the platform, 0 first. Every process that knows the same live
// VMs gets the same order.
func (t *Table) ReaderRank() int {
	self := t.entries[t.self]
	own := xxhash.Sum64String(self.VM)
	rank := 0
	for _, e := range t.entries {
		if e.VM == t.self || e.DataCentre != self.DataCentre || !e.Live() {
			continue
		}
		if xxhash.Sum64String(e.VM) > own {
			rank++
		}
	}
	return rank
}
