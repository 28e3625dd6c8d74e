package inbound

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/occupant"
)

// Published applies the entry of a server at this address, as published by the platform.
func (in *Inbound) Published(now time.Time, entry *slatewind.ServerEntry) {
	in.updateOccupant(now, func(o *occupant.Local) { o.Published(*entry) })
}

// Removed records that the entry of the named server was removed. The server counts as leaving from
// then on.
func (in *Inbound) Removed(now time.Time, name string) {
	in.updateOccupant(now, func(o *occupant.Local) { o.Removed(name) })
}

// updateOccupant changes what is known of the server at the address and applies the change. It locks
// in.mu.
func (in *Inbound) updateOccupant(now time.Time, change func(o *occupant.Local)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	before := in.occupant.State()
	change(in.occupant)
	after := in.occupant.State()
	switch {
	case before == after:
	case after.Conflict != "":
		in.startLeaving(now, after.Conflict)
	case after.Entry == nil:
		in.startLeaving(now, "its entry was removed")
	default:
		in.applyEntry(now, after.Entry)
	}
}

// applyEntry applies the entry of the server that is running here. in.mu must be held.
func (in *Inbound) applyEntry(now time.Time, entry *slatewind.ServerEntry) {
	in.setIdentity(now, entry.Name, entry.Start)
	in.warmup.Stated(now, entry.Warming)
	if in.evacuated && !entry.Evacuated {
		// The server may have lost its caches in the meantime.
		in.warmup.Restarted(now)
	}
	in.evacuated = entry.Evacuated
	if entry.Leaving {
		in.startLeaving(now, "its entry is marked as leaving")
		return
	}
	if in.statedLeaving {
		// The entry may be older than the answer.
		in.startLeaving(now, statedLeavingReason)
		return
	}
	if entry.Evacuated {
		in.startLeaving(now, "its data centre is evacuated")
		return
	}
	in.leavingReason = ""
	in.setSlots(entry.Slots)
	in.deliver(in.slots.Advance(now))
}

// setIdentity records which start of which server is running here. State about the previous start
// is discarded: the breaker, the slots held by its requests, the idle connections and what it stated
// in its answers. in.mu must be held.
func (in *Inbound) setIdentity(now time.Time, name string, start int64) {
	before, after := slatewind.ServerID(in.name, in.start), slatewind.ServerID(name, start)
	if before == after {
		return
	}
	if in.name != "" {
		in.breaker.Reset()
		in.slots.ResetSlots()
		in.pool.CloseIdle()
		in.warmup.Restarted(now)
		in.limit.Reset()
		in.statedLeaving = false
		in.journal.Add(slatewind.Decision{
			Time: now, Kind: slatewind.DecisionMember, Service: in.server.Service, Server: name,
			Reason: "another start of the server is beside this process", Evidence: "before=" + before + " now=" + after,
		})
	}
	in.name, in.start = name, start
}
