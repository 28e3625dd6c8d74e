// Package schedule runs events in virtual time. Events run in the order of their times,
// and events of the same time in the order in which they were added, so that a
// simulation is deterministic.
package schedule

import (
	"container/heap"
	"time"
)

// Queue is a queue of events in virtual time. The zero value is an empty queue at time
// zero. It is not safe for concurrent use.
type Queue struct {
	events events
	seq    int
	now    time.Duration
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// Now returns the virtual time of the event that is running or ran last, since the start.
func (q *Queue) Now() time.Duration {
	return q.now
}

// At schedules fn to run at a virtual time since the start. A time in the past means now.
func (q *Queue) At(at time.Duration, fn func()) {
	q.seq++
	heap.Push(&q.events, event{at: max(at, q.now), seq: q.seq, fn: fn})
}

// After schedules fn to run after a delay from now.
func (q *Queue) After(d time.Duration, fn func()) {
	q.At(q.now+d, fn)
}

// Run runs all events up to and including time end, and calls after following each of them.
func (q *Queue) Run(end time.Duration, after func()) {
	for len(q.events) > 0 {
		next := heap.Pop(&q.events).(event)
		if next.at > end {
			return
		}
		q.now = next.at
		next.fn()
		after()
	}
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
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
