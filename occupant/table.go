package occupant

import "slatewind.example/slatewind"

// Change is what an update of a Table changes about the servers in use.
type Change struct {
	// Ended are the entries that are no longer in use, Used those that are in use anew or were updated.
	Ended, Used []slatewind.ServerEntry
}

// Table holds the entries of many servers and decides for each address which of them is in use.
type Table struct {
	addresses map[string]*Address
	// byName holds the address of each server that has an entry.
	byName map[string]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{addresses: map[string]*Address{}, byName: map[string]string{}}
}

// Put adds or updates an entry.
func (t *Table) Put(entry slatewind.ServerEntry) (change Change) {
	if at, known := t.byName[entry.Name]; known && at != entry.Address {
		change = t.Remove(entry.Name)
	}
	a := t.addresses[entry.Address]
	if a == nil {
		a = &Address{}
		t.addresses[entry.Address] = a
	}
	t.byName[entry.Name] = entry.Address
	before := a.Current()
	a.Put(entry)
	change.add(before, a.Current())
	return change
}

// Remove removes the entry of the named server.
func (t *Table) Remove(name string) (change Change) {
	at, known := t.byName[name]
	if !known {
		return change
	}
	delete(t.byName, name)
	a := t.addresses[at]
	before := a.Current()
	a.Remove(name)
	change.add(before, a.Current())
	if a.Current() == nil {
		delete(t.addresses, at)
	}
	return change
}

// InUse returns the entry of the named server if it is in use, or nil.
func (t *Table) InUse(name string) *slatewind.ServerEntry {
	a := t.addresses[t.byName[name]]
	if a == nil || a.Current().Name != name {
		return nil
	}
	return a.Current()
}

// Len returns the number of servers in use.
func (t *Table) Len() int { return len(t.addresses) }

// add adds the change of an address whose entry in use was before and is after; nil means none.
func (c *Change) add(before, after *slatewind.ServerEntry) {
	if before == after {
		return
	}
	if before != nil && (after == nil || before.ID() != after.ID() || before.Service != after.Service) {
		c.Ended = append(c.Ended, *before)
	}
	if after != nil {
		c.Used = append(c.Used, *after)
	}
}
