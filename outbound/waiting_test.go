package outbound_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
)

// bulk is the size of a large request body, in bytes, large enough that servers in other data centres
// have a high cost.
const bulk = 16 << 10

// meshSlots is the number of slots of each server of a mesh.
const meshSlots = 2

// publishBulk publishes a route whose requests may be large and wait for long.
func (m *mesh) publishBulk() { m.publishLarge(2, "/bulk/", 200*time.Millisecond) }

// publishLarge publishes a route of kind single whose requests may be large.
func (m *mesh) publishLarge(version uint64, prefix string, objective time.Duration) {
	m.store.Adopt(time.Now(), "test", &slatewind.PublishedSettings{Version: version, Fleet: &slatewindv1.Fleet{
		Routes: []*slatewindv1.Route{{
			Name: prefix, Host: "h.example", PathPrefix: prefix, Kind: string(slatewind.KindSingle), Service: "svc", Attempts: 2,
			Timeout: durationpb.New(max(20*time.Second, objective)), Objective: durationpb.New(objective),
		}},
		CallerLimits: &slatewindv1.CallerLimits{BodyBytes: 2 * bulk},
	}})
}

// moveFar moves a server to another data centre.
func (m *mesh) moveFar(name string) {
	m.mu.Lock()
	address := m.inbounds[name].View().Address
	m.mu.Unlock()
	m.Put(time.Now(), slatewind.ServerEntry{Name: name, Service: "svc", Address: address, DataCentre: "far", Slots: meshSlots})
}

// TestWaitsNearThenAsksFar checks that a large request first waits at the full servers of its own data
// centre, and after a while takes a free slot in another.
func TestWaitsNearThenAsksFar(t *testing.T) {
	m := newMesh(t, "a", "b", "c")
	m.publishBulk()
	m.setAll(standin.StampedHang)
	body := strings.Repeat("x", bulk)
	var held sync.WaitGroup
	const nearSlots = 3 * meshSlots
	for i := range nearSlots {
		held.Go(func() { m.send("POST", "/bulk/1", fmt.Sprint("held-", i), body, 20*time.Second) })
	}
	await(t, func() bool {
		return m.inbounds["a"].InUse()+m.inbounds["b"].InUse()+m.inbounds["c"].InUse() == nearSlots
	})
	m.add(t, "d", "svc")
	m.moveFar("d")
	g := m.send("POST", "/bulk/1", "id", body, 20*time.Second)
	assert.Equal(t, g.status, 200, g.body)
	assert.Equal(t, m.servers["d"].Runs()["id"], 1)
	m.setAll(standin.StampedOK)
	held.Wait()
}

// TestQueuesNearFirst checks that a request that waits at the full servers of its own data centre does
// not immediately ask a server in another one at a much higher cost.
func TestQueuesNearFirst(t *testing.T) {
	m := newMesh(t, "a", "b")
	m.publishBulk()
	m.setAll(standin.StampedHang)
	body := strings.Repeat("x", bulk)
	var held sync.WaitGroup
	const nearSlots = 2 * meshSlots
	for i := range nearSlots {
		held.Go(func() { m.send("POST", "/bulk/1", fmt.Sprint("held-", i), body, 20*time.Second) })
	}
	await(t, func() bool { return m.inbounds["a"].InUse()+m.inbounds["b"].InUse() == nearSlots })
	m.add(t, "far", "svc")
	m.moveFar("far")
	// With an objective this long, the test ends before the request asks further servers.
	m.publishLarge(3, "/patient/", time.Hour)
	held.Go(func() { m.send("POST", "/patient/1", "id", body, time.Hour) })
	await(t, func() bool { return m.inbounds["a"].View().Queued+m.inbounds["b"].View().Queued == 2 })
	m.setAll(standin.StampedOK)
	held.Wait()
	assert.Equal(t, m.runs("id"), 1)
	assert.Equal(t, m.servers["far"].Arrivals(), 0)
}

// TestSearchPastManySickServers checks that a request finds the only healthy server among many
// unhealthy ones although each refusal takes a while, by asking several at once.
//
// While two in five servers were slow and others lost responses, 1,086 requests in eight seconds were
// refused as "the server is ejected": servers were asked one after another at about 10 ms each, and
// the time to wait for a slot was over before the healthy ones were asked, for example after 976 ms
// with 92 of 178 servers asked, 88 of them unhealthy.
func TestSearchPastManySickServers(t *testing.T) {
	const sick = 40
	m := newMesh(t)
	for i := range sick {
		name := fmt.Sprint("sick-", i)
		m.linkFaults[name] = linkSick
		m.Put(time.Now(), slatewind.ServerEntry{Name: name, Service: "svc", Address: fmt.Sprint("10.0.0.1:", i), DataCentre: "dc", Slots: 2})
	}
	m.add(t, "well", "svc")
	m.Put(time.Now(), slatewind.ServerEntry{Name: "well", Service: "svc", Address: "10.0.0.2:1", DataCentre: "far", Slots: 2})
	g := m.send("POST", "/pay/1", "id", "b", 2*time.Second)
	assert.Equal(t, g.status, http.StatusOK, g.body)
	assert.Equal(t, m.runs("id"), 1)
}
