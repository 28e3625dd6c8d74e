package sidecar

import (
	"net"
	"sync"
)

// uploadConn is a connection on which a write that fails returns only once no read can return more. The standard library's
// transport closes a connection on a failed write, although an early answer may be there, unread.
type uploadConn struct {
	net.Conn
	// readEnded is closed by endRead, after a read has failed or when the connection is closed.
	readEnded chan struct{}
	endRead   func()
}

func newUploadConn(conn net.Conn) *uploadConn {
	c := &uploadConn{Conn: conn, readEnded: make(chan struct{})}
	c.endRead = sync.OnceFunc(func() { close(c.readEnded) })
	return c
}

// Read implements io.Reader.
func (c *uploadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.endRead()
	}
	return n, err
}

// Write implements io.Writer.
func (c *uploadConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		<-c.readEnded
	}
	return n, err
}

// Close implements io.Closer.
func (c *uploadConn) Close() error {
	c.endRead()
	return c.Conn.Close()
}
