package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/once"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
)

// Header fields between caller and ingress.
const (
	// HeaderOutcome stands on every answer that the fleet gives itself.
	HeaderOutcome = "Slatewind-Outcome"
	// HeaderRequest is the request's id, for slatewind explain --request.
	HeaderRequest = "Slatewind-Request"
	// HeaderServer names the server whose answer it is.
	HeaderServer = "Slatewind-Server"
	// HeaderReplayed marks the stored answer of an earlier run.
	HeaderReplayed = "Slatewind-Replayed"
	// HeaderAttempt is the caller's count of its attempts at a key, from 1.
	HeaderAttempt = "Slatewind-Attempt"
	// HeaderCustomer names the customer whose share of slots the request uses.
	HeaderCustomer = "Slatewind-Customer"
	// HeaderWorkspaceKey has the key of the caller's workspace. No server gets it.
	HeaderWorkspaceKey = "Slatewind-Key"
	// HeaderWorkspace tells servers the name of the caller's workspace.
	HeaderWorkspace = "Slatewind-Workspace"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Slatewind-Retry-After-Ms"
)

const (
	// maxKeyLength bounds idempotency keys and customers' names, in bytes.
	maxKeyLength = 255
	// defaultRetryAfter is told where nothing better is known.
	defaultRetryAfter = time.Second
)

// request is one caller's request with all that its decisions need.
type request struct {
	id       string
	snapshot *config.Snapshot
	route    *slatewindv1.Route
	service  *slatewindv1.Service
	shard    *shard
	method   string
	target   string
	host     string
	headers  []*slatewindv1.Header
	body     []byte
	customer string
	deadline time.Time
	began    time.Time
	// key, claim and keyBorn belong to once-requests.
	key     string
	claim   slatewind.Claim
	keyBorn time.Time
}

// badRequest is a request that is refused before anything is sent.
type badRequest struct {
	status int
	reason string
	// retryAfter is when the caller may come back, zero for the default.
	retryAfter time.Duration
	// evidence holds the figures that decided, if there are any.
	evidence string
}

// Error implements error.
func (b *badRequest) Error() string { return b.reason }

// ServeHTTP implements http.Handler for callers.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	waiting := in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	id := in.newID()
	w.Header().Set(HeaderRequest, id)
	if waiting > maxInFlight {
		in.refuseBad(w, id, &badRequest{status: http.StatusServiceUnavailable, reason: "too many requests wait at this ingress"})
		return
	}
	if in.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	rq, err := in.newRequest(id, w, r)
	if err != nil {
		in.refuseBad(w, id, err)
		return
	}
	if stop := in.stop.Load(); stop != nil && rq.deadline.After(stop.Finishes()) {
		// It would be cut off at the end of the stop, should its server need all of its time.
		in.refuseBad(w, id, &badRequest{status: http.StatusServiceUnavailable, reason: "the process stops"})
		return
	}
	if err := in.quarantined(rq); err != nil {
		in.refuseBad(w, id, err)
		return
	}
	final := in.dispatch(r.Context(), rq)
	in.meter.Request(rq.route.GetName(), final.outcome, time.Since(rq.began))
	in.answer(w, rq, final)
}

func (in *Ingress) newID() string {
	return fmt.Sprintf("%016x-%x", in.prefix, in.nextID.Add(1))
}

func (in *Ingress) refuseBad(w http.ResponseWriter, id string, err error) {
	bad := &badRequest{status: http.StatusBadRequest, reason: err.Error()}
	errors.As(err, &bad)
	in.meter.Request("", slatewind.OutcomeNotRun, 0)
	in.journal.Add(slatewind.Decision{Time: time.Now(), Kind: slatewind.DecisionRefuse, Request: id, Reason: bad.reason, Evidence: bad.evidence})
	w.Header().Set(HeaderOutcome, string(slatewind.OutcomeNotRun))
	if bad.status == http.StatusServiceUnavailable || bad.status == http.StatusTooManyRequests {
		setRetryAfter(w, bad.retryAfter)
	}
	http.Error(w, bad.reason, bad.status)
}

