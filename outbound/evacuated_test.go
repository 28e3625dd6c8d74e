package outbound_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// TestEvacuatedServersGetNothing checks that no request reaches a server of an evacuated data centre,
// at whichever of the two processes the evacuation is known, that the servers of others serve, and
// that a service all of whose servers are evacuated is refused at once.
func TestEvacuatedServersGetNothing(t *testing.T) {
	tests := map[string]struct {
		// ingress and sidecar name the servers known to be evacuated there.
		ingress, sidecar []string
		status           int
	}{
		"known at the ingress":     {ingress: []string{"a", "b"}, status: http.StatusOK},
		"known beside the servers": {sidecar: []string{"a", "b"}, status: http.StatusOK},
		"all servers":              {ingress: []string{"a", "b", "c"}, status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "a", "b", "c")
			entry := func(name string) slatewind.ServerEntry {
				return slatewind.ServerEntry{Name: name, Service: "svc", Address: m.addresses[name], DataCentre: "dc", Slots: meshSlots, Evacuated: true}
			}
			for _, name := range test.ingress {
				m.Put(time.Now(), entry(name))
			}
			for _, name := range test.sidecar {
				evacuated := entry(name)
				m.inbounds[name].Published(time.Now(), &evacuated)
			}
			for i := range 20 {
				g := m.send("POST", "/pay/1", fmt.Sprint(i), "", 2*time.Second)
				assert.Equal(t, g.status, test.status, g.body)
				assert.Assert(t, g.took < 200*time.Millisecond, "decided after %s", g.took)
			}
			for _, name := range append(test.ingress, test.sidecar...) {
				assert.Equal(t, m.servers[name].Arrivals(), 0)
			}
		})
	}
}
