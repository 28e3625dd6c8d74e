// Package schedule runs events in virtual time, in the order of their times and
// then of their making, so that the same events always run in the same order.
package schedule

import (
	"container/heap"
	"time"
)

// Queue holds what is to be done and when.
type Queue struct {
	events events
	serial int
	now    time.Duration
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

// Now returns the time of the event that runs, since the beginning.
func (q *Queue) Now() time.Duration {
	return q.now
}

// At has do called at a time since the beginning; a past time means now.
func (q *Queue) At(at time.Duration, do func()) {
	q.serial++
	heap.Push(&q.events, event{at: max(at, q.now), serial: q.serial, do: do})
}

// After has do called when so much time has passed.
func (q *Queue) After(d time.Duration, do func()) {
	q.At(q.now+d, do)
}

// Run runs all events up to end, and after each of them.
func (q *Queue) Run(end time.Duration, after func()) {
	for len(q.events) > 0 {
		next := heap.Pop(&q.events).(event)
		if next.at > end {
			return
		}
		q.now = next.at
		next.do()
		after()
	}
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
