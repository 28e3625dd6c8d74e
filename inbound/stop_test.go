package inbound_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
)

// TestShutdownGrantsNoSlotOfUnhealthyServer: a shutdown that has stopped admission and waits for
// slow requests grants no slot of a server that hangs, since the process would cut off what the
// server does not complete.
func TestShutdownGrantsNoSlotOfUnhealthyServer(t *testing.T) {
	p := newFixture(t)
	p.hang(t)
	lastResort := reservation()
	lastResort.LastResort = true
	p.awaitTrial(t)
	p.Drain(shutdownStartedAgo(3*time.Second), func() bool { return true })
	assert.Equal(t, p.run(lastResort, "id"), string(inbound.CauseStopping))
}

// awaitTrial waits until a hanging server grants a slot for a trial, and releases the slot.
func (p *fixture) awaitTrial(t *testing.T) {
	t.Helper()
	granted := func() bool {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, reply := p.reserve(ctx, reservation())
		return reply.GetGranted() != nil
	}
	for !granted() {
		time.Sleep(5 * time.Millisecond)
	}
	for p.InUse() > slots {
		time.Sleep(5 * time.Millisecond)
	}
}

// TestShutdownGrantsShorterRequests: while long requests delay the exit of a process, the server
// beside it gets shorter ones that end before them. Otherwise it would be idle for most of the
// shutdown.
func TestShutdownGrantsShorterRequests(t *testing.T) {
	const mean = 200 * time.Millisecond
	p := newFixture(t)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 5})
	p.server.SetDelay(mean)
	for i := range 4 {
		assert.Equal(t, p.run(reservation(), fmt.Sprint("early-", i)), "200 s-1 /x b")
	}
	p.server.SetDelay(5 * mean)
	var long sync.WaitGroup
	defer long.Wait()
	for i := range 3 {
		long.Go(func() { p.run(reservation(), fmt.Sprint("long-", i)) })
	}
	for p.InUse() < 3 {
		time.Sleep(time.Millisecond)
	}
	p.server.SetDelay(0)
	p.Drain(shutdownStartedAgo(2250*time.Millisecond), noCallers)
	assert.Equal(t, p.run(longReservation(1000), "longer"), string(inbound.CauseStopping))
	assert.Equal(t, p.run(longReservation(100), "short"), "200 s-1 /x b")
}

// TestEnd checks that a run that outlasts the process ends with a reason that its sender can tell
// from a passed deadline, and that the server then has no request in flight.
func TestEnd(t *testing.T) {
	p := newFixture(t)
	p.server.SetMode(standin.StampedHang)
	use, reply := p.reserve(t.Context(), reservation())
	assert.Assert(t, reply.GetGranted() != nil, reply)
	go func() {
		for p.server.Arrivals() == 0 {
			time.Sleep(time.Millisecond)
		}
		p.End()
	}()
	reply, err := request(use, "id")
	assert.NilError(t, err)
	assert.Equal(t, reply.GetFailure().GetOutcome(), string(slatewind.OutcomeUnknown))
	assert.Equal(t, reply.GetFailure().GetReason(), "inbound: the process beside the server exits")
	for p.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestShutdownQueuesNoLongRequestAtServer checks that a stopping process sends a hanging server no
// request beyond its slots that may outlast the process. The server would keep it in its own queue
// for as long as the hanging ones last, without an answer, and the process would cut it.
func TestShutdownQueuesNoLongRequestAtServer(t *testing.T) {
	tests := map[string]struct {
		stopping  bool
		remaining time.Duration
		granted   bool
	}{
		"no shutdown":                 {false, time.Minute, true},
		"over before the process":     {true, 4 * time.Second, true},
		"may outlast the process":     {true, time.Minute, false},
		"over just after the process": {true, 5600 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newFixture(t)
			p.hang(t)
			p.awaitTrial(t)
			if test.stopping {
				p.Drain(shutdownStartedAgo(0), noCallers)
			}
			r := reservation()
			r.RemainingMs, r.PatienceMs = uint32(test.remaining.Milliseconds()), 500
			use, reply := p.reserve(t.Context(), r)
			for reply.GetQueued() != nil {
				var err error
				reply, err = use.Recv()
				assert.NilError(t, err)
			}
			assert.Equal(t, reply.GetGranted() != nil, test.granted, "%v", reply)
		})
	}
}
