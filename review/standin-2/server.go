package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is a request as it arrived at a server: the target is that of the request line, unchanged.
type request struct {
	method, target string
	header         textproto.MIMEHeader
	body           []byte
}

func (r *request) id() string { return r.header.Get("X-Request-Id") }

// run is one run of a request at a server, without its body.
type run struct {
	request
	at time.Time
}

// server is a backend server as the pages describe it. It takes the request line as it stands.
type server struct {
	fleet   *fleet
	machine int
	id      string
	service string
	address string
	slots   int

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	seq      int
	state    string
	ended    chan struct{}
	runs     []run
	// answer answers a request that is run; nil means a plain answer.
	answer func(conn net.Conn, r *request) error
}

// start opens the server's address and records it in the store.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.conns, s.ended, s.state = listener, map[net.Conn]bool{}, make(chan struct{}), "ready"
	ended := s.ended
	s.mu.Unlock()
	go s.accept(listener)
	s.beat()
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	return nil
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	s.seq++
	seq, state := s.seq, s.state
	s.mu.Unlock()
	value, _ := json.Marshal(fields{
		"Service": s.service, "Address": s.address, "Zone": zoneOf(s.machine), "Version": "v1", "Slots": s.slots,
		"State": state, "ColdRemainingMs": 0, "Seq": seq,
	})
	s.fleet.store.put("servers/"+s.id, value)
}

// crash ends the server at once.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	close(s.ended)
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// serve serves the requests of a connection.
func (s *server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		if err := s.handle(conn, r); err != nil {
			return
		}
	}
}

func (s *server) handle(conn net.Conn, r *request) error {
	switch expected := r.header.Get("X-Expect-Instance"); {
	case r.target == healthPath:
		return write(conn, http.StatusOK, []string{"X-Instance-Id: " + s.id}, nil)
	case expected != "" && expected != s.id:
		s.fleet.record.add("server %s rejects %s with 421", s.id, r.id())
		return write(conn, http.StatusMisdirectedRequest, []string{"X-Request-Id: " + r.id(), "X-Instance-Id: " + s.id, "X-Not-Executed: 1"}, nil)
	case r.id() == "":
		return write(conn, http.StatusBadRequest, []string{"X-Not-Executed: 1"}, nil)
	}
	s.mu.Lock()
	kept := run{*r, time.Now()}
	kept.body = nil
	s.runs = append(s.runs, kept)
	answer := s.answer
	s.mu.Unlock()
	s.fleet.record.add("server %s (%s) runs %s: %s %s, %d bytes", s.id, s.service, r.id(), r.method, r.target, len(r.body))
	if answer != nil {
		return answer(conn, r)
	}
	return s.plain(conn, r, []byte("answer to "+r.id()+"\n"))
}

// plain writes a whole answer with the server's stamp.
func (s *server) plain(conn net.Conn, r *request, body []byte) error {
	return write(conn, http.StatusOK, s.proof(r), body)
}

// proof returns the header fields that every answer of a run carries.
func (s *server) proof(r *request) []string {
	return []string{"X-Request-Id: " + r.id(), "X-Server-Stamp: " + s.id + "." + r.id(), fmt.Sprintf("X-Load-Report: 1,0,%d", s.slots)}
}

// taken returns the runs until now.
func (s *server) taken() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func write(conn net.Conn, status int, header []string, body []byte) error {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, field := range header {
		head += field + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	_, err := conn.Write(append([]byte(head), body...))
	return err
}

// readRequest reads a request without a look at its target.
func readRequest(reader *bufio.Reader) (*request, error) {
	text := textproto.NewReader(reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	parts := strings.SplitN(line, " ", 3)
	if len(parts) != 3 {
		return nil, errors.New("no request line: " + line)
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	r := &request{method: parts[0], target: parts[1], header: header}
	length, _ := strconv.Atoi(header.Get("Content-Length"))
	if length > 0 {
		r.body = make([]byte, length)
		_, err = io.ReadFull(reader, r.body)
	}
	return r, err
}
