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
)

// TestStopLendsNoSlotOfASickServer: a closed stop that waits for stragglers gives no slot of a server that hangs, since its process cuts at its end what the server does not finish.
func TestStopLendsNoSlotOfASickServer(t *testing.T) {
	p := newPlace(t)
	p.hang(t)
	lastResort := reservation()
	lastResort.LastResort = true
	p.awaitTrial(t)
	p.Drain(stopSince(3*time.Second), func() bool { return true })
	assert.Equal(t, p.run(lastResort, "id"), string(inbound.CauseStopping))
}

// awaitTrial waits until a server that hangs gives a slot for a trial, which is given back.
func (p *place) awaitTrial(t *testing.T) {
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

// TestStopLendsWhatEndsBefore: the server beside a process that long requests keep from ending gets short ones, which end before; else it would be without work for most of the stop.
func TestStopLendsWhatEndsBefore(t *testing.T) {
	const mean = 200 * time.Millisecond
	p := newPlace(t)
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
	p.Drain(stopSince(2250*time.Millisecond), nobody)
	assert.Equal(t, p.run(longReservation(1000), "longer"), string(inbound.CauseStopping))
	assert.Equal(t, p.run(longReservation(100), "short"), "200 s-1 /x b")
}
