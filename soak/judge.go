package soak

import (
	"fmt"
	"net/http"
	"time"

	"slatewind.example/slatewind"
)

// Promise names what must hold.
type Promise string

// Promises, each with the check that stands for it.
const (
	// PromiseOnce: a single request runs at most once.
	PromiseOnce Promise = "at most once"
	// PromiseNotRun: a single request that was refused as not run never ran.
	PromiseNotRun Promise = "true refusal"
	// PromiseOwnAnswer: a success is the whole answer of a server to that very
	// request.
	PromiseOwnAnswer Promise = "own whole answer"
	// PromiseNoCut: a planned stop of a process cuts off no request that a server
	// has begun.
	PromiseNoCut Promise = "no cut by a stop"
	// PromiseEnds: a process that is told to stop ends by itself in its grace time.
	PromiseEnds Promise = "a stop ends in time"
	// PromiseFinish: a stopping process takes no late request that it then gives up
	// while a server works on it.
	PromiseFinish Promise = "no late request given up by a stop"
	// PromiseLeaving: a server that leaves gets no new work once all have heard.
	PromiseLeaving Promise = "no work for a leaving server"
	// PromiseSilentPeer and PromiseSilentStore: a connection to another process, or to
	// the store, that goes silent is ended by the process that uses it.
	PromiseSilentPeer  Promise = "silence of a process noticed"
	PromiseSilentStore Promise = "silence of the store noticed"
	// PromiseSettings: settings are in force everywhere in time.
	PromiseSettings Promise = "settings in force"
	// PromiseForward: settings never go back within one life of a process.
	PromiseForward Promise = "settings never go back"
	// PromiseKey: a server is told the workspace of a key, never the key, and runs nothing
	// for a key that was taken away.
	PromiseKey Promise = "the workspace of the key"
	// PromiseLimit: the fleet keeps a workspace's limit.
	PromiseLimit Promise = "limit of a workspace"
	// PromiseQuarantine: a request under which servers end is kept from the others.
	PromiseQuarantine Promise = "quarantine of a request"
	// PromiseBudget: the fleet keeps the budget of extra arrivals.
	PromiseBudget Promise = "budget of extra arrivals"
)

// Breach is a broken promise with what shows it.
type Breach struct {
	Promise Promise
	What    string
}

// Bounds of the budget that the fleet's settings state, as the users count it:
// in any window, arrivals beyond the first of each request are at most a ratio of
// the requests and a slack.
const (
	budgetRatio  = 0.1
	budgetSlack  = 10.0
	budgetWindow = 10 * time.Second
)

// judgeRequest checks what one caller got against how often its request ran.
func judgeRequest(s sentRequest, runs int) (breaches []Breach) {
	add := func(promise Promise) {
		what := fmt.Sprintf("%s request %s at node %d: status %d, ran %d times", s.Kind, s.ID, s.Node, s.Status, runs)
		breaches = append(breaches, Breach{promise, what})
	}
	single := s.Kind == slatewind.KindSingle
	if single && runs > 1 {
		add(PromiseOnce)
	}
	if single && isRefusal(s.Status) && runs > 0 {
		add(PromiseNotRun)
	}
	if s.Status == http.StatusOK && (!s.Own || runs == 0) {
		add(PromiseOwnAnswer)
	}
	if s.Status == 0 && s.Stopping && runs > 0 {
		add(PromiseNoCut)
	}
	return breaches
}

// judgeLeaving checks that servers got nothing once all had heard that they leave.
func judgeLeaving(leaving []departure, arrivals []arrival) (breaches []Breach) {
	for _, l := range leaving {
		for _, a := range arrivals {
			if a.Server == l.Server && a.At.After(l.Known) {
				what := fmt.Sprintf("server %d got request %s %s after all had heard", l.Server, a.ID, a.At.Sub(l.Known))
				breaches = append(breaches, Breach{PromiseLeaving, what})
			}
		}
	}
	return breaches
}

// judgeBudget checks every window that ends with an extra arrival; the first one
// that breaks the bound is enough. The requests of a window are those of it or of
// the one before, whichever are more, as the users count them.
func judgeBudget(sent map[string]sentRequest, arrivals []arrival) []Breach {
	extras := extraArrivals(arrivals)
	for _, end := range extras {
		start := end.Add(-budgetWindow)
		requests := max(sentWithin(sent, start, end), sentWithin(sent, start.Add(-budgetWindow), start))
		spent := countWithin(extras, start, end)
		if allowed := budgetRatio*float64(requests) + budgetSlack; float64(spent) > allowed {
			what := fmt.Sprintf("%d extra arrivals in %s, %.0f allowed for %d requests", spent, budgetWindow, allowed, requests)
			return []Breach{{PromiseBudget, what}}
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

// within says whether a time is in a span, which holds its end and not its start.
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
