package outbound_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/retry"
)

// TestFailedServerPaysForNextAttempt checks that requests which one server fails are served by the other, although that has
// no budget for extra attempts.
func TestFailedServerPaysForNextAttempt(t *testing.T) {
	const window = 500 * time.Millisecond
	m := newBoundedMesh(t, inbound.Bounds{RetrySlack: 6, RetryWindow: window}, "a", "b")
	m.inbounds["a"].SetSharer(retry.Sharer{Servers: 1})
	m.inbounds["b"].SetSharer(retry.Sharer{})
	time.Sleep(window)
	m.servers["a"].SetMode(standin.StampedError)
	for i := 0; m.servers["a"].Arrivals() < 2; i++ {
		assert.Assert(t, i < 100, "the server that fails gets no requests")
		g := m.send("POST", "/look/1", fmt.Sprint("id-", i), "", 2*time.Second)
		assert.Equal(t, g.status, http.StatusOK, g.body)
	}
}
