package outbound

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/drain"
)

// stops is why a process that is about to end refuses requests.
const stops = "the process stops"

// Drain begins the end of the process: callers are told to go elsewhere with their next
// connection, and what cannot be finished in time is refused unsent. A stop that took
// whatever came on open connections gave up what its servers still worked on at its end.
func (o *Outbound) Drain(course drain.Course) {
	o.stop.Store(&course)
}

// admit decides about a request that was read now, whether a stop takes it and for how long.
func (o *Outbound) admit(now time.Time, rq *request) (taken bool) {
	stop := o.stop.Load()
	if stop == nil {
		return true
	}
	rq.deadline, taken = stop.Admit(now, drain.Request{Call: rq.call != nil, Expected: rq.expected(), Deadline: rq.deadline})
	return taken
}

// comeBack tells a caller that is refused while the process stops when the next one is
// likely to be ready: until then it would find nobody here.
func (o *Outbound) comeBack(now time.Time, f *final) {
	if stop := o.stop.Load(); stop != nil && f.outcome == slatewind.OutcomeNotRun {
		f.retryAfter = max(f.retryAfter, stop.BackIn(now))
	}
}

// lastStart bounds until when a request may wait for its slot, so that it can be finished.
func (o *Outbound) lastStart(rq *request, until time.Time) time.Time {
	stop := o.stop.Load()
	if stop == nil {
		return until
	}
	if last := stop.LastStart(rq.expected()); last.Before(until) {
		return last
	}
	return until
}

// outlasts reports whether this process stops and has to wait for an answer longer than the process
// beside a server does, which stops too. That one would cut at its end what this one waits for.
func (o *Outbound) outlasts(now time.Time, rq *request, state *slatewindv1.SlotState) bool {
	stop := o.stop.Load()
	if stop == nil || state.GetLastsMs() == 0 {
		return false
	}
	lasts := time.Duration(state.GetLastsMs()) * time.Millisecond
	return stop.Outlasts(now, lasts) && rq.remaining(now)+answerSlack > lasts
}

// mayStart reports whether a request may be sent to a server now.
func (o *Outbound) mayStart(rq *request) bool {
	stop := o.stop.Load()
	return stop == nil || stop.MayStart(time.Now(), rq.expected())
}
