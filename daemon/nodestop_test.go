package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// TestNodeStopsInGrace checks that a stopping node exits before the end of the grace period even
// if servers hang, and that every caller has an answer by then. It guards against processes that
// are killed at the end of the grace period, because the wait for requests in flight lasts until
// half a second before it and closing the listeners takes that half second.
func TestNodeStopsInGrace(t *testing.T) {
	tests := map[string]struct {
		// to is the node that receives the requests, stops the node that is stopped.
		to, stops int
		path      string
		// requests is the number of requests; those beyond the servers' slots wait.
		requests int
		grace    time.Duration
	}{
		"single requests hang, received here":      {0, 0, "/pay/1", 4, 4 * time.Second},
		"single requests hang, received elsewhere": {1, 0, "/pay/1", 8, 4 * time.Second},
		"repeatable requests hang, received here":  {0, 0, "/look/1", 4, 4 * time.Second},
		"more requests than slots":                 {0, 0, "/pay/1", 30, 4 * time.Second},
		"short grace period":                       {1, 0, "/pay/1", 8, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newNodes(t, 2)
			for _, server := range f.servers {
				server.SetMode(standin.StampedHang)
			}
			f.nodes[test.stops].settings.Bounds.Grace = durationpb.New(test.grace)
			// A caller connects and sends nothing.
			idle, err := net.Dial("tcp", f.address(test.stops, 8000))
			assert.NilError(t, err)
			defer func() { _ = idle.Close() }()
			statuses := make(chan int, test.requests)
			for i := range test.requests {
				go func() { statuses <- f.send(test.to, test.path, fmt.Sprint("id-", i)) }()
			}
			f.await("the requests are in flight", func() bool { return f.nodes[test.to].outbound.InFlight() == test.requests })
			f.await("a server hangs", func() bool { return f.nodes[test.stops].inbound.InUse() > 0 })
			began := time.Now()
			err = f.nodes[test.stops].Stop(context.Background())
			took := time.Since(began)
			assert.NilError(t, err)
			assert.Assert(t, took < test.grace*95/100, "the stop took %s of %s", took, test.grace)
			if test.to != test.stops {
				return
			}
			for range test.requests {
				status := <-statuses
				assert.Assert(t, status >= http.StatusInternalServerError, status)
			}
			assert.Assert(t, time.Since(began) < test.grace, "the last caller got its answer after %s", time.Since(began))
		})
	}
}

// TestEndedNodeTruncatesVisibly guards against an answer without a length that appears complete to a caller with HTTP/1.0 although
// the end of the process cut it off.
func TestEndedNodeTruncatesVisibly(t *testing.T) {
	t.Parallel()
	const size = 8 << 20
	f := newNodes(t, 1)
	conn, err := net.Dial("tcp", f.address(0, 8000))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	names := platform.Callers()
	_, err = fmt.Fprintf(conn, "POST /pay/1 HTTP/1.0\r\nHost: h.example\r\n%s: id\r\n%s: 8000\r\nContent-Length: %d\r\n\r\n%s",
		names.RequestID, names.Deadline, size, strings.Repeat("b", size))
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, f.nodes[0].callers.Close())
	n, err := io.Copy(io.Discard, conn)
	assert.Assert(t, err != nil, "%d bytes of %d appear complete", n, size)
}
