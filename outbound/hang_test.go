package outbound_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/timer"
)

// TestNewServerThatHangs checks that a server that hangs before it has answered enough requests for
// mean times of its own is suspected as quickly as one that has answered enough.
//
// Servers that had answered fewer than four requests of the route since their processes started
// were not suspected although they were silent for seconds: 11 of 47 servers, with 10 slots each,
// had all slots in use and 20 more requests queued, and 45 of 244 requests in two seconds failed.
func TestNewServerThatHangs(t *testing.T) {
	tests := map[string]struct {
		// known states whether the ingress has seen responses on the route.
		known bool
	}{
		"the route is known":     {true},
		"the route is not known": {false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "a")
			m.servers["a"].SetDelay(10 * time.Millisecond)
			for i := range 6 {
				if test.known {
					assert.Equal(t, m.send("POST", "/pay/1", fmt.Sprint("early-", i), "", time.Second).status, http.StatusOK)
				}
			}
			m.add(t, "b", "svc")
			hung := m.inbounds["b"]
			hung.Start(t.Context(), timer.New())
			m.Remove("a")
			m.servers["b"].SetMode(standin.StampedHang)
			t.Cleanup(func() { m.servers["b"].SetMode(standin.StampedOK) })
			for i := range 2 {
				go m.send("POST", "/pay/1", fmt.Sprint("hung-", i), "", 20*time.Second)
			}
			for began := time.Now(); hung.View().Breaker == "closed"; time.Sleep(10 * time.Millisecond) {
				// This is twice the route's objective, which the mean time does not exceed.
				assert.Assert(t, time.Since(began) < 2*time.Second, "nothing is suspected: %+v", hung.View())
			}
		})
	}
}
