package connlimit_test

import (
	"context"
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

// TestUnreadRequestKeepsAnswer guards against answers that are destroyed when their connection is closed although its caller has
// sent its next request, or sends it then.
func TestUnreadRequestKeepsAnswer(t *testing.T) {
	const answerBytes, nextBytes, readBuffer, pause = 512 << 10, 64 << 10, 64 << 10, 50 * time.Millisecond
	next := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", nextBytes, strings.Repeat("n", nextBytes))
	tests := map[string]struct{ together, after string }{
		"sent together":        {together: next},
		"sent after the close": {after: next},
		"none":                 {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := connlimit.New(0)
			address := serve(t, limiter, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, strings.Repeat("a", answerBytes))
			}))
			c := dial(t, address)
			assert.NilError(t, c.Conn.(*net.TCPConn).SetReadBuffer(readBuffer))
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+test.together)
			assert.NilError(t, err)
			time.Sleep(pause)
			_, err = io.WriteString(c, test.after)
			assert.NilError(t, err)
			time.Sleep(pause)
			assert.NilError(t, c.receive(strings.Repeat("a", answerBytes)))
			assert.NilError(t, c.Close())
			await(t, func() bool { v := limiter.View(); return v.Open == 0 && v.Closing == 0 })
		})
	}
}

// TestCloseIsBounded checks that a caller that does not close its side does not keep a closed connection, and that what it
// sends is not handled.
func TestCloseIsBounded(t *testing.T) {
	limiter := connlimit.New(0)
	handled := make(chan struct{}, 4)
	address := serve(t, limiter, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled <- struct{}{}
		w.Header().Set("Connection", "close")
	}))
	c := dial(t, address)
	assert.NilError(t, c.sendEmpty())
	await(t, func() bool { return limiter.View().Closing == 1 })
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	limiter.AwaitClosed(t.Context())
	assert.Equal(t, limiter.View().Open, 0)
	assert.Equal(t, len(handled), 1)
}

// TestAwaitClosedEnds checks that the wait for connections that are being closed ends with its context.
func TestAwaitClosedEnds(t *testing.T) {
	limiter := connlimit.New(0)
	c := dial(t, serve(t, limiter, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })))
	assert.NilError(t, c.sendEmpty())
	await(t, func() bool { return limiter.View().Closing == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	limiter.AwaitClosed(ctx)
	assert.Equal(t, limiter.View().Closing, 1)
}

// TestResetIsNotDelayed checks that a connection that is to be reset ends at once.
func TestResetIsNotDelayed(t *testing.T) {
	limiter := connlimit.New(0)
	c := dial(t, serve(t, limiter, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if assert.Check(t, err) {
			assert.Check(t, conn.(*connlimit.Conn).SetLinger(0))
			assert.Check(t, conn.Close())
		}
	})))
	assert.ErrorContains(t, c.sendEmpty(), "reset")
	assert.Equal(t, limiter.View().Open, 0)
}

// sendEmpty sends a request without a body and receives an empty answer.
func (c caller) sendEmpty() error {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	return c.receive("")
}
