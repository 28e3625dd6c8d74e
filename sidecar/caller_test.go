package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/sidecar"
)

// call sends a request to a server and reads the whole answer.
func call(t *testing.T, address string) (body []byte, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	caller := sidecar.NewHTTPCaller()
	defer caller.CloseIdle()
	answer, _, err := caller.Call(ctx, address, &slatewindv1.RunRequest{AttemptId: "a-1", Method: "GET", Target: []byte("/x")})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, _, err = answer.ReadUpTo(1 << 20)
	return body, err
}

// TestServerBytesWithoutEnd checks that an answer whose head never ends fails soon after a bounded number of bytes.
func TestServerBytesWithoutEnd(t *testing.T) {
	const maxTime, maxSent = 2 * time.Second, 16 << 20
	long := strings.Repeat("a", 1<<14)
	tests := map[string]struct {
		first string
		part  func(i int) string
	}{
		"no answer":       {"", standin.Same(long)},
		"status line":     {"HTTP/1.1 200 ", standin.Same(long)},
		"one field":       {"HTTP/1.1 200 OK\r\nA: ", standin.Same(long)},
		"many fields":     {"HTTP/1.1 200 OK\r\n", func(i int) string { return fmt.Sprintf("A%d: b\r\n", i) }},
		"interim answers": {"", standin.Same("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewEndless("127.0.0.1:0", test.first, test.part)
			assert.NilError(t, err)
			defer server.Close()
			began := time.Now()
			_, err = call(t, server.Address())
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(began) < maxTime, "took %s", time.Since(began))
			assert.Assert(t, server.Sent() < maxSent, "the server sent %d bytes", server.Sent())
		})
	}
}

// TestServerAnswerCutAnywhere checks that an answer that a server cuts off after any byte of its head, or of a body whose
// length it states, is never taken for a complete one.
func TestServerAnswerCutAnywhere(t *testing.T) {
	tests := map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\nlong enough!",
		"empty body": "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n",
		"chunked":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nlong e\r\n0\r\n\r\n",
		"no length":  "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			for cut := range len(text) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				go func() {
					defer func() { _ = listener.Close() }()
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = conn.Read(make([]byte, 1<<10))
					_, _ = io.WriteString(conn, text[:cut])
					_ = conn.Close()
				}()
				body, err := call(t, listener.Addr().String())
				assert.Assert(t, err != nil, "cut after %d bytes (%q): body %q", cut, text[:cut], body)
			}
		})
	}
}
