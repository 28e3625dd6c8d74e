package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
)

// sentRequest is one request as its caller observed it.
type sentRequest struct {
	ID   string
	Kind slatewind.Kind
	// Node is the number of the node that the request was sent to.
	Node int
	At   time.Time
	// Ended is when the caller had received the answer or had given up.
	Ended time.Time
	// Status is 0 if no complete answer was received.
	Status int
	// Own reports whether the answer was given by a server to this request.
	Own bool
	// Key is the workspace key of the request, if any.
	Key string
	// Stopping reports whether a process had been sent SIGTERM before the request ended, in a
	// part without other faults that could explain a cut connection.
	Stopping bool
}

// arrival is one request as a server received it.
type arrival struct {
	ID     string
	Server int
	At     time.Time
}

// departure is a server that was marked as leaving in a part with time bounds.
type departure struct {
	Server int
	// Known is the time from which every process must know that the server leaves.
	Known time.Time
}

// record collects the observations of callers, servers and the store. It is safe for concurrent
// use; mu guards all fields.
type record struct {
	mu       sync.Mutex
	sent     map[string]sentRequest
	arrivals []arrival
	// leaving holds the servers that left.
	leaving []departure
	// stops holds the planned stops, hangs the processes that were suspended meanwhile.
	stops []plannedStop
	hangs []hang
	// longStops holds the stops while servers took long.
	longStops []longStop
	// limits are the limits of the flooding workspace, keys the revoked keys.
	limits []limitSpan
	keys   []keySpan
	// evacuated holds the servers of data centres that were evacuated.
	evacuated []evacuated
	// limitChanges are the limits that servers state, statements the answers with which callers
	// heard of them, disturbances the faults of processes meanwhile.
	limitChanges []limitChange
	statements   []statement
	disturbances []disturbance
	// broken holds the breaches that are detected during the run.
	broken []Breach
	// failures are errors of the run itself.
	failures errs.Group
}

func newRecord() *record {
	return &record{sent: map[string]sentRequest{}}
}

// add appends an item to one of the lists of a record, under its lock.
func add[T any](r *record, list *[]T, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, item)
}

// addSent records a request that has ended for its caller.
func (r *record) addSent(s sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s.ID] = s
}

// addArrival records the arrival of a request at a server.
func (r *record) addArrival(a arrival) { add(r, &r.arrivals, a) }

// addLeaving records a server that left.
func (r *record) addLeaving(l departure) { add(r, &r.leaving, l) }

// addStop records a planned stop that has ended.
func (r *record) addStop(s plannedStop) { add(r, &r.stops, s) }

// addHang records a process that was suspended while others stopped.
func (r *record) addHang(h hang) { add(r, &r.hangs, h) }

// addLimit records a limit that was published.
func (r *record) addLimit(l limitSpan) { add(r, &r.limits, l) }

// addKeyEnd records a key that was revoked.
func (r *record) addKeyEnd(k keySpan) { add(r, &r.keys, k) }

// addEvacuation records a server whose data centre was evacuated.
func (r *record) addEvacuation(e evacuated) { add(r, &r.evacuated, e) }

// addHeaderBreaches checks the header fields with which a request arrived at a server and
// records the breaches.
func (r *record) addHeaderBreaches(id string, header http.Header) {
	breaches := verifyHeaders(id, header)
	if len(breaches) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, breaches...)
}

// addBreach records a breach that was detected during the run.
func (r *record) addBreach(promise Promise, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, Breach{promise, fmt.Sprintf(format, arguments...)})
}

// addFailure records an error of the run itself.
func (r *record) addFailure(err error) {
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

// verify returns all breaches; countRuns returns how often servers have begun to run each
// request, restarts are the starts of servers that had to warm up. countRuns is called after r.mu is taken, when the list of requests is fixed, so that the
// runs of every answered request are counted.
func (r *record) verify(countRuns func() map[string]int, restarts []restart) []Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := countRuns()
	breaches := append([]Breach{}, r.broken...)
	for _, s := range r.sent {
		breaches = append(breaches, verifyRequest(s, runs[s.ID])...)
	}
	hung := hungRequests(r.hangs, r.arrivals)
	for _, s := range r.stops {
		breaches = append(breaches, verifyStop(s, r.sent, runs, hung)...)
	}
	for _, s := range r.longStops {
		breaches = append(breaches, verifyLongStop(s, r.sent, lastArrivals(r.arrivals))...)
	}
	breaches = append(breaches, verifyLeaving(r.leaving, r.arrivals)...)
	breaches = append(breaches, verifyKeys(r.keys, r.sent, runs)...)
	breaches = append(breaches, verifyEvacuations(r.evacuated, r.arrivals)...)
	breaches = append(breaches, verifyWarmup(restarts, r.arrivals)...)
	breaches = append(breaches, r.verifyStatements()...)
	breaches = append(breaches, verifyLimit(r.limits, r.sent, r.arrivals)...)
	return append(breaches, verifyBudget(r.sent, r.arrivals)...)
}
