package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProxySilence checks that a silent connection drops everything, even after the link is open
// again, and is not closed by the proxy; that new connections work; and that closing by the
// connecting side is noticed.
func TestProxySilence(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", echo.Addr().String())
	assert.NilError(t, err)
	defer p.close()

	first := connect(t, p)
	assert.Assert(t, answers(t, first))
	silent := p.silence()
	assert.Equal(t, len(silent), 1)
	p.set(linkDropsAll)
	p.set(linkOpen)
	assert.Assert(t, !answers(t, first))
	kept, ended := silent[0].silentFor()
	assert.Assert(t, kept > 0 && !ended)
	assert.Assert(t, answers(t, connect(t, p)))

	assert.NilError(t, first.Close())
	assert.Assert(t, await(t.Context(), 5*time.Second, func() bool {
		_, ended := silent[0].silentFor()
		return ended
	}))
}

// connect returns a connection through a proxy.
func connect(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// answers reports whether sent data is echoed; the test fails if the connection was closed.
func answers(t *testing.T, conn net.Conn) bool {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	if err != nil {
		assert.ErrorContains(t, err, "timeout")
	}
	return err == nil
}
