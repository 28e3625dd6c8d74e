package soak

import (
	"fmt"
	"time"
)

// Bounds that the users require for the limit that a server states: from contactTime after its first
// statement, it may receive in any limitedWindow limitOverage times what the limit allows, and
// limitedSlack requests more, from processes that had passed on such an answer toldTime before.
const (
	contactTime   = 3 * time.Second
	limitedWindow = 4 * time.Second
	limitOverage  = 1.5
	limitedSlack  = 5
	toldTime      = 500 * time.Millisecond
)

// statedLeaveTime is the time after which a process that has passed on an answer of a leaving server may
// send it no further requests.
const statedLeaveTime = 2 * time.Second

// limitPeriod is a time during which a server states limits, without a pause.
type limitPeriod struct {
	from, to time.Time
	changes  []limitChange
}

// allowance returns what the limits of the period allow between two times within it.
func (p limitPeriod) allowance(from, to time.Time) (requests float64) {
	for i, c := range p.changes {
		begin, end := later(c.At, from), to
		if i+1 < len(p.changes) {
			end = earlier(p.changes[i+1].At, to)
		}
		requests += c.Limit * max(end.Sub(begin), 0).Seconds()
	}
	return requests
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// limitPeriods returns the periods of a server. The last one ends at the given time.
func limitPeriods(changes []limitChange, server int, end time.Time) (periods []limitPeriod) {
	open := false
	for _, c := range changes {
		if c.Server != server {
			continue
		}
		if open {
			periods[len(periods)-1].to = c.At
		}
		switch {
		case c.Limit == 0:
			open = false
		case open:
			last := &periods[len(periods)-1]
			last.to, last.changes = end, append(last.changes, c)
		default:
			open = true
			periods = append(periods, limitPeriod{c.At, end, []limitChange{c}})
		}
	}
	return periods
}

// told reports whether a process that sent a request at a time had received, at least the given time
// before, an answer of the server that satisfies the condition, and was not restarted, paused or cut off since.
func (r *record) told(node, server int, at time.Time, before time.Duration, condition func(statement) bool) bool {
	for _, s := range r.statements {
		if s.Node == node && s.Server == server && condition(s) && s.At.Add(before).Before(at) && !r.disturbed(node, s.At, at) {
			return true
		}
	}
	return false
}

// disturbed reports whether a process was disturbed in a span.
func (r *record) disturbed(node int, from, to time.Time) bool {
	for _, d := range r.disturbances {
		if d.Node == node && d.Began.Before(to) && d.End.After(from) {
			return true
		}
	}
	return false
}

// verifyStatements checks the limits that servers state, and that those which state that they leave
// receive nothing. It returns the first breach of each period only.
func (r *record) verifyStatements() (breaches []Breach) {
	if len(r.limitChanges) == 0 {
		return nil
	}
	byServer := map[int][]arrival{}
	for _, a := range r.arrivals {
		byServer[a.Server] = append(byServer[a.Server], a)
	}
	for server, arrivals := range byServer {
		for i, p := range limitPeriods(r.limitChanges, server, time.Now()) {
			from := p.from.Add(toldTime)
			if i == 0 {
				from = p.from.Add(contactTime)
			}
			breaches = append(breaches, r.verifyPeriod(p, from, arrivals)...)
		}
		breaches = append(breaches, r.verifyStatedLeaving(arrivals)...)
	}
	return breaches
}

// verifyPeriod checks every window of a period that ends with an arrival, from a time on.
func (r *record) verifyPeriod(p limitPeriod, from time.Time, arrivals []arrival) []Breach {
	var times []time.Time
	for _, a := range arrivals {
		s, known := r.sent[a.ID]
		if known && within(a.At, from, p.to) && r.told(s.Node, a.Server, a.At, toldTime, func(statement) bool { return true }) {
			times = append(times, a.At)
		}
	}
	for _, end := range times {
		begin := later(end.Add(-limitedWindow), from)
		allowed := limitOverage*p.allowance(begin, end) + limitedSlack
		if n := countWithin(times, begin, end); float64(n) > allowed {
			return []Breach{{PromiseStatedLimit, fmt.Sprintf("server %d received %d requests in %s, %.1f allowed", arrivals[0].Server, n, end.Sub(begin), allowed)}}
		}
	}
	return nil
}

// verifyStatedLeaving checks that no process sent a request to a server long after it had passed on
// an answer in which that server states that it leaves.
func (r *record) verifyStatedLeaving(arrivals []arrival) (breaches []Breach) {
	for _, a := range arrivals {
		s, known := r.sent[a.ID]
		if known && r.told(s.Node, a.Server, s.At, statedLeaveTime, func(s statement) bool { return s.Leaving }) {
			breaches = append(breaches, Breach{PromiseLeaving, fmt.Sprintf("server %d, which states that it leaves, received request %s from node %d", a.Server, a.ID, s.Node)})
		}
	}
	return breaches
}
