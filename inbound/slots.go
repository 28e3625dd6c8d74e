package inbound

import (
	"fmt"
	"math"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/retry"
)

// Units of the fields of slatewindv1.SlotState.
const (
	percent = 100
	tenths  = 10
)

// state returns the server's state as sent in replies. in.mu must be held.
func (in *Inbound) state() *slatewindv1.SlotState {
	now := time.Now()
	current := in.currentBreaker(now)
	return &slatewindv1.SlotState{
		InUse: uint32(in.slots.InUse()), Queued: uint32(in.slots.Queued()), Slots: uint32(in.slots.Slots()),
		Health:         string(healthOf(current.State())),
		Leaving:        in.leavingReason != "",
		FailurePercent: uint32(math.Round(percent * (1 - current.SuccessShare()))), ShedPercent: uint32(math.Round(percent * current.ShedShare())),
		SuspicionTenths: uint32(min(current.Suspicion(now), maxReportedSuspicion) * tenths),
		LastsMs:         in.remainingMs(now),
		RequestLimit:    link.LimitMessage(in.limit.Limit()), RequestLimitUnknown: in.limit.Unknown(),
		StatedLeaving: in.statedLeaving,
	}
}

// Report returns the server's state as published to other processes.
func (in *Inbound) Report() *slatewindv1.ServerReport {
	in.mu.Lock()
	defer in.mu.Unlock()
	return &slatewindv1.ServerReport{
		Server: in.name, StartUnixMillis: in.start, State: in.state(), TrialInMs: uint32(in.breaker.TrialIn(time.Now()).Milliseconds()),
	}
}

// maxReportedSuspicion limits the reported suspicion; greater values carry no further information.
const maxReportedSuspicion = 100

// healthOf converts a breaker's state to its value in messages. A closed breaker, the most
// frequent state, is the empty string.
func healthOf(state breaker.State) slatewind.ServerState {
	switch state {
	case breaker.StateOpen:
		return slatewind.ServerEjected
	case breaker.StateHalfOpen:
		return slatewind.ServerTrial
	}
	return ""
}

// recordBreaker writes a journal entry about a change of the breaker's state; why is the reason if
// it opened. in.mu must be held.
func (in *Inbound) recordBreaker(now time.Time, why string) {
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

// deliver sends decisions to the reservations that await them. in.mu must be held.
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

// memoryRetryAfter is after how long a reservation may come again that was refused for lack of memory.
const memoryRetryAfter = 500 * time.Millisecond

// offer requests a slot. It returns either a refusal, or the item and the channel on which its
// decision is delivered; the decision may already be there.
func (in *Inbound) offer(now time.Time, r *slatewindv1.Reservation) (admission.Item, *slatewindv1.Refusal, <-chan admission.Decision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.earnExtra(now, r)
	in.recordToldLimit(now, r)
	if refusal := in.refusalFor(now, r); refusal != nil {
		return admission.Item{}, refusal, nil
	}
	if in.memory.Guard.Short(in.inFlight) {
		return admission.Item{}, in.refusal(CauseFull, "the process beside the server is short of memory", memoryRetryAfter), nil
	}
	if in.doubts(now, r) {
		return admission.Item{}, in.refusal(CauseUnhealthy, "", 0), nil
	}
	in.nextID++
	item := admission.Item{
		ID:       fmt.Sprint(in.nextID),
		Priority: slatewind.PriorityInteractive,
		// Within a rank, the workspace with the fewest requests in slots goes first, so that a
		// workspace that floods the server does not starve the others (package overload,
		// one-workspace-floods).
		Customer: r.GetWorkspace(),
		Rank:     r.GetRank(),
		Begun:    r.GetBegun(),
		// Requests that hang hold their slots until their deadlines, for up to ten seconds,
		// although the server may have recovered by then.
		Overcommit: !constraintsOf(r).RiskAverse() && in.breaker.Stuck(in.slots.Slots()),
		Deadline:   now.Add(time.Duration(r.GetRemainingMs()) * time.Millisecond),
		StartBy:    now.Add(time.Duration(r.GetPatienceMs()) * time.Millisecond),
	}
	decision := make(chan admission.Decision, 1)
	in.waiting[item.ID] = decision
	in.deliver(in.slots.Offer(now, item))
	return item, nil, decision
}

// doubts reports whether a request that cannot be repeated should rather go to another server, because of the
// latest failures of this one. A request that would have to wait may wait here: more results will have come
// when it gets its slot. in.mu must be held.
func (in *Inbound) doubts(now time.Time, r *slatewindv1.Reservation) bool {
	c := constraintsOf(r)
	return c.Careful && !c.LastResort && in.slots.InUse() < in.slots.Slots() && in.breaker.Doubtful(now)
}

// earnExtra credits a request to the budget of extra attempts when it arrives at the first server
// that is asked, whatever its result there. The operators' limit counts requests at the time at which
// they were sent, and a queued request may start in a later window. Calls of servers are requests like
// any other, except those of extra arrivals. in.mu must be held.
func (in *Inbound) earnExtra(now time.Time, r *slatewindv1.Reservation) {
	if r.GetFirst() && !r.GetRepeat() && r.GetService() == in.server.Service {
		in.extras.RecordFirst(now)
	}
}

// isExtraArrival reports whether the arrival of a request counts against the operators' limit: an attempt
// after the first, or a call made by a run that was itself an extra arrival.
func isExtraArrival(r *slatewindv1.Reservation) bool { return r.GetExtra() || r.GetRepeat() }

// deniesExtra reports whether the budget of extra attempts denies the request. in.mu must be held.
func (in *Inbound) deniesExtra(now time.Time, r *slatewindv1.Reservation) bool {
	switch {
	case r.GetPaidMs() > 0:
		return false
	case r.GetRepeat():
		return !in.extras.LeftForCall(now)
	}
	return r.GetExtra() && !in.extras.Left(now)
}

// payExtra pays for a request that counts against the operators' limit, unless the process beside another
// server has done so. in.mu must be held.
func (in *Inbound) payExtra(now time.Time, r *slatewindv1.Reservation) retry.Payment {
	switch {
	case r.GetPaidMs() > 0:
		return retry.PaidNothing
	case r.GetRepeat():
		return in.extras.TakeCall(now)
	case r.GetExtra():
		return in.extras.Take(now)
	}
	return retry.PaidNothing
}

// expectedServer returns the server name that a request is addressed to: the name known here,
// which is more recent than the sender's, or the sender's if none is known. Both are from entries of
// the request's service.
func (in *Inbound) expectedServer(r *slatewindv1.SlotRequest) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.name != "" {
		return in.name
	}
	return r.GetServer()
}

