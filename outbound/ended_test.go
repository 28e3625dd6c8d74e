package outbound_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/platform"
)

// endedBytes is the length of an answer that is longer than all buffers on its way to a caller that does not read.
const endedBytes = 16 * link.MaxBufferedBytes

// TestEndedProcessTruncatesVisibly guards against an answer that the end of this process cuts off while its caller still reads,
// and that appears complete to it.
func TestEndedProcessTruncatesVisibly(t *testing.T) {
	ends := map[string]func(m *mesh, server *httptest.Server){
		"close": func(_ *mesh, server *httptest.Server) { _ = server.Config.Close() },
		"shutdown, then close": func(_ *mesh, server *httptest.Server) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_ = server.Config.Shutdown(ctx)
			_ = server.Config.Close()
		},
		"end": func(m *mesh, _ *httptest.Server) { m.End() },
		"end, then close": func(m *mesh, server *httptest.Server) {
			m.End()
			_ = server.Config.Close()
		},
	}
	for name, end := range ends {
		for _, stated := range []bool{true, false} {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for _, stopping := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, stated %t, %s, stopping %t", name, stated, protocol, stopping), func(t *testing.T) {
						t.Parallel()
						m := newUploadMesh(t, outbound.Memory{}, "a")
						m.serve = serveAnswer(bytes.Repeat([]byte("b"), endedBytes), stated, endComplete)
						server := httptest.NewUnstartedServer(m.Outbound)
						server.Config.ConnContext = link.ConnContext
						server.Start()
						t.Cleanup(server.Close)
						if stopping {
							m.Drain(drain.Schedule{Began: time.Now(), Grace: time.Minute})
						}
						conn := sendOnly(t, server, protocol)
						reader := bufio.NewReader(conn)
						_, err := reader.Peek(1)
						assert.NilError(t, err)
						end(m, server)
						response, err := http.ReadResponse(reader, nil)
						assert.NilError(t, err)
						assert.Equal(t, response.StatusCode, http.StatusOK)
						defer func() { _ = response.Body.Close() }()
						n, err := io.Copy(io.Discard, response.Body)
						assert.Assert(t, err != nil || n == endedBytes, "%d bytes of %d appear complete", n, endedBytes)
					})
				}
			}
		}
	}
}

// sendOnly sends a request to a server of callers and reads nothing.
func sendOnly(t *testing.T, server *httptest.Server, protocol string) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(60*time.Second)))
	names := platform.Callers()
	_, err = fmt.Fprintf(conn, "GET /send/1 %s\r\nHost: h.example\r\n%s: id\r\n%s: 20000\r\n\r\n", protocol, names.RequestID, names.Deadline)
	assert.NilError(t, err)
	return conn
}
