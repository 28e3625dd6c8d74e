package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is how a link behaves.
type linkMode string

// Modes of a link.
const (
	linkOpen linkMode = "open"
	// linkDelayed holds each piece back for linkDelay.
	linkDelayed linkMode = "delayed"
	// linkDropsAll loses everything without a sign to either side.
	linkDropsAll linkMode = "drops all"
	// linkDropsInbound loses what the side that connected sends,
	// linkDropsOutbound what it is sent.
	linkDropsInbound  linkMode = "drops inbound"
	linkDropsOutbound linkMode = "drops outbound"
)

const (
	// linkDelay is how late a delayed link brings each piece.
	linkDelay = 60 * time.Millisecond
	// pieceBytes is how much a link carries at once.
	pieceBytes = 16 << 10
	// connectTime bounds a connect to a process on the same machine.
	connectTime = time.Second
)

// proxy passes connections on to one address and behaves as a bad link does, so
// that faults of the network need no rights on the machine.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

// newProxy listens at an address for another one.
func newProxy(at, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &proxy{listener: listener, to: to, mode: linkOpen, conns: map[net.Conn]bool{}}
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
		go p.carry(from)
	}
}

// carry takes one connection to where it is meant to go.
func (p *proxy) carry(from net.Conn) {
	to, err := net.DialTimeout("tcp", p.to, connectTime)
	if err != nil {
		reset(from)
		return
	}
	p.hold(from, to)
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, linkDropsInbound) })
	both.Go(func() { p.copy(from, to, linkDropsOutbound) })
	both.Wait()
	p.drop(from, to)
}

// copy carries what comes one way, unless the link loses it. A piece that was
// lost breaks the stream, so that nothing after it may be carried.
func (p *proxy) copy(to, from net.Conn, losing linkMode) {
	piece := make([]byte, pieceBytes)
	broken := false
	for {
		n, err := from.Read(piece)
		if err != nil {
			// The other side hears of an end in order, not of a lost one.
			if !broken {
				closeWrite(to, err)
			}
			return
		}
		mode := p.current()
		broken = broken || mode == linkDropsAll || mode == losing
		if broken {
			continue
		}
		if mode == linkDelayed {
			time.Sleep(linkDelay)
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}

// closeWrite passes the end of a stream on: in order, or by a reset.
func closeWrite(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
}

// reset ends a connection so that its peer gets a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// current returns how the link behaves now.
func (p *proxy) current() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes how the link behaves. When it opens again, connections that lost
// something are reset, as a real one is after a cut.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	lossy := p.mode != linkOpen && p.mode != linkDelayed
	p.mode = mode
	p.mu.Unlock()
	if lossy {
		p.resetAll()
	}
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// hold notes connections that are open.
func (p *proxy) hold(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// drop closes connections and forgets them.
func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		_ = conn.Close()
	}
}

// close ends the proxy and all its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}
