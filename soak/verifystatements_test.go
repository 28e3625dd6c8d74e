package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestVerifyStatements checks which arrivals at a server that states something break a promise.
func TestVerifyStatements(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// every adds a request of node 1 to server 0 at each pause of a span, in seconds.
	every := func(r *record, pause, from, to float64) {
		for s := from; s < to; s += pause {
			id := fmt.Sprint(s)
			r.sent[id] = sentRequest{ID: id, Node: 1, At: at(s)}
			r.arrivals = append(r.arrivals, arrival{id, 0, at(s)})
		}
	}
	tests := map[string]struct {
		setup func(r *record)
		want  []Promise
	}{
		"within the limit": {func(r *record) { every(r, 0.5, 0, 20) }, nil},
		"above the limit":  {func(r *record) { every(r, 0.1, 0, 20) }, []Promise{PromiseStatedLimit}},
		"just after the first statement": {func(r *record) {
			every(r, 0.1, 0, 3)
			every(r, 0.5, 3, 20)
		}, nil},
		"a process that was restarted": {func(r *record) {
			every(r, 0.1, 0, 10)
			r.disturbances = []disturbance{{Node: 1, Began: at(0.5), End: at(0.6)}}
		}, nil},
		"after the limit": {func(r *record) {
			every(r, 0.5, 0, 10)
			every(r, 0.01, 10, 12)
			r.limitChanges = append(r.limitChanges, limitChange{0, at(10), 0})
		}, nil},
		"a limit that comes again": {func(r *record) {
			every(r, 0.1, 12, 20)
			r.limitChanges = append(r.limitChanges, limitChange{0, at(10), 0}, limitChange{0, at(12), 2})
		}, []Promise{PromiseStatedLimit}},
		"a server that leaves": {func(r *record) {
			every(r, 3, 0, 8)
			r.statements = append(r.statements, statement{1, 0, at(5), true})
		}, nil},
		"a server that has left": {func(r *record) {
			every(r, 3, 0, 8)
			r.statements = append(r.statements, statement{1, 0, at(3.5), true})
		}, []Promise{PromiseLeaving}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRecord()
			r.limitChanges = []limitChange{{0, at(0), 2}}
			r.statements = []statement{{1, 0, at(0.1), false}}
			test.setup(r)
			var got []Promise
			for _, b := range r.verifyStatements() {
				got = append(got, b.Promise)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}
