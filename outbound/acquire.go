package outbound

import (
	"context"
	"fmt"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/search"
	"slatewind.example/slatewind/timer"
)

// slotDeadline returns the time until which an attempt that starts now may wait for a slot. An
// attempt after one that a server received, and a nested call, may wait longer (search.MaxSlotWait).
func (rq *request) slotDeadline(now time.Time, retry bool) time.Time {
	return now.Add(search.MaxSlotWait(rq.remaining(now), rq.objective(), retry || rq.call != nil))
}

// grantedSlot is a slot that was granted to a request.
type grantedSlot struct {
	server choice.Candidate
	use    link.Use
	cancel context.CancelFunc
}

// attemptOptions states which servers an attempt may use, and how.
type attemptOptions struct {
	// tried holds the names of the servers to skip.
	tried map[string]bool
	// constraints states whether the attempt may be sent to unhealthy servers.
	constraints breaker.Constraints
	// extra reports that a server has received the request before, or may still receive it.
	extra bool
	// retry reports that a server has received the request and gave no final response.
	retry bool
	// mayRepeat reports that another attempt may follow.
	mayRepeat bool
	// paidUntil is the time until which the process beside the server that failed the last attempt pays for
	// this one.
	paidUntil timer.Instant
	// paid reports that this time has not passed.
	paid bool
	// onSent is called with the name of the server before the request is sent to it.
	onSent func(server string)
}

// slotSearch is one search for a slot. It makes the reservations that search.Search decides on.
type slotSearch struct {
	o      *Outbound
	rq     *request
	opts   attemptOptions
	until  time.Time
	ctx    context.Context
	search *search.Search
	events chan event
	// open holds the reservations without a final reply.
	open map[*pendingReservation]bool
	// lastReason is why the latest reservation failed or the search ended, lastServer the server
	// of that reservation; retryAfter is the shortest time after which a slot may be free.
	lastReason string
	lastServer string
	retryAfter time.Duration
	// refusals counts the refused reservations by cause.
	refusals map[inbound.Cause]int
}

// eventBuffer is the number of replies to reservations that are buffered without blocking the
// goroutines that read them. More replies are rare; their readers block.
const eventBuffer = 8

// acquire searches for a slot for a request until the given time. If it finds none, the result
// states the reason.
func (o *Outbound) acquire(ctx context.Context, rq *request, opts attemptOptions, until time.Time) (*grantedSlot, *requestResult) {
	s := &slotSearch{
		o: o, rq: rq, opts: opts, until: until, ctx: ctx, open: map[*pendingReservation]bool{}, refusals: map[inbound.Cause]int{},
		search: search.New(search.Request{
			Rank: rq.route.GetRank(), Constraints: opts.constraints, Extra: rq.isExtraArrival(opts), Tried: opts.tried, Until: until,
			Scarce: rq.shard.deniedWithin(time.Now(), scarceAfterDenial),
		}),
	}
	defer s.close()
	deadline := time.NewTimer(time.Until(until))
	defer deadline.Stop()
	for {
		slot, over := s.round(deadline.C)
		if slot != nil {
			why := s.unusableReason()
			if why == "" {
				return slot, nil
			}
			s.releaseSlot(slot)
			s.lastReason, over = why, true
		}
		pause, again := s.search.NextRound(time.Now())
		if over || !again || !s.pause(pause) {
			return nil, s.refusal()
		}
	}
}

// pause sleeps for d. It reports false if the request ended or its caller disconnected meanwhile.
func (s *slotSearch) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
	case <-s.rq.callerDone:
	}
	return false
}

// unusableReason returns why a granted slot must not be used, or "" if it may be.
func (s *slotSearch) unusableReason() string {
	switch {
	case s.rq.callerGone():
		return "the caller disconnected"
	case !s.o.mayStart(s.rq):
		return reasonStopping
	case s.rq.remaining(time.Now()) <= 0:
		return "the request's time was over before it was sent"
	case s.o.quarantined(time.Now(), s.rq):
		return string(inbound.CauseQuarantined)
	}
	return ""
}

// releaseSlot releases a granted slot that is not used.
func (s *slotSearch) releaseSlot(slot *grantedSlot) {
	slot.cancel()
	s.rq.shard.update(func(c *choice.Service) { c.Ended(slot.server.ID()) })
}

