package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of a server on the users' sheet.
const (
	heartbeat   = 1500 * time.Millisecond
	serverSlots = 4
	serverQueue = 36
	// A server works coldFactor times as long for coldTime after its start.
	coldTime   = 3 * time.Second
	coldFactor = 2
)

// healthPath is the HealthPath of all services.
const healthPath = "/healthz"

// newID returns the identity of one start of a server, or the id of a request.
func newID(prefix string) string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return prefix + hex.EncodeToString(b[:])
}

// run is one run of a request at a server.
type run struct {
	server, service, method, target string
}

// runs collects the runs of all servers by the id of the request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func newRuns() *runs { return &runs{byID: map[string][]run{}} }

func (rs *runs) add(id string, r run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.byID[id] = append(rs.byID[id], r)
}

// of returns the runs of a request.
func (rs *runs) of(id string) []run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.byID[id]
}

// server is a stand-in for one start of an application server.
type server struct {
	id, service, zone, address string
	work                       time.Duration
	store                      *store
	record                     *record
	runs                       *runs
	// lose is the share of the answers that are lost after the request has run, in thousandths.
	lose atomic.Int64

	http  *http.Server
	began time.Time
	slots chan struct{}
	// queued is the number of requests that have a slot or wait for one.
	queued atomic.Int64
	seq    int
	ended  chan struct{}
	once   sync.Once
}

// startServer starts a server at an address. Its first entry in the store follows after
// firstEntry, the others every heartbeat.
func startServer(s *server, firstEntry time.Duration) error {
	s.id, s.began, s.slots, s.ended = newID("i-"), time.Now(), make(chan struct{}, serverSlots), make(chan struct{})
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat(firstEntry)
	s.record.add("server %s of service %s starts at %s", s.id, s.service, s.address)
	return nil
}

// beat writes the server's entry until the server ends.
func (s *server) beat(first time.Duration) {
	next := time.NewTimer(first)
	defer next.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-next.C:
		}
		s.seq++
		s.store.Put("servers/"+s.id, map[string]any{
			"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": serverSlots,
			"State": "ready", "ColdRemainingMs": s.coldRemaining().Milliseconds(), "Seq": s.seq,
		})
		if s.seq == 1 {
			s.record.add("server %s has written its first entry", s.id)
		}
		next.Reset(heartbeat)
	}
}

// coldRemaining returns how much longer the server is slow from its start.
func (s *server) coldRemaining() time.Duration { return max(coldTime-time.Since(s.began), 0) }

// workTime returns how long the server works on a request now.
func (s *server) workTime() time.Duration {
	if s.coldRemaining() > 0 {
		return coldFactor * s.work
	}
	return s.work
}

// crash ends the server without a word. Its entry is removed after three check-ins of silence.
func (s *server) crash() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.http.Close()
		s.record.add("server %s of service %s crashes", s.id, s.service)
		time.AfterFunc(3*heartbeat, func() {
			s.store.Delete("servers/" + s.id)
			s.record.add("the entry of server %s is gone", s.id)
		})
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		s.record.add("server %s (%s) gets %s for instance %s: 421, not run", s.id, s.service, id, expected)
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.queued.Add(1) > serverSlots+serverQueue {
		s.queued.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	budgetMs, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	deadline := time.NewTimer(time.Duration(budgetMs) * time.Millisecond)
	defer deadline.Stop()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-deadline.C:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	s.runs.add(id, run{s.id, s.service, r.Method, r.RequestURI})
	s.record.add("server %s (%s) runs %s %s %s", s.id, s.service, id, r.Method, r.RequestURI)
	select {
	case <-time.After(s.workTime()):
	case <-s.ended:
		return
	case <-deadline.C:
		s.answer(w, http.StatusGatewayTimeout, "time budget reached")
		return
	}
	if mathrand.Int64N(1000) < s.lose.Load() {
		s.record.add("server %s (%s) has run %s, its answer is lost", s.id, s.service, id)
		panic(http.ErrAbortHandler)
	}
	if r.RequestURI == longTarget {
		s.answer(w, http.StatusOK, longBody(id))
		return
	}
	s.answer(w, http.StatusOK, fmt.Sprintf("%s %s %s", s.service, r.RequestURI, body))
}

// answer answers a request that has run.
func (s *server) answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("X-Server-Stamp", s.id+"."+newID(""))
	w.Header().Set("X-Load-Report", fmt.Sprintf("%d,0,%d", len(s.slots), serverSlots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
