package outbound_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/warmup"
)

// restartProcess replaces the process beside a server by a new one, which knows the server's entry
// and nothing else.
func (m *mesh) restartProcess(t *testing.T, name string) {
	entry := m.entry(name)
	in := inbound.New(inbound.Server{Service: "svc", Address: entry.Address, Headers: platform.Servers()}, m.bounds, m.history, m.suspects, inbound.Memory{})
	in.SetWarmup(warmup.Limits{})
	t.Cleanup(in.Close)
	in.Published(time.Now(), &entry)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inbounds[name] = in
}

// entry returns the entry of a server.
func (m *mesh) entry(name string) slatewind.ServerEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slatewind.ServerEntry{Name: name, Service: "svc", Address: m.addresses[name], DataCentre: "dc", Slots: meshSlots}
}

// TestRestartForgetsLimit guards against requests beyond the limit that a server stated before the
// process beside it was restarted, and before its entry was removed for a moment.
func TestRestartForgetsLimit(t *testing.T) {
	const limit, restarts = 2, 4
	tests := map[string]func(m *mesh){
		"its entry stays": func(*mesh) {},
		"its entry is removed and returns": func(m *mesh) {
			m.Remove("a")
			m.Put(time.Now(), m.entry("a"))
		},
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "a")
			m.servers["a"].SetLimit(fmt.Sprint(limit))
			m.servers["a"].SetDelay(100 * time.Millisecond)
			assert.Equal(t, m.send("POST", "/pay/1", "states the limit", "", time.Second).status, 200)
			began := time.Now()
			for i := range restarts {
				before(m)
				m.restartProcess(t, "a")
				send := func(j int) { m.send("POST", "/pay/1", fmt.Sprint(i, "-", j), "", 200*time.Millisecond) }
				var atOnce sync.WaitGroup
				for j := range 2 * meshSlots {
					atOnce.Go(func() { send(j) })
				}
				atOnce.Wait()
				for j := range 2 * meshSlots {
					send(2*meshSlots + j)
				}
			}
			got := m.servers["a"].Arrivals() - 1
			allowed := int(limit*time.Since(began).Seconds()) + 1
			assert.Assert(t, got <= allowed, "%d requests in %s, allowed %d", got, time.Since(began), allowed)
		})
	}
}

// TestRestartForgetsLeaving guards against requests to a server that stated that it leaves before
// the process beside it was restarted.
func TestRestartForgetsLeaving(t *testing.T) {
	for _, long := range []bool{false, true} {
		t.Run(fmt.Sprint("long answer ", long), func(t *testing.T) {
			m := newMesh(t, "a")
			m.servers["a"].SetLeaving(true)
			body := ""
			if long {
				m.callerLimits.BodyBytes = 1 << 20
				m.publish(2)
				body = strings.Repeat("x", 1<<19)
			}
			assert.Equal(t, m.send("POST", "/pay/1", "states that it leaves", body, 5*time.Second).status, 200)
			m.restartProcess(t, "a")
			assert.Equal(t, m.send("POST", "/pay/1", "after", "", time.Second).status, 503)
			assert.Equal(t, m.servers["a"].Arrivals(), 1)
		})
	}
}
