package inbound_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/internal/standin"
)

// TestBlameFollowsTheCall: two requests of a server end with an error while it
// makes calls for them; what the calls came to decides whether the errors count
// against the server.
func TestBlameFollowsTheCall(t *testing.T) {
	tests := map[string]struct {
		// calls are the ids of the calls, served says how they end; one that is
		// left open has not ended when its request does.
		calls  []string
		served bool
		open   bool
		state  breaker.State
	}{
		"no call":                      {nil, true, false, breaker.StateOpen},
		"calls that were served":       {[]string{"a.1", "b.1"}, true, false, breaker.StateOpen},
		"calls that failed":            {[]string{"a.1", "b.1"}, false, false, breaker.StateClosed},
		"calls that are awaited":       {[]string{"a.1", "b.1"}, true, true, breaker.StateClosed},
		"one failed, one had no call":  {[]string{"a.1"}, false, false, breaker.StateClosed},
		"calls of calls":               {[]string{"a.1.2", "b.1.2"}, false, false, breaker.StateClosed},
		"ids that only begin alike":    {[]string{"a1", "b1"}, false, false, breaker.StateOpen},
		"ids of requests from callers": {[]string{"c.1", "d.1"}, false, false, breaker.StateOpen},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlace(t)
			p.server.SetMode(standin.StampedHeldError)
			words := make(chan string, slots)
			for _, id := range []string{"a", "b"} {
				go func() { words <- p.run(reservation(), id) }()
			}
			for p.server.Arrivals() < slots {
				time.Sleep(time.Millisecond)
			}
			for _, id := range test.calls {
				call, known := p.NestedCall(id)
				if known && !test.open {
					call.End(test.served)
				}
			}
			p.server.SetMode(standin.StampedOK)
			for range slots {
				assert.Assert(t, <-words != "")
			}
			assert.Equal(t, p.View().Breaker, test.state)
		})
	}
}

// TestCallsOfEndedRequests: a request that is over has no calls.
func TestCallsOfEndedRequests(t *testing.T) {
	p := newPlace(t)
	assert.Equal(t, p.run(reservation(), "a"), "200 s-1 /x b")
	_, known := p.NestedCall("a.1")
	assert.Assert(t, !known)
	_, reply := p.reserve(context.Background(), reservation())
	assert.Assert(t, reply.GetGranted() != nil)
	_, known = p.NestedCall("b.1")
	assert.Assert(t, !known, "a request that was not sent makes no calls")
}
