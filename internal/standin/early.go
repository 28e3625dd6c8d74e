package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Early is a stand-in for a server that answers a request as soon as it has read its head, and reads no more of it.
type Early struct {
	listener net.Listener
	answer   func(*http.Request) string
	end      func(*net.TCPConn)
}

// NewEarly starts a server at an address. answer returns the text of the answer to a request, and end ends its
// connection.
func NewEarly(address string, answer func(*http.Request) string, end func(*net.TCPConn)) (*Early, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Early{listener: listener, answer: answer, end: end}
	go e.accept()
	return e, nil
}

// EndByReset resets a connection.
func EndByReset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// EndInOrder closes a connection so that the client learns of the end before the reset for what it goes on to send.
func EndInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_ = conn.Close()
}

// Address returns the address of the server.
func (e *Early) Address() string { return e.listener.Addr().String() }

// Close ends the server. Connections end by their end function.
func (e *Early) Close() { _ = e.listener.Close() }

func (e *Early) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn.(*net.TCPConn))
	}
}

// serve answers one request.
func (e *Early) serve(conn *net.TCPConn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	_, _ = io.WriteString(conn, e.answer(r))
	e.end(conn)
}
