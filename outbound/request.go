package outbound

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
	"slatewind.example/slatewind/routing"
	"slatewind.example/slatewind/timer"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 5 * time.Second
	// defaultObjectiveDivisor sets the objective of routes without one: half of the request's time.
	defaultObjectiveDivisor = 2
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 50 * time.Millisecond
	// noSettingsRetryAfter is sent to callers until the first settings are in force.
	noSettingsRetryAfter = 500 * time.Millisecond
	// noMemoryRetryAfter is sent to callers for whose body there was no memory in time.
	noMemoryRetryAfter = time.Second
)

// request is a caller's request with the data on which decisions about it are based.
type request struct {
	// id is the request ID that the caller sent.
	id       string
	snapshot *config.Snapshot
	route    *slatewindv1.Route
	service  string
	shard    *shard
	method   string
	target   string
	host     string
	// oldCaller reports that the caller uses HTTP/1.0.
	oldCaller bool
	headers   []*slatewindv1.Header
	body      []byte
	// bodyLease is the memory of the body; nil if there is none.
	bodyLease *bodylimit.Lease
	// digest returns the digest of the request's content.
	digest   func() quarantine.Digest
	began    time.Time
	deadline time.Time
	// clock includes the time during which the VM was suspended; suspended is the total of that
	// time when the request arrived.
	clock     timer.Clock
	suspended time.Duration
	// callerDone is closed when the caller disconnects or has received its response.
	callerDone <-chan struct{}
	// call is set if the request is a nested call of a request that a server is running.
	call *slatewind.NestedCall
	// workspace is the caller's workspace, or for a nested call that of the request that makes it;
	// nil if there is none.
	workspace *slatewindv1.Workspace
	// announced reports whether a reservation was made for the request.
	announced atomic.Bool
}

// callerGone reports whether the caller has disconnected.
func (rq *request) callerGone() bool {
	select {
	case <-rq.callerDone:
		return true
	default:
		return false
	}
}

func (rq *request) kind() slatewind.Kind { return slatewind.Kind(rq.route.GetKind()) }

func (rq *request) repeatable() bool { return rq.kind() == slatewind.KindRepeatable }

// rank returns the priority of the request in the queues for slots; the lowest rank goes first.
func (rq *request) rank() uint32 { return rq.snapshot.Rank(rq.workspace, rq.route) }

// attempts returns the maximum number of servers that may receive the request.
func (rq *request) attempts() int {
	if n := int(rq.route.GetAttempts()); n > 0 {
		return n
	}
	return defaultAttempts
}

// objective returns the route's latency objective, within which a response has its full value.
func (rq *request) objective() time.Duration {
	if objective := rq.route.GetObjective().AsDuration(); objective > 0 {
		return objective
	}
	return rq.deadline.Sub(rq.began) / defaultObjectiveDivisor
}

// ServeHTTP implements http.Handler for callers.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.inFlight.Add(1)
	defer o.inFlight.Add(-1)
	now := time.Now()
	if o.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	call := o.nestedCall(r)
	if call != nil {
		o.callsInFlight.Add(1)
		defer o.callsInFlight.Add(-1)
	}
	rq, err := o.newRequest(now, call, w, r)
	if err != nil {
		endCall(call, false)
		o.reject(w, r, err)
		return
	}
	res := o.handle(r.Context(), rq)
	rq.bodyLease.Release()
	endCall(call, res.served())
	o.meter.Request(rq.route.GetName(), res.outcome, time.Since(rq.began))
	o.answer(r.Context(), w, rq, res)
}

// nestedCall returns the nested call if r is one, or nil.
func (o *Outbound) nestedCall(r *http.Request) *slatewind.NestedCall {
	if call, ok := o.calls.NestedCall(r.Header.Get(o.headerNames.RequestID)); ok {
		return &call
	}
	return nil
}

// endCall records the end of a call; call may be nil. It is called before the response is written:
// what the server does after that is no longer part of the call.
func endCall(call *slatewind.NestedCall, served bool) {
	if call != nil {
		call.End(served)
	}
}

// handle processes a request and returns its result.
func (o *Outbound) handle(ctx context.Context, rq *request) requestResult {
	f := requestResult{outcome: slatewind.OutcomeNotRun, reason: reasonStopping}
	// The time is taken again since reading the body may have taken long.
	switch now := time.Now(); {
	case !o.admit(now, rq):
	case o.quarantined(now, rq):
		f = o.refuseQuarantined(now, rq)
	default:
		f = o.dispatch(ctx, rq)
	}
	o.setRetryAfter(time.Now(), &f)
	return f
}

