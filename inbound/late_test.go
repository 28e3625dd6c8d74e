package inbound_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/timer"
)

// TestGrantUsedLate: the time between a grant and the request that uses it, which a slow process
// at the other end causes, does not count against the server.
func TestGrantUsedLate(t *testing.T) {
	p := newFixture(t)
	p.Start(t.Context(), timer.New())
	p.server.SetDelay(10 * time.Millisecond)
	for i := range 6 {
		assert.Equal(t, p.run(reservation(), fmt.Sprint("early-", i)), "200 s-1 /x b")
	}
	var granted []link.Use
	for range slots {
		use, reply := p.reserve(context.Background(), reservation())
		assert.Assert(t, reply.GetGranted() != nil, "%v", reply)
		granted = append(granted, use)
	}
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, p.View().Breaker, breaker.StateClosed)
	for i, use := range granted {
		reply, err := request(use, fmt.Sprint("late-", i))
		assert.NilError(t, err)
		assert.Assert(t, reply.GetHead() != nil, "%v", reply)
	}
}
