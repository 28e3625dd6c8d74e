// Package occupant decides which of the servers whose entries state the same address is running
// there.
//
// Only one server can run at an address, but several entries may state it for a while. A server that
// has crashed keeps its entry until that expires, its last write may arrive after the first one of the
// next server, and the entries of a full list come in no useful order. Entries that are not in use are
// kept, since an entry that does not change is not received again.
package occupant

import (
	"slices"

	"slatewind.example/slatewind"
)

// maxReplaced is the number of replaced servers that an address remembers. The write of a server that
// ended arrives seconds late, not after several further servers.
const maxReplaced = 4

// Address holds the entries that state one address. The zero value has none.
type Address struct {
	// current is the entry of the server that is assumed to run here; nil if there are no entries.
	current *slatewind.ServerEntry
	waiting []*slatewind.ServerEntry
	// replaced holds the IDs of servers in whose place others came, oldest first.
	replaced []string
}

// Current returns the entry of the server that is assumed to run at the address, or nil if there are
// no entries. Each Put of an entry that is in use changes the pointer.
func (a *Address) Current() *slatewind.ServerEntry { return a.current }

// Put adds or updates an entry.
func (a *Address) Put(entry slatewind.ServerEntry) {
	a.waiting = slices.DeleteFunc(a.waiting, named(entry.Name))
	switch {
	case a.current == nil:
		a.current = &entry
	case a.current.Name == entry.Name:
		if entry.Start >= a.current.Start {
			a.current = &entry
		}
	case a.follows(&entry, a.current):
		a.replace(&entry)
	default:
		a.waiting = append(a.waiting, &entry)
	}
}

// Remove removes the entry of the named server. If it was in use, another one takes its place.
func (a *Address) Remove(name string) {
	a.waiting = slices.DeleteFunc(a.waiting, named(name))
	if a.current == nil || a.current.Name != name {
		return
	}
	a.current = nil
	for _, entry := range a.waiting {
		if a.current == nil || a.follows(entry, a.current) {
			a.current = entry
		}
	}
	if a.current != nil {
		a.waiting = slices.DeleteFunc(a.waiting, named(a.current.Name))
	}
}

// Confirm records that the named server answered at the address. It returns false if the address has no
// entry of that server.
func (a *Address) Confirm(name string) bool {
	if a.current != nil && a.current.Name == name {
		return true
	}
	i := slices.IndexFunc(a.waiting, named(name))
	if i < 0 {
		return false
	}
	entry := a.waiting[i]
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.replace(entry)
	return true
}

// replace puts an entry in use in place of the current one.
func (a *Address) replace(entry *slatewind.ServerEntry) {
	a.waiting = append(a.waiting, a.current)
	a.replaced = append(a.replaced, a.current.ID())
	if len(a.replaced) > maxReplaced {
		a.replaced = slices.Delete(a.replaced, 0, 1)
	}
	a.current = entry
}

// follows reports whether the server of entry came in the place of that of before. If their starts
// are not known to differ, a server that was replaced does not return, and the entry that was created
// later is that of the later server.
func (a *Address) follows(entry, before *slatewind.ServerEntry) bool {
	switch {
	case entry.Start != before.Start:
		return entry.Start > before.Start
	case slices.Contains(a.replaced, entry.ID()):
		return false
	case entry.Created != 0 && before.Created != 0 && entry.Created != before.Created:
		return entry.Created > before.Created
	}
	return true
}

// named returns a function that reports whether an entry is that of the named server.
func named(name string) func(*slatewind.ServerEntry) bool {
	return func(entry *slatewind.ServerEntry) bool { return entry.Name == name }
}
