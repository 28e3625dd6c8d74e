package outbound

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/quarantine"
)

// did names the function of the dispatch that decides.
type did uint8

const (
	didTake did = iota
	didLearn
	didEnd
	didHedge
)

// decisionKey is all that a decision of the real dispatch rests on.
type decisionKey struct {
	dispatch   modelDispatch
	did        did
	left, over bool
	outcome    slatewind.Outcome
	arrived    bool
	status     int32
}

// decision is what the real dispatch decided.
type decision struct {
	after   modelDispatch
	done    bool
	outcome slatewind.Outcome
}

// decide has the real dispatch decide, once for each case.
func (m *reservationModel) decide(key decisionKey, r result) decision {
	key.outcome, key.arrived = r.outcome, r.arrived
	if r.answer != nil {
		key.status = r.answer.head.GetStatus()
	}
	known, ok := m.decisions[key]
	if !ok {
		known = decideReally(m.kind, key, r)
		m.decisions[key] = known
	}
	return known
}

// decideReally drives the dispatch itself. Attempts that it starts find no server.
func decideReally(kind slatewind.Kind, key decisionKey, r result) decision {
	o := New(Self{}, slatewind.CallerHeaders{}, nil, silent{}, nil, nil, silent{}, nil, nil, quarantine.NewTable(nil, nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if key.over {
		cancel()
	}
	left := make(chan struct{})
	if key.left {
		close(left)
	}
	rq := &request{
		route:   &slatewindv1.Route{Kind: string(kind), Attempts: routeAttempts},
		service: "svc", shard: o.shard("svc"), began: time.Now(), deadline: time.Now().Add(time.Hour), left: left,
	}
	d := &dispatch{
		o: o, rq: rq, ctx: ctx, results: make(chan result, maxTries), sent: make(chan string, maxTries), tried: map[string]bool{},
		active: int(key.dispatch.active), tries: int(key.dispatch.tries), arrivals: int(key.dispatch.arrivals), mayHaveRun: key.dispatch.mayHaveRun,
	}
	if key.dispatch.best {
		d.best = &final{outcome: slatewind.OutcomeAnswer}
	}
	f, done := d.doOne(key.did, r)
	after := modelDispatch{uint8(d.active), uint8(d.tries), uint8(d.arrivals), d.mayHaveRun, d.best != nil}
	cancel()
	for range d.tries - int(key.dispatch.tries) {
		<-d.results
	}
	return decision{after, done, f.outcome}
}

// doOne calls one function of the dispatch.
func (d *dispatch) doOne(what did, r result) (f final, done bool) {
	switch what {
	case didTake:
		return d.take(r)
	case didLearn:
		d.learn(r)
	case didHedge:
		d.hedge()
	case didEnd:
		if d.active > 0 {
			d.results <- r
		}
		return d.ended(), true
	}
	return final{}, false
}

// silent counts and writes nothing.
type silent struct{}

func (silent) Add(slatewind.Decision)                           {}
func (silent) Request(string, slatewind.Outcome, time.Duration) {}
func (silent) Workspace(string, Admission)                      {}
func (silent) Extra(_, _ string)                                {}
func (silent) Denied(_, _ string)                               {}
func (silent) Quarantined(string)                               {}
