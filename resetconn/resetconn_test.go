package resetconn_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/resetconn"
)

// connect returns a connection and the other end of it.
func connect(t *testing.T) (net.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := resetconn.Dial(t.Context(), &net.Dialer{}, listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	peer, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	return conn, peer.(*net.TCPConn)
}

// TestRead checks how reading ends, by how the peer ends the connection, and whether a write learns of that first.
func TestRead(t *testing.T) {
	read := func(peer *net.TCPConn, bytes int) { _, _ = io.ReadFull(peer, make([]byte, bytes)) }
	reset := func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() }
	tests := map[string]struct {
		end   func(*net.TCPConn)
		reset bool
		// writeFails reports that a write fails after some time.
		writeFails bool
	}{
		"reset":                       {reset, true, true},
		"orderly end":                 {func(peer *net.TCPConn) { _ = peer.CloseWrite() }, false, false},
		"orderly end, then closed":    {func(peer *net.TCPConn) { _ = peer.CloseWrite(); _ = peer.Close() }, false, true},
		"orderly end, then reset":     {func(peer *net.TCPConn) { _ = peer.CloseWrite(); reset(peer) }, false, true},
		"closed with bytes unread":    {func(peer *net.TCPConn) { read(peer, 1); _ = peer.Close() }, true, true},
		"closed, then reset by write": {func(peer *net.TCPConn) { read(peer, 2); _ = peer.Close() }, false, true},
	}
	for name, test := range tests {
		for _, writes := range []bool{true, false} {
			t.Run(name+map[bool]string{true: "/write first", false: "/read first"}[writes], func(t *testing.T) {
				conn, peer := connect(t)
				_, err := io.WriteString(peer, "text")
				assert.NilError(t, err)
				_, err = conn.Write(make([]byte, 2))
				assert.NilError(t, err)
				test.end(peer)
				for writes && test.writeFails && err == nil {
					_, err = conn.Write([]byte{0})
				}
				text, err := io.ReadAll(conn)
				assert.Equal(t, string(text), "text")
				assert.Equal(t, errors.Is(err, syscall.ECONNRESET), test.reset, "%v", err)
				assert.Equal(t, err == nil, !test.reset, "%v", err)
			})
		}
	}
}

// TestReadBesideBlockedWrite checks that an orderly end is seen although a write waits for the peer to read.
func TestReadBesideBlockedWrite(t *testing.T) {
	conn, peer := connect(t)
	go func() {
		for err := error(nil); err == nil; {
			_, err = conn.Write(make([]byte, 1<<20))
		}
	}()
	time.Sleep(10 * time.Millisecond)
	assert.NilError(t, peer.CloseWrite())
	_, err := io.ReadAll(conn)
	assert.NilError(t, err)
}
