package inbound

import (
	"time"

	"slatewind.example/slatewind"
)

// Published applies the entry of a server at this address, as published by the platform.
func (in *Inbound) Published(now time.Time, entry *slatewind.ServerEntry) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.published(now, entry)
}

// published is Published with in.mu held.
func (in *Inbound) published(now time.Time, entry *slatewind.ServerEntry) {
	if entry.Start < in.start && !in.entryRemoved {
		if entry.Name != in.name {
			in.olderEntry = entry
		}
		return
	}
	if entry.Service != in.server.Service && in.start != 0 {
		in.startLeaving(now, "a server of service "+entry.Service+" is running at its address")
		return
	}
	in.entryRemoved = false
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

// Removed records that the entry of the named server was removed. The server counts as leaving from
// then on.
func (in *Inbound) Removed(now time.Time, name string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.olderEntry != nil && in.olderEntry.Name == name {
		in.olderEntry = nil
	}
	if name != in.name {
		return
	}
	in.entryRemoved = true
	in.startLeaving(now, "its entry was removed")
	if next := in.olderEntry; next != nil {
		// The clocks of VMs differ, so this server may have started later in spite of its smaller
		// start time.
		in.olderEntry = nil
		in.published(now, next)
	}
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
