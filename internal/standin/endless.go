package standin

import (
	"io"
	"net"
	"sync/atomic"
)

// Endless is a stand-in for a server in trouble: it sends bytes on each connection until that is closed, whatever
// it is asked.
type Endless struct {
	listener net.Listener
	first    string
	part     func(i int) string
	sent     atomic.Int64
}

// NewEndless starts a server at an address that sends first and then each part(i), from 0 on.
func NewEndless(address, first string, part func(i int) string) (*Endless, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Endless{listener: listener, first: first, part: part}
	go e.accept()
	return e, nil
}

// Same returns a part that is always the same.
func Same(text string) func(int) string { return func(int) string { return text } }

// Address returns the address of the server.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Sent returns the number of bytes sent on all connections after first.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// Close ends the server. Connections end with their clients.
func (e *Endless) Close() { _ = e.listener.Close() }

func (e *Endless) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.send(conn)
	}
}

// send sends until the connection is closed.
func (e *Endless) send(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, err := io.WriteString(conn, e.first)
	for i := 0; err == nil; i++ {
		var n int
		n, err = io.WriteString(conn, e.part(i))
		e.sent.Add(int64(n))
	}
}
