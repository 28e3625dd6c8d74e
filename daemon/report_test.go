package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/internal/standin"
)

// believes reports what a node believes of a server.
func (f *nodes) believes(i int, server string) (sick bool) {
	for _, service := range f.nodes[i].outbound.View(time.Now()).Services {
		for _, view := range service.Servers {
			sick = sick || view.Name == server && view.Sick
		}
	}
	return sick
}

// TestSickServerIsHeardOf: all nodes know of a sick server without asking it, and that it
// is well again.
func TestSickServerIsHeardOf(t *testing.T) {
	f := newNodes(t, 4)
	f.servers[0].SetMode(standin.StampedReset)
	for i := 0; f.nodes[0].inbound.View().Breaker == breaker.StateClosed; i++ {
		assert.Assert(t, i < 200, "the breaker stays closed")
		f.send(0, "/look/x", fmt.Sprint("first-", i))
	}
	for i := range f.nodes {
		f.await(fmt.Sprint("node ", i, " knows of the sick server"), func() bool { return f.believes(i, "s-0") })
	}
	for _, node := range f.nodes[1:] {
		assert.Equal(t, node.outbound.InFlight(), 0)
	}
	f.servers[0].SetMode(standin.StampedOK)
	// Two trials close it, and a trial comes after a second at most.
	well := time.Now()
	for i := 0; f.nodes[0].inbound.View().Breaker != breaker.StateClosed; i++ {
		assert.Assert(t, time.Since(well) < 3*time.Second, "the breaker stays open")
		f.send(0, "/look/x", fmt.Sprint("second-", i))
	}
	for i := range f.nodes {
		f.await(fmt.Sprint("node ", i, " knows that it is well"), func() bool { return !f.believes(i, "s-0") })
	}
}
