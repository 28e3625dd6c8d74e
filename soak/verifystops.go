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
