package connlimit_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/connlimit"
)

const testTimeout = 10 * time.Second

// newServer serves requests whose bodies it reads, and returns its address. A request to /wait is answered once release is
// closed.
func newServer(t *testing.T, limiter *connlimit.Limiter, release <-chan struct{}) string {
	t.Helper()
	return serve(t, limiter, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			<-release
		}
		_, _ = fmt.Fprint(w, n)
	}))
}

// serve starts a server whose connections count, and returns its address.
func serve(t *testing.T, limiter *connlimit.Limiter, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: connlimit.Handler(handler), ConnState: limiter.State, ConnContext: connlimit.Context, ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(limiter.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// caller is a connection with its reader.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return caller{conn, bufio.NewReader(conn)}
}

// send sends a request with a body and returns an error if it is not answered with status 200.
func (c caller) send(path, body string) error {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
		return err
	}
	return c.receive(fmt.Sprint(len(body)))
}

// receive receives an answer and returns an error if it does not have this body.
func (c caller) receive(body string) error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if text, err := io.ReadAll(response.Body); err != nil || string(text) != body {
		return errors.Join(fmt.Errorf("body %q", text), err)
	}
	return nil
}

func await(t *testing.T, what func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !what(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "timed out")
	}
}

// TestConnections checks that the connection idle for the longest makes room for a new one, and that one with a request never does.
func TestConnections(t *testing.T) {
	limiter := connlimit.New(3)
	release := make(chan struct{})
	address := newServer(t, limiter, release)
	first, second, busy := dial(t, address), dial(t, address), dial(t, address)
	answered := make(chan error, 1)
	go func() { answered <- busy.send("/wait", "") }()
	// A caller may have its answer before the server reports its connection as idle.
	for i, c := range []caller{first, second} {
		assert.NilError(t, c.send("/", "body"))
		await(t, func() bool { v := limiter.View(); return v.Open == 3 && v.Idle == i+1 })
	}

	third := dial(t, address)
	assert.NilError(t, third.send("/", "body"))
	_, err := first.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the connection idle for the longest is closed")
	assert.NilError(t, second.send("/", "body"), "the others are kept")
	close(release)
	assert.NilError(t, <-answered)
	view := limiter.View()
	assert.Equal(t, view.Open, 3)
	assert.Equal(t, view.Evicted, uint64(1))
}

// TestRequestOnEvictedConnection checks that a connection is not evicted while a request arrives on it, before the server reports
// it as active, and that the request of one that was evicted is not handled: its answer could not be sent.
func TestRequestOnEvictedConnection(t *testing.T) {
	tests := map[string]struct {
		// pipelined requests are in the server's buffer before the connection becomes idle.
		pipelined bool
		handled   int
	}{
		"arriving":  {pipelined: false, handled: 2},
		"pipelined": {pipelined: true, handled: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
			limiter := connlimit.New(1)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			handled, closed, active := make(chan struct{}, 4), make(chan struct{}, 4), 0
			server := &http.Server{
				Handler: connlimit.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					handled <- struct{}{}
					_, _ = io.WriteString(w, "0")
				})),
				ConnState: func(conn net.Conn, state http.ConnState) {
					if state == http.StateActive {
						active++
					}
					if state == http.StateActive && active == 2 {
						// The server has read the second request and has not reported it yet.
						dial(t, listener.Addr().String())
						await(t, func() bool { v := limiter.View(); return v.Evicted+v.Refused == 1 })
					}
					limiter.State(conn, state)
					if state == http.StateClosed {
						closed <- struct{}{}
					}
				},
				ConnContext: connlimit.Context, ReadHeaderTimeout: testTimeout,
			}
			go func() { _ = server.Serve(limiter.Listener(listener)) }()
			t.Cleanup(func() { _ = server.Close() })
			c := dial(t, listener.Addr().String())
			first := request
			if test.pipelined {
				first += request
			}
			_, err = io.WriteString(c, first)
			assert.NilError(t, err)
			assert.NilError(t, c.receive("0"))
			if !test.pipelined {
				await(t, func() bool { return limiter.View().Idle == 1 })
				_, err = io.WriteString(c, request)
				assert.NilError(t, err)
			}
			err = c.receive("0")
			assert.Equal(t, err == nil, test.handled == 2, "the second answer: %v", err)
			if test.pipelined {
				<-closed
			}
			assert.Equal(t, len(handled), test.handled)
		})
	}
}

// TestNoIdleConnection checks that a new connection is closed if all others have requests, and that there is room again after them.
func TestNoIdleConnection(t *testing.T) {
	limiter := connlimit.New(1)
	release := make(chan struct{})
	address := newServer(t, limiter, release)
	busy := dial(t, address)
	answered := make(chan error, 1)
	go func() { answered <- busy.send("/wait", "") }()
	await(t, func() bool { return limiter.View().Open == 1 })
	assert.Assert(t, dial(t, address).send("/", "") != nil)
	close(release)
	assert.NilError(t, <-answered)
	assert.NilError(t, busy.Close())
	await(t, func() bool { return limiter.View().Open == 0 })
	assert.NilError(t, dial(t, address).send("/", ""))
	assert.Equal(t, limiter.View().Refused, uint64(1))
}

// TestHeads checks that large heads share a bound, that small ones are read beside them, and that bodies do not count.
func TestHeads(t *testing.T) {
	const headBytes = 512 << 10
	limiter := connlimit.New(0)
	address := newServer(t, limiter, nil)
	head := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", headBytes)
	var callers []caller
	for range 2 * connlimit.HeadBytes / headBytes {
		c := dial(t, address)
		callers = append(callers, c)
		go func() { _, _ = io.WriteString(c, head) }()
	}
	await(t, func() bool { return limiter.View().Headless > 0 })
	assert.Assert(t, limiter.View().HeadBytes <= connlimit.HeadBytes)
	assert.NilError(t, dial(t, address).send("/", strings.Repeat("b", 2*connlimit.HeadBytes)), "a small head with a large body")
	for _, c := range callers {
		assert.NilError(t, c.Close())
	}
	await(t, func() bool { return limiter.View().HeadBytes == 0 })
	c := dial(t, address)
	for range 3 {
		assert.NilError(t, c.send("/", "body"))
	}
	await(t, func() bool { v := limiter.View(); return v.HeadBytes == 0 && v.Idle >= 1 })
}
