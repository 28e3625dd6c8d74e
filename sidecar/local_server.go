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

// localServer is the state of one server of the VM.
type localServer struct {
	service string
	name    string

	// mu guards the fields below, except crashes, which is set once.
	mu       sync.Mutex
	address  string
	probe    *probe
	slots    *admission.Server
	attempts *attempt.Table
	outcomes *outlier.Outcomes
	waiting  map[string]chan admission.Decision
	// cancels holds the cancel functions of running attempts that may be aborted,
	// by attempt ID.
	cancels map[string]context.CancelFunc
	leaving string
	// drained is when the server last reported that it is draining.
	drained time.Time
	// crashes detects crashes of the server.
	crashes *crash.Detector
	// clock includes the time during which the VM was suspended; lastTick is read
	// from it.
	clock    timer.Clock
	lastTick timer.Instant
	// digests counts the digests issued; it is their serial number.
	digests uint64
}

func newLocalServer(now time.Time, service string, server *slatewindv1.Server, incarnation uint64, limit int) *localServer {
	ls := &localServer{
		service:  service,
		name:     server.GetName(),
		slots:    admission.NewServer(int(server.GetSlots())),
		attempts: attempt.NewTable(now, incarnation, limit),
		outcomes: outlier.NewOutcomes(),
		waiting:  map[string]chan admission.Decision{},
		cancels:  map[string]context.CancelFunc{},
		probe:    &probe{},
	}
	ls.lastTick = ls.clock.Now()
	return ls
}

func (ls *localServer) update(service *slatewindv1.Service, server *slatewindv1.Server) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.address = server.GetAddress()
	ls.slots.SetSlots(int(server.GetSlots()))
	ls.probe.interval = service.GetProbeInterval().AsDuration()
	ls.probe.path = service.GetProbePath()
}

func (ls *localServer) serverAddress() string {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.address
}

// isLeaving reports whether the server accepts no new work.
func (ls *localServer) isLeaving() bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.leaving != ""
}

// refusal is why an attempt was refused; the attempt provably did not run.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// admit records the arrival of an attempt and returns attempt.Admitted or why it is refused.
func (ls *localServer) admit(now time.Time, id string, incarnation uint64) attempt.Refusal {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.checkPause(now)
	return ls.attempts.Admit(id, incarnation)
}

// checkPause begins a new incarnation if the process was paused since the last
// tick, since attempts that arrive now may have been sent before the pause. The
// caller holds mu.
func (ls *localServer) checkPause(now time.Time) {
	if ls.clock.Since(ls.lastTick) > pauseThreshold {
		ls.attempts.Wake(now)
		ls.lastTick = ls.clock.Now()
	}
}

// offer requests a slot and returns the channel for the decision. A leaving
// server grants no slot, but its once-records are still consulted before.
func (ls *localServer) offer(now time.Time, it admission.Item) <-chan admission.Decision {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	decision := make(chan admission.Decision, 1)
	ls.waiting[it.ID] = decision
	if ls.leaving != "" {
		reason := "the server is leaving: " + ls.leaving
		ls.deliver([]admission.Decision{{Item: it, Action: admission.ActionRefuse, Reason: reason}})
		return decision
	}
	ls.deliver(ls.slots.Offer(now, it))
	return decision
}

// deliver sends decisions to the attempts that wait for them. The caller holds
// mu.
func (ls *localServer) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if decision.Action == admission.ActionQueue {
			continue
		}
		if decision.Action == admission.ActionRefuse {
			ls.attempts.Refuse(decision.Item.ID)
		}
		if waiter, ok := ls.waiting[decision.Item.ID]; ok {
			delete(ls.waiting, decision.Item.ID)
			waiter <- decision
		}
	}
}

// abandon removes a waiting attempt from the queue. It returns false if the
// attempt is no longer queued; the decision is then in its channel.
func (ls *localServer) abandon(id string) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if !ls.slots.Remove(id) {
		return false
	}
	delete(ls.waiting, id)
	ls.attempts.Refuse(id)
	return true
}

