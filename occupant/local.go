package occupant

import "slatewind.example/slatewind"

// Local decides which server runs at the address beside a process, and whether it is one of the
// process's service. The address of a server that has ended may go to a server of any other service.
// An answer states the name of the server but not its service, so only an entry of the service shows
// that a server belongs to it.
type Local struct {
	service string
	// own holds the entries of the service.
	own Address
	// others holds the entries of other services by name.
	others map[string]slatewind.ServerEntry
	// stranger is the name of the server that answered a request to the current one, if the service
	// has no entry of it.
	stranger string
}

// NewLocal returns a Local for a process beside a server of the named service.
func NewLocal(service string) *Local {
	return &Local{service: service, others: map[string]slatewind.ServerEntry{}}
}

// State is what is known of the server at the address. States can be compared.
type State struct {
	// Entry is the entry of the service's server that is assumed to run at the address, nil if there is none.
	Entry *slatewind.ServerEntry
	// Conflict is the reason why a server of another service, or one that is not known, is assumed to
	// run there instead; empty if none is.
	Conflict string
}

// State returns what is known.
func (l *Local) State() State {
	return State{Entry: l.own.Current(), Conflict: l.conflict()}
}

// Published adds or updates an entry that states the address.
func (l *Local) Published(entry slatewind.ServerEntry) {
	if entry.Service != l.service {
		l.own.Remove(entry.Name)
		l.others[entry.Name] = entry
		return
	}
	delete(l.others, entry.Name)
	before := l.own.Current()
	l.own.Put(entry)
	if l.stranger != "" && l.own.Confirm(l.stranger) || l.own.Current() != before {
		l.stranger = ""
	}
}

// Removed removes the entry of the named server, if it stated the address.
func (l *Local) Removed(name string) {
	before := l.own.Current()
	l.own.Remove(name)
	delete(l.others, name)
	if l.stranger == name || l.own.Current() != before {
		l.stranger = ""
	}
}

// Misdirected records that a request to the server named expected was answered by the server named
// by, which did not run it.
func (l *Local) Misdirected(expected, by string) {
	if current := l.own.Current(); current != nil && current.Name != expected {
		// The answer is older than the current entry.
		return
	}
	if l.own.Confirm(by) {
		l.stranger = ""
		return
	}
	l.stranger = by
}

// conflict returns State.Conflict.
func (l *Local) conflict() string {
	if l.stranger != "" {
		if other, known := l.others[l.stranger]; known {
			return conflictText(other)
		}
		return "another server answers at its address: " + l.stranger
	}
	current := l.own.Current()
	if current == nil || current.Start == 0 {
		return ""
	}
	for _, other := range l.others {
		if other.Start >= current.Start {
			return conflictText(other)
		}
	}
	return ""
}

// conflictText describes a server of another service at the address.
func conflictText(other slatewind.ServerEntry) string {
	return "a server of service " + other.Service + " is running at its address"
}
