package inbound_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/internal/standin"
)

// TestErrorDuringNestedCall: two requests of a server end with an error while it makes nested calls
// for them. The results of the calls decide whether the errors count against the server.
func TestErrorDuringNestedCall(t *testing.T) {
	tests := map[string]struct {
		// calls are the IDs of the nested calls, served is their result; with open set they are
		// still in progress when their request ends.
		calls  []string
		served bool
		open   bool
		state  breaker.State
	}{
		"no call":                       {nil, true, false, breaker.StateOpen},
		"calls that were served":        {[]string{"a.1", "b.1"}, true, false, breaker.StateOpen},
		"calls that failed":             {[]string{"a.1", "b.1"}, false, false, breaker.StateClosed},
		"calls in progress":             {[]string{"a.1", "b.1"}, true, true, breaker.StateClosed},
		"one failed, one had no call":   {[]string{"a.1"}, false, false, breaker.StateClosed},
		"nested calls of nested calls":  {[]string{"a.1.2", "b.1.2"}, false, false, breaker.StateClosed},
		"ids with only a common prefix": {[]string{"a1", "b1"}, false, false, breaker.StateOpen},
		"ids of requests from callers":  {[]string{"c.1", "d.1"}, false, false, breaker.StateOpen},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			p.server.SetMode(standin.StampedHeldError)
			results := make(chan string, slots)
			for _, id := range []string{"a", "b"} {
				go func() { results <- p.run(reservation(), id) }()
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
				assert.Assert(t, <-results != "")
			}
			assert.Equal(t, p.View().Breaker, test.state)
		})
	}
}

// TestNestedCallOfEndedRequest: IDs that extend that of a finished request, or of one that was not
// sent, are not nested calls.
func TestNestedCallOfEndedRequest(t *testing.T) {
	p := newFixture(t)
	assert.Equal(t, p.run(reservation(), "a"), "200 s-1 /x b")
	_, known := p.NestedCall("a.1")
	assert.Assert(t, !known)
	_, reply := p.reserve(context.Background(), reservation())
	assert.Assert(t, reply.GetGranted() != nil)
	_, known = p.NestedCall("b.1")
	assert.Assert(t, !known, "a request that was not sent makes no calls")
}
