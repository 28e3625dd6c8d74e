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

// TestVerifyLongStop checks which requests that a process gave up break a promise when servers take long.
func TestVerifyLongStop(t *testing.T) {
	const short, long = 900 * time.Millisecond, 3 * time.Second
	tests := map[string]struct {
		// node received a request this long after SIGTERM; its server began it at once, unless it never did, and takes work. It
		// ended after that time, or after took, with status.
		node       int
		after      time.Duration
		work, took time.Duration
		status     int
		notBegun   bool
		broken     bool
	}{
		"served":                      {after: time.Second, work: short, status: http.StatusOK},
		"failed with an answer":       {after: time.Second, work: short, status: http.StatusBadGateway},
		"cut off":                     {after: time.Second, work: short, broken: true},
		"sent before the stop":        {after: -time.Second, work: long, broken: true},
		"ended before the stop":       {after: -time.Second, work: short},
		"not begun":                   {after: time.Second, work: short, notBegun: true},
		"sent to another process":     {node: 1, after: time.Second, work: short},
		"not busy in the last part":   {after: graceTime - lastPart - long - time.Millisecond, work: long, broken: true},
		"busy in the last part":       {after: graceTime - lastPart - long, work: long},
		"late":                        {after: lateThreshold + time.Millisecond, work: short},
		"timed out":                   {after: time.Second, work: short, status: http.StatusGatewayTimeout},
		"ended after the process did": {after: time.Second, work: short, took: graceTime + endMargin},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			asked := time.Unix(1000, 0)
			sentAt := asked.Add(test.after)
			r := sentRequest{ID: "id", Node: test.node, At: sentAt, Status: test.status, Ended: sentAt.Add(max(test.took, test.work))}
			arrivals := []arrival{{ID: "other", At: asked}}
			if !test.notBegun {
				arrivals = append(arrivals, arrival{ID: "id", At: sentAt}, arrival{ID: "id", At: sentAt.Add(-short)})
			}
			s := longStop{plannedStop{Asked: asked}, test.work}
			breaches := verifyLongStop(s, map[string]sentRequest{"id": r}, lastArrivals(arrivals))
			assert.Equal(t, len(breaches) > 0, test.broken)
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
