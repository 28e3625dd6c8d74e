package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/internal/standin"
)

// considersUnhealthy reports whether a node considers a server unhealthy.
func (f *nodes) considersUnhealthy(i int, server string) (unhealthy bool) {
	for _, service := range f.nodes[i].outbound.View(time.Now()).Services {
		for _, view := range service.Servers {
			unhealthy = unhealthy || view.Name == server && view.Sick
		}
	}
	return unhealthy
}

// TestSickServerIsHeardOf checks that all nodes learn that a server is unhealthy without sending it
// a request, and that it has recovered.
func TestSickServerIsHeardOf(t *testing.T) {
	f := newNodes(t, 4)
	f.servers[0].SetMode(standin.StampedReset)
	for i := 0; f.nodes[0].inbound.View().Breaker == breaker.StateClosed; i++ {
		assert.Assert(t, i < 200, "the breaker stays closed")
		f.send(0, "/look/x", fmt.Sprint("first-", i))
	}
	for i := range f.nodes {
		f.await(fmt.Sprint("node ", i, " knows of the unhealthy server"), func() bool { return f.considersUnhealthy(i, "s-0") })
	}
	for _, node := range f.nodes[1:] {
		assert.Equal(t, node.outbound.InFlight(), 0)
	}
	f.servers[0].SetMode(standin.StampedOK)
	// Two trials close the breaker, and the time between trials is at most a second.
	recovered := time.Now()
	for i := 0; f.nodes[0].inbound.View().Breaker != breaker.StateClosed; i++ {
		assert.Assert(t, time.Since(recovered) < 3*time.Second, "the breaker stays open")
		f.send(0, "/look/x", fmt.Sprint("second-", i))
	}
	for i := range f.nodes {
		f.await(fmt.Sprint("node ", i, " knows that it has recovered"), func() bool { return !f.considersUnhealthy(i, "s-0") })
	}
}