// reason returns why the search found no slot: the latest refusal and the number of refusals by
// cause.
func (s *slotSearch) reason() string {
	if len(s.refusals) == 0 {
		return s.lastReason
	}
	return fmt.Sprintf("%s (of all refusals: %d full, %d sick, %d leaving, %d stopping, %d moved, %d warming, %d limited, %d budget)", s.lastReason,
		s.refusals[inbound.CauseFull], s.refusals[inbound.CauseUnhealthy], s.refusals[inbound.CauseLeaving],
		s.refusals[inbound.CauseStopping], s.refusals[inbound.CauseMoved], s.refusals[inbound.CauseWarming],
		s.refusals[inbound.CauseLimited], s.refusals[inbound.CauseBudget])
}

// refusal returns the result of a search that found no slot.
func (s *slotSearch) refusal() *requestResult {
	survey := s.rq.shard.survey(time.Now(), s.rq, s.opts, s.search.Asked())
	if s.lastReason == "" {
		s.lastReason = noReply(survey)
	}
	return &requestResult{outcome: slatewind.OutcomeNotRun, reason: s.reason(), server: s.lastServer, retryAfter: s.retryAfter, survey: survey}
}

// noReply returns why a search that received no reply found no slot.
func noReply(survey choice.Survey) string {
	switch {
	case survey.Known == 0:
		return "no server of the service is known"
	case survey.Asked == 0:
		return "no known server of the service may be asked now"
	}
	return "no server that was asked replied in time"
}

// round asks the servers one after another, in ascending order of cost, until one grants a slot. If
// none does, slot is nil, and over reports that another round would be useless.
func (s *slotSearch) round(deadline <-chan time.Time) (slot *grantedSlot, over bool) {
	if s.rq.shard.evacuated() {
		s.lastReason = "all servers of the service are in evacuated data centres"
		return nil, true
	}
	s.opts.constraints, s.opts.paid = s.search.Constraints(), s.paidFor() > 0
	s.search.Begin(s.rq.shard.order(time.Now(), s.rq, s.opts))
	s.events = make(chan event, eventBuffer)
	s.reserveNext()
	silent := time.NewTicker(search.ReplyOverdueAfter)
	defer silent.Stop()
	widen := time.NewTimer(search.WidenAfter(s.rq.objective()))
	defer widen.Stop()
	for len(s.open) > 0 {
		select {
		case e := <-s.events:
			if slot := s.handleReply(e); slot != nil {
				return slot, false
			}
			if s.search.TooManyDenials() {
				return nil, true
			}
		case <-silent.C:
			if !s.o.mayStart(s.rq) {
				s.lastReason = reasonStopping
				return nil, true
			}
			s.reserveNextIf(s.search.ReplyOverdue(time.Now()))
		case <-widen.C:
			s.reserveNextIf(s.search.Widen())
		case <-deadline:
			return nil, true
		case <-s.rq.callerDone:
			s.lastReason = "the caller disconnected"
			return nil, true
		case <-s.ctx.Done():
			return nil, true
		}
	}
	return nil, false
}

// reserveNextIf asks the next server if more is true.
func (s *slotSearch) reserveNextIf(more bool) {
	if more {
		s.reserveNext()
	}
}

// handleReply handles one reply. It returns the slot if one was granted.
func (s *slotSearch) handleReply(e event) *grantedSlot {
	if !s.open[e.pending] {
		return nil
	}
	s.search.Replied(e.pending.reservation)
	switch {
	case e.err != nil:
		s.handleUnreachable(e)
	case e.reply.GetGranted() != nil && !s.rq.shard.acceptsWork(e.pending.server().ID()):
		// The process beside the server may be partitioned and not know that the server is leaving.
		s.declineLeaving(e)
	case e.reply.GetGranted() != nil && s.o.outlasts(time.Now(), s.rq, e.reply.GetGranted()):
		s.declineStopping(e)
	case e.reply.GetGranted() != nil:
		delete(s.open, e.pending)
		s.recordState(e.pending.server().ID(), stateOf(e.reply.GetGranted()))
		return &grantedSlot{server: e.pending.server(), use: e.use, cancel: e.pending.cancel}
	case e.reply.GetQueued() != nil:
		s.recordState(e.pending.server().ID(), stateOf(e.reply.GetQueued()))
		s.reserveNextIf(s.search.Queued(e.pending.reservation))
	default:
		s.handleRefusal(e)
	}
	return nil
}

// close ends all reservations except the granted one. Processes that never replied are avoided for
// a while.
func (s *slotSearch) close() {
	now := time.Now()
	for p := range s.open {
		s.end(p)
		if p.reservation.Unresponsive(now) {
			s.rq.shard.update(func(c *choice.Service) { c.NoReply(now, p.server().ID()) })
		}
	}
}