// newRequest reads and checks a caller's request.
func (in *Ingress) newRequest(id string, w http.ResponseWriter, r *http.Request) (*request, error) {
	snapshot := in.store.Current()
	if snapshot == nil {
		return nil, &badRequest{status: http.StatusServiceUnavailable, reason: "no settings are in force yet"}
	}
	route := snapshot.Routes.Find(hostOnly(r.Host), r.Method, r.URL.Path)
	if route == nil {
		return nil, &badRequest{status: http.StatusNotFound, reason: fmt.Sprintf("no route for %s %s", r.Method, r.URL.Path)}
	}
	sender, err := snapshot.Workspaces.Identify(r.Header.Values(HeaderWorkspaceKey), route.GetPublic())
	if err != nil {
		return nil, &badRequest{status: http.StatusUnauthorized, reason: err.Error()}
	}
	if err := in.admit(r.Context(), snapshot, sender); err != nil {
		return nil, err
	}
	rq := &request{
		id:       id,
		snapshot: snapshot,
		route:    route,
		service:  snapshot.Services[route.GetService()],
		shard:    in.shard(route.GetService()),
		method:   r.Method,
		target:   r.URL.RequestURI(),
		host:     r.Host,
		customer: r.Header.Get(HeaderCustomer),
		headers:  link.ForwardedHeaders(r.Header, HeaderWorkspaceKey, HeaderWorkspace),
	}
	if sender != nil {
		rq.customer = sender.GetName()
		rq.headers = append(rq.headers, &slatewindv1.Header{Name: HeaderWorkspace, Value: sender.GetName()})
	}
	if rq.shard == nil {
		return nil, &badRequest{status: http.StatusServiceUnavailable, reason: "the service of the route is being set up"}
	}
	if len(rq.customer) > maxKeyLength {
		return nil, &badRequest{status: http.StatusBadRequest, reason: HeaderCustomer + " is too long"}
	}
	if err := rq.readKey(r.Header); err != nil {
		return nil, err
	}
	if err := rq.readBody(w, r); err != nil {
		return nil, err
	}
	rq.began = time.Now()
	rq.deadline = rq.began.Add(route.GetTimeout().AsDuration())
	return rq, nil
}

// admit refuses a request that is beyond its workspace's limit.
func (in *Ingress) admit(ctx context.Context, snapshot *config.Snapshot, sender *slatewindv1.Workspace) error {
	verdict := in.limiter.Admit(ctx, snapshot.LimitOf(sender))
	if verdict.Allowed {
		return nil
	}
	status, reason := ratelimit.Refusal(verdict)
	return &badRequest{status: status, reason: reason, retryAfter: verdict.RetryAfter, evidence: verdict.Evidence}
}

func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// readKey finds out what the caller says of earlier attempts.
func (rq *request) readKey(h http.Header) error {
	if slatewind.Kind(rq.route.GetKind()) != slatewind.KindOnce {
		return nil
	}
	key := h.Get(HeaderKey)
	number := h.Get(HeaderAttempt)
	if err := checkKey(h, key); err != nil {
		return err
	}
	rq.claim = slatewind.ClaimUnnumbered
	if number != "" {
		n, err := strconv.Atoi(number)
		if err != nil || n < 1 {
			return &badRequest{status: http.StatusBadRequest, reason: fmt.Sprintf("%s %q is not a number from 1", HeaderAttempt, number)}
		}
		rq.claim = slatewind.ClaimRetry
		if n == 1 {
			rq.claim = slatewind.ClaimFirst
		}
	}
	if key == "" {
		if rq.claim == slatewind.ClaimRetry {
			return &badRequest{status: http.StatusBadRequest, reason: "a retry needs the " + HeaderKey + " of its first attempt"}
		}
		rq.claim = slatewind.ClaimFirst
		key = "minted-" + rq.id
	}
	rq.keyBorn = once.KeyBorn(time.Now(), strings.Trim(key, `"`), rq.service.GetKeyLifetime().AsDuration())
	rq.key = rq.customer + "\n" + key
	return nil
}

// checkKey refuses keys that are not printable ASCII of a bounded length, or
// that stand twice.
func checkKey(h http.Header, key string) error {
	if len(h.Values(HeaderKey)) > 1 {
		return &badRequest{status: http.StatusBadRequest, reason: HeaderKey + " stands twice"}
	}
	if _, ok := h[HeaderKey]; ok && key == "" {
		return &badRequest{status: http.StatusBadRequest, reason: HeaderKey + " is empty"}
	}
	if len(key) > maxKeyLength {
		return &badRequest{status: http.StatusBadRequest, reason: fmt.Sprintf("%s is longer than %d bytes", HeaderKey, maxKeyLength)}
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return &badRequest{status: http.StatusBadRequest, reason: HeaderKey + " holds characters outside printable ASCII"}
		}
	}
	return nil
}

