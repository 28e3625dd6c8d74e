// Package explore is an explicit-state model checker for tests. It visits every reachable
// state of a small model and reports one that violates a property. Nothing is sampled at
// random, so a run without an error covers the whole model.
package explore

import (
	"errors"
	"fmt"
	"strings"
)

// ErrTooMany reports that a model has more than MaxStates states, so that it was not
// explored completely.
var ErrTooMany = errors.New("model has more states than MaxStates; exploration is incomplete")

// Model is a transition system. States with equal keys are visited once, so Key must
// differ for states that differ in their successors or in the result of Check.
type Model[S any, K comparable] struct {
	Start S
	Key   func(S) K
	// Next calls step with the name of each possible event and the state that follows it.
	Next func(s S, step func(event string, to S))
	// Check returns an error if a state violates a property.
	Check func(S) error
	// MaxStates bounds the number of states.
	MaxStates int
}

// Result is the result of an exploration.
type Result struct {
	// States is the number of distinct states found.
	States int
	// Err is the error of Check for the first state that violates a property, or ErrTooMany.
	Err error
	// Events is a shortest sequence of events from the start to the violating state.
	Events []string
}

// String returns the result in a line, followed by the events, one a line.
func (r Result) String() string {
	return fmt.Sprintf("%d states, %v, after:\n  %s", r.States, r.Err, strings.Join(r.Events, "\n  "))
}

// visit is a state with the event that led to it and the index of the visit before that
// event, -1 for the start.
type visit[S any] struct {
	state S
	event string
	from  int
}

// Run visits the states breadth-first until one violates a property or all are visited.
func (m Model[S, K]) Run() Result {
	visits := []visit[S]{{state: m.Start, from: -1}}
	seen := map[K]bool{m.Key(m.Start): true}
	for i := 0; i < len(visits); i++ {
		if err := m.Check(visits[i].state); err != nil {
			return Result{len(visits), err, path(visits, i)}
		}
		if len(visits) > m.MaxStates {
			return Result{States: len(visits), Err: ErrTooMany}
		}
		m.Next(visits[i].state, func(event string, to S) {
			if key := m.Key(to); !seen[key] {
				seen[key] = true
				visits = append(visits, visit[S]{to, event, i})
			}
		})
	}
	return Result{States: len(visits)}
}

// path returns the events from the start to a visit.
func path[S any](visits []visit[S], i int) []string {
	var events []string
	for ; visits[i].from >= 0; i = visits[i].from {
		events = append([]string{visits[i].event}, events...)
	}
	return events
}
