package outbound

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/drain"
)

// reasonStopping is the reason with which a process that is shutting down refuses requests.
const reasonStopping = "the process stops"

// Drain starts the graceful shutdown: connections to callers are closed after their current request,
// and requests that cannot be finished in time are refused without being sent. If every
// request on an open connection were accepted, those that servers are still working on at the end
// would be cut off.
func (o *Outbound) Drain(schedule drain.Schedule) {
	o.stop.Store(&schedule)
}

// admit reports whether a request that has just been read is accepted, given any shutdown in
// progress. It may shorten the request's deadline.
func (o *Outbound) admit(now time.Time, rq *request) (taken bool) {
	stop := o.stop.Load()
	if stop == nil {
		return true
	}
	rq.deadline, taken = stop.Admit(now, drain.Request{Call: rq.call != nil, Expected: rq.expected(), Deadline: rq.deadline})
	return taken
}

// setRetryAfter tells a caller that is refused during a shutdown when the next process is likely to
// be ready, since earlier retries would find no process here.
func (o *Outbound) setRetryAfter(now time.Time, f *requestResult) {
	if stop := o.stop.Load(); stop != nil && f.outcome == slatewind.OutcomeNotRun {
		f.retryAfter = max(f.retryAfter, stop.RetryAfter(now))
	}
}

// lastStart returns the time until which a request may wait for a slot: until or, during a shutdown,
// the latest time at which it can start and still be finished before the process exits, if that is
// earlier.
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

// outlasts reports whether both this process and the one beside the server are shutting down, the
// other exits first, and the request may need longer than that. The other process would then cut
// off a response for which this one can still wait.
func (o *Outbound) outlasts(now time.Time, rq *request, state *slatewindv1.SlotState) bool {
	stop := o.stop.Load()
	if stop == nil || state.GetLastsMs() == 0 {
		return false
	}
	lasts := time.Duration(state.GetLastsMs()) * time.Millisecond
	return stop.Outlasts(now, lasts) && rq.remaining(now)+answerSlack > lasts
}

// mayStart reports whether a request may still be sent to a server.
func (o *Outbound) mayStart(rq *request) bool {
	stop := o.stop.Load()
	return stop == nil || stop.MayStart(time.Now(), rq.expected())
}
