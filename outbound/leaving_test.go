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

// TestCallerLeavesTheQueue checks that a request of any kind whose caller disconnects while it waits
// for a slot is never sent, and is removed from the queue.
func TestCallerLeavesTheQueue(t *testing.T) {
	// A request may wait for a quarter of this time, which is longer than await waits.
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
			await(t, func() bool { return m.inbounds["a"].InUse() == meshSlots })
			leave := m.sendAndLeave(t, "/long/1", "waits")
			await(t, func() bool { return m.inbounds["a"].View().Queued == 1 })
			leave()
			await(t, func() bool { return m.inbounds["a"].View().Queued == 0 })
			m.setAll(standin.StampedOK)
			held.Wait()
			await(t, func() bool { return m.inbounds["a"].InUse() == 0 })
			assert.Equal(t, m.runs("waits"), 0)
		})
	}
}

// TestServerLeavesTheChoice checks that a granted slot is not used if this process knows that the
// server is leaving. The process beside the server may be partitioned and not know.
func TestServerLeavesTheChoice(t *testing.T) {
	m := newMesh(t, "a")
	m.setAll(standin.StampedHang)
	var held sync.WaitGroup
	for _, id := range []string{"held-1", "held-2"} {
		held.Go(func() { m.send("POST", "/pay/1", id, "", time.Second) })
	}
	await(t, func() bool { return m.inbounds["a"].InUse() == meshSlots })
	var waiting sync.WaitGroup
	waiting.Go(func() { m.send("POST", "/pay/1", "waits", "", 5*time.Second) })
	await(t, func() bool { return m.inbounds["a"].View().Queued == 1 })
	m.Put(time.Now(), slatewind.ServerEntry{Name: "a", Service: "svc", DataCentre: "dc", Slots: meshSlots, Leaving: true})
	m.setAll(standin.StampedOK)
	held.Wait()
	waiting.Wait()
	assert.Equal(t, m.runs("waits"), 0)
}

// sendAndLeave sends a request in the background. leave closes its connection and returns once the
// client has stopped.
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

// TestRefusalSaysWhy checks that a refusal distinguishes servers that are unknown from servers that
// may not be asked, and that its journal entry counts the latter.
func TestRefusalSaysWhy(t *testing.T) {
	tests := map[string]struct {
		servers  []string
		reason   string
		evidence string
	}{
		"no server is known":           {nil, "no server of the service is known", "status=503"},
		"the only known server leaves": {[]string{"a"}, "no known server of the service may be asked now", "known=1 asked=0 not_asked: leaving=1"},
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
