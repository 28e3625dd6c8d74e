package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// entry returns the entry that a server writes when it starts; start identifies the start.
func (f *nodes) entry(i int, start int64) slatewind.ServerEntry {
	return slatewind.ServerEntry{
		Name: fmt.Sprint("s-", i), Service: "svc", Address: f.address(i, 9000), DataCentre: "dc", Slots: 4, Start: start,
	}
}

// awaitRevision waits until all nodes have seen a revision of the store.
func (f *nodes) awaitRevision(revision uint64) {
	f.t.Helper()
	f.await("all nodes have seen the revision", func() bool {
		for _, n := range f.nodes {
			if n.watcher.Revision().Number < revision {
				return false
			}
		}
		return true
	})
}

// TestNodeServerStartsAgain checks that a server that crashes and restarts under the same name gets
// requests at once, whatever state its previous start left behind, and that a late entry of the
// previous start changes nothing. A request of kind single that the previous start had is not run again.
func TestNodeServerStartsAgain(t *testing.T) {
	f := newNodes(t, 2)
	for i := range f.servers {
		f.awaitRevision(f.store.PutServer(f.entry(i, 1)))
	}
	f.servers[1].SetMode(standin.StampedShed)
	f.servers[0].SetMode(standin.StampedHang)
	status := make(chan int, 1)
	go func() { status <- f.send(0, "/pay/1", "had") }()
	f.await("the server has the request", func() bool { return f.runs("had") == 1 })
	f.servers[0].Restart()
	assert.Equal(t, <-status, http.StatusBadGateway, "it may have run")
	f.servers[0].SetMode(standin.StampedLost)
	for i := 0; f.nodes[0].inbound.View().Breaker == breaker.StateClosed; i++ {
		f.send(0, "/look/1", fmt.Sprint("lost-", i))
	}
	f.servers[0].Restart()

	f.awaitRevision(f.store.PutServer(f.entry(0, 2)))
	assert.Equal(t, f.nodes[0].inbound.View().Breaker, breaker.StateClosed)
	for i := range 10 {
		assert.Equal(t, f.send(i%2, "/pay/1", fmt.Sprint("new-", i)), http.StatusOK)
	}
	late := f.entry(0, 1)
	late.Leaving = true
	f.awaitRevision(f.store.PutServer(late))
	for i := range 10 {
		assert.Equal(t, f.send(i%2, "/pay/1", fmt.Sprint("late-", i)), http.StatusOK)
	}
	assert.Equal(t, f.runs("had"), 1)
}

// TestNodeSpoiltEntries checks for each kind of invalid entry that its server gets no requests until
// it writes a valid entry again, and that the other server gets all of them.
func TestNodeSpoiltEntries(t *testing.T) {
	f := newNodes(t, 2)
	for _, how := range standin.AllSpoilt {
		f.awaitRevision(f.store.Spoil(f.entry(0, 1), how))
		assert.Equal(t, f.nodes[1].outbound.Servers(), 1, how)
		assert.Assert(t, f.nodes[0].inbound.View().Leaving != "", how)
		assert.Equal(t, f.send(0, "/pay/1", "id-"+string(how)), http.StatusOK)
		assert.Equal(t, f.servers[0].Arrivals(), 0)
		f.awaitRevision(f.store.PutServer(f.entry(0, 1)))
		assert.Equal(t, f.nodes[1].outbound.Servers(), 2, how)
	}
}

// TestNodeServiceWithoutName checks that an entry of a service that is not in the settings replaces
// no server, although it has the address of one, and that its server is used once the settings
// name the service, without another write of the entry.
func TestNodeServiceWithoutName(t *testing.T) {
	f := newNodes(t, 2)
	unknown := f.entry(0, 9)
	unknown.Name, unknown.Service = "s-9", "other"
	f.awaitRevision(f.store.PutServer(unknown))
	for i := range 10 {
		assert.Equal(t, f.send(i%2, "/pay/1", fmt.Sprint("id-", i)), http.StatusOK)
	}
	assert.Equal(t, f.nodes[1].outbound.Servers(), 2)
	assert.Equal(t, f.serversOf(1, "other"), 0)

	value, err := platform.EncodeConfig(slatewind.PublishedSettings{Version: 2, Fleet: &slatewindv1.Fleet{
		Services: []*slatewindv1.Service{{Name: "svc"}, {Name: "other"}},
		Routes:   []*slatewindv1.Route{nodeRoute("pay", slatewind.KindSingle)},
	}}, nil)
	assert.NilError(t, err)
	f.store.Put(platform.ConfigKey, value)
	f.await("the server of the new service is known", func() bool { return f.serversOf(1, "other") == 1 })
}

// serversOf returns how many servers of a service a node knows.
func (f *nodes) serversOf(i int, service string) int {
	for _, view := range f.nodes[i].outbound.View(time.Now()).Services {
		if view.Name == service {
			return len(view.Servers)
		}
	}
	return 0
}
