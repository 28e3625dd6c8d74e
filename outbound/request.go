package outbound

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
	"slatewind.example/slatewind/timer"
)

const (
	// defaultTimeout is a request's time where neither caller nor route state one.
	defaultTimeout = 5 * time.Second
	// objectivePart of a request's time is its objective where the route states
	// none: a half.
	objectivePart = 2
	// defaultBodyBytes bounds a body where settings state no limit, in bytes.
	defaultBodyBytes = 64 << 20
	// leastRetryAfter keeps refused callers from coming back at once.
	leastRetryAfter = 50 * time.Millisecond
	// unreadyRetryAfter is told before settings are known.
	unreadyRetryAfter = 500 * time.Millisecond
)

// request is one caller's request with all that its decisions need.
type request struct {
	// id is the caller's.
	id       string
	snapshot *config.Snapshot
	route    *slatewindv1.Route
	service  string
	shard    *shard
	method   string
	target   string
	host     string
	headers  []*slatewindv1.Header
	body     []byte
	// digest stands for the request's content.
	digest   func() quarantine.Digest
	began    time.Time
	deadline time.Time
	// clock counts the time too in which the VM was suspended, suspended is how long it had been
	// when the request came.
	clock     timer.Clock
	suspended time.Duration
	// left is closed when the caller leaves or has its answer.
	left <-chan struct{}
	// call is set where the request is a call of one that a server already runs.
	call *slatewind.NestedCall
	// workspace is that of the caller, or of the request for which the call is made; nil where
	// there is none.
	workspace *slatewindv1.Workspace
	// announced says that a reservation was made for the request.
	announced atomic.Bool
}

// abandoned reports whether the caller has left.
func (rq *request) abandoned() bool {
	select {
	case <-rq.left:
		return true
	default:
		return false
	}
}

func (rq *request) kind() slatewind.Kind { return slatewind.Kind(rq.route.GetKind()) }

func (rq *request) repeatable() bool { return rq.kind() == slatewind.KindRepeatable }

// rank returns the request's place in the order of the queue for slots; lower goes first.
func (rq *request) rank() uint32 { return rq.snapshot.Rank(rq.workspace, rq.route) }

// attempts returns to how many servers the request may be sent.
func (rq *request) attempts() int {
	if n := int(rq.route.GetAttempts()); n > 0 {
		return n
	}
	return defaultAttempts
}

// objective returns the time within which the answer has its full worth.
func (rq *request) objective() time.Duration {
	if objective := rq.route.GetObjective().AsDuration(); objective > 0 {
		return objective
	}
	return rq.deadline.Sub(rq.began) / objectivePart
}

// ServeHTTP implements http.Handler for callers.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.inFlight.Add(1)
	defer o.inFlight.Add(-1)
	now := time.Now()
	if o.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	call := o.callOf(r)
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
	final := o.handle(r.Context(), rq)
	endCall(call, final.served())
	o.meter.Request(rq.route.GetName(), final.outcome, time.Since(rq.began))
	o.answer(w, rq, final)
}

// callOf returns the call that a request is, or nil.
func (o *Outbound) callOf(r *http.Request) *slatewind.NestedCall {
	if call, ok := o.calls.NestedCall(r.Header.Get(o.dialect.RequestID)); ok {
		return &call
	}
	return nil
}

// endCall notes the end of a call, which may be nil. It comes before the answer: what the server
// does with that is its own doing.
func endCall(call *slatewind.NestedCall, served bool) {
	if call != nil {
		call.End(served)
	}
}

// handle decides about a request until its final answer.
func (o *Outbound) handle(ctx context.Context, rq *request) final {
	f := final{outcome: slatewind.OutcomeNotRun, reason: stops}
	// Its body may have taken long to come.
	switch now := time.Now(); {
	case !o.admit(now, rq):
	case o.quarantined(now, rq):
		f = o.refuseQuarantined(now, rq)
	default:
		f = o.dispatch(ctx, rq)
	}
	o.comeBack(time.Now(), &f)
	return f
}

