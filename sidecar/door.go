package sidecar

import (
	"context"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/attempt"
	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/timer"
)

// door is the state of one server: a shard with its own lock.
type door struct {
	service string
	name    string

	mu       sync.Mutex
	address  string
	probe    *probe
	slots    *admission.Server
	attempts *attempt.Table
	outcomes *outlier.Outcomes
	waiting  map[string]chan admission.Decision
	// breaks ends running requests that may be broken off, by attempt.
	breaks  map[string]context.CancelFunc
	leaving string
	// crashes finds the ends of the server.
	crashes *crash.Detector
	// clock counts the time too in which the VM was suspended, lastTick is by it.
	clock    timer.Clock
	lastTick timer.Instant
	// told counts the digests that were given out.
	told uint64
}

func newDoor(now time.Time, service string, server *slatewindv1.Server, incarnation uint64, limit int) *door {
	d := &door{
		service:  service,
		name:     server.GetName(),
		slots:    admission.NewServer(int(server.GetSlots())),
		attempts: attempt.NewTable(now, incarnation, limit),
		outcomes: outlier.NewOutcomes(),
		waiting:  map[string]chan admission.Decision{},
		breaks:   map[string]context.CancelFunc{},
		probe:    &probe{},
	}
	d.lastTick = d.clock.Now()
	return d
}

func (d *door) update(service *slatewindv1.Service, server *slatewindv1.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.address = server.GetAddress()
	d.slots.SetSlots(int(server.GetSlots()))
	d.probe.interval = service.GetProbeInterval().AsDuration()
	d.probe.path = service.GetProbePath()
}

func (d *door) serverAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// isLeaving reports whether the server takes no new work.
func (d *door) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving != ""
}

// refusal is why a door sends a request away, proved not to have run.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// admit notes the arrival of an attempt.
func (d *door) admit(now time.Time, id string, incarnation uint64) attempt.Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkAwake(now)
	return d.attempts.Admit(id, incarnation)
}

// checkAwake begins a new incarnation if the process was paused since the last
// tick: what arrives now may have been sent before the pause.
func (d *door) checkAwake(now time.Time) {
	if d.clock.Since(d.lastTick) > awakeBound {
		d.attempts.Wake(now)
		d.lastTick = d.clock.Now()
	}
}

// offer asks for a slot; the channel gives the decision. A leaving server gives
// none, but its records are still asked before.
func (d *door) offer(now time.Time, it admission.Item) <-chan admission.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision := make(chan admission.Decision, 1)
	d.waiting[it.ID] = decision
	if d.leaving != "" {
		reason := "the server is leaving: " + d.leaving
		d.deliver([]admission.Decision{{Item: it, Action: admission.ActionRefuse, Reason: reason}})
		return decision
	}
	d.deliver(d.slots.Offer(now, it))
	return decision
}

// deliver hands decisions to those who wait for them.
func (d *door) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if decision.Action == admission.ActionQueue {
			continue
		}
		if decision.Action == admission.ActionRefuse {
			d.attempts.Refuse(decision.Item.ID)
		}
		if waiter, ok := d.waiting[decision.Item.ID]; ok {
			delete(d.waiting, decision.Item.ID)
			waiter <- decision
		}
	}
}

// abandon takes a waiting attempt back. It reports false if the attempt got a
// slot meanwhile; the decision is then in its channel.
func (d *door) abandon(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.slots.Remove(id) {
		return false
	}
	delete(d.waiting, id)
	d.attempts.Refuse(id)
	return true
}

// begin is the last check before a server gets an attempt that has a slot.
func (d *door) begin(now time.Time, id string, class uint8, deadline time.Time, cancel context.CancelFunc) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkAwake(now)
	switch {
	case !now.Before(deadline):
		d.attempts.Refuse(id)
		return &refusal{reason: "its time was over before the start"}
	case !d.attempts.Start(id):
		return &refusal{reason: "cancelled before the start"}
	}
	d.outcomes.Start(now, id, class)
	if cancel != nil {
		d.breaks[id] = cancel
	}
	return nil
}

// refuseAttempt notes that an admitted attempt was answered without a run.
func (d *door) refuseAttempt(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts.Refuse(id)
}

// release gives a slot back that was not used.
func (d *door) release(now time.Time, it admission.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.slots.Done(now, it, d.slots.Mean()))
}

// end notes the outcome of a started attempt and gives its slot back.
func (d *door) end(now time.Time, it admission.Item, result slatewind.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.breaks, it.ID)
	d.attempts.End(it.ID)
	took := d.outcomes.End(now, it.ID, result)
	d.deliver(d.slots.Done(now, it, took))
}

// cancel makes sure that an attempt is not started from now on; one that runs
// already is broken off where that does no harm.
func (d *door) cancel(now time.Time, id string, incarnation uint64) slatewind.CancelState {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkAwake(now)
	if d.slots.Remove(id) {
		if waiter, ok := d.waiting[id]; ok {
			delete(d.waiting, id)
			waiter <- admission.Decision{Action: admission.ActionRefuse, Reason: "cancelled while it waited"}
		}
	}
	state := d.attempts.Cancel(id, incarnation)
	if breakOff, ok := d.breaks[id]; ok {
		breakOff()
	}
	return state
}

func (d *door) leave(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving != "" {
		return
	}
	d.leaving = reason
	d.deliver(d.slots.RefuseAll("the server is leaving: " + reason))
}

// stay ends a drain that the server itself had asked for.
func (d *door) stay(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving == reason {
		d.leaving = ""
	}
}

func (d *door) inUse() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots.InUse()
}

func (d *door) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkAwake(now)
	d.lastTick = d.clock.Now()
	d.attempts.Rotate(now)
	d.deliver(d.slots.Advance(now))
	d.outcomes.Tick(now)
}

func (d *door) incarnation() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.attempts.Incarnation()
}

// digest is what the sidecar tells of the server, with or without its newest
// outcomes.
func (d *door) digest(outcomes bool) *slatewindv1.Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told++
	digest := &slatewindv1.Digest{
		Serial:      d.told,
		Service:     d.service,
		Server:      d.name,
		Incarnation: d.attempts.Incarnation(),
		InFlight:    uint32(d.slots.InUse()),
		Queued:      uint32(d.slots.Queued()),
		Slots:       uint32(d.slots.Slots()),
		Leaving:     d.leaving != "",
		Sequence:    d.outcomes.Sequence(),
	}
	if outcomes {
		digest.Outcomes = d.outcomes.Newest(nil)
	}
	return digest
}

// DoorView is one server in a state dump.
type DoorView struct {
	Server      string `json:"server"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	InUse       int    `json:"in_use"`
	Queued      int    `json:"queued"`
	Leaving     string `json:"leaving,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Attempts    int    `json:"attempts_remembered"`
	Outcomes    uint64 `json:"outcomes"`
}

func (d *door) view() DoorView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return DoorView{
		Server:      d.name,
		Address:     d.address,
		Slots:       d.slots.Slots(),
		InUse:       d.slots.InUse(),
		Queued:      d.slots.Queued(),
		Leaving:     d.leaving,
		Incarnation: d.attempts.Incarnation(),
		Attempts:    d.attempts.Len(),
		Outcomes:    d.outcomes.Sequence(),
	}
}
