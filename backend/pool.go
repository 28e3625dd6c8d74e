package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind"
)

// conn is one connection to the server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when the connection must not be used any more.
	expires time.Time
}

// Pool keeps connections to one server.
type Pool struct {
	address string
	dialect slatewind.ServerHeaders

	mu   sync.Mutex
	idle []*conn
	// opened counts the connections that were ever opened.
	opened uint64
}

// NewPool returns a pool for the server at an IP:port address.
func NewPool(address string, dialect slatewind.ServerHeaders) *Pool {
	return &Pool{address: address, dialect: dialect}
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes the connections that no request uses.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// connection returns a kept connection or a new one.
func (p *Pool) connection(ctx context.Context) (*conn, error) {
	for {
		c := p.take()
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && untouched(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx)
}

// Probe returns an error where no connection to the server can be opened. One that can is kept
// for the next request.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.keep(c, nil)
	return nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferBytes)}, nil
}

// take returns the connection that was kept last, or nil.
func (p *Pool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// keep puts a connection back, or closes it where enough are kept.
func (p *Pool) keep(c *conn, header http.Header) {
	c.expires = time.Now().Add(keepTime(header))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// keepTime returns how long a connection may rest, by the server's Keep-Alive.
func keepTime(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleTime
}

// unread reports whether bytes wait to be read on a connection, also while it is read from.
func unread(c net.Conn) bool {
	control := controlOf(c)
	if control == nil {
		return false
	}
	waiting := 0
	err := control.Control(func(descriptor uintptr) {
		var one [1]byte
		waiting, _, _ = syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && waiting > 0
}

// untouched reports whether nothing arrived on an idle connection, neither
// bytes, which would belong to no request, nor its end.
func untouched(c net.Conn) bool {
	control := controlOf(c)
	if control == nil {
		return false
	}
	quiet := false
	err := control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// controlOf returns what reaches the socket of a connection, or nil where it is closed.
func controlOf(c net.Conn) syscall.RawConn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return control
}