// begin is the last check before an attempt that holds a slot is sent to the
// server. It returns nil if the attempt may be sent, and records its start. After a
// refusal the caller releases the slot.
func (ls *localServer) begin(now time.Time, id string, class uint8, deadline time.Time, cancel context.CancelFunc) *refusal {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.checkPause(now)
	switch {
	case !now.Before(deadline):
		ls.attempts.Refuse(id)
		return &refusal{reason: "the request timed out before the start"}
	case !ls.attempts.Start(id):
		return &refusal{reason: "cancelled before the start"}
	}
	ls.outcomes.Start(now, id, class)
	if cancel != nil {
		ls.cancels[id] = cancel
	}
	return nil
}

// refuseAttempt records that an admitted attempt was answered without being run.
func (ls *localServer) refuseAttempt(id string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.attempts.Refuse(id)
}

// release returns an unused slot.
func (ls *localServer) release(now time.Time, it admission.Item) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.deliver(ls.slots.Done(now, it, ls.slots.Mean()))
}

// end records the outcome of a started attempt and returns its slot.
func (ls *localServer) end(now time.Time, it admission.Item, result slatewind.Result) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.cancels, it.ID)
	ls.attempts.End(it.ID)
	took := ls.outcomes.End(now, it.ID, result)
	ls.deliver(ls.slots.Done(now, it, took))
}

// cancel prevents an attempt from being started and returns whether it was started
// before, or CancelUnknown (see attempt.Table.Cancel). A
// running attempt is aborted unless it is of a once-request.
func (ls *localServer) cancel(now time.Time, id string, incarnation uint64) slatewind.CancelState {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.checkPause(now)
	if ls.slots.Remove(id) {
		if waiter, ok := ls.waiting[id]; ok {
			delete(ls.waiting, id)
			waiter <- admission.Decision{Action: admission.ActionRefuse, Reason: "cancelled while waiting for a slot"}
		}
	}
	state := ls.attempts.Cancel(id, incarnation)
	if cancel, ok := ls.cancels[id]; ok {
		cancel()
	}
	return state
}

func (ls *localServer) leave(reason string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.leaving != "" {
		return
	}
	ls.leaving = reason
	ls.deliver(ls.slots.RefuseAll("the server is leaving: " + reason))
}

// drain records that the server reported that it is draining.
func (ls *localServer) drain(now time.Time) {
	ls.mu.Lock()
	ls.drained = now
	ls.mu.Unlock()
	ls.leave(drainReason)
}

// cancelDrain ends a drain that the server reported, unless it did so after a time.
func (ls *localServer) cancelDrain(after time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.leaving == drainReason && !ls.drained.After(after) {
		ls.leaving = ""
	}
}

func (ls *localServer) inUse() int {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.slots.InUse()
}

func (ls *localServer) tick(now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.checkPause(now)
	ls.lastTick = ls.clock.Now()
	ls.attempts.Rotate(now)
	ls.deliver(ls.slots.Advance(now))
	ls.outcomes.Tick(now)
}

func (ls *localServer) incarnation() uint64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.attempts.Incarnation()
}

// digest returns the server's digest for other processes, with or without its
// latest outcomes.
func (ls *localServer) digest(outcomes bool) *slatewindv1.Digest {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.digests++
	digest := &slatewindv1.Digest{
		Serial:      ls.digests,
		Service:     ls.service,
		Server:      ls.name,
		Incarnation: ls.attempts.Incarnation(),
		InFlight:    uint32(ls.slots.InUse()),
		Queued:      uint32(ls.slots.Queued()),
		Slots:       uint32(ls.slots.Slots()),
		Leaving:     ls.leaving != "",
		Sequence:    ls.outcomes.Sequence(),
	}
	if outcomes {
		digest.Outcomes = ls.outcomes.Newest(nil)
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

func (ls *localServer) view() DoorView {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return DoorView{
		Server:      ls.name,
		Address:     ls.address,
		Slots:       ls.slots.Slots(),
		InUse:       ls.slots.InUse(),
		Queued:      ls.slots.Queued(),
		Leaving:     ls.leaving,
		Incarnation: ls.attempts.Incarnation(),
		Attempts:    ls.attempts.Len(),
		Outcomes:    ls.outcomes.Sequence(),
	}
}
