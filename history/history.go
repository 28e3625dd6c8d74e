// Package history keeps the latest decisions of a process in bounded memory, so that an operator
// can find out why a server was ejected or a request refused. The oldest entry is overwritten by
// the newest.
package history

import (
	"slices"
	"sync"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/clip"
)

// DefaultEntries is the size of a journal if the settings state none. At about 300 bytes per entry
// this is some 1.2 MB.
const DefaultEntries = 4096

// Journal is a ring buffer of decisions. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	entries []slatewind.Decision
	// next is the index of the entry that is written next; full means that all entries are in use.
	// Both are guarded by mu, as is entries.
	next  int
	full  bool
	onAdd func(slatewind.Decision)
}

// New returns a journal for the given number of entries; zero means DefaultEntries. onAdd is called
// for each added decision unless it is nil.
func New(entries int, onAdd func(slatewind.Decision)) *Journal {
	if entries <= 0 {
		entries = DefaultEntries
	}
	return &Journal{entries: make([]slatewind.Decision, entries), onAdd: onAdd}
}

// Resize changes the number of entries, keeping the newest; zero means DefaultEntries.
func (j *Journal) Resize(entries int) {
	if entries <= 0 {
		entries = DefaultEntries
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if entries == len(j.entries) {
		return
	}
	kept := j.ordered()
	kept = kept[max(len(kept)-entries, 0):]
	j.entries = make([]slatewind.Decision, entries)
	j.next = copy(j.entries, kept) % entries
	j.full = len(kept) == entries
}

// ordered returns all entries, oldest first. The lock is held.
func (j *Journal) ordered() []slatewind.Decision {
	if !j.full {
		return j.entries[:j.next]
	}
	return slices.Concat(j.entries[j.next:], j.entries[:j.next])
}

// Limits on the texts of an entry, in bytes. Names and reasons quote what callers and servers send.
const (
	maxNameBytes     = 256
	maxReasonBytes   = 1 << 10
	maxEvidenceBytes = 16 << 10
)

// bounded returns a decision whose texts are within their limits.
func bounded(d slatewind.Decision) slatewind.Decision {
	d.Service, d.Server, d.Request = clip.Text(d.Service, maxNameBytes), clip.Text(d.Server, maxNameBytes), clip.Text(d.Request, maxNameBytes)
	d.Reason, d.Evidence = clip.Text(d.Reason, maxReasonBytes), clip.Text(d.Evidence, maxEvidenceBytes)
	return d
}

// Add adds a decision, whose texts it shortens if they are too long, and passes it to onAdd, outside of the lock.
func (j *Journal) Add(d slatewind.Decision) {
	d = bounded(d)
	j.mu.Lock()
	j.entries[j.next] = d
	j.next++
	if j.next == len(j.entries) {
		j.next = 0
		j.full = true
	}
	j.mu.Unlock()
	if j.onAdd != nil {
		j.onAdd(d)
	}
}

// Filter selects decisions; empty fields match everything.
type Filter struct {
	Service string
	Server  string
	// Request also matches the calls that a server made while it ran the request.
	Request string
}

// Matches reports whether the filter selects a decision.
func (f Filter) Matches(d slatewind.Decision) bool {
	if f.Service != "" && f.Service != d.Service {
		return false
	}
	if f.Server != "" && f.Server != d.Server {
		return false
	}
	return f.Request == "" || f.Request == d.Request || slatewind.IsNestedCallID(d.Request, f.Request)
}

// Find returns the matching decisions, oldest first.
func (j *Journal) Find(f Filter) []slatewind.Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []slatewind.Decision
	for _, d := range j.ordered() {
		if f.Matches(d) {
			found = append(found, d)
		}
	}
	return found
}
