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

// TestNewServerThatHangs: a server that hangs before it has answered often enough for
// its own mean times to be known is set aside as soon as one that has.
//
// Servers of a service with ten slots each were silent for seconds and were not
// suspected: "state=closed inuse=10 queued=20 susp=0.0 overdue=0" of eleven servers of 47,
// 20 more requests queued at each, while 45 of 244 requests in two seconds went unserved.
// They had answered fewer than four requests of the route since their processes began.
func TestNewServerThatHangs(t *testing.T) {
	tests := map[string]struct {
		// known says that the ingress has seen answers of the route.
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
			hung := m.places["b"]
			hung.Start(t.Context(), timer.New())
			m.Remove("a")
			m.servers["b"].SetMode(standin.StampedHang)
			t.Cleanup(func() { m.servers["b"].SetMode(standin.StampedOK) })
			for i := range 2 {
				go m.send("POST", "/pay/1", fmt.Sprint("hung-", i), "", 20*time.Second)
			}
			for began := time.Now(); hung.View().Breaker == "closed"; time.Sleep(10 * time.Millisecond) {
				// Twice the objective of the route, which the mean is no longer than.
				assert.Assert(t, time.Since(began) < 2*time.Second, "nothing is suspected: %+v", hung.View())
			}
		})
	}
}
