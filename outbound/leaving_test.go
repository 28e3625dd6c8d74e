package outbound_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// TestCallerLeavesTheQueue: a request that still waits for a slot when its caller
// leaves is never sent, of whichever kind, and frees its place in the queue.
func TestCallerLeavesTheQueue(t *testing.T) {
	// A quarter of this time, for which a request may wait, is longer than await.
	const timeout = time.Minute
	for _, kind := range []slatewind.Kind{slatewind.KindRepeatable, slatewind.KindSingle} {
		t.Run(string(kind), func(t *testing.T) {
			m := newMesh(t, "a")
			m.publish(2, &slatewindv1.Route{
				Name: "long", Host: "h.example", PathPrefix: "/long/", Kind: string(kind), Service: "svc", Timeout: durationpb.New(timeout),
			})
			m.setAll(standin.StampedHang)
			var held sync.WaitGroup
			for _, id := range []string{"held-1", "held-2"} {
				held.Go(func() { m.send("POST", "/pay/1", id, "", 2*time.Second) })
			}
			await(t, func() bool { return m.places["a"].InUse() == meshSlots })
			leave := m.sendAndLeave(t, "/long/1", "waits")
			await(t, func() bool { return m.places["a"].View().Queued == 1 })
			leave()
			await(t, func() bool { return m.places["a"].View().Queued == 0 })
			m.setAll(standin.StampedOK)
			held.Wait()
			await(t, func() bool { return m.places["a"].InUse() == 0 })
			assert.Equal(t, m.runs("waits"), 0)
		})
	}
}

// TestServerLeavesTheChoice: a slot that is granted by the process beside a server
// which, as this process knows, leaves, is not used. The other process may be cut
// off and not know.
func TestServerLeavesTheChoice(t *testing.T) {
	m := newMesh(t, "a")
	m.setAll(standin.StampedHang)
	var held sync.WaitGroup
	for _, id := range []string{"held-1", "held-2"} {
		held.Go(func() { m.send("POST", "/pay/1", id, "", time.Second) })
	}
	await(t, func() bool { return m.places["a"].InUse() == meshSlots })
	var waiting sync.WaitGroup
	waiting.Go(func() { m.send("POST", "/pay/1", "waits", "", 5*time.Second) })
	await(t, func() bool { return m.places["a"].View().Queued == 1 })
	m.Put(time.Now(), slatewind.ServerEntry{Name: "a", Service: "svc", DataCentre: "dc", Slots: meshSlots, Leaving: true})
	m.setAll(standin.StampedOK)
	held.Wait()
	waiting.Wait()
	assert.Equal(t, m.runs("waits"), 0)
}

// sendAndLeave sends a request in the background; leave closes its connection
// and returns when the caller is gone.
func (m *mesh) sendAndLeave(t *testing.T, path, id string) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, m.callers.URL+path, nil)
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set(platform.Callers().RequestID, id)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

// TestRefusalSaysWhy: a refusal tells servers that are not known from servers that
// may not be asked, and its line counts them.
func TestRefusalSaysWhy(t *testing.T) {
	tests := map[string]struct {
		servers  []string
		reason   string
		evidence string
	}{
		"no server is known":          {nil, "no server of the service is known", "status=503"},
		"the only known one is going": {[]string{"a"}, "no known server of the service may be asked now", "known=1 asked=0 not_asked: leaving=1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, test.servers...)
			for _, server := range test.servers {
				m.Put(time.Now(), slatewind.ServerEntry{Name: server, Service: "svc", Address: "a:1", DataCentre: "dc", Slots: 2, Leaving: true})
			}
			g := m.send("GET", "/look/1", "id", "", time.Second)
			assert.Equal(t, strings.TrimSpace(g.body), test.reason)
			decisions := m.history.Find(history.Filter{Request: "id"})
			assert.Equal(t, len(decisions), 1)
			assert.Assert(t, strings.Contains(decisions[0].Evidence, test.evidence), decisions[0].Evidence)
		})
	}
}
