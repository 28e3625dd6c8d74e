// Package member implements the membership table of a process: what it knows about the
// other processes from the platform's VM list, which lags, from gossip, and from direct
// calls. Each entry has its source and the time of its last update.
//
// A process publishes its own state with a serial that grows with each change, and a new
// process on the same VM has a higher incarnation. The entry with the higher incarnation and
// serial wins, so updates may arrive by any path and in any order.
package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
)

// Entry is the state of a known process.
type Entry struct {
	VM          string            `json:"vm"`
	DataCentre  string            `json:"data_centre"`
	PeerAddress string            `json:"peer_address"`
	Incarnation uint64            `json:"incarnation"`
	Serial      uint64            `json:"serial"`
	State       slatewind.VMState `json:"state"`
	Source      slatewind.Source  `json:"source"`
	// Listed is the VM's state in the platform's list, or "" if it is not listed.
	Listed slatewind.VMState `json:"listed,omitempty"`
	// Updated is when the entry last changed or was confirmed by a direct call.
	Updated time.Time `json:"updated"`
	// Recorded is when the last change of the entry that is gossiped was recorded.
	Recorded time.Time `json:"noted"`
	// Failed is the number of consecutive calls without a reply.
	Failed int `json:"failed,omitempty"`
	// Pending is the number of calls in progress.
	Pending int `json:"waiting,omitempty"`
}

// goneAfter is the number of consecutive failed calls after which a VM counts as gone.
const goneAfter = 3

// forgetAfter is how long a VM that is not listed is kept after the last update of its
// entry, so that a late update is not mistaken for a new VM.
const forgetAfter = 10 * time.Minute

// Live reports whether a process may be called and given new work.
func (e *Entry) Live() bool {
	return e.State == slatewind.VMLive
}

// Table is the membership table of a process. It is not safe for concurrent use; its owner
// guards it.
type Table struct {
	self    string
	entries map[string]*Entry
	// names lists the known VMs in no particular order, for random selection.
	names []string
	// changed lists the VMs to gossip about by the time of their last change, newest last.
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
	t.recordChange(now, self.VM)
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

// Leave marks the process itself as leaving.
func (t *Table) Leave(now time.Time) {
	self := t.entries[t.self]
	if self.State == slatewind.VMLeaving {
		return
	}
	self.State = slatewind.VMLeaving
	self.Serial++
	self.Updated = now
	t.recordChange(now, t.self)
}

// Find returns the entry of a VM and whether it is known.
func (t *Table) Find(vm string) (Entry, bool) {
	e, ok := t.entries[vm]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// All returns all entries, sorted by VM name.
func (t *Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, *e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].VM < all[j].VM })
	return all
}

// Merge merges an entry received from another process and reports whether it changed the
// table.
func (t *Table) Merge(now time.Time, received Entry) bool {
	if received.VM == t.self {
		return t.mergeSelf(now, received)
	}
	if received.VM == "" {
		return false
	}
	known := t.entries[received.VM]
	if known == nil {
		received.Updated = now
		received.Failed = 0
		t.add(&received)
		t.recordChange(now, received.VM)
		return true
	}
	if !later(received, *known) {
		if marksLeaving(received, *known) {
			known.State = slatewind.VMLeaving
			known.Updated = now
			t.recordChange(now, known.VM)
			return true
		}
		if received.Source == slatewind.SourceContact {
			t.confirm(now, known, received)
		}
		return false
	}
	listed := known.Listed
	if sameProcess(received, *known) || known.Incarnation == 0 {
		received.Listed = listed
	} else {
		// The list may still show the previous process on this VM.
		received.Listed = ""
	}
	received.Updated = now
	received.Failed = 0
	received.Pending = known.Pending
	*known = received
	t.recordChange(now, received.VM)
	return true
}

// mergeSelf merges an entry about the process itself. Only the state leaving is taken over,
// which another process read in the platform's list.
func (t *Table) mergeSelf(now time.Time, received Entry) bool {
	self := t.entries[t.self]
	if !marksLeaving(received, *self) {
		return false
	}
	t.Leave(now)
	return true
}

// marksLeaving reports whether the received entry differs from the known one only in that
// the VM is leaving. A process that reads this in the platform's list changes the state but
// not the incarnation and serial.
func marksLeaving(received, known Entry) bool {
	return received.State == slatewind.VMLeaving && known.State == slatewind.VMLive &&
		received.Incarnation == known.Incarnation && received.Serial == known.Serial
}

// confirm records a direct reply without newer state. A VM that counted as gone gets the
// state of the reply.
func (t *Table) confirm(now time.Time, known *Entry, received Entry) {
	if received.Incarnation < known.Incarnation {
		return
	}
	known.Updated = now
	known.Failed = 0
	known.Source = slatewind.SourceContact
	if known.State == slatewind.VMGone {
		known.State = received.State
		t.recordChange(now, known.VM)
	}
}

