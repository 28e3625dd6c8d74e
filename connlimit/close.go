package connlimit

import (
	"context"
	"io"
	"net"
	"time"
)

// closeTimeout bounds how long a closed connection waits for its caller to close its side.
const closeTimeout = 500 * time.Millisecond

// Close implements net.Conn. Nothing more is sent or read, but the connection remains until the caller has closed its side, at
// most for closeTimeout: bytes that the caller sends meanwhile, such as its next request, would otherwise cause a reset,
// which destroys what the caller has not read of its last answer.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.reset.Load() || c.CloseWrite() != nil {
		return c.end()
	}
	c.limiter.beginClose(c)
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
		_, _ = io.Copy(io.Discard, c.TCPConn)
		_ = c.end()
	}()
	return nil
}

// SetLinger sets what happens to unsent bytes when the connection is closed. With 0 seconds, it is reset at once.
func (c *Conn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// end closes the connection.
func (c *Conn) end() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.TCPConn.Close()
}

// beginClose records that a connection is being closed. It counts until its end.
func (l *Limiter) beginClose(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed {
		return
	}
	c.closing = true
	l.closing++
	l.release(c)
	l.setIdle(c, false)
}

// AwaitClosed waits until the connections that are being closed have ended, or ctx ends.
func (l *Limiter) AwaitClosed(ctx context.Context) {
	const interval = 5 * time.Millisecond
	poll := time.NewTicker(interval)
	defer poll.Stop()
	for l.View().Closing > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}