// newRequest reads and checks a caller's request.
func (o *Outbound) newRequest(now time.Time, call *slatewind.NestedCall, w http.ResponseWriter, r *http.Request) (*request, error) {
	snapshot := o.store.Current()
	if snapshot == nil {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: "no settings are in force yet", retryAfter: unreadyRetryAfter}
	}
	route := snapshot.Routes.Find(HostOf(r.Host), r.Method, r.URL.Path)
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
		id:       r.Header.Get(o.dialect.RequestID),
		snapshot: snapshot,
		route:    route,
		method:   r.Method,
		target:   r.RequestURI,
		host:     r.Host,
		began:    now,
		deadline: now.Add(o.timeFor(r, route)),

		clock:     o.clock,
		suspended: o.clock.Suspended(),
		call:      call,
		workspace: sender,
	}
	rq.service = o.split(rq)
	rq.shard = o.shard(rq.service)
	rq.headers = o.headers(r, rq.workspace)
	if err := rq.readBody(w, r); err != nil {
		return nil, err
	}
	rq.digest = sync.OnceValue(quarantine.Content{
		Workspace: rq.workspace.GetName(), Method: rq.method, Host: rq.host, Target: rq.target, Body: rq.body,
	}.Digest)
	return rq, nil
}

// identify returns the workspace that sends a request. A call has no key: it is made for the
// request that the server runs, and belongs to its workspace.
func (o *Outbound) identify(snapshot *config.Snapshot, route *slatewindv1.Route, call *slatewind.NestedCall, r *http.Request) (*slatewindv1.Workspace, error) {
	keys := r.Header.Values(o.dialect.Key)
	if call != nil && len(keys) == 0 {
		return snapshot.Workspaces.Named(call.Workspace), nil
	}
	return snapshot.Workspaces.Identify(keys, route.GetPublic())
}

// admitWorkspace refuses a request that is beyond its workspace's limit, before anything else is
// spent on it.
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

// headers returns the fields that go to the server: the caller's, but for its key and for what
// the fleet itself says of the request.
func (o *Outbound) headers(r *http.Request, sender *slatewindv1.Workspace) []*slatewindv1.Header {
	headers := link.ForwardedHeaders(r.Header, o.dialect.CallerService, o.dialect.Deadline, o.dialect.Key, o.dialect.Workspace)
	headers = append(headers, &slatewindv1.Header{Name: o.dialect.CallerService, Value: o.self.Service})
	if sender != nil {
		headers = append(headers, &slatewindv1.Header{Name: o.dialect.Workspace, Value: sender.GetName()})
	}
	return headers
}

// timeFor returns how long a request may take: as long as its caller waits and
// its route allows.
func (o *Outbound) timeFor(r *http.Request, route *slatewindv1.Route) time.Duration {
	allowed := route.GetTimeout().AsDuration()
	if ms, err := strconv.ParseInt(r.Header.Get(o.dialect.Deadline), 10, 64); err == nil {
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

// readBody reads the caller's body, within the limits of size and time.
func (rq *request) readBody(w http.ResponseWriter, r *http.Request) error {
	limit := int64(rq.snapshot.Fleet.GetCallerLimits().GetBodyBytes())
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	body, err := link.ReadBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body is over the limit of %d bytes", limit)}
	}
	if err != nil {
		return &rejection{status: http.StatusBadRequest, reason: "body did not arrive whole: " + err.Error()}
	}
	rq.body = body
	return nil
}

// remaining returns the time left to a request. Its caller waited also while this VM was suspended.
func (rq *request) remaining(now time.Time) time.Duration {
	return rq.deadline.Sub(now) - (rq.clock.Suspended() - rq.suspended)
}

// context ends with the request's time and a moment for a server's own
// answer that the time is over.
func (rq *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, rq.deadline.Add(answerSlack))
}
