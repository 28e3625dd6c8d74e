package outbound_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/retry"
)

// TestFailedServerPaysForNextAttempt checks that requests which are trials of a server that is set aside, and fail there, are
// served by another one, although that has no budget for extra attempts.
func TestFailedServerPaysForNextAttempt(t *testing.T) {
	const window = 500 * time.Millisecond
	m := newBoundedMesh(t, inbound.Bounds{RetrySlack: 6, RetryWindow: window}, "a", "b")
	m.inbounds["a"].SetSharer(retry.Sharer{Servers: 1})
	m.inbounds["b"].SetSharer(retry.Sharer{})
	time.Sleep(window)
	m.servers["a"].SetMode(standin.StampedReset)
	for i := 0; m.inbounds["a"].View().Breaker == breaker.StateClosed; i++ {
		assert.Assert(t, i < 200, "the breaker stays closed")
		m.send("POST", "/look/1", fmt.Sprint("first-", i), "", 2*time.Second)
	}
	m.servers["a"].SetMode(standin.StampedError)
	before := m.servers["a"].Arrivals()
	began := time.Now()
	for i := 0; m.servers["a"].Arrivals() < before+2; i++ {
		assert.Assert(t, time.Since(began) < 10*time.Second, "the server gets no trials")
		g := m.send("POST", "/look/1", fmt.Sprint("id-", i), "", 2*time.Second)
		assert.Equal(t, g.status, http.StatusOK, g.body)
	}
}
