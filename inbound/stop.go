package inbound

import (
	"math"
	"time"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/drain"
)

// Drain begins the end of the process. The server is well, so its slots are given out as
// long as the stop is open; else it would be without work for the whole stop.
// callers reports whether the process has requests of callers in hand.
func (in *Inbound) Drain(course drain.Course, callers func() bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stop == nil {
		in.stop, in.callers = &course, callers
		in.noteLeaving(course.Began, stops)
	}
}

// stops is why a process that is about to end refuses reservations.
const stops = "the process beside the server stops"

// closeInTime refuses what waits for a slot when the stop closes, and while it gives out none. The
// lock is held.
func (in *Inbound) closeInTime(now time.Time) {
	if in.stop == nil || in.stop.Open(now) || in.closed && in.givesSlots(now, 0) {
		return
	}
	in.closed = true
	in.deliver(in.slots.RefuseAll(stops))
}

// lentBears is how much suspicion of the server is borne where a closed stop lends its slots.
// One in twelve moments of a well server shows more.
const lentBears = 2.5

// givesSlots reports whether the stop gives a slot to a request that is expected to take so long. A
// closed one lends none of a server that looks sick: what that does not finish is cut by the end of
// the process. The lock is held.
func (in *Inbound) givesSlots(now time.Time, expected time.Duration) bool {
	if in.stop.Open(now) {
		return true
	}
	well := in.judge(now).Allow(now, breaker.Ask{Careful: true, Bears: lentBears})
	return well && in.stop.GivesSlots(now, expected, in.work())
}

// work returns what holds the stop: the server's requests from before its close, and the callers'.
// The lock is held.
func (in *Inbound) work() drain.Work {
	held := in.early
	if in.callers() {
		held++
	}
	return drain.Work{Held: held, Mean: in.slots.Mean()}
}

// timeLeft returns how long the server may work on a request that begins now: where the process
// stops, an answer that comes too late would be lost with it.
func (in *Inbound) timeLeft(now time.Time) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stop == nil {
		return math.MaxInt64
	}
	return in.stop.LastAnswer().Sub(now)
}

// lastsMs is how long the process still waits for answers, as it is told to others. The lock is
// held.
func (in *Inbound) lastsMs(now time.Time) uint32 {
	if in.stop == nil {
		return 0
	}
	return uint32(max(in.stop.Lasts(now).Milliseconds(), 1))
}

// InHand returns how many reservations have no final reply yet. One whose request has run
// frees its slot before the answer is on its way.
func (in *Inbound) InHand() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.inHand
}

// begin counts a reservation as in hand.
func (u *use) begin() {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.in.inHand++
}

// noteGranted notes that the reservation got its slot. The lock is held.
func (u *use) noteGranted() {
	if u.in.stop == nil || u.in.stop.Open(u.granted) {
		u.early = true
		u.in.early++
	}
}

// finish counts a reservation as in hand no longer.
func (u *use) finish() {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.in.inHand--
	if u.early {
		u.in.early--
	}
}
