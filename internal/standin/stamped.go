package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"slatewind.example/slatewind"
)

// StampedMode is how a stamped server behaves.
type StampedMode string

// Modes of a stamped server.
const (
	StampedOK StampedMode = ""
	// StampedReset closes each connection without an answer, and runs nothing.
	StampedReset StampedMode = "reset"
	// StampedLost runs each request and resets its connection.
	StampedLost StampedMode = "lost"
	// StampedError answers each request with an error of its own.
	StampedError StampedMode = "error"
	// StampedShed rejects each request without running it.
	StampedShed StampedMode = "shed"
	// StampedHang answers nothing while it lasts.
	StampedHang StampedMode = "hang"
	// StampedHeldError answers with an error of its own once it is let go.
	StampedHeldError StampedMode = "held-error"
	// StampedCut breaks off in the middle of each answer.
	StampedCut StampedMode = "cut"
)

// Stamped is a stand-in for a backend server that signs its answers, checks who
// is meant and counts what it runs.
type Stamped struct {
	dialect slatewind.ServerHeaders
	name    string

	mu    sync.Mutex
	mode  StampedMode
	delay time.Duration
	// runs counts runs by request id, arrivals everything that came; headers holds by request
	// id what came with its newest arrival.
	runs     map[string]int
	headers  map[string]http.Header
	arrivals int
	release  chan struct{}
	// crashed is closed when the start that has the request ends.
	crashed chan struct{}
}

// NewStamped returns a server with a name.
func NewStamped(name string, dialect slatewind.ServerHeaders) *Stamped {
	return &Stamped{dialect: dialect, name: name, runs: map[string]int{}, headers: map[string]http.Header{}, release: make(chan struct{}), crashed: make(chan struct{})}
}

// SetMode changes how the server behaves; requests that hang are let go.
func (s *Stamped) SetMode(mode StampedMode) {
	s.Turn(mode)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.release)
	s.release = make(chan struct{})
}

// Restart has the server crash and start again under its name. It resets the connections of
// the requests that it has, and knows nothing of them. What was run stays counted.
func (s *Stamped) Restart() {
	s.Turn(StampedOK)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// Turn changes how the server behaves towards requests that come from now on;
// those that hang go on hanging.
func (s *Stamped) Turn(mode StampedMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// SetDelay sets how long a request takes.
func (s *Stamped) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Runs returns how often each request was run.
func (s *Stamped) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Arrivals returns how many requests came, run or not.
func (s *Stamped) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// Headers returns the header fields that came with a request, or nil.
func (s *Stamped) Headers(id string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[id]
}

// ServeHTTP implements http.Handler.
func (s *Stamped) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(s.dialect.RequestID)
	w.Header().Set(s.dialect.RequestID, id)
	w.Header().Set(s.dialect.Identity, s.name)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.arrivals++
	s.headers[id] = r.Header.Clone()
	mode, delay, release, crashed := s.mode, s.delay, s.release, s.crashed
	expected := r.Header.Get(s.dialect.Expect)
	misdirected := expected != "" && expected != s.name
	if !misdirected && mode != StampedReset && mode != StampedShed {
		s.runs[id]++
	}
	s.mu.Unlock()
	if misdirected {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
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
		reset(w)
	default:
		s.answer(w, r, mode, body)
	}
}

func (s *Stamped) answer(w http.ResponseWriter, r *http.Request, mode StampedMode, body []byte) {
	switch mode {
	case StampedReset, StampedLost:
		reset(w)
		return
	case StampedShed:
		w.Header().Set(s.dialect.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(s.dialect.Stamp, s.name+"-stamp")
	text := fmt.Sprintf("%s %s %s", s.name, r.RequestURI, body)
	if mode == StampedError || mode == StampedHeldError {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if mode == StampedCut {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text)
}

// reset closes the connection of a request so that its peer gets a reset.
func reset(w http.ResponseWriter) {
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
