package inbound

import (
	"fmt"
	"math"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
)

// Units in which states travel.
const (
	percent = 100
	tenths  = 10
)

// state returns what replies tell of the server. The lock is held.
func (in *Inbound) state() *slatewindv1.SlotState {
	now := time.Now()
	judgement := in.judge(now)
	return &slatewindv1.SlotState{
		InUse: uint32(in.slots.InUse()), Queued: uint32(in.slots.Queued()), Slots: uint32(in.slots.Slots()),
		Health:         string(healthOf(judgement.State())),
		Leaving:        in.away != "",
		FailurePercent: uint32(math.Round(percent * (1 - judgement.Share()))), ShedPercent: uint32(math.Round(percent * judgement.Shed())),
		SuspicionTenths: uint32(min(judgement.Suspicion(now), mostTold) * tenths),
		LastsMs:         in.lastsMs(now),
	}
}

// Report returns what the process tells others of the server.
func (in *Inbound) Report() *slatewindv1.ServerReport {
	in.mu.Lock()
	defer in.mu.Unlock()
	return &slatewindv1.ServerReport{
		Server: in.name, StartUnixMillis: in.start, State: in.state(), TrialInMs: uint32(in.breaker.TrialIn(time.Now()).Milliseconds()),
	}
}

// mostTold bounds the suspicion that is told; more says nothing more.
const mostTold = 100

// healthOf translates a breaker's state into the words of the messages, of which
// the most frequent is empty.
func healthOf(state breaker.State) slatewind.ServerState {
	switch state {
	case breaker.StateOpen:
		return slatewind.ServerEjected
	case breaker.StateHalfOpen:
		return slatewind.ServerTrial
	}
	return ""
}

// noteBreaker writes down that the judgement changed; why is for a breaker that
// opened. The lock is held.
func (in *Inbound) noteBreaker(now time.Time, why string) {
	kind := slatewind.DecisionEject
	if in.breaker.State() == breaker.StateClosed {
		kind, why = slatewind.DecisionReturn, "enough trials succeeded"
	}
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: kind, Service: in.server.Service, Server: in.name,
		Reason:   fmt.Sprintf("breaker is %s: %s", in.breaker.State(), why),
		Evidence: fmt.Sprintf("score=%.1f in_use=%d slots=%d", in.breaker.Score(), in.slots.InUse(), in.slots.Slots()),
	})
}

// deliver hands decisions to those who wait for them. The lock is held.
func (in *Inbound) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if d.Action == admission.ActionQueue {
			continue
		}
		if waiter, ok := in.waiting[d.Item.ID]; ok {
			delete(in.waiting, d.Item.ID)
			waiter <- d
		}
	}
}

// offer asks for a slot. It returns a refusal, or the item and the channel on
// which its decision comes; that may be there at once.
func (in *Inbound) offer(now time.Time, r *slatewindv1.Reservation) (admission.Item, *slatewindv1.Refusal, <-chan admission.Decision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.earn(now, r)
	if refusal := in.refuses(now, r); refusal != nil {
		return admission.Item{}, refusal, nil
	}
	in.nextID++
	item := admission.Item{
		ID:       fmt.Sprint(in.nextID),
		Priority: slatewind.PriorityInteractive,
		// Within a rank, the workspace with the fewest requests in slots goes first, so that one
		// that floods does not crowd out the others (package overload, one-workspace-floods).
		Customer: r.GetWorkspace(),
		Rank:     r.GetRank(),
		Begun:    r.GetBegun(),
		// Its slots are held until the requests in them have no time left, up to ten
		// seconds, although the server may be well again.
		Beyond:   !askOf(r).Guarded() && in.breaker.Stuck(in.slots.Slots()),
		Deadline: now.Add(time.Duration(r.GetRemainingMs()) * time.Millisecond),
		StartBy:  now.Add(time.Duration(r.GetPatienceMs()) * time.Millisecond),
	}
	decision := make(chan admission.Decision, 1)
	in.waiting[item.ID] = decision
	in.deliver(in.slots.Offer(now, item))
	return item, nil, decision
}

// earn counts a request towards the bound on extra arrivals when it comes to its first
// server, whatever becomes of it there: the operators' bound counts what callers sent and
// when they did, and a request may wait for its slot into another window. Calls of servers
// earn nothing. The lock is held.
func (in *Inbound) earn(now time.Time, r *slatewindv1.Reservation) {
	if r.GetFirst() && !r.GetBegun() && r.GetService() == in.server.Service {
		in.extras.First(now)
	}
}

// expected returns the identity that a request is sent for: the server's as it is
// known here, since that is newer than the sender's, or else the sender's.
func (in *Inbound) expected(r *slatewindv1.SlotRequest) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.name != "" {
		return in.name
	}
	return r.GetServer()
}

// askOf returns what kind of request a reservation is for.
func askOf(r *slatewindv1.Reservation) breaker.Ask {
	return breaker.Ask{
		Careful: r.GetCareful(), Scarce: r.GetScarce(), LastResort: r.GetLastResort(), Bears: float64(r.GetBearableTenths()) / tenths,
	}
}

// refuses returns why the server may not get a request now, or nil. The lock is
// held.
func (in *Inbound) refuses(now time.Time, r *slatewindv1.Reservation) *slatewindv1.Refusal {
	switch {
	case r.GetService() != in.server.Service:
		return in.refusal(CauseMoved, "the server here belongs to service "+in.server.Service, 0)
	case in.away != "":
		return in.refusal(CauseLeaving, whyLeaving(in.away), 0)
	case in.stop != nil && !in.givesSlots(now, expectedOf(r)):
		return in.refusal(CauseStopping, stops, in.stop.BackIn(now))
	case in.stop != nil && !in.stop.MayLend(now, expectedOf(r)):
		// Shorter requests may still come, so this says nothing of the server.
		return in.refusal(CauseLate, stops, 0)
	case !in.allows(now, askOf(r)):
		return in.refusal(CauseSick, "", in.breaker.RetryAfter(now))
	case r.GetExtra() && !in.extras.Left(now):
		return in.refusal(CauseBudget, "", 0)
	}
	return nil
}

// expectedOf returns how long a request is expected to take.
func expectedOf(r *slatewindv1.Reservation) time.Duration {
	return time.Duration(r.GetExpectedMs()) * time.Millisecond
}

// serverName returns the name of the server that runs here.
func (in *Inbound) serverName() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.name
}

// leaving returns why the server takes no new work, or nothing while it does.
func (in *Inbound) leaving() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.away == "" {
		return ""
	}
	return whyLeaving(in.away)
}

func whyLeaving(reason string) string { return "the server is leaving: " + reason }

// refusal returns a refusal with the server's state. The lock is held.
func (in *Inbound) refusal(cause Cause, reason string, after time.Duration) *slatewindv1.Refusal {
	in.idle.refused[cause]++
	return &slatewindv1.Refusal{Cause: string(cause), Reason: reason, RetryAfterMs: uint32(after.Milliseconds()), State: in.state()}
}

// abandon takes a waiting reservation back, or its slot if it got one meanwhile.
func (in *Inbound) abandon(item admission.Item, decision <-chan admission.Decision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.slots.Remove(item.ID) {
		delete(in.waiting, item.ID)
		return
	}
	if d := <-decision; d.Action == admission.ActionStart {
		in.release(time.Now(), item)
	}
}

// release gives a slot back that no request used. The lock is held.
func (in *Inbound) release(now time.Time, item admission.Item) {
	in.deliver(in.slots.Done(now, item, in.slots.Mean()))
}