func (rq *request) readBody(w http.ResponseWriter, r *http.Request) error {
	limit := int64(rq.route.GetMaxBodyBytes())
	body, err := link.ReadBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &badRequest{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body is over the route's limit of %d bytes", limit)}
	}
	if err != nil {
		return &badRequest{status: http.StatusBadRequest, reason: "body did not arrive whole: " + err.Error()}
	}
	rq.body = body
	return nil
}

// final is the answer to a caller.
type final struct {
	outcome    slatewind.Outcome
	reason     string
	retryAfter time.Duration
	server     string
	// reply is set for OutcomeAnswer.
	reply *attemptReply
}

// statusOf maps the fleet's own outcomes to HTTP.
func statusOf(outcome slatewind.Outcome) int {
	switch outcome {
	case slatewind.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case slatewind.OutcomeMismatch:
		return http.StatusUnprocessableEntity
	}
	return http.StatusGatewayTimeout
}

func (in *Ingress) answer(w http.ResponseWriter, rq *request, f final) {
	if f.outcome == slatewind.OutcomeAnswer {
		in.passOn(w, rq, f)
		return
	}
	kind := slatewind.DecisionRefuse
	if f.outcome == slatewind.OutcomeUnknown {
		kind = slatewind.DecisionUnknown
	}
	in.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: kind, Service: rq.service.GetName(), Server: f.server, Request: rq.id,
		Reason:   f.reason,
		Evidence: fmt.Sprintf("route=%s outcome=%s took=%s", rq.route.GetName(), f.outcome, time.Since(rq.began).Round(time.Microsecond)),
	})
	outcome := f.outcome
	if outcome == slatewind.OutcomeMismatch {
		outcome = slatewind.OutcomeNotRun
	}
	w.Header().Set(HeaderOutcome, string(outcome))
	if f.outcome != slatewind.OutcomeMismatch {
		setRetryAfter(w, f.retryAfter)
	}
	http.Error(w, f.reason, statusOf(f.outcome))
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after <= 0 {
		after = defaultRetryAfter
	}
	seconds := int64((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	w.Header().Set(HeaderRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
}

// passOn gives the server's own answer to the caller. One that breaks off while
// it is passed on cuts the caller's connection, so that it cannot look whole.
func (in *Ingress) passOn(w http.ResponseWriter, rq *request, f final) {
	reply := f.reply.Reply
	defer f.reply.done()
	for _, h := range reply.Head.GetHeaders() {
		if !link.HopByHop[h.GetName()] {
			w.Header().Add(h.GetName(), h.GetValue())
		}
	}
	w.Header().Set(HeaderServer, f.server)
	if reply.Head.GetReplayed() {
		w.Header().Set(HeaderReplayed, "true")
	}
	if reply.Rest == nil && len(reply.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(int(reply.Head.GetStatus()))
	_, err := w.Write(reply.Body)
	for err == nil && reply.Rest != nil {
		var chunk []byte
		if chunk, err = reply.Rest(); err == nil {
			_, err = w.Write(chunk)
		}
	}
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, http.ErrBodyNotAllowed) {
		return
	}
	in.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionUnknown, Service: rq.service.GetName(), Server: f.server,
		Request: rq.id, Reason: "the answer broke off while it was passed on; the caller's connection is cut: " + err.Error(),
	})
	panic(http.ErrAbortHandler)
}

// quarantined refuses a request under which servers ended. One that is proved to end them is bad, and
// its caller need not come back.
func (in *Ingress) quarantined(rq *request) error {
	digest := sync.OnceValue(quarantine.Content{Workspace: rq.customer, Method: rq.method, Host: rq.host, Target: rq.target, Body: rq.body}.Digest)
	verdict := in.suspects.Check(time.Now(), digest)
	if !verdict.Refused {
		return nil
	}
	status := http.StatusServiceUnavailable
	if verdict.Proven {
		status = http.StatusBadRequest
	}
	return &badRequest{status: status, reason: verdict.Reason(digest()), retryAfter: verdict.TrialIn}
}

// dispatch decides about a request until its final answer.
func (in *Ingress) dispatch(ctx context.Context, rq *request) final {
	rq.shard.mu.Lock()
	rq.shard.policy.RecordFirst()
	rq.shard.mu.Unlock()
	if slatewind.Kind(rq.route.GetKind()) == slatewind.KindOnce {
		return in.dispatchOnce(ctx, rq)
	}
	return in.dispatchRepeatable(ctx, rq)
}
