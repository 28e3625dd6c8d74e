package outbound_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/drain"
)

// TestStopOutlastsServersProcess: a process that stops sends no request to a server whose own process ends before it, since that would cut a request for which the caller's process could wait longer.
func TestStopOutlastsServersProcess(t *testing.T) {
	const grace = 6 * time.Second
	tests := map[string]struct {
		// server and caller are how long ago the processes beside the server and of the caller
		// were told to stop; a negative one goes on.
		server, caller time.Duration
		status         int
	}{
		"neither stops":                  {-1, -1, http.StatusOK},
		"the server's stops":             {time.Second, -1, http.StatusOK},
		"the caller's stops":             {-1, time.Second, http.StatusOK},
		"both since the same time":       {time.Second, time.Second, http.StatusOK},
		"the caller's stops for longer":  {500 * time.Millisecond, time.Second, http.StatusOK},
		"the server's stops for longer":  {time.Second, 500 * time.Millisecond, http.StatusServiceUnavailable},
		"the server's is about to close": {2 * time.Second, 0, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "a")
			now := time.Now()
			if test.server >= 0 {
				m.places["a"].Drain(drain.Course{Began: now.Add(-test.server), Grace: grace}, func() bool { return false })
			}
			if test.caller >= 0 {
				m.Drain(drain.Course{Began: now.Add(-test.caller), Grace: grace})
			}
			got := m.send(http.MethodPost, "/pay/1", "id", "", time.Second)
			assert.Equal(t, got.status, test.status, got.body)
			assert.Equal(t, m.runs("id") > 0, test.status == http.StatusOK)
		})
	}
}
