package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"slatewind.example/slatewind/sidecar"
)

// Fault is a gray failure of a server.
type Fault string

// Faults of servers.
const (
	FaultNone Fault = ""
	// FaultSlow multiplies service times by Factor.
	FaultSlow Fault = "slow"
	// FaultHang never answers.
	FaultHang Fault = "hang"
	// FaultErrors answers every request with status 500.
	FaultErrors Fault = "errors"
	// FaultSomeCallers answers about a third of the customers with status 500.
	FaultSomeCallers Fault = "some-callers"
	// FaultTruncate closes the connection in the middle of each answer.
	FaultTruncate Fault = "truncate"
	// FaultCrossed sends each request the answer of the previous one.
	FaultCrossed Fault = "crossed"
	// FaultDropAnswer runs each request and closes the connection without an answer.
	FaultDropAnswer Fault = "drop-answer"
)

// Header fields of requests that only the stand-in uses.
const (
	// HeaderNonce identifies a request. The body of the answer repeats it.
	HeaderNonce = "Nonce"
	// HeaderPad is the number of bytes of padding in the body of the answer.
	HeaderPad = "Pad"
)

// Markers at the start and the end of the body of an answer.
const (
	bodyBegin = "begin"
	bodyEnd   = "end\n"
)

// After a cold start, service times are multiplied by coldFactor, decreasing linearly to
// 1 over coldTime.
const (
	coldTime   = 3 * time.Second
	coldFactor = 4
)

// Server is a stand-in for a backend server. It is safe for concurrent use.
type Server struct {
	name    string
	slots   chan struct{}
	median  time.Duration
	spread  float64
	started time.Time

	// mu guards the fields below, and started.
	mu        sync.Mutex
	fault     Fault
	factor    float64
	draining  bool
	unhealthy bool
	// runs counts the runs by idempotency key, total all runs.
	runs  map[string]int
	total int
	// last is the attempt id and, on the next line, the body of the previous answer, for
	// FaultCrossed.
	last string
}

// NewServer returns a server with a number of slots. Its service times are
// log-normally distributed with the given median; spread is the standard deviation of
// their logarithm.
func NewServer(name string, slots int, median time.Duration, spread float64) *Server {
	return &Server{
		name: name, slots: make(chan struct{}, slots), median: median, spread: spread,
		runs: map[string]int{}, factor: 1,
	}
}

// SetFault sets the fault of the server. Only FaultSlow uses factor.
func (s *Server) SetFault(fault Fault, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.factor = factor
}

// SetDraining sets whether health probes report that the server accepts no new work.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// ColdStart makes the server slower for coldTime, as after a start.
func (s *Server) ColdStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
}

// Runs returns the number of runs by idempotency key.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// Total returns the number of requests that were run.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Handler returns the HTTP interface of the server. Paths under /control inject
// failures and read counters.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/health", s.health)
	router.HandleFunc("/control/fault", func(_ http.ResponseWriter, r *http.Request) {
		factor, _ := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		s.SetFault(Fault(r.URL.Query().Get("kind")), factor)
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/cold", func(http.ResponseWriter, *http.Request) { s.ColdStart() }).Methods(http.MethodPost)
	router.HandleFunc("/control/drain", func(_ http.ResponseWriter, r *http.Request) {
		s.SetDraining(r.URL.Query().Get("over") == "")
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/health", func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unhealthy = r.URL.Query().Get("sick") != ""
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Runs())
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serve)
	return router
}

// probeTime is the service time of a health probe.
const probeTime = 25 * time.Millisecond

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(probeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.Header().Set(sidecar.HeaderDraining, "true")
	}
	if s.unhealthy {
		http.Error(w, "sick", http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "in_use=%d slots=%d\n", len(s.slots), cap(s.slots))
}

// serve runs a request with the current fault.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	fault, took := s.beginRun(r)
	if fault == FaultHang {
		<-r.Context().Done()
		return
	}
	pause := time.NewTimer(took)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-r.Context().Done():
		return
	}
	s.answer(w, r, fault)
}

// beginRun counts a run and returns the current fault and the service time of the run.
func (s *Server) beginRun(r *http.Request) (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.runs[key]++
	}
	took := float64(s.median) * math.Exp(s.spread*rand.NormFloat64())
	if s.fault == FaultSlow {
		took *= s.factor
	}
	if age := time.Since(s.started); age < coldTime {
		took *= 1 + (coldFactor-1)*(1-float64(age)/float64(coldTime))
	}
	return s.fault, time.Duration(took)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault) {
	body := s.body(r)
	w.Header().Set(sidecar.HeaderAttempt, r.Header.Get(sidecar.HeaderAttempt))
	switch fault {
	case FaultErrors:
		http.Error(w, "broken", http.StatusInternalServerError)
	case FaultSomeCallers:
		if failsCustomer(r.Header.Get("Slatewind-Customer")) {
			http.Error(w, "broken for you", http.StatusInternalServerError)
			return
		}
		_, _ = w.Write([]byte(body))
	case FaultTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body[:len(body)/2]))
		panic(http.ErrAbortHandler)
	case FaultDropAnswer:
		panic(http.ErrAbortHandler)
	case FaultCrossed:
		s.answerCrossed(w, r, body)
	default:
		_, _ = w.Write([]byte(body))
	}
}

// answerCrossed sends the answer and the attempt id of the previous request.
func (s *Server) answerCrossed(w http.ResponseWriter, r *http.Request, body string) {
	s.mu.Lock()
	last := s.last
	s.last = r.Header.Get(sidecar.HeaderAttempt) + "\n" + body
	s.mu.Unlock()
	if last == "" {
		last = "nobody\n" + body
	}
	for i := range len(last) {
		if last[i] == '\n' {
			w.Header().Set(sidecar.HeaderAttempt, last[:i])
			_, _ = w.Write([]byte(last[i+1:]))
			return
		}
	}
}

func (s *Server) body(r *http.Request) string {
	pad, _ := strconv.Atoi(r.Header.Get(HeaderPad))
	filler := make([]byte, pad)
	for i := range filler {
		filler[i] = '.'
	}
	return fmt.Sprintf("%s server=%s nonce=%s %s %s", bodyBegin, s.name, r.Header.Get(HeaderNonce), filler, bodyEnd)
}

func failsCustomer(customer string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer))
	const share = 3
	return h.Sum32()%share == 0
}
