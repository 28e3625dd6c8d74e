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

// Fault is a gray fault of a server.
type Fault string

// Faults of servers.
const (
	FaultNone Fault = ""
	// FaultSlow multiplies service times by Factor.
	FaultSlow Fault = "slow"
	// FaultHang answers nothing.
	FaultHang Fault = "hang"
	// FaultErrors answers every request with an error.
	FaultErrors Fault = "errors"
	// FaultSomeCallers answers about a third of the customers with errors.
	FaultSomeCallers Fault = "some-callers"
	// FaultTruncate breaks off in the middle of each answer.
	FaultTruncate Fault = "truncate"
	// FaultCrossed gives each request the answer of the one before.
	FaultCrossed Fault = "crossed"
	// FaultDropAnswer runs each request and closes the connection.
	FaultDropAnswer Fault = "drop-answer"
)

// Header fields of the stand-in's own.
const (
	// HeaderNonce is repeated in the answer's body, to tell whose it is.
	HeaderNonce = "Nonce"
	// HeaderPad asks for an answer with so many bytes of padding.
	HeaderPad = "Pad"
)

// Marks of an answer's body.
const (
	bodyBegin = "begin"
	bodyEnd   = "end\n"
)

// coldTime is how long a started server is slower, and coldFactor by how much
// at first.
const (
	coldTime   = 3 * time.Second
	coldFactor = 4
)

// Server is a stand-in for a backend server.
type Server struct {
	name    string
	slots   chan struct{}
	mean    time.Duration
	spread  float64
	started time.Time

	mu       sync.Mutex
	fault    Fault
	factor   float64
	draining bool
	sick     bool
	runs     map[string]int
	total    int
	last     string
}

// NewServer returns a server with so many slots whose service times have the
// given median and spread of the log.
func NewServer(name string, slots int, median time.Duration, spread float64) *Server {
	return &Server{
		name: name, slots: make(chan struct{}, slots), mean: median, spread: spread,
		runs: map[string]int{}, factor: 1,
	}
}

// SetFault makes the server fail; factor counts for FaultSlow.
func (s *Server) SetFault(fault Fault, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.factor = factor
}

// SetDraining has the server say that it takes no new work.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// ColdStart makes the server slow for a while, as after a start.
func (s *Server) ColdStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
}

// Runs returns how often the request of each key was run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// Total returns how many requests were run in all.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Handler returns the server's HTTP interface. Paths under /control are for
// whoever makes it fail.
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
		s.sick = r.URL.Query().Get("sick") != ""
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Runs())
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serve)
	return router
}

// probeTime is what a probe costs the server.
const probeTime = 25 * time.Millisecond

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(probeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.Header().Set(sidecar.HeaderDraining, "true")
	}
	if s.sick {
		http.Error(w, "sick", http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "in_use=%d slots=%d\n", len(s.slots), cap(s.slots))
}

// serve runs one request under the fault of the moment.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	fault, took := s.enter(r)
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

// enter records the run and returns the fault and the service time.
func (s *Server) enter(r *http.Request) (Fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.runs[key]++
	}
	took := float64(s.mean) * math.Exp(s.spread*rand.NormFloat64())
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
		if unlucky(r.Header.Get("Slatewind-Customer")) {
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

// answerCrossed gives the answer, and the attempt id, of the request before.
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

func unlucky(customer string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer))
	const share = 3
	return h.Sum32()%share == 0
}
