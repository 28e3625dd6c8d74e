package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"google.golang.org/grpc/mem"
)

// monitoredConn reports to a monitor what is received and sent on a connection, whatever call it
// belongs to.
type monitoredConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	monitor *monitor
}

// monitored wraps a connection that was dialled; err is the error of the dial.
func (m *monitor) monitored(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(Error.New("%T is no TCP connection", conn), conn.Close())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Join(Error.Wrap(err), conn.Close())
	}
	return &monitoredConn{tcp, raw, m}, nil
}

// Read implements net.Conn.
func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.recordReceived(n)
	return n, err
}

// ReadOnReady reads into a buffer that it takes from pool once data has arrived. gRPC uses it in
// place of Read, so that idle connections hold no read buffers.
func (c *monitoredConn) ReadOnReady(bufSize int, pool mem.BufferPool) (buf *[]byte, n int, err error) {
	var failed error
	err = c.raw.Read(func(descriptor uintptr) (done bool) {
		buf = pool.Get(bufSize)
		if n, failed = syscall.Read(int(descriptor), *buf); failed != nil {
			pool.Put(buf)
			buf = nil
		}
		return !errors.Is(failed, syscall.EAGAIN) && !errors.Is(failed, syscall.EINTR)
	})
	err = errors.Join(err, failed)
	if err == nil && n == 0 {
		pool.Put(buf)
		return nil, 0, io.EOF
	}
	if err != nil {
		return nil, 0, err
	}
	c.recordReceived(n)
	return buf, n, nil
}

// Write implements net.Conn.
func (c *monitoredConn) Write(b []byte) (int, error) {
	c.monitor.recordSent(len(b))
	return c.TCPConn.Write(b)
}

func (c *monitoredConn) recordReceived(bytes int) {
	if bytes > 0 {
		c.monitor.lastReceived.Store(time.Now().UnixNano())
	}
}
