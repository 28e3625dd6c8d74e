package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

// TestVerifyRequest checks which promises are broken by what a caller received and how often its
// request ran.
func TestVerifyRequest(t *testing.T) {
	single, repeatable := slatewind.KindSingle, slatewind.KindRepeatable
	tests := map[string]struct {
		sent sentRequest
		runs int
		want []Promise
	}{
		"served":                    {sent: sentRequest{Kind: single, Status: http.StatusOK, Own: true}, runs: 1},
		"served but not run":        {sent: sentRequest{Kind: single, Status: http.StatusOK, Own: true}, want: []Promise{PromiseOwnAnswer}},
		"answer to another request": {sent: sentRequest{Kind: single, Status: http.StatusOK}, runs: 1, want: []Promise{PromiseOwnAnswer}},
		"run twice":                 {sent: sentRequest{Kind: single, Status: http.StatusOK, Own: true}, runs: 2, want: []Promise{PromiseAtMostOnce}},
		"repeated as it may be":     {sent: sentRequest{Kind: repeatable, Status: http.StatusOK, Own: true}, runs: 2},
		"refused":                   {sent: sentRequest{Kind: single, Status: http.StatusServiceUnavailable}},
		"refused and run":           {sent: sentRequest{Kind: single, Status: http.StatusServiceUnavailable}, runs: 1, want: []Promise{PromiseTrueRefusal}},
		"refused, run, repeatable":  {sent: sentRequest{Kind: repeatable, Status: http.StatusServiceUnavailable}, runs: 1},
		"unknown and run":           {sent: sentRequest{Kind: single, Status: http.StatusBadGateway}, runs: 1},
		"cut off in the storm":      {sent: sentRequest{Kind: single}, runs: 1},
		"cut off by a planned stop": {sent: sentRequest{Kind: single, Stopping: true}, runs: 1, want: []Promise{PromiseNoCut}},
		"closed before it was read": {sent: sentRequest{Kind: single, Stopping: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var broken []Promise
			for _, b := range verifyRequest(test.sent, test.runs) {
				broken = append(broken, b.Promise)
			}
			assert.DeepEqual(t, broken, test.want)
		})
	}
}

// TestIsForeign checks which answers are taken for those of another request, or for not whole.
func TestIsForeign(t *testing.T) {
	names := platform.Servers()
	const path, id, own = "/look/", "7", "server-1 /look/ body"
	tests := map[string]struct {
		id, stamp, text string
		want            bool
	}{
		"own":                         {id: id, stamp: "server-1-stamp", text: own},
		"of no server":                {id: id, text: "no server is free"},
		"of no server, without an id": {text: "bad request"},
		"of no server, another id":    {id: "8", text: "no server is free", want: true},
		"another id":                  {id: "8", stamp: "server-1-stamp", text: own, want: true},
		"no id":                       {stamp: "server-1-stamp", text: own, want: true},
		"stamp of another server":     {id: id, stamp: "server-2-stamp", text: own, want: true},
		"another body":                {id: id, stamp: "server-1-stamp", text: "server-1 /look/ bodies", want: true},
		"cut":                         {id: id, stamp: "server-1-stamp", text: own[:len(own)-1], want: true},
		"two answers":                 {id: id, stamp: "server-1-stamp", text: own + own, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			if test.id != "" {
				header.Set(names.RequestID, test.id)
			}
			if test.stamp != "" {
				header.Set(names.Stamp, test.stamp)
			}
			assert.Equal(t, isForeign(header, test.text, path, id, "body"), test.want)
		})
	}
}

// TestVerifyLeaving checks that only arrivals at a leaving server after all processes know that
// it leaves count.
func TestVerifyLeaving(t *testing.T) {
	known := time.Unix(1000, 0)
	leaving := []departure{{Server: 2, Known: known}}
	before, after := known.Add(-time.Second), known.Add(time.Second)
	assert.Equal(t, len(verifyLeaving(leaving, []arrival{{Server: 2, At: before}, {Server: 1, At: after}})), 0)
	assert.Equal(t, len(verifyLeaving(leaving, []arrival{{Server: 2, At: before}, {Server: 2, At: after}})), 1)
}

// TestVerifyBudget checks how many extra arrivals a fleet may have in a window.
func TestVerifyBudget(t *testing.T) {
	tests := map[string]struct {
		requests, extras int
		// apart is the time between two extra arrivals.
		apart  time.Duration
		broken bool
	}{
		"none":                         {requests: 100},
		"as many as are allowed":       {requests: 100, extras: 20, apart: time.Millisecond},
		"one more":                     {requests: 100, extras: 21, apart: time.Millisecond, broken: true},
		"the slack alone":              {extras: 10, apart: time.Millisecond},
		"many, but in several windows": {requests: 100, extras: 60, apart: 1200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			sent := map[string]sentRequest{}
			for i := range test.requests {
				id := fmt.Sprint("id-", i)
				sent[id] = sentRequest{ID: id, At: start}
			}
			arrivals := []arrival{{ID: "again", At: start}}
			for i := range test.extras {
				arrivals = append(arrivals, arrival{ID: "again", At: start.Add(time.Duration(i+1) * test.apart)})
			}
			assert.Equal(t, len(verifyBudget(sent, arrivals)) > 0, test.broken)
		})
	}
}
