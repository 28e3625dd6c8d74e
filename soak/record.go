package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
)

// sentRequest is one request as its caller saw it.
type sentRequest struct {
	ID   string
	Kind slatewind.Kind
	// Node is the number of the process that it was sent to.
	Node int
	At   time.Time
	// Ended is when its caller had its answer, or gave up.
	Ended time.Time
	// Status is zero where no whole answer came.
	Status int
	// Own says that the answer is the server's to this very request.
	Own bool
	// Key is the workspace's key that it carried, if any.
	Key string
	// Stopping says that the process was told to stop before the request ended,
	// in the calm, so that nothing else excuses a cut.
	Stopping bool
}

// arrival is one request as a server saw it.
type arrival struct {
	ID     string
	Server int
	At     time.Time
}

// departure is a server that was taken out of the store in the calm.
type departure struct {
	Server int
	// Known is when every process had had time to hear of it.
	Known time.Time
}

// record is what callers, servers and the store saw. It is safe for use by
// several goroutines.
type record struct {
	mu       sync.Mutex
	sent     map[string]sentRequest
	arrivals []arrival
	// leaving holds the servers that left in the calm.
	leaving []departure
	// stops holds the planned stops, hangs the processes that hung meanwhile.
	stops []plannedStop
	hangs []hang
	// limits are those that the flooding workspace had, keys those that were taken away.
	limits []limitSpan
	keys   []keySpan
	// broken holds the promises that are checked while the run goes on.
	broken []Breach
	// failures are errors of the run itself.
	failures errs.Group
}

// newRecord returns an empty record.
func newRecord() *record {
	return &record{sent: map[string]sentRequest{}}
}

// add adds to one of a record's lists under its lock.
func add[T any](r *record, list *[]T, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, item)
}

// noteSent notes a request that has ended for its caller.
func (r *record) noteSent(s sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s.ID] = s
}

// noteArrival notes a request as it comes to a server.
func (r *record) noteArrival(a arrival) { add(r, &r.arrivals, a) }

// noteLeaving notes a server that left in the calm.
func (r *record) noteLeaving(l departure) { add(r, &r.leaving, l) }

// noteStop notes a planned stop that has ended.
func (r *record) noteStop(s plannedStop) { add(r, &r.stops, s) }

// noteHang notes a process that hung while others stopped.
func (r *record) noteHang(h hang) { add(r, &r.hangs, h) }

// noteLimit notes a limit that was published.
func (r *record) noteLimit(l limitSpan) { add(r, &r.limits, l) }

// noteKeyEnd notes a key that was taken away.
func (r *record) noteKeyEnd(k keySpan) { add(r, &r.keys, k) }

// noteHeaders judges what a server was told of a request's sender.
func (r *record) noteHeaders(id string, header http.Header) {
	breaches := judgeHeaders(id, header)
	if len(breaches) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, breaches...)
}

// noteBreach notes a promise that was found broken while the run goes on.
func (r *record) noteBreach(promise Promise, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, Breach{promise, fmt.Sprintf(format, arguments...)})
}

// noteFailure notes an error of the run itself.
func (r *record) noteFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures.Add(err)
}

// failed returns the errors of the run itself.
func (r *record) failed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures.Err()
}

// judge returns every broken promise; countRuns counts how often servers began each
// request. It counts after the list of requests is fixed, so that whatever was
// answered has been counted.
func (r *record) judge(countRuns func() map[string]int) []Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := countRuns()
	breaches := append([]Breach{}, r.broken...)
	for _, s := range r.sent {
		breaches = append(breaches, judgeRequest(s, runs[s.ID])...)
	}
	hung := hungRequests(r.hangs, r.arrivals)
	for _, s := range r.stops {
		breaches = append(breaches, judgeStop(s, r.sent, runs, hung)...)
	}
	breaches = append(breaches, judgeLeaving(r.leaving, r.arrivals)...)
	breaches = append(breaches, judgeKeys(r.keys, r.sent, runs)...)
	breaches = append(breaches, judgeLimit(r.limits, r.sent, r.arrivals)...)
	return append(breaches, judgeBudget(r.sent, r.arrivals)...)
}
