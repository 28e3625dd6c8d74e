package soak

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
)

// Sent is one request as its caller saw it.
type Sent struct {
	ID   string
	Kind slatewind.Kind
	// Node is the number of the process that it was sent to.
	Node     int
	At, Done time.Time
	// Status is zero where no whole answer came.
	Status int
	// Own says that the answer is the server's to this very request.
	Own bool
	// Stopping says that the process was told to stop before the request ended,
	// in the calm, so that nothing else excuses a cut.
	Stopping bool
}

// Arrival is one request as a server saw it.
type Arrival struct {
	ID     string
	Server int
	At     time.Time
}

// Leaving is a server that was taken out of the store in the calm.
type Leaving struct {
	Server int
	// Known is when every process had had time to hear of it.
	Known time.Time
}

// Record is what callers, servers and the store saw. It is safe for use by
// several goroutines.
type Record struct {
	mu       sync.Mutex
	sent     map[string]Sent
	arrivals []Arrival
	// runs counts how often servers began each request.
	runs map[string]int
	// leaving holds the servers that left in the calm.
	leaving []Leaving
	// broken holds the promises that are checked while the run goes on.
	broken []Breach
	// failures are errors of the run itself.
	failures errs.Group
}

func newRecord() *Record {
	return &Record{sent: map[string]Sent{}, runs: map[string]int{}}
}

func (r *Record) noteSent(s Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s.ID] = s
}

func (r *Record) noteArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *Record) noteRuns(runs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range runs {
		r.runs[id] += n
	}
}

func (r *Record) noteLeaving(l Leaving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = append(r.leaving, l)
}

func (r *Record) noteBreach(promise Promise, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, Breach{promise, fmt.Sprintf(format, arguments...)})
}

// noteFailure notes an error of the run itself.
func (r *Record) noteFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures.Add(err)
}

// failed returns the errors of the run itself.
func (r *Record) failed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures.Err()
}

// judge returns every broken promise.
func (r *Record) judge() []Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	breaches := append([]Breach{}, r.broken...)
	for _, s := range r.sent {
		breaches = append(breaches, judgeRequest(s, r.runs[s.ID])...)
	}
	breaches = append(breaches, judgeLeaving(r.leaving, r.arrivals)...)
	return append(breaches, judgeBudget(maps.Clone(r.sent), r.arrivals)...)
}
