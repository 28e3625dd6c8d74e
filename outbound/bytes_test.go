package outbound_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
)

// connect makes the ingress reach the processes beside the servers by real connections.
func (m *mesh) connect(t *testing.T) {
	pool := link.NewPool(nil)
	t.Cleanup(func() { _ = pool.Close() })
	addresses := map[*inbound.Inbound]string{}
	for _, in := range m.inbounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := grpc.NewServer(link.ServerOptions()...)
		slatewindv1.RegisterSlotsServer(server, link.SlotsServer{Serve: in.Serve})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		addresses[in] = listener.Addr().String()
	}
	m.open = func(ctx context.Context, in *inbound.Inbound) (link.Use, error) {
		return pool.Use(ctx, addresses[in], false)
	}
}

// TestBytesOutsideUTF8 guards against a request or an answer that is lost between processes because of a byte that is not
// UTF-8.
func TestBytesOutsideUTF8(t *testing.T) {
	const text = "caf\xe9"
	tests := map[string]struct {
		target, header string
		// answer is what the server writes after the status line.
		answer string
		status int
	}{
		"in the target":            {"/pay/" + text, "plain", "X-Text: plain\r\n", http.StatusOK},
		"in the query":             {"/pay/1?q=" + text, "plain", "X-Text: plain\r\n", http.StatusOK},
		"in a header":              {"/pay/1", text, "X-Text: plain\r\n", http.StatusOK},
		"in a header of an answer": {"/pay/1", "plain", "X-Text: " + text + "\r\n", http.StatusOK},
		"in a malformed answer":    {"/pay/1", "plain", text + "\r\n", http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			arrived := make(chan *http.Request, 1)
			m.addServer(t, "a", "svc", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrived <- r
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				names := platform.Servers()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: id\r\n%s: stamp\r\nContent-Length: 2\r\n%s\r\nok", names.RequestID, names.Stamp, test.answer)
			}))
			m.connect(t)
			conn, err := net.Dial("tcp", strings.TrimPrefix(m.callers.URL, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: id\r\nX-Text: %s\r\n\r\n", test.target, platform.Callers().RequestID, test.header)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, "%s", body)
			r := <-arrived
			assert.Equal(t, r.RequestURI, test.target)
			assert.Equal(t, r.Header.Get("X-Text"), test.header)
			if test.status != http.StatusOK {
				assert.Assert(t, strings.Contains(string(body), "malformed"), "%s", body)
				return
			}
			assert.Equal(t, "X-Text: "+response.Header.Get("X-Text")+"\r\n", test.answer)
		})
	}
}
