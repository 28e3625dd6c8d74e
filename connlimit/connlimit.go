// Package connlimit bounds the connections of callers, and the memory of the request heads that they send, whatever their
// number: an HTTP server limits each head, but not all of them together.
package connlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("connlimit")

// ErrHeads is the error of a read of a head for which there is no memory. The connection is then closed, unread.
var ErrHeads = Error.New("no memory left for request heads")

const (
	// HeadBytes is the memory in bytes of all heads together, beyond freeHeadBytes of each. Decoded heads take up to eight
	// times as much.
	HeadBytes = 4 << 20
	// freeHeadBytes is the part of a head that is always read, in bytes: the buffer that a connection has anyway.
	freeHeadBytes = 4 << 10
)

// Limiter bounds the connections that its listeners accept. It is safe for concurrent use.
type Limiter struct {
	maxConns int

	// mu guards the fields below.
	mu sync.Mutex
	// open is the number of connections, closing that of those of them that are being closed.
	open, closing int
	// idle holds the *Conn without a request, the longest idle first.
	idle *list.List
	// heads is the memory of the heads that are being read or whose requests are in progress, in bytes.
	heads int64
	// evicted counts the idle connections that were closed for new ones, refused the new ones that were closed, headless
	// those that were closed since there was no memory for their heads.
	evicted, refused, headless uint64
}

// New returns a limiter to a number of connections; 0 means no limit.
func New(maxConns int) *Limiter {
	return &Limiter{maxConns: maxConns, idle: list.New()}
}

// View is the use of a Limiter in a state dump.
type View struct {
	Open      int    `json:"open"`
	Closing   int    `json:"closing"`
	Limit     int    `json:"limit,omitempty"`
	Idle      int    `json:"idle"`
	HeadBytes int64  `json:"head_bytes"`
	Evicted   uint64 `json:"evicted"`
	Refused   uint64 `json:"refused"`
	Headless  uint64 `json:"headless"`
}

// View returns the present use.
func (l *Limiter) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return View{Open: l.open, Closing: l.closing, Limit: l.maxConns, Idle: l.idle.Len(), HeadBytes: l.heads, Evicted: l.evicted, Refused: l.refused, Headless: l.headless}
}

// Listener returns a listener whose connections count. The inner one must accept TCP connections.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. At the limit, the connection that has been idle longest is closed for a new one; if none is
// idle, the new one is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := inner.(*net.TCPConn)
		if !ok {
			return inner, nil
		}
		if c := l.limiter.add(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// add counts a connection, or returns nil if there is no room for it.
func (l *Limiter) add(tcp *net.TCPConn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && l.open >= l.maxConns && !l.evict() {
		l.refused++
		return nil
	}
	l.open++
	c := &Conn{TCPConn: tcp, limiter: l}
	c.inHead.Store(true)
	return c
}

// evict closes the connection that has been idle longest. It returns false if none is idle. l.mu is held.
func (l *Limiter) evict() bool {
	oldest := l.idle.Front()
	if oldest == nil {
		return false
	}
	l.evicted++
	c := oldest.Value.(*Conn)
	l.remove(c)
	_ = c.TCPConn.Close()
	return true
}

// remove ends the counting of a connection. l.mu is held.
func (l *Limiter) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	l.open--
	if c.closing {
		l.closing--
	}
	l.release(c)
	l.setIdle(c, false)
}

// release returns the memory of a connection's head. l.mu is held.
func (l *Limiter) release(c *Conn) {
	l.heads -= c.held
	c.read, c.held = 0, 0
}

// setIdle adds a connection to the idle ones or removes it. l.mu is held.
func (l *Limiter) setIdle(c *Conn, idle bool) {
	if c.element != nil {
		l.idle.Remove(c.element)
		c.element = nil
	}
	if idle {
		c.element = l.idle.PushBack(c)
	}
}

// State is the http.Server.ConnState hook.
func (l *Limiter) State(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state == http.StateNew {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.removed, c.closing:
	case state == http.StateClosed:
		l.remove(c)
	case state == http.StateIdle:
		l.release(c)
		l.setIdle(c, true)
		c.inHead.Store(true)
	default:
		l.setIdle(c, false)
	}
}

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn
	limiter *Limiter
	// inHead reports that what is read belongs to a head.
	inHead atomic.Bool
	// closed reports that Close was called, reset that the connection must then be reset.
	closed, reset atomic.Bool

	// The fields below are guarded by limiter.mu. read is the number of bytes read of the present head, held those of
	// them that count.
	read, held int64
	// element is the place in limiter.idle, nil if the connection is not idle.
	element *list.Element
	// closing reports that the connection is being closed, removed that it has ended.
	closing, removed bool
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if n > 0 && c.inHead.Load() && !c.limiter.hold(c, int64(n)) {
		return 0, ErrHeads
	}
	return n, err
}

// hold counts bytes of a head. It returns false if there is no memory for them.
func (l *Limiter) hold(c *Conn, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.read += bytes
	more := max(c.read-freeHeadBytes, 0) - c.held
	if c.removed || l.heads+more > HeadBytes {
		l.headless++
		return false
	}
	c.held += more
	l.heads += more
	// The server reports the connection as active only after it has read the whole head.
	l.setIdle(c, false)
	return true
}

// isRemoved reports whether a connection no longer counts.
func (l *Limiter) isRemoved(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.removed
}

// connKey is the context key of the *Conn of a request.
type connKey struct{}

// Context is the http.Server.ConnContext hook.
func Context(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// Handler returns a handler that calls inner. The memory of a request's head counts until the request has been answered; what
// follows the head does not. A request whose connection was closed for a new one after it had been read is not handled, since it
// could not be answered.
func Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			if c.limiter.isRemoved(c) {
				panic(http.ErrAbortHandler)
			}
			c.inHead.Store(false)
		}
		inner.ServeHTTP(w, r)
	})
}
