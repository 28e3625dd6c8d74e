package outbound

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/quarantine"
)

// dispatchCall names the function of dispatch that makes a decision.
type dispatchCall uint8

const (
	callHandleResult dispatchCall = iota
	callRecordArrival
	callFinish
	callHedge
)

// decisionKey holds everything on which a decision of the real dispatch depends.
type decisionKey struct {
	dispatch   modelDispatch
	call       dispatchCall
	left, over bool
	outcome    slatewind.Outcome
	arrived    bool
	status     int32
}

// decision is a decision of the real dispatch.
type decision struct {
	after   modelDispatch
	done    bool
	outcome slatewind.Outcome
}

// decide returns the decision of the real dispatch, which runs once per key.
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

// runDispatch runs the real dispatch. Attempts that it starts find no server.
func runDispatch(kind slatewind.Kind, key decisionKey, r attemptResult) decision {
	o := New(Self{}, slatewind.CallerHeaders{}, nil, discard{}, nil, nil, discard{}, nil, nil, quarantine.NewTable(nil, nil), Memory{})
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
	f, done := d.call(key.call, r)
	after := modelDispatch{uint8(d.active), uint8(d.tries), uint8(d.arrivals), d.mayHaveRun, d.best != nil}
	cancel()
	for range d.tries - int(key.dispatch.tries) {
		<-d.results
	}
	return decision{after, done, f.outcome}
}

// call calls one function of the dispatch.
func (d *dispatch) call(what dispatchCall, r attemptResult) (f requestResult, done bool) {
	switch what {
	case callHandleResult:
		return d.handleResult(r)
	case callRecordArrival:
		d.recordArrival(r)
	case callHedge:
		d.hedge()
	case callFinish:
		if d.active > 0 {
			d.results <- r
		}
		return d.finishOnDone(), true
	}
	return requestResult{}, false
}

// discard implements the journal and the meter and discards everything.
type discard struct{}

func (discard) Add(slatewind.Decision)                           {}
func (discard) Request(string, slatewind.Outcome, time.Duration) {}
func (discard) Workspace(string, Admission)                      {}
func (discard) Extra(_, _ string)                                {}
func (discard) Denied(_, _ string)                               {}
func (discard) Quarantined(string)                               {}
