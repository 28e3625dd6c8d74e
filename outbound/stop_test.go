package outbound_test

import (
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/drain"
)

// TestStopOutlastsServersProcess checks that a process that is shutting down sends no request to a
// server whose own process exits earlier if the request may need longer: that process would cut
// it off while the caller's could still wait.
func TestStopOutlastsServersProcess(t *testing.T) {
	const (
		grace = 6 * time.Second
		// long exceeds the duration of a shutdown.
		long = 10 * time.Second
	)
	tests := map[string]struct {
		// server and caller are how long ago the shutdown of the process beside the server and of the
		// caller's process began; negative if it did not.
		server, caller time.Duration
		// allowed is the caller's deadline for the request.
		allowed time.Duration
		status  int
	}{
		"neither stops":                  {-1, -1, long, http.StatusOK},
		"the server's stops":             {time.Second, -1, long, http.StatusOK},
		"the caller's stops":             {-1, time.Second, long, http.StatusOK},
		"both since the same time":       {time.Second, time.Second, long, http.StatusOK},
		"the caller's stops for longer":  {500 * time.Millisecond, time.Second, long, http.StatusOK},
		"the server's stops for longer":  {time.Second, 500 * time.Millisecond, long, http.StatusServiceUnavailable},
		"a request that is over before":  {time.Second, 500 * time.Millisecond, time.Second, http.StatusOK},
		"the server's is about to close": {2 * time.Second, 0, long, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "a")
			m.publish(2, &slatewindv1.Route{
				Name: "long", Host: "h.example", PathPrefix: "/long/", Kind: string(slatewind.KindSingle), Service: "svc",
				Timeout: durationpb.New(time.Minute), Objective: durationpb.New(400 * time.Millisecond),
			})
			now := time.Now()
			if test.server >= 0 {
				m.inbounds["a"].Drain(drain.Schedule{Began: now.Add(-test.server), Grace: grace}, func() bool { return false })
			}
			if test.caller >= 0 {
				m.Drain(drain.Schedule{Began: now.Add(-test.caller), Grace: grace})
			}
			got := m.send(http.MethodPost, "/long/1", "id", "", test.allowed)
			assert.Equal(t, got.status, test.status, got.body)
			assert.Equal(t, m.runs("id") > 0, test.status == http.StatusOK)
		})
	}
}