// later reports whether a was published after b.
func later(a, b Entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Serial > b.Serial
}

// sameProcess reports whether both entries are of the same process on a VM.
func sameProcess(a, b Entry) bool {
	return a.Incarnation == b.Incarnation
}

// MergeList merges the platform's VM list. Since the list lags, it only adds VMs and marks
// them as leaving, and does not otherwise override the state that a process published itself.
func (t *Table) MergeList(now time.Time, vms []slatewind.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Name] = true
		t.mergeListed(now, vm)
	}
	for name, e := range t.entries {
		if name != t.self && !listed[name] {
			t.expireUnlisted(now, name, e)
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
		t.recordChange(now, vm.Name)
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
		t.recordChange(now, vm.Name)
	}
	if changed && vm.State == slatewind.VMLive && e.Source == slatewind.SourceList {
		e.State = slatewind.VMLive
		e.Updated = now
	}
}

// expireUnlisted removes a VM that is not listed and has had no update for forgetAfter. A VM
// that still responds is kept, since the list lags.
func (t *Table) expireUnlisted(now time.Time, name string, e *Entry) {
	e.Listed = ""
	if now.Sub(e.Updated) >= forgetAfter {
		delete(t.entries, name)
		i := slices.Index(t.names, name)
		t.names = slices.Delete(t.names, i, i+1)
	}
}

// CallStarted records the start of a call to a VM. CallEnded records its end.
func (t *Table) CallStarted(vm string) {
	if e := t.entries[vm]; e != nil {
		e.Pending++
	}
}

// CallEnded records the end of a call to a VM and whether it got a reply. It returns true if
// the VM counts as gone from now on.
func (t *Table) CallEnded(now time.Time, vm string, reached bool) bool {
	e := t.entries[vm]
	if e == nil || vm == t.self {
		return false
	}
	e.Pending = max(e.Pending-1, 0)
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

// recordChange moves a VM to the end of the list of changes.
func (t *Table) recordChange(now time.Time, vm string) {
	t.entries[vm].Recorded = now
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

// maxChanged limits how many recent changes are kept for gossip.
const maxChanged = 64

// gossipTime is how long a change is gossiped. By then it has reached every reachable
// process. A process that was unreachable gets the change from the peers that it exchanges
// with later, and gossips it in turn, since it is new there.
const gossipTime = 30 * time.Second

// Recent returns the changes to gossip, newest first, at most n. VMs that are gone are left
// out, since that is only the view of this process.
func (t *Table) Recent(now time.Time, n int) []Entry {
	var recent []Entry
	for i := len(t.changed) - 1; i >= 0 && len(recent) < n; i-- {
		e := t.entries[t.changed[i]]
		if e != nil && e.State != slatewind.VMGone && now.Sub(e.Recorded) < gossipTime {
			recent = append(recent, *e)
		}
	}
	return recent
}

// Peers returns up to n random processes to gossip with. The first is in the process's own
// data centre if one is found. With probability goneRetryProbability, or if there is no
// other, a gone one is added to them, so that both sides of a healed network partition find
// each other. The cost does not depend on the number of known processes.
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
	const goneRetryProbability = 0.2
	if len(chosen) == 0 || r.Float64() < goneRetryProbability {
		chosen = t.draw(r, chosen, func(e *Entry) bool { return e.State == slatewind.VMGone })
	}
	return chosen
}

// maxDraws limits the random draws for one peer. With a sixth of the fleet in each data
// centre, 40 draws miss the process's own data centre once in 1,500 rounds.
const maxDraws = 40

// draw adds a random process that fits and is not chosen yet. It prefers processes that have
// no failed or pending calls: in a network partition that leaves few paths open, gossip must
// find these paths quickly.
func (t *Table) draw(r *rand.Rand, chosen []Entry, fits func(*Entry) bool) []Entry {
	var unresponsive *Entry
	for range maxDraws {
		e := t.entries[t.names[r.IntN(len(t.names))]]
		if e.VM == t.self || e.PeerAddress == "" || !fits(e) || contains(chosen, e.VM) {
			continue
		}
		if e.Failed == 0 && e.Pending == 0 {
			return append(chosen, *e)
		}
		unresponsive = e
	}
	if unresponsive != nil {
		return append(chosen, *unresponsive)
	}
	return chosen
}

func contains(entries []Entry, vm string) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.VM == vm })
}

// ReaderRank returns the rank of the process, from 0, among the live processes of its data
// centre, by the hashes of their VM names. It decides which of them read the platform.
// Processes that know the same live VMs compute the same order.
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
