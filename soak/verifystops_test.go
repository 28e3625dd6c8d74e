package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// TestVerifyStop checks what breaks a promise during a planned stop.
func TestVerifyStop(t *testing.T) {
	asked := time.Unix(1000, 0)
	const early, late = time.Second, lateThreshold + time.Second
	tests := map[string]struct {
		// took is how long the process took to exit; 0 means that it had to be killed.
		took time.Duration
		// node received a request this long after SIGTERM, which ended with status.
		node   int
		after  time.Duration
		kind   slatewind.Kind
		status int
		runs   int
		hung   bool
		want   []Promise
	}{
		"ended by itself":         {took: 5 * time.Second},
		"ended at the grace time": {took: graceTime, want: []Promise{PromiseStopInTime}},
		"had to be killed":        {want: []Promise{PromiseStopInTime}},
		"served late":             {took: early, after: late, status: http.StatusOK, runs: 1},
		"given up early":          {took: early, after: early, status: http.StatusBadGateway, runs: 1},
		"given up late":           {took: early, after: late, status: http.StatusBadGateway, runs: 1, want: []Promise{PromiseNoLateAbandon}},
		"cut off late":            {took: early, after: late, runs: 1, want: []Promise{PromiseNoLateAbandon}},
		"timed out":               {took: early, after: late, status: http.StatusGatewayTimeout, runs: 1},
		"not begun":               {took: early, after: late, status: http.StatusBadGateway},
		"sent before the stop":    {took: early, after: -early, status: http.StatusBadGateway, runs: 1},
		"with a hung process":     {took: early, after: late, status: http.StatusBadGateway, runs: 1, hung: true},
		"sent to another process": {took: early, node: 1, after: late, status: http.StatusBadGateway, runs: 1},
		"refused":                 {took: early, after: late, kind: slatewind.KindRepeatable, status: http.StatusServiceUnavailable},
		"refused and run": {
			took: early, after: late, kind: slatewind.KindRepeatable, status: http.StatusServiceUnavailable, runs: 1,
			want: []Promise{PromiseTrueRefusal},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := plannedStop{Asked: asked}
			if test.took > 0 {
				s.Ended = asked.Add(test.took)
			}
			r := sentRequest{ID: "id", Kind: test.kind, Node: test.node, At: asked.Add(test.after), Status: test.status}
			var broken []Promise
			for _, b := range verifyStop(s, map[string]sentRequest{"id": r}, map[string]int{"id": test.runs}, map[string]bool{"id": test.hung}) {
				broken = append(broken, b.Promise)
			}
			assert.DeepEqual(t, broken, test.want)
		})
	}
}

// TestHungRequests checks that exactly the requests that were in progress at a suspended process
// or arrived during the suspension are returned.
func TestHungRequests(t *testing.T) {
	begin := time.Unix(1000, 0)
	hangs := []hang{{Node: 3, From: begin, To: begin.Add(hangTime)}}
	hung := hungRequests(hangs, []arrival{
		{ID: "before", Server: 3, At: begin.Add(-2 * longServiceTime)},
		{ID: "in hand", Server: 3, At: begin.Add(-longServiceTime / 2)},
		{ID: "meanwhile", Server: 3, At: begin.Add(time.Second)},
		{ID: "elsewhere", Server: 2, At: begin.Add(time.Second)},
		{ID: "after", Server: 3, At: begin.Add(2 * hangTime)},
	})
	assert.DeepEqual(t, hung, map[string]bool{"in hand": true, "meanwhile": true})
}
