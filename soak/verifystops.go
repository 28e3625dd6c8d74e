package soak

import (
	"fmt"
	"net/http"
	"time"

	"slatewind.example/slatewind"
)

// lateThreshold is the time after SIGTERM from which a process accepts no request that it cannot
// finish: callers have had time to move to another process, and the requests of those that did
// not are refused.
const lateThreshold = 3 * time.Second

const (
	// lastPart is the last part of the grace time: a process cannot wait for a server that is busy then.
	lastPart = graceTime / 6
	// endMargin is the time in which callers notice the end of a process.
	endMargin = time.Second
)

// verifyStop checks a planned stop: the process exits by itself within its grace time, no late
// request is given up while its server runs it, and refused requests have not run.
func verifyStop(s plannedStop, sent map[string]sentRequest, runs map[string]int, hung map[string]bool) (breaches []Breach) {
	if s.Ended.IsZero() || s.Ended.Sub(s.Asked) >= graceTime {
		detail := fmt.Sprintf("node %d has not exited by itself %s after SIGTERM", s.Node, graceTime)
		breaches = append(breaches, Breach{PromiseStopInTime, detail})
	}
	for id, r := range sent {
		after := r.At.Sub(s.Asked)
		if r.Node != s.Node || after < 0 || runs[id] == 0 || hung[id] {
			continue
		}
		detail := fmt.Sprintf("%s request %s, sent to node %d %s after SIGTERM and ended %s later: status %d, ran %d times",
			r.Kind, id, r.Node, after, r.Ended.Sub(r.At), r.Status, runs[id])
		givenUp := r.Status == 0 || r.Status == http.StatusBadGateway
		refused := r.Kind == slatewind.KindRepeatable && isRefusal(r.Status)
		switch {
		case givenUp && after > lateThreshold:
			breaches = append(breaches, Breach{PromiseNoLateAbandon, detail})
		case refused:
			breaches = append(breaches, Breach{PromiseTrueRefusal, detail})
		}
	}
	return breaches
}

// longStop is a planned stop without other faults, while servers take a time for each request.
type longStop struct {
	plannedStop
	Work time.Duration
}

// verifyLongStop checks that the process cut off no request that a server ran, apart from early ones with which the server was
// still busy in the last part of the grace time. A failure that it states is none of the stop: processes on a busy machine lose
// their connections to each other. lastArrivals holds when each request last arrived at a server. Late
// requests are checked by verifyStop.
func verifyLongStop(s longStop, sent map[string]sentRequest, lastArrivals map[string]time.Time) (breaches []Breach) {
	for id, r := range sent {
		arrived, ran := lastArrivals[id]
		if r.Node != s.Node || !ran || r.At.After(s.Asked.Add(lateThreshold)) || !within(r.Ended, s.Asked, s.Asked.Add(graceTime+endMargin)) {
			continue
		}
		busyUntil := arrived.Add(s.Work).Sub(s.Asked)
		if r.Status == 0 && busyUntil < graceTime-lastPart {
			detail := fmt.Sprintf("%s request %s to node %d, sent %s after SIGTERM, cut off %s after it; its server was done %s after it",
				r.Kind, id, r.Node, r.At.Sub(s.Asked), r.Ended.Sub(s.Asked), busyUntil)
			breaches = append(breaches, Breach{PromiseNoLateAbandon, detail})
		}
	}
	return breaches
}

// lastArrivals returns when each request last arrived at a server.
func lastArrivals(arrivals []arrival) map[string]time.Time {
	last := map[string]time.Time{}
	for _, a := range arrivals {
		if a.At.After(last[a.ID]) {
			last[a.ID] = a.At
		}
	}
	return last
}

// isRefusal reports whether a status means that the request was not run.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// hungRequests returns the requests that arrived at the server of a process while the process
// was suspended, or were in progress there when the suspension began.
func hungRequests(hangs []hang, arrivals []arrival) map[string]bool {
	hung := map[string]bool{}
	for _, h := range hangs {
		for _, a := range arrivals {
			if a.Server == h.Node && within(a.At, h.From.Add(-longServiceTime), h.To) {
				hung[a.ID] = true
			}
		}
	}
	return hung
}
