package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is the behaviour of a link.
type linkMode string

// Modes of a link.
const (
	linkOpen linkMode = "open"
	// linkDelayed delays each chunk by linkDelay.
	linkDelayed linkMode = "delayed"
	// linkDropsAll drops everything without an error on either side.
	linkDropsAll linkMode = "drops all"
	// linkDropsInbound drops what the connecting side sends, linkDropsOutbound what is sent to
	// it.
	linkDropsInbound  linkMode = "drops inbound"
	linkDropsOutbound linkMode = "drops outbound"
)

const (
	// linkDelay is the delay of each chunk on a delayed link.
	linkDelay = 60 * time.Millisecond
	// bufferBytes is the largest chunk that a link forwards at once.
	bufferBytes = 16 << 10
	// connectTimeout bounds connecting to a process on the same machine.
	connectTimeout = time.Second
)

// proxy forwards connections to one address and simulates a faulty link. It needs no privileges
// on the machine, unlike faults injected into the network stack.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  linkMode
	conns map[*proxiedConn]bool
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	// from is the connecting side.
	from, to net.Conn
	// silent makes the connection drop everything until it is closed, whatever the mode of the
	// link.
	silent atomic.Bool
	// lost is when a silent connection first dropped data, and ended when the connecting side
	// closed it, both in Unix nanoseconds; they are 0 until then.
	lost, ended atomic.Int64
}

// end closes a connection with a reset to both sides.
func (c *proxiedConn) end() {
	reset(c.from)
	reset(c.to)
}

// silentFor returns how long a silent connection was kept open after it first dropped data, or
// has been until now, and whether the connecting side has closed it. The time is 0 if the
// connection has dropped nothing.
func (c *proxiedConn) silentFor() (kept time.Duration, ended bool) {
	lost, end := c.lost.Load(), c.ended.Load()
	switch {
	case lost == 0:
		return 0, end != 0
	case end == 0:
		return time.Since(time.Unix(0, lost)), false
	}
	return time.Duration(end - lost), true
}

// newProxy starts a proxy that listens at one address and forwards to another.
func newProxy(at, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &proxy{listener: listener, to: to, mode: linkOpen, conns: map[*proxiedConn]bool{}}
	go p.serve()
	return p, nil
}

// serve accepts connections until the listener is closed.
func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(from)
	}
}

// forward forwards one connection until both directions have ended.
func (p *proxy) forward(from net.Conn) {
	to, err := net.DialTimeout("tcp", p.to, connectTimeout)
	if err != nil {
		reset(from)
		return
	}
	c := &proxiedConn{from: from, to: to}
	p.track(c)
	defer p.untrack(c)
	var both sync.WaitGroup
	both.Go(func() {
		p.copy(c, to, from, linkDropsInbound)
		c.ended.CompareAndSwap(0, time.Now().UnixNano())
	})
	both.Go(func() { p.copy(c, from, to, linkDropsOutbound) })
	both.Wait()
}

// copy forwards one direction of a connection, dropping data as the mode of the link requires.
// Once a chunk has been dropped, the stream is broken and nothing after it may be forwarded.
func (p *proxy) copy(c *proxiedConn, to, from net.Conn, losing linkMode) {
	buffer := make([]byte, bufferBytes)
	broken := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			// An end of the stream is passed on only if nothing was dropped, as on a real link.
			if !broken && !c.silent.Load() {
				closeWrite(to, err)
			}
			return
		}
		mode := p.current()
		if c.silent.Load() {
			c.lost.CompareAndSwap(0, time.Now().UnixNano())
			broken = true
		}
		broken = broken || mode == linkDropsAll || mode == losing
		if broken {
			continue
		}
		if mode == linkDelayed {
			time.Sleep(linkDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// closeWrite passes on the end of a stream: a half-close after an EOF, otherwise a reset.
func closeWrite(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

// reset closes a connection with a reset to its peer.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// current returns the mode of the link.
func (p *proxy) current() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode of the link. If the previous mode dropped data, it resets all connections
// that are not silent, as those of a real link are after a partition.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	lossy := p.mode != linkOpen && p.mode != linkDelayed
	p.mode = mode
	p.mu.Unlock()
	if lossy {
		p.resetAll()
	}
}

// resetAll resets all connections except the silent ones.
func (p *proxy) resetAll() { p.end(false) }

// resetSilent resets the silent connections.
func (p *proxy) resetSilent() { p.end(true) }

// end resets either the silent connections or all others.
func (p *proxy) end(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.silent.Load() == silent {
			c.end()
		}
	}
}

// silence makes all open connections drop everything until they are closed, without an error on
// either side, and returns them; new connections work.
func (p *proxy) silence() (silent []*proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.silent.CompareAndSwap(false, true) {
			silent = append(silent, c)
		}
	}
	return silent
}

// track adds an open connection.
func (p *proxy) track(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

// untrack closes a connection and removes it.
func (p *proxy) untrack(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.from.Close()
	_ = c.to.Close()
}

// close stops the proxy and resets all its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
	p.resetSilent()
}
