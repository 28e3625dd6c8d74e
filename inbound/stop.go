package inbound

import (
	"math"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/drain"
)

// Drain starts the graceful shutdown of the process. The server itself is healthy, so its slots
// are granted for as long as the schedule admits requests; otherwise the server would be idle
// during the whole shutdown. callers reports whether requests of callers are in flight in this
// process.
func (in *Inbound) Drain(schedule drain.Schedule, callers func() bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.shutdown == nil {
		in.shutdown, in.callersInFlight = &schedule, callers
		in.recordLeaving(schedule.Began, stoppingReason)
	}
}

// stoppingReason is the reason in refusals of a process that is about to exit.
const stoppingReason = "the process beside the server stops"

// refuseQueued refuses the queued reservations when the shutdown stops admission, and later
// whenever it grants no slots. in.mu must be held.
func (in *Inbound) refuseQueued(now time.Time) {
	if in.shutdown == nil || in.shutdown.Open(now) || in.queueRefused && in.grantsSlot(now, 0) {
		return
	}
	in.queueRefused = true
	in.deliver(in.slots.RefuseAll(stoppingReason))
}

// maxStoppingSuspicion is the highest suspicion of the server at which slots are granted after
// the shutdown has stopped admission. A healthy server exceeds it one twelfth of the time.
const maxStoppingSuspicion = 2.5

// grantsSlot reports whether the shutdown still grants a slot to a request with the given
// expected service time. After admission has stopped, a server that appears unhealthy gets none,
// since requests that it does not complete are cut off when the process exits. in.mu must be
// held and in.shutdown must be set.
func (in *Inbound) grantsSlot(now time.Time, expected time.Duration) bool {
	if in.shutdown.Open(now) {
		return true
	}
	well := in.currentBreaker(now).Allow(now, breaker.Constraints{Careful: true, MaxSuspicion: maxStoppingSuspicion})
	return well && in.shutdown.GrantsSlot(now, expected, in.pendingWork())
}

// End ends all runs in progress, and those that still begin: their senders are told that the outcome
// is unknown. It is called just before the process exits.
func (in *Inbound) End() {
	in.end()
}

// overcommitted reports whether more requests hold slots than the server has. in.mu must be held.
func (in *Inbound) overcommitted() bool { return in.slots.InUse() > in.slots.Slots() }

// mayOutlast reports whether the deadline of a request lies after the end of this process. in.mu must
// be held.
func (in *Inbound) mayOutlast(now time.Time, r *slatewindv1.Reservation) bool {
	remaining := time.Duration(r.GetRemainingMs()) * time.Millisecond
	return in.shutdown != nil && now.Add(remaining).After(in.shutdown.PeersEnd())
}

// pendingWork returns the work that delays the exit of the process: the server's requests granted
// before admission stopped, and the requests of callers, which count as one. in.mu must be held.
func (in *Inbound) pendingWork() drain.Work {
	held := in.beforeClose
	if in.callersInFlight() {
		held++
	}
	return drain.Work{Held: held, Mean: in.slots.Mean()}
}

// timeLeft returns how long the server may work on a request that starts now. During a shutdown,
// an answer that arrives too late would be lost when the process exits; the time after timeLeft is
// for servers that answer late.
func (in *Inbound) timeLeft(now time.Time) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.shutdown == nil {
		return math.MaxInt64
	}
	return in.shutdown.LastAnswer().Sub(now)
}

// remainingMs returns how long the process still waits for answers, in milliseconds as published to
// other processes: at least 1 during a shutdown, otherwise 0. in.mu must be held.
func (in *Inbound) remainingMs(now time.Time) uint32 {
	if in.shutdown == nil {
		return 0
	}
	return uint32(max(in.shutdown.RemainingWait(now).Milliseconds(), 1))
}

// InFlight returns the number of reservations without a final reply. Besides those that hold a slot,
// these are the queued ones and those whose short answer is still being sent: it is sent after the
// slot was released.
func (in *Inbound) InFlight() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.inFlight
}

// trackInFlight counts the reservation as in flight.
func (u *use) trackInFlight() {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.in.inFlight++
}

// recordGrant records that the reservation got its slot. in.mu must be held.
func (u *use) recordGrant() {
	if u.in.shutdown == nil || u.in.shutdown.Open(u.granted) {
		u.beforeClose = true
		u.in.beforeClose++
	}
}

// untrackInFlight no longer counts the reservation as in flight.
func (u *use) untrackInFlight() {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.in.inFlight--
	if u.beforeClose {
		u.in.beforeClose--
	}
}
