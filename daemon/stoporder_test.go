package daemon

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/standin"
)

// TestStopsInAnyOrder checks, for each order in which a request is sent, the process beside its
// server is told to stop and the caller's process is told to stop, that the caller gets the server's
// answer if it arrives before either process must exit. It guards against a stopping process that
// ends a request 100 ms after the deadline that it handed to the server, although it may wait for
// longer: a server answers after that deadline if the request waited in the server's own queue.
func TestStopsInAnyOrder(t *testing.T) {
	const (
		grace = 4 * time.Second
		// never is the time of an event that does not occur.
		never = time.Duration(-1)
		ms    = time.Millisecond
	)
	tests := map[string]struct {
		// sent is when the request is sent, server and caller when the processes beside the server
		// and beside the caller are told to stop.
		sent, server, caller time.Duration
		mode                 standin.StampedMode
		// delay is the delay of the server in that mode.
		delay  time.Duration
		status int
	}{
		"only the server":         {200 * ms, 0, never, standin.StampedOverdue, 150 * ms, http.StatusGatewayTimeout},
		"server, sent, caller":    {200 * ms, 0, 500 * ms, standin.StampedOverdue, 150 * ms, http.StatusGatewayTimeout},
		"only the server, silent": {200 * ms, 0, never, standin.StampedHang, 0, http.StatusBadGateway},
		"server, caller, sent":    {500 * ms, 0, 300 * ms, standin.StampedOK, 0, http.StatusServiceUnavailable},
		"sent, server, caller":    {0, 200 * ms, 400 * ms, standin.StampedOK, 2700 * ms, http.StatusOK},
		"sent, caller, server":    {0, 400 * ms, 200 * ms, standin.StampedOK, 2500 * ms, http.StatusOK},
		"caller, sent, server":    {200 * ms, 400 * ms, 0, standin.StampedOK, 2100 * ms, http.StatusOK},
		"caller, server, sent":    {400 * ms, 200 * ms, 0, standin.StampedOK, 1800 * ms, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newNodes(t, 2)
			for _, node := range f.nodes {
				node.settings.Bounds.Grace = durationpb.New(grace)
			}
			f.useOnlyServer(1)
			f.servers[1].SetMode(test.mode)
			f.servers[1].SetDelay(test.delay)
			var stops sync.WaitGroup
			defer stops.Wait()
			stopAfter := func(node int, after time.Duration) {
				if after == never {
					return
				}
				stops.Go(func() {
					time.Sleep(after)
					assert.Check(t, f.nodes[node].Stop(context.Background()))
				})
			}
			stopAfter(0, test.caller)
			stopAfter(1, test.server)
			time.Sleep(test.sent)
			assert.Equal(t, f.send(0, "/pay/1", "id"), test.status)
		})
	}
}

// useOnlyServer has the other servers drain, so that one server gets all requests.
func (f *nodes) useOnlyServer(only int) {
	for i, node := range f.nodes {
		if i == only {
			continue
		}
		f.enter(i, true)
		f.await("the drain is known", func() bool { return node.inbound.View().Leaving != "" })
	}
}
