package soak

import (
	"fmt"
	"net/http"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

// Promise names a property of the system that a run checks.
type Promise string

// Promises that a run checks.
const (
	// PromiseAtMostOnce: a single request runs at most once.
	PromiseAtMostOnce Promise = "at most once"
	// PromiseTrueRefusal: a single request that was refused as not run has not run.
	PromiseTrueRefusal Promise = "true refusal"
	// PromiseOwnAnswer: a response with status 200 is the complete answer of a server to this
	// request, and one with another status has neither the stamp of a server nor an id unless it is.
	PromiseOwnAnswer Promise = "own whole answer"
	// PromiseNoCut: a planned stop of a process cuts off no request that a server has begun to
	// run.
	PromiseNoCut Promise = "no cut by a stop"
	// PromiseStopInTime: a process that receives SIGTERM exits by itself within its grace time.
	PromiseStopInTime Promise = "a stop ends in time"
	// PromiseNoLateAbandon: a stopping process accepts no late request that it then gives up while a
	// server runs it. Without other faults it cuts off no request that ran, unless it is an early one with
	// which the server is busy until shortly before the end of the grace time.
	PromiseNoLateAbandon Promise = "no late request given up by a stop"
	// PromiseLeaving: a leaving server receives no new requests once all processes know that it
	// leaves.
	PromiseLeaving Promise = "no work for a leaving server"
	// PromiseSilentPeer and PromiseSilentStore: a connection to another process, or to the
	// store, that drops everything without an error is closed by the process that opened it.
	PromiseSilentPeer  Promise = "silence of a process noticed"
	PromiseSilentStore Promise = "silence of the store noticed"
	// PromiseSettings: published settings are in force in all processes within the time bound.
	PromiseSettings Promise = "settings in force"
	// PromiseNoOlderSettings: a process never returns to older settings between its start and its exit.
	PromiseNoOlderSettings Promise = "settings never go back"
	// PromiseKey: a server receives the workspace of a key, never the key itself, and runs no
	// request whose key has been revoked.
	PromiseKey Promise = "the workspace of the key"
	// PromiseLimit: the fleet as a whole enforces the rate limit of a workspace.
	PromiseLimit Promise = "limit of a workspace"
	// PromiseQuarantine: a request that crashes servers is kept from the remaining servers.
	PromiseQuarantine Promise = "quarantine of a request"
	// PromiseEvacuation: a server of an evacuated data centre receives no requests, and callers on
	// all VMs are served by the others.
	PromiseEvacuation Promise = "nothing for an evacuated data centre"
	// PromiseWarmup: a server that warms up receives no more requests than it bears.
	PromiseWarmup Promise = "few requests for a server that warms up"
	// PromiseStatedLimit: a server receives no more requests than the limit allows that it states in
	// its answers.
	PromiseStatedLimit Promise = "limit that a server states"
	// PromiseUpload: a large request on a slow link is served whole.
	PromiseUpload Promise = "uploads are served"
	// PromiseUnread: unread answers stay within their bound, and other callers are served.
	PromiseUnread Promise = "bound on unread answers"
	// PromiseReuse: requests run only at servers of their service, and every server that runs at the address of
	// an earlier one gets requests.
	PromiseReuse Promise = "servers at reused addresses"
	// PromiseRuns: a process ends only if it is told to, with exit status 0, and serves again after faults around it.
	PromiseRuns Promise = "no process ends by itself"
	// PromiseMemory: no process exceeds the memory that its settings give it.
	PromiseMemory Promise = "memory within its limit"
	// PromiseBudget: the fleet as a whole keeps to the budget of extra arrivals.
	PromiseBudget Promise = "budget of extra arrivals"
)

// Breach is a broken promise with the observation that shows it.
type Breach struct {
	Promise Promise
	Detail  string
}

// Bounds of the retry budget in the settings of the fleet, counted as the users count it: in any
// window, the arrivals beyond the first of each request are at most budgetRatio times the number
// of requests plus budgetSlack.
const (
	budgetRatio  = 0.1
	budgetSlack  = 10.0
	budgetWindow = 10 * time.Second
)

// verifyRequest checks the response that a caller received against how often its request ran.
func verifyRequest(s sentRequest, runs int) (breaches []Breach) {
	add := func(promise Promise) {
		detail := fmt.Sprintf("%s request %s to node %d: status %d, ran %d times", s.Kind, s.ID, s.Node, s.Status, runs)
		breaches = append(breaches, Breach{promise, detail})
	}
	single := s.Kind == slatewind.KindSingle
	if single && runs > 1 {
		add(PromiseAtMostOnce)
	}
	if single && isRefusal(s.Status) && runs > 0 {
		add(PromiseTrueRefusal)
	}
	if s.Status == http.StatusOK && (!s.Own || runs == 0) {
		add(PromiseOwnAnswer)
	}
	if s.Status == 0 && s.Stopping && runs > 0 {
		add(PromiseNoCut)
	}
	return breaches
}

// checkAnswer records a breach if an answer, of any status, is not a server's whole answer to this request although it claims to be a server's.
func (f *fleet) checkAnswer(response *http.Response, text, path, id, body string) {
	if isForeign(response.Header, text, path, id, body) {
		f.record.addBreach(PromiseOwnAnswer, "request %s got an answer that is not its own or not whole: status %d, id %q, stamp %q, %d bytes", id, response.StatusCode,
			response.Header.Get(platform.Servers().RequestID), response.Header.Get(platform.Servers().Stamp), len(text))
	}
}

// isForeign reports whether an answer has the id of another request, or a server's stamp although it is not the server's
// answer to this request.
func isForeign(header http.Header, text, path, id, body string) bool {
	names := platform.Servers()
	other := header.Get(names.RequestID) != "" && header.Get(names.RequestID) != id
	return other || header.Get(names.Stamp) != "" && !isOwn(header, text, path, id, body)
}

// verifyLeaving checks that leaving servers received no requests once all processes knew that
// they leave.
func verifyLeaving(leaving []departure, arrivals []arrival) (breaches []Breach) {
	for _, l := range leaving {
		for _, a := range arrivals {
			if a.Server == l.Server && a.At.After(l.Known) {
				detail := fmt.Sprintf("server %d received request %s %s after all processes knew that it leaves", l.Server, a.ID, a.At.Sub(l.Known))
				breaches = append(breaches, Breach{PromiseLeaving, detail})
			}
		}
	}
	return breaches
}

// verifyBudget checks every window that ends with an extra arrival and returns the first breach
// only. The number of requests of a window is that of the window itself or of the one before,
// whichever is greater, as the users count them.
func verifyBudget(sent map[string]sentRequest, arrivals []arrival) []Breach {
	extras := extraArrivals(arrivals)
	for _, end := range extras {
		start := end.Add(-budgetWindow)
		requests := max(sentWithin(sent, start, end), sentWithin(sent, start.Add(-budgetWindow), start))
		spent := countWithin(extras, start, end)
		if allowed := budgetRatio*float64(requests) + budgetSlack; float64(spent) > allowed {
			detail := fmt.Sprintf("%d extra arrivals in %s, %.0f allowed for %d requests", spent, budgetWindow, allowed, requests)
			return []Breach{{PromiseBudget, detail}}
		}
	}
	return nil
}

// extraArrivals returns the times of all arrivals beyond the first of each request.
func extraArrivals(arrivals []arrival) (extras []time.Time) {
	seen := map[string]bool{}
	for _, a := range arrivals {
		if seen[a.ID] {
			extras = append(extras, a.At)
		}
		seen[a.ID] = true
	}
	return extras
}

// within reports whether a time is in the span from start (exclusive) to end (inclusive).
func within(at, start, end time.Time) bool { return at.After(start) && !at.After(end) }

// countWithin counts the times in a span.
func countWithin(times []time.Time, start, end time.Time) (n int) {
	for _, at := range times {
		if within(at, start, end) {
			n++
		}
	}
	return n
}

// sentWithin counts the requests that were sent in a span.
func sentWithin(sent map[string]sentRequest, start, end time.Time) (n int) {
	for _, s := range sent {
		if within(s.At, start, end) {
			n++
		}
	}
	return n
}
