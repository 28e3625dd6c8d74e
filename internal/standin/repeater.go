package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// repeatPause is the time between a copy and the next answer, in which the client may already use the connection
// again.
const repeatPause = 2 * time.Millisecond

// Repeater is a stand-in for a server that answers twice. It writes a copy of its last answer on a connection only
// after it has read the next request there, and then the answer to that request.
type Repeater struct {
	listener net.Listener
	answer   func(*http.Request) string
	copied   func(last string, next *http.Request) string
}

// NewRepeater starts a server at an address. answer returns the text of the answer to a request, and copied that of the
// copy of the last answer, which is written in the place of the answer to next.
func NewRepeater(address string, answer func(*http.Request) string, copied func(last string, next *http.Request) string) (*Repeater, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Repeater{listener: listener, answer: answer, copied: copied}
	go s.accept()
	return s, nil
}

// SameAnswer returns the copy of an answer that differs from it in nothing.
func SameAnswer(last string, _ *http.Request) string { return last }

// Address returns the address of the server.
func (s *Repeater) Address() string { return s.listener.Addr().String() }

// Close ends the server. Connections end with their clients.
func (s *Repeater) Close() { _ = s.listener.Close() }

func (s *Repeater) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers requests until the connection is closed.
func (s *Repeater) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	last := ""
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if last != "" {
			if _, err := io.WriteString(conn, s.copied(last, r)); err != nil {
				return
			}
			time.Sleep(repeatPause)
		}
		last = s.answer(r)
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
	}
}