// newRequest reads and validates a caller's request.
func (o *Outbound) newRequest(now time.Time, call *slatewind.NestedCall, w http.ResponseWriter, r *http.Request) (*request, error) {
	if o.memory.Guard.Short(o.InFlight()) {
		return nil, errShortOfMemory
	}
	if ids := r.Header.Values(o.headerNames.RequestID); len(ids) > 1 {
		return nil, &rejection{status: http.StatusBadRequest, reason: fmt.Sprintf("the header has %d fields %s: no answer could be told to be that of the request", len(ids), o.headerNames.RequestID)}
	}
	snapshot := o.store.Current()
	if snapshot == nil {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: "no settings are in force yet", retryAfter: noSettingsRetryAfter}
	}
	route := snapshot.Routes.Find(HostOf(r.Host), r.Method, routing.PathOf(r))
	if route == nil {
		return nil, &rejection{status: http.StatusNotFound, reason: fmt.Sprintf("no route for %s%s", r.Host, r.URL.Path)}
	}
	sender, err := o.identify(snapshot, route, call, r)
	if err != nil {
		o.meter.Workspace("", AdmissionNoKey)
		return nil, &rejection{status: http.StatusUnauthorized, reason: err.Error()}
	}
	if call == nil && sender != nil {
		if err := o.admitWorkspace(r.Context(), snapshot, sender); err != nil {
			return nil, err
		}
	}
	rq := &request{
		id:        r.Header.Get(o.headerNames.RequestID),
		snapshot:  snapshot,
		route:     route,
		method:    r.Method,
		target:    r.RequestURI,
		host:      r.Host,
		oldCaller: !r.ProtoAtLeast(1, 1),
		began:     now,
		deadline:  now.Add(o.timeout(r, route)),

		clock:     o.clock,
		suspended: o.clock.Suspended(),
		call:      call,
		workspace: sender,
	}
	rq.service = o.split(rq)
	rq.shard = o.shard(rq.service)
	rq.headers = o.headers(r, rq.workspace)
	if err := o.readBody(rq, w, r); err != nil {
		rq.bodyLease.Release()
		return nil, err
	}
	rq.digest = sync.OnceValue(quarantine.Content{
		Workspace: rq.workspace.GetName(), Method: rq.method, Host: rq.host, Target: rq.target, Body: rq.body,
	}.Digest)
	return rq, nil
}

// identify returns the workspace that sends a request. A nested call without a key belongs to the
// workspace of the request that makes it.
func (o *Outbound) identify(snapshot *config.Snapshot, route *slatewindv1.Route, call *slatewind.NestedCall, r *http.Request) (*slatewindv1.Workspace, error) {
	keys := r.Header.Values(o.headerNames.Key)
	if call != nil && len(keys) == 0 {
		return snapshot.Workspaces.Named(call.Workspace), nil
	}
	return snapshot.Workspaces.Identify(keys, route.GetPublic())
}

// admitWorkspace rejects a request that exceeds its workspace's rate limit, before any other
// resources are spent on it.
func (o *Outbound) admitWorkspace(ctx context.Context, snapshot *config.Snapshot, w *slatewindv1.Workspace) error {
	verdict := o.limiter.Admit(ctx, snapshot.LimitOf(w))
	admission := AdmissionAllowed
	switch {
	case verdict.Allowed:
	case verdict.OverLimit:
		admission = AdmissionOverLimit
	default:
		admission = AdmissionUnknown
	}
	o.meter.Workspace(snapshot.Workspaces.Label(w.GetName()), admission)
	if verdict.Allowed {
		return nil
	}
	status, reason := ratelimit.Refusal(verdict)
	return &rejection{status: status, reason: reason, retryAfter: verdict.RetryAfter, evidence: verdict.Evidence}
}

// headers returns the header fields that are sent to the server: the caller's, without its key and
// without the fields that the fleet sets itself.
func (o *Outbound) headers(r *http.Request, sender *slatewindv1.Workspace) []*slatewindv1.Header {
	headers := link.ForwardedHeaders(r.Header, o.headerNames.CallerService, o.headerNames.Deadline, o.headerNames.Key, o.headerNames.Workspace)
	headers = append(headers, &slatewindv1.Header{Name: o.headerNames.CallerService, Value: []byte(o.self.Service)})
	if sender != nil {
		headers = append(headers, &slatewindv1.Header{Name: o.headerNames.Workspace, Value: []byte(sender.GetName())})
	}
	return headers
}

// timeout returns how long a request may take: the shorter of the caller's deadline and the
// route's timeout.
func (o *Outbound) timeout(r *http.Request, route *slatewindv1.Route) time.Duration {
	allowed := route.GetTimeout().AsDuration()
	if ms, err := strconv.ParseInt(r.Header.Get(o.headerNames.Deadline), 10, 64); err == nil {
		wanted := time.Duration(ms) * time.Millisecond
		if allowed <= 0 || wanted < allowed {
			return wanted
		}
	}
	if allowed <= 0 {
		return defaultTimeout
	}
	return allowed
}

// remaining returns the time left until the deadline. Time during which this VM was suspended counts
// too, since the caller kept waiting.
func (rq *request) remaining(now time.Time) time.Duration {
	return rq.deadline.Sub(now) - (rq.clock.Suspended() - rq.suspended)
}

// context returns a context that ends answerSlack after the request's deadline, so that a server's
// own response about an exceeded deadline can still arrive.
func (rq *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, rq.deadline.Add(answerSlack))
}
