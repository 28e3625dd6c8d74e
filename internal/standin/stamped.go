package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"slatewind.example/slatewind"
)

// StampedMode is the behaviour of a stamped server.
type StampedMode string

// Modes of a stamped server.
const (
	StampedOK StampedMode = ""
	// StampedReset resets each connection without running the request.
	StampedReset StampedMode = "reset"
	// StampedLost runs each request and resets its connection without an answer.
	StampedLost StampedMode = "lost"
	// StampedError runs each request and answers it with status 500.
	StampedError StampedMode = "error"
	// StampedShed rejects each request with status 503 without running it.
	StampedShed StampedMode = "shed"
	// StampedHang holds each request until SetMode changes the mode, and then answers it.
	StampedHang StampedMode = "hang"
	// StampedHeldError holds each request like StampedHang and then answers with status 500.
	StampedHeldError StampedMode = "held-error"
	// StampedOverdue holds each request until the deadline that it was handed and the delay of
	// SetDelay after it, and then answers with status 504.
	StampedOverdue StampedMode = "overdue"
	// StampedCut truncates each answer in the middle of its body.
	StampedCut StampedMode = "cut"
	// StampedEndlessHead and StampedEndlessBody send an answer whose head or body does not end, StampedEndlessBytes bytes that
	// are no answer, until the connection is closed. The request counts as run.
	StampedEndlessHead  StampedMode = "endless-head"
	StampedEndlessBody  StampedMode = "endless-body"
	StampedEndlessBytes StampedMode = "endless-bytes"
)

// Stamped is a stand-in for a backend server that identifies itself in its answers,
// rejects requests that are addressed to another server, and counts what it runs. It is
// safe for concurrent use.
type Stamped struct {
	headerNames slatewind.ServerHeaders
	name        string

	// mu guards the fields below.
	mu    sync.Mutex
	mode  StampedMode
	delay time.Duration
	// draw, if not nil, draws the mode of each request instead.
	draw func() StampedMode
	// limit and leaving are what the server states about itself in its answers.
	limit   string
	leaving bool
	// runs counts the runs by request id, arrivals all requests, run or not. headers holds the
	// header of the latest arrival by request id.
	runs     map[string]int
	headers  map[string]http.Header
	arrivals int
	// release is closed and replaced to release held requests.
	release chan struct{}
	// crashed is closed and replaced at a restart, which ends the requests in progress.
	crashed chan struct{}
}

// NewStamped returns a server with a name and the names of its header fields.
func NewStamped(name string, headerNames slatewind.ServerHeaders) *Stamped {
	return &Stamped{headerNames: headerNames, name: name, runs: map[string]int{}, headers: map[string]http.Header{}, release: make(chan struct{}), crashed: make(chan struct{})}
}

// SetMode changes the mode and releases held requests.
func (s *Stamped) SetMode(mode StampedMode) {
	s.SetModeForNewRequests(mode)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = make(chan struct{})
}

// Restart simulates a crash and a restart under the same name. The connections of requests in
// progress are reset. The counts of runs are kept.
func (s *Stamped) Restart() {
	s.SetModeForNewRequests(StampedOK)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// SetModeForNewRequests changes the mode for later requests. Held requests remain held.
func (s *Stamped) SetModeForNewRequests(mode StampedMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// SetModeDraw sets a function that draws the mode of each request; nil ends that. Its calls do not overlap.
func (s *Stamped) SetModeDraw(draw func() StampedMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draw = draw
}

// SetDelay sets the service time of requests.
func (s *Stamped) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetLimit sets the limit that the server states in its answers; empty means none.
func (s *Stamped) SetLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// SetLeaving sets whether the server states in its answers that it is leaving.
func (s *Stamped) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// state adds what the server states about itself to an answer.
func (s *Stamped) state(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != "" {
		header.Set(s.headerNames.Limit, s.limit)
	}
	if s.leaving {
		header.Set(s.headerNames.Leaving, slatewind.LeavingValue)
	}
}

// Runs returns the number of runs by request id.
func (s *Stamped) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Arrivals returns the number of requests that arrived, run or not.
func (s *Stamped) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// Headers returns the header of the latest arrival of a request, or nil if there was none.
func (s *Stamped) Headers(id string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[id]
}

// ServeHTTP implements http.Handler.
func (s *Stamped) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(s.headerNames.RequestID)
	w.Header().Set(s.headerNames.RequestID, id)
	w.Header().Set(s.headerNames.Identity, s.name)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.arrivals++
	s.headers[id] = r.Header.Clone()
	mode, delay, release, crashed := s.nextMode(), s.delay, s.release, s.crashed
	expected := r.Header.Get(s.headerNames.Expect)
	misdirected := expected != "" && expected != s.name
	if !misdirected && mode != StampedReset && mode != StampedShed {
		s.runs[id]++
	}
	s.mu.Unlock()
	if misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if mode == StampedOverdue {
		delay += s.remaining(r)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if mode == StampedHang || mode == StampedHeldError {
		select {
		case <-release:
		case <-crashed:
		case <-r.Context().Done():
			return
		}
	}
	select {
	case <-crashed:
		resetConnection(w)
	default:
		s.answer(w, r, mode, body)
	}
}

// nextMode returns the mode of a request. The caller holds s.mu.
func (s *Stamped) nextMode() StampedMode {
	if s.draw != nil {
		return s.draw()
	}
	return s.mode
}

// remaining returns how long the server may work on a request, as stated by its sender.
func (s *Stamped) remaining(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(s.headerNames.Deadline))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *Stamped) answer(w http.ResponseWriter, r *http.Request, mode StampedMode, body []byte) {
	s.state(w.Header())
	switch mode {
	case StampedEndlessHead:
		sendEndlessly(w, "HTTP/1.1 200 OK\r\n", "Field: value\r\n")
		return
	case StampedEndlessBody:
		sendEndlessly(w, "HTTP/1.1 200 OK\r\n"+s.headerNames.RequestID+": "+r.Header.Get(s.headerNames.RequestID)+"\r\n"+s.headerNames.Stamp+": stamp\r\n\r\n", "body")
		return
	case StampedEndlessBytes:
		sendEndlessly(w, "", "bytes")
		return
	case StampedReset, StampedLost:
		resetConnection(w)
		return
	case StampedShed:
		w.Header().Set(s.headerNames.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(s.headerNames.Stamp, s.name+"-stamp")
	text := fmt.Sprintf("%s %s %s", s.name, r.RequestURI, body)
	switch mode {
	case StampedError, StampedHeldError:
		w.WriteHeader(http.StatusInternalServerError)
	case StampedOverdue:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	if mode == StampedCut {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text)
}

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// endlessPart is how often a text is repeated in one write of sendEndlessly.
const endlessPart = 4096

// sendEndlessly takes over the connection of a request and sends first, and then a text again and again until the connection is
// closed.
func sendEndlessly(w http.ResponseWriter, first, text string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	part := strings.Repeat(text, endlessPart)
	for _, err = io.WriteString(conn, first); err == nil; {
		_, err = io.WriteString(conn, part)
	}
}
