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
	// PromiseNotRun: a request that was refused as not run never ran.
	PromiseNotRun Promise = "true refusal"
	// PromiseOwnAnswer: a success is the whole answer of a server to that very
	// request.
	PromiseOwnAnswer Promise = "own whole answer"
	// PromiseNoCut: a planned stop of a process cuts off no request that a server
	// has begun.
	PromiseNoCut Promise = "no cut by a stop"
	// PromiseLeaving: a server that leaves gets no new work once all have heard.
	PromiseLeaving Promise = "no work for a leaving server"
	// PromiseSettings: settings are in force everywhere in time.
	PromiseSettings Promise = "settings in force"
	// PromiseForward: settings never go back within one life of a process.
	PromiseForward Promise = "settings never go back"
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
func judgeRequest(s Sent, runs int) (breaches []Breach) {
	add := func(promise Promise) {
		breaches = append(breaches, Breach{promise, fmt.Sprintf("%s request %s at node %d: status %d, ran %d times", s.Kind, s.ID, s.Node, s.Status, runs)})
	}
	single := s.Kind == slatewind.KindSingle
	if single && runs > 1 {
		add(PromiseOnce)
	}
	refused := s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests
	if single && refused && runs > 0 {
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
func judgeLeaving(leaving []Leaving, arrivals []Arrival) (breaches []Breach) {
	for _, l := range leaving {
		for _, a := range arrivals {
			if a.Server == l.Server && a.At.After(l.Known) {
				breaches = append(breaches, Breach{PromiseLeaving, fmt.Sprintf("server %d got request %s %s after all had heard", l.Server, a.ID, a.At.Sub(l.Known))})
			}
		}
	}
	return breaches
}

// judgeBudget checks every window that ends with an arrival. The requests of a
// window are those of it or of the one before, whichever are more, as the users
// count them.
func judgeBudget(sent map[string]Sent, arrivals []Arrival) []Breach {
	seen := map[string]bool{}
	var extras []time.Time
	for _, a := range arrivals {
		if seen[a.ID] {
			extras = append(extras, a.At)
		}
		seen[a.ID] = true
	}
	for _, end := range extras {
		start := end.Add(-budgetWindow)
		requests := max(sentWithin(sent, start, end), sentWithin(sent, start.Add(-budgetWindow), start))
		spent := 0
		for _, at := range extras {
			if at.After(start) && !at.After(end) {
				spent++
			}
		}
		if allowed := budgetRatio*float64(requests) + budgetSlack; float64(spent) > allowed {
			return []Breach{{PromiseBudget, fmt.Sprintf("%d extra arrivals in %s, %.0f allowed for %d requests", spent, budgetWindow, allowed, requests)}}
		}
	}
	return nil
}

// sentWithin counts the requests that were sent in a span.
func sentWithin(sent map[string]Sent, start, end time.Time) (n int) {
	for _, s := range sent {
		if s.At.After(start) && !s.At.After(end) {
			n++
		}
	}
	return n
}
