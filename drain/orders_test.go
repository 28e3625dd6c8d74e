package drain_test

import (
	"fmt"
	"testing"
	"time"

	"slatewind.example/slatewind/drain"
)

// never is the time of an event that does not occur.
const never = time.Duration(-1)

// answerSlack is how long after a request's deadline its server's answer may still arrive.
const answerSlack = 100 * time.Millisecond

// order is the order of the events of one request between two processes. Times are relative to a
// common start.
type order struct {
	// sent is when the request is sent into a slot, server and caller when the process beside the
	// server and that of the caller are told to stop.
	sent, server, caller time.Duration
	// allowed is the time from sent until the request's deadline.
	allowed time.Duration
	// works is how long the server works on it, late how long after the deadline that it is handed
	// the server answers if it works for longer; never means that it does not answer.
	works, late time.Duration
}

// end is how a request ends.
type end struct {
	at time.Duration
	by endedBy
	// handed is the deadline that the server was handed.
	handed time.Duration
}

// endedBy is what ends a request.
type endedBy string

const (
	endedByServer         endedBy = "the server answers"
	endedByDeadline       endedBy = "its deadline passes"
	endedByServersProcess endedBy = "the process beside the server exits"
	endedByCallersProcess endedBy = "the caller's process gives up"
	notSent               endedBy = "it is not sent"
)

// schedule returns the schedule of a process that is told to stop at the given time, and whether it
// is by now.
func schedule(told, now time.Duration) (c drain.Schedule, stopping bool) {
	return drain.Schedule{Began: began.Add(told), Grace: grace}, told != never && told <= now
}

const (
	grace = 6 * time.Second
	// expected is the expected service time of all requests.
	expected = 500 * time.Millisecond
)

// refused reports whether a process that is stopping when the request is sent prevents that.
func (o order) refused() bool {
	now := began.Add(o.sent)
	atServer, serverStops := schedule(o.server, o.sent)
	atCaller, callerStops := schedule(o.caller, o.sent)
	work := drain.Work{Held: 3, Mean: expected}
	switch {
	case serverStops && (!atServer.MayGrant(now, expected) || !atServer.GrantsSlot(now, expected, work)):
		return true
	case !callerStops:
		return false
	}
	_, admitted := atCaller.Admit(now, drain.Request{Expected: expected, Deadline: now.Add(o.allowed)})
	return !admitted || serverStops && atCaller.Outlasts(now, atServer.RemainingWait(now)) && o.allowed > atServer.RemainingWait(now)
}

// result returns how the request ends, in the same steps as the processes.
func (o order) result() end {
	if o.refused() {
		return end{at: o.sent, by: notSent}
	}
	r := end{at: o.sent + o.allowed + answerSlack, by: endedByDeadline, handed: o.sent + o.allowed}
	earlier := func(at time.Duration, by endedBy) {
		if at < r.at {
			r.at, r.by = at, by
		}
	}
	if c, stopping := schedule(o.server, o.sent); stopping {
		r.handed = min(r.handed, c.LastAnswer().Sub(began))
	}
	switch {
	case o.sent+o.works <= r.handed:
		earlier(o.sent+o.works, endedByServer)
	case o.late != never:
		earlier(r.handed+o.late, endedByServer)
	}
	if c, stops := schedule(o.server, r.at); stops {
		earlier(c.PeersEnd().Sub(began), endedByServersProcess)
	}
	if c, stops := schedule(o.caller, r.at); stops {
		earlier(c.WorkEnds().Sub(began), endedByCallersProcess)
	}
	return r
}

// lost reports whether the operators count the end of the request as caused by the caller's stop.
func (o order) lost(r end) bool {
	switch r.by {
	case endedByServersProcess, endedByCallersProcess:
		inLastSixth := r.at >= o.caller+grace*5/6 && o.sent <= o.caller+mayAbandon
		return o.caller != never && r.at >= o.caller && !inLastSixth
	}
	return false
}

// mayBeLost reports whether no process can keep the request: the one beside the server must exit
// before the caller's may give up, and the server is silent until then although its deadline has
// passed or lies beyond that exit.
func (o order) mayBeLost(r end) bool {
	const silent = 500 * time.Millisecond
	c, stops := schedule(o.server, r.at)
	return stops && c.Ends().Sub(began) < o.caller+grace*5/6 && r.by == endedByServersProcess &&
		(r.handed >= r.at || r.at-r.handed >= silent)
}

// TestOrdersOfStops goes through all orders, on a grid, in which a request is sent and the process
// beside its server and that of its caller are told to stop, for servers that answer, answer after
// their deadline and never answer. It guards against a stopping process that cuts a request before it
// has to exit.
func TestOrdersOfStops(t *testing.T) {
	const (
		step = 200 * time.Millisecond
		last = 7 * time.Second
	)
	ends := map[endedBy]int{}
	kept, unavoidable := 0, 0
	check := func(o order) {
		r := o.result()
		ends[r.by]++
		switch {
		case !o.lost(r):
			kept++
		case o.mayBeLost(r):
			unavoidable++
		default:
			t.Fatalf("%+v ends at %s: %s", o, r.at, r.by)
		}
	}
	servers := []order{
		{works: expected},
		{works: 4 * time.Second},
		{works: time.Minute},
		{works: time.Minute, late: 400 * time.Millisecond},
		{works: time.Minute, late: never},
	}
	for _, allowed := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		for _, o := range servers {
			o.allowed = allowed
			for o.sent = 0; o.sent <= last; o.sent += step {
				for o.server = never; o.server <= last; o.server = next(o.server, step) {
					for o.caller = never; o.caller <= last; o.caller = next(o.caller, step) {
						check(o)
					}
				}
			}
		}
	}
	for _, by := range []endedBy{endedByServer, endedByDeadline, endedByServersProcess, endedByCallersProcess, notSent} {
		if ends[by] == 0 {
			t.Errorf("no request ends because %s", by)
		}
	}
	t.Log(fmt.Sprintf("%d orders kept, %d can't be kept", kept, unavoidable), ends)
}

// next returns the time after at on a grid that begins with never and zero.
func next(at, step time.Duration) time.Duration {
	if at == never {
		return 0
	}
	return at + step
}
