package inbound_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingServerGetsRequests guards against requests to a server that states in its answers that
// it is leaving.
func TestLeavingServerGetsRequests(t *testing.T) {
	p := newFixture(t)
	p.server.SetLeaving(true)
	assert.Equal(t, p.run(reservation(), "states that it leaves")[:3], "200")
	p.runFor(50 * time.Millisecond)
	assert.Equal(t, p.server.Arrivals(), 1)
	// The entry in the store may be older than the answer.
	p.Published(time.Now(), entryOf(0))
	p.runFor(50 * time.Millisecond)
	assert.Equal(t, p.server.Arrivals(), 1)
}
