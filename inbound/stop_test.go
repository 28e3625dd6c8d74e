package inbound_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
