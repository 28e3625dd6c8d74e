package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/resetconn"
)

// conn is one connection to the server.
type conn struct {
	net.Conn
	// reader reads through head.
	reader *bufio.Reader
	head   *headLimiter
	// expires is when the connection must no longer be used.
	expires time.Time
	// spent reports that the connection must not be used for another request.
	spent bool
	// earlier are hashes of the IDs of the requests that were sent before the present one.
	earlier []uint64
	// headOnly reports that these were HEAD requests.
	headOnly bool
	// last states the last answer that was read.
	last string
}

// Pool holds the connections to one server.
type Pool struct {
	address string
	dialect slatewind.ServerHeaders
	observe func(Surplus)

	// mu guards the fields below.
	mu   sync.Mutex
	idle []*conn
	// opened is the total number of connections opened.
	opened uint64
}

// NewPool returns a pool for the server at an IP:port address.
func NewPool(address string, dialect slatewind.ServerHeaders) *Pool {
	return &Pool{address: address, dialect: dialect}
}

// Observe sets the function that is called with what the server sends although no request asked for it. It
// must be called before the first request.
func (p *Pool) Observe(observe func(Surplus)) { p.observe = observe }

// Opened returns the total number of connections opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// connection returns an idle connection that is still usable for a request, or a new one. A request without an ID
// gets a new one for itself, since nothing could tell its answer from others.
func (p *Pool) connection(ctx context.Context, request *http.Request) (*conn, error) {
	if !hasID(request.Header.Values(p.dialect.RequestID)) {
		c, err := p.dial(ctx)
		if err == nil {
			c.spent = true
		}
		return c, err
	}
	for {
		c := p.takeIdle(request)
		if c == nil {
			break
		}
		found := receivedWhileIdle(c.Conn)
		if found == idleQuiet && time.Now().Before(c.expires) {
			return c, nil
		}
		if found == idleBytes {
			p.report(c, request, Surplus{Kind: SurplusAtReuse})
		}
		_ = c.Close()
	}
	return p.dial(ctx)
}

// Probe returns an error if no connection to the server can be opened. Otherwise the connection
// is kept for the next request.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.putIdle(c, nil)
	return nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	raw, err := resetconn.Dial(ctx, &dialer, p.address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	head := &headLimiter{conn: raw}
	return &conn{Conn: raw, head: head, reader: bufio.NewReaderSize(head, bufferBytes)}, nil
}

// takeIdle removes and returns the most recently used idle connection that may carry a request, or nil.
func (p *Pool) takeIdle(request *http.Request) *conn {
	id, isHead := p.idHash(request.Header), request.Method == http.MethodHead
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.mayCarry(id, isHead) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// mayCarry reports whether a connection may carry a request. A late copy of an answer could not be told from the answer to
// a second request with the same ID. An answer to HEAD has no body behind the length that it states, so a
// late one could not be read on a connection for other methods, nor theirs on one for HEAD.
func (c *conn) mayCarry(id uint64, isHead bool) bool {
	return len(c.earlier) == 0 || c.headOnly == isHead && !slices.Contains(c.earlier, id)
}

// recordCarried records that a connection has carried a request.
func (p *Pool) recordCarried(c *conn, request *http.Request) {
	c.earlier, c.headOnly = append(c.earlier, p.idHash(request.Header)), request.Method == http.MethodHead
}

// idHash returns a hash of the ID in a header.
func (p *Pool) idHash(header http.Header) uint64 {
	return xxhash.Sum64String(header.Get(p.dialect.RequestID))
}

// putIdle adds an idle connection to the pool. If the pool is full, it closes the one that has been idle longest: it may be of
// no use to the requests that come.
func (p *Pool) putIdle(c *conn, header http.Header) {
	c.expires = time.Now().Add(idleTimeout(header))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.idle = append(p.idle, c)
}

// idleTimeout returns how long a connection may stay idle, by the server's Keep-Alive header.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// unread reports whether bytes are waiting to be read on a connection. It may be called during a
// read. Unlike a read that only looks, it leaves a reset to be reported to the reader.
func unread(c net.Conn) bool {
	control := rawConn(c)
	if control == nil {
		return false
	}
	waiting := 0
	err := control.Control(func(descriptor uintptr) {
		waiting, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCINQ)
	})
	return err == nil && waiting > 0
}

// idleFinding is what is found on an idle connection.
type idleFinding string

const (
	// idleQuiet: nothing has arrived.
	idleQuiet idleFinding = "quiet"
	// idleBytes: bytes have arrived, which belong to no request.
	idleBytes idleFinding = "bytes"
	// idleEnded: the server has closed the connection.
	idleEnded idleFinding = "ended"
)

// receivedWhileIdle returns what has arrived on an idle connection.
func receivedWhileIdle(c net.Conn) idleFinding {
	control := rawConn(c)
	if control == nil {
		return idleEnded
	}
	found := idleEnded
	err := control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		switch n, readErr := syscall.Read(int(descriptor), one[:]); {
		case errors.Is(readErr, syscall.EAGAIN):
			found = idleQuiet
		case n > 0:
			found = idleBytes
		}
		return true
	})
	if err != nil {
		return idleEnded
	}
	return found
}

// rawConn returns the raw connection for access to the socket, or nil if c has none or it is closed.
func rawConn(c net.Conn) syscall.RawConn {
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
