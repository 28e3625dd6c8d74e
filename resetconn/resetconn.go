// Package resetconn provides TCP connections on which a reset never looks like an orderly end.
//
// The system reports a reset to one call on the socket only, the first that asks. If that is a write, reads get an
// end of file, as they do after an orderly end.
package resetconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of errors of this package.
var Error = errs.Class("resetconn")

// conn is a TCP connection. Its Read returns ECONNRESET in place of io.EOF if a write got the reset.
//
// A connection that the peer first ends in order and then resets stays at io.EOF: the system reports EPIPE, not
// ECONNRESET, to writes on it.
type conn struct {
	// The interface hides ReadFrom, which would bypass Write.
	net.Conn
	raw syscall.RawConn

	// writing is held during a write. It guards reset.
	writing sync.Mutex
	// reset reports that a write got ECONNRESET.
	reset bool
}

// Dial opens a connection to an IP:port address. The connection implements syscall.Conn.
func Dial(ctx context.Context, dialer *net.Dialer, address string) (net.Conn, error) {
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := opened.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, errs.Combine(Error.Wrap(err), opened.Close())
	}
	return &conn{Conn: opened, raw: raw}, nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset = true
	}
	return n, err
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF if the peer has ended its direction of the connection in order, and an error otherwise.
func (c *conn) endError() error {
	closed, err := c.closed()
	if err != nil {
		return err
	}
	if !closed {
		return io.EOF
	}
	// A write that has got the reset may not have recorded it yet. It ends soon: on a closed socket no write blocks.
	c.writing.Lock()
	defer c.writing.Unlock()
	if !c.reset {
		return io.EOF
	}
	return &net.OpError{
		Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET),
	}
}

// closed reports whether both directions of the socket have ended, as they have after a reset.
func (c *conn) closed() (bool, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errs.Combine(err, infoErr); err != nil {
		return false, Error.Wrap(err)
	}
	return info.State == unix.BPF_TCP_CLOSE, nil
}
