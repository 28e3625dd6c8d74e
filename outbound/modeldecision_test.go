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
	didHandleResult did = iota
	didRecordArrival
	didFinish
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
func (m *reservationModel) decide(key decisionKey, r attemptResult) decision {
	key.outcome, key.arrived = r.outcome, r.arrived
	if r.answer != nil {
		key.status = r.answer.head.GetStatus()
	}
	known, ok := m.decisions[key]
	if !ok {
		known = runDispatch(m.kind, key, r)
		m.decisions[key] = known
	}
	return known
}

// decideReally drives the dispatch itself. Attempts that it starts find no server.
func runDispatch(kind slatewind.Kind, key decisionKey, r attemptResult) decision {
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
		service: "svc", shard: o.shard("svc"), began: time.Now(), deadline: time.Now().Add(time.Hour), callerDone: left,
	}
	d := &dispatch{
		o: o, rq: rq, ctx: ctx, results: make(chan attemptResult, maxTries), sent: make(chan string, maxTries), tried: map[string]bool{},
		active: int(key.dispatch.active), tries: int(key.dispatch.tries), arrivals: int(key.dispatch.arrivals), mayHaveRun: key.dispatch.mayHaveRun,
	}
	if key.dispatch.best {
		d.best = &requestResult{outcome: slatewind.OutcomeAnswer}
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
func (d *dispatch) doOne(what did, r attemptResult) (f requestResult, done bool) {
	switch what {
	case didHandleResult:
		return d.handleResult(r)
	case didRecordArrival:
		d.recordArrival(r)
	case didHedge:
		d.hedge()
	case didFinish:
		if d.active > 0 {
			d.results <- r
		}
		return d.finishOnDone(), true
	}
	return requestResult{}, false
}

// silent counts and writes nothing.
type silent struct{}

func (silent) Add(slatewind.Decision)                           {}
func (silent) Request(string, slatewind.Outcome, time.Duration) {}
func (silent) Workspace(string, Admission)                      {}
func (silent) Extra(_, _ string)                                {}
func (silent) Denied(_, _ string)                               {}
func (silent) Quarantined(string)                               {}