// constraintsOf returns the constraints that the breaker applies to the request of a reservation.
func constraintsOf(r *slatewindv1.Reservation) breaker.Constraints {
	return breaker.Constraints{
		Careful: r.GetCareful(), Scarce: r.GetScarce(), LastResort: r.GetLastResort(), MaxSuspicion: float64(r.GetBearableTenths()) / tenths,
	}
}

// refusalFor returns the refusal of a reservation, or nil if the server may get the request now.
// in.mu must be held.
func (in *Inbound) refusalFor(now time.Time, r *slatewindv1.Reservation) *slatewindv1.Refusal {
	switch {
	case r.GetService() != in.server.Service:
		return in.refusal(CauseMoved, "the server here belongs to service "+in.server.Service, 0)
	case in.leavingReason != "":
		return in.refusal(CauseLeaving, leavingText(in.leavingReason), 0)
	case in.shutdown != nil && !in.grantsSlot(now, expectedTime(r)):
		return in.refusal(CauseStopping, stoppingReason, in.shutdown.RetryAfter(now))
	case in.shutdown != nil && !in.shutdown.MayGrant(now, expectedTime(r)):
		// Shorter requests may still be granted, so the whole server is not reported as stopping.
		return in.refusal(CauseLate, stoppingReason, 0)
	case in.overcommitted() && in.mayOutlast(now, r):
		return in.refusal(CauseLate, stoppingReason, 0)
	case !in.allows(now, constraintsOf(r)):
		return in.refusal(CauseUnhealthy, "", in.breaker.RetryAfter(now))
	case in.deniesExtra(now, r):
		return in.refusal(CauseBudget, "", 0)
	}
	if wait := in.warmup.Wait(now); wait > 0 {
		return in.refusal(CauseWarming, "the server warms up", wait)
	}
	if wait := in.limit.Wait(now); wait > 0 {
		return in.refusal(CauseLimited, in.limitText(), wait)
	}
	return nil
}

// expectedTime returns the expected service time of a request.
func expectedTime(r *slatewindv1.Reservation) time.Duration {
	return time.Duration(r.GetExpectedMs()) * time.Millisecond
}

// serverName returns the name of the server that is running here.
func (in *Inbound) serverName() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.name
}

// leaving returns the reason why the server accepts no new requests, or an empty string if it
// does.
func (in *Inbound) leaving() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.leavingReason == "" {
		return ""
	}
	return leavingText(in.leavingReason)
}

func leavingText(reason string) string { return "the server is leaving: " + reason }

// refusal returns a refusal with the server's state and counts it. in.mu must be held.
func (in *Inbound) refusal(cause Cause, reason string, after time.Duration) *slatewindv1.Refusal {
	in.idle.refused[cause]++
	return &slatewindv1.Refusal{Cause: string(cause), Reason: reason, RetryAfterMs: uint32(after.Milliseconds()), State: in.state()}
}

// cancelReservation removes a queued reservation, or releases its slot if it has got one in the
// meantime.
func (in *Inbound) cancelReservation(item admission.Item, decision <-chan admission.Decision) {
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

// release releases a slot that no request used. in.mu must be held.
func (in *Inbound) release(now time.Time, item admission.Item) {
	in.deliver(in.slots.Done(now, item, in.slots.Mean()))
}
