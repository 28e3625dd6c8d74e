package inbound_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/timer"
)

// hang fills all slots of the server with non-repeatable requests that hang, after the server has
// answered enough requests for its mean service time to be known, and waits until the breaker
// opens.
func (p *fixture) hang(t *testing.T) {
	p.Start(t.Context(), timer.New())
	p.server.SetDelay(10 * time.Millisecond)
	for i := range 6 {
		assert.Equal(t, p.run(reservation(), fmt.Sprint("early-", i)), "200 s-1 /x b")
	}
	p.server.SetModeForNewRequests(standin.StampedHang)
	t.Cleanup(func() { p.server.SetMode(standin.StampedOK) })
	for i := range slots {
		single := reservation()
		single.Repeatable, single.Careful, single.RemainingMs, single.BearableTenths = false, true, 60_000, 1000
		use, reply := p.reserve(context.Background(), single)
		assert.Assert(t, reply.GetGranted() != nil, "%v", reply)
		go func() { _, _ = request(use, fmt.Sprint("hung-", i)) }()
	}
	for p.View().Breaker == "closed" {
		time.Sleep(5 * time.Millisecond)
	}
}

// TestHangingServerGetsTrials: a server whose slots are all held by hanging requests still gets
// repeatable requests as trials, one at a time, so that its recovery is noticed. Requests that
// cannot be repeated are refused.
//
// Without trials beyond the slots, a server that had recovered got nothing until the hanging
// requests reached their deadlines, for 2 to 9 s with in_use=10 slots=10. Three of six healthy
// servers of a service were idle in this way for two seconds, while 45 of 244 requests went
// unserved.
func TestHangingServerGetsTrials(t *testing.T) {
	p := newFixture(t)
	p.hang(t)
	p.server.SetModeForNewRequests(standin.StampedOK)
	answered := func() bool {
		r := reservation()
		r.PatienceMs = 20
		return p.run(r, "trial") == "200 s-1 /x b"
	}
	began := time.Now()
	for !answered() {
		assert.Assert(t, time.Since(began) < 2*time.Second, "the server has recovered and gets no request")
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, p.InUse(), slots, "the hanging requests must still hold their slots")
	single := reservation()
	single.Repeatable, single.Careful, single.PatienceMs, single.LastResort = false, true, 20, true
	for range 5 {
		result := p.run(single, "single")
		assert.Assert(t, result == "full" || result == "sick", result)
	}
}

// TestOneTrialBeyondTheSlots: at most one more request than there are slots is sent to a server
// on which requests hang.
func TestOneTrialBeyondTheSlots(t *testing.T) {
	p := newFixture(t)
	p.hang(t)
	before := p.server.Arrivals()
	for began := time.Now(); time.Since(began) < 1500*time.Millisecond; {
		r := reservation()
		r.PatienceMs = 20
		use, reply := p.reserve(t.Context(), r)
		if reply.GetGranted() != nil {
			go func() { _, _ = request(use, "trial") }()
		}
		assert.Assert(t, p.InUse() <= slots+1)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, p.server.Arrivals()-before, 1)
}
