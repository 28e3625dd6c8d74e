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
	"slatewind.example/slatewind/routing"
)

// Header fields between caller and ingress.
const (
	// HeaderOutcome is set on every answer that the fleet itself generates.
	HeaderOutcome = "Slatewind-Outcome"
	// HeaderRequest is the request's id, for slatewind explain --request.
	HeaderRequest = "Slatewind-Request"
	// HeaderServer names the server that gave the answer.
	HeaderServer = "Slatewind-Server"
	// HeaderReplayed marks the stored answer of an earlier run.
	HeaderReplayed = "Slatewind-Replayed"
	// HeaderAttempt is the caller's number of the attempt for a key, from 1.
	HeaderAttempt = "Slatewind-Attempt"
	// HeaderCustomer names the customer to whose share of slots the request
	// counts.
	HeaderCustomer = "Slatewind-Customer"
	// HeaderWorkspaceKey holds the key of the caller's workspace. It is not
	// forwarded to servers.
	HeaderWorkspaceKey = "Slatewind-Key"
	// HeaderWorkspace passes the name of the caller's workspace to servers.
	HeaderWorkspace = "Slatewind-Workspace"
	// HeaderKey is the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Slatewind-Retry-After-Ms"
)

// answerFields are the header fields with which the ingress tells what became of a
// request. A server may pass them on from an answer to another request.
var answerFields = map[string]bool{HeaderOutcome: true, HeaderRequest: true, HeaderServer: true, HeaderReplayed: true}

const (
	// mintedPrefix begins the keys of once-requests without one. Callers' keys contain
	// no line feed.
	mintedPrefix = "\n"
	// maxKeyLength bounds idempotency keys and customers' names, in bytes.
	maxKeyLength = 255
	// defaultRetryAfter is used where no better value is known.
	defaultRetryAfter = time.Second
)

// request is one caller's request with the settings and state for its decisions.
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
	// oldCaller reports that the caller uses HTTP/1.0.
	oldCaller bool
	deadline  time.Time
	began     time.Time
	// key, claim and keyBorn are set for once-requests.
	key     string
	claim   slatewind.Claim
	keyBorn time.Time
}

// rejection is the error of a request that is refused before anything is sent.
type rejection struct {
	status int
	reason string
	// retryAfter is the delay after which the caller may retry, zero for the
	// default.
	retryAfter time.Duration
	// evidence holds the figures behind the refusal, if any.
	evidence string
}

// Error implements error.
func (b *rejection) Error() string { return b.reason }

// ServeHTTP implements http.Handler for callers.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	waiting := in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	id := in.newID()
	w.Header().Set(HeaderRequest, id)
	if waiting > maxInFlight {
		in.reject(w, id, &rejection{status: http.StatusServiceUnavailable, reason: "too many requests are waiting at this ingress"})
		return
	}
	if in.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	rq, err := in.newRequest(id, w, r)
	if err != nil {
		in.reject(w, id, err)
		return
	}
	if stop := in.stop.Load(); stop != nil && rq.deadline.After(stop.Finishes()) {
		// The request would be cut off at the end of the shutdown if its server
		// used the whole timeout.
		in.reject(w, id, &rejection{status: http.StatusServiceUnavailable, reason: "the process stops"})
		return
	}
	if err := in.checkQuarantine(rq); err != nil {
		in.reject(w, id, err)
		return
	}
	final := in.dispatch(r.Context(), rq)
	in.meter.Request(rq.route.GetName(), final.outcome, time.Since(rq.began))
	in.respond(r.Context(), w, rq, final)
}

func (in *Ingress) newID() string {
	return fmt.Sprintf("%016x-%x", in.prefix, in.nextID.Add(1))
}

// reject answers a request that is refused before anything is sent. An err that is
// not a *rejection gets status 400.
func (in *Ingress) reject(w http.ResponseWriter, id string, err error) {
	bad := &rejection{status: http.StatusBadRequest, reason: err.Error()}
	errors.As(err, &bad)
	in.meter.Request("", slatewind.OutcomeNotRun, 0)
	in.journal.Add(slatewind.Decision{Time: time.Now(), Kind: slatewind.DecisionRefuse, Request: id, Reason: bad.reason, Evidence: bad.evidence})
	w.Header().Set(HeaderOutcome, string(slatewind.OutcomeNotRun))
	if bad.status == http.StatusServiceUnavailable || bad.status == http.StatusTooManyRequests {
		setRetryAfter(w, bad.retryAfter)
	}
	http.Error(w, bad.reason, bad.status)
}

// newRequest reads and validates a caller's request.
func (in *Ingress) newRequest(id string, w http.ResponseWriter, r *http.Request) (*request, error) {
	snapshot := in.store.Current()
	if snapshot == nil {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: "no settings are in force yet"}
	}
	route := snapshot.Routes.Find(stripPort(r.Host), r.Method, routing.PathOf(r))
	if route == nil {
		return nil, &rejection{status: http.StatusNotFound, reason: fmt.Sprintf("no route for %s %s", r.Method, r.URL.Path)}
	}
	sender, err := snapshot.Workspaces.Identify(r.Header.Values(HeaderWorkspaceKey), route.GetPublic())
	if err != nil {
		return nil, &rejection{status: http.StatusUnauthorized, reason: err.Error()}
	}
	if err := in.admit(r.Context(), snapshot, sender); err != nil {
		return nil, err
	}
	rq := &request{
		id:        id,
		snapshot:  snapshot,
		route:     route,
		service:   snapshot.Services[route.GetService()],
		shard:     in.shard(route.GetService()),
		method:    r.Method,
		target:    r.URL.RequestURI(),
		host:      r.Host,
		oldCaller: !r.ProtoAtLeast(1, 1),
		customer:  r.Header.Get(HeaderCustomer),
		headers:   link.ForwardedHeaders(r.Header, HeaderWorkspaceKey, HeaderWorkspace),
	}
	if sender != nil {
		rq.customer = sender.GetName()
		rq.headers = append(rq.headers, &slatewindv1.Header{Name: HeaderWorkspace, Value: []byte(sender.GetName())})
	}
	if rq.shard == nil {
		return nil, &rejection{status: http.StatusServiceUnavailable, reason: "the service of the route is not set up yet"}
	}
	if len(rq.customer) > maxKeyLength {
		return nil, &rejection{status: http.StatusBadRequest, reason: HeaderCustomer + " is too long"}
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

// admit refuses a request that exceeds its workspace's rate limit.
func (in *Ingress) admit(ctx context.Context, snapshot *config.Snapshot, sender *slatewindv1.Workspace) error {
	verdict := in.limiter.Admit(ctx, snapshot.LimitOf(sender))
	if verdict.Allowed {
		return nil
	}
	status, reason := ratelimit.Refusal(verdict)
	return &rejection{status: status, reason: reason, retryAfter: verdict.RetryAfter, evidence: verdict.Evidence}
}

func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// readKey reads the idempotency key and the attempt number of a once-request.
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
			return &rejection{status: http.StatusBadRequest, reason: fmt.Sprintf("%s %q is not a number of at least 1", HeaderAttempt, number)}
		}
		rq.claim = slatewind.ClaimRetry
		if n == 1 {
			rq.claim = slatewind.ClaimFirst
		}
	}
	if key == "" {
		if rq.claim == slatewind.ClaimRetry {
			return &rejection{status: http.StatusBadRequest, reason: "a retry needs the " + HeaderKey + " of its first attempt"}
		}
		rq.claim = slatewind.ClaimFirst
		key = mintedPrefix + rq.id
	}
	rq.keyBorn = once.KeyBorn(time.Now(), strings.Trim(key, `"`), rq.service.GetKeyLifetime().AsDuration())
	rq.key = rq.customer + "\n" + key
	return nil
}

// checkKey rejects keys that are empty, repeated, too long or not printable
// ASCII.
func checkKey(h http.Header, key string) error {
	if len(h.Values(HeaderKey)) > 1 {
		return &rejection{status: http.StatusBadRequest, reason: HeaderKey + " is given more than once"}
	}
	if _, ok := h[HeaderKey]; ok && key == "" {
		return &rejection{status: http.StatusBadRequest, reason: HeaderKey + " is empty"}
	}
	if len(key) > maxKeyLength {
		return &rejection{status: http.StatusBadRequest, reason: fmt.Sprintf("%s is longer than %d bytes", HeaderKey, maxKeyLength)}
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return &rejection{status: http.StatusBadRequest, reason: HeaderKey + " contains characters outside printable ASCII"}
		}
	}
	return nil
}

// readBody reads the body. The error is a *rejection: status 413 above the route's
// limit, status 400 if the body cannot be read.
func (rq *request) readBody(w http.ResponseWriter, r *http.Request) error {
	limit := int64(rq.route.GetMaxBodyBytes())
	body, err := link.ReadBody(w, r, link.BodyLimits{Bytes: limit, Deadline: time.Now().Add(link.MaxBodyTime)})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body exceeds the route's limit of %d bytes", limit)}
	}
	if err != nil {
		return &rejection{status: http.StatusBadRequest, reason: "reading the body failed: " + err.Error()}
	}
	rq.body = body
	return nil
}

// finalResult is the result of a request, from which the caller is answered.
type finalResult struct {
	outcome    slatewind.Outcome
	reason     string
	retryAfter time.Duration
	server     string
	// reply is set for OutcomeAnswer.
	reply *attemptReply
}

// statusOf maps outcomes without a server's answer to HTTP status codes.
func statusOf(outcome slatewind.Outcome) int {
	switch outcome {
	case slatewind.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case slatewind.OutcomeMismatch:
		return http.StatusUnprocessableEntity
	}
	return http.StatusGatewayTimeout
}

func (in *Ingress) respond(ctx context.Context, w http.ResponseWriter, rq *request, f finalResult) {
	if f.outcome == slatewind.OutcomeAnswer {
		in.forwardAnswer(ctx, w, rq, f)
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

// forwardAnswer forwards the server's answer to the caller. If the answer breaks
// off, it aborts the caller's connection, so that a truncated answer cannot pass
// for a complete one.
func (in *Ingress) forwardAnswer(ctx context.Context, w http.ResponseWriter, rq *request, f finalResult) {
	reply := f.reply.Reply
	defer f.reply.done()
	for _, h := range reply.Head.GetHeaders() {
		if !link.HopByHop[h.GetName()] && !answerFields[h.GetName()] {
			w.Header().Add(h.GetName(), string(h.GetValue()))
		}
	}
	w.Header().Set(HeaderServer, f.server)
	if reply.Head.GetReplayed() {
		w.Header().Set(HeaderReplayed, "true")
	}
	if reply.Rest == nil && len(reply.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	whole := func() {}
	if rq.oldCaller && w.Header().Get("Content-Length") == "" {
		end := link.GuardAnswer(ctx)
		whole = func() {
			// What is still buffered belongs to the answer.
			_ = http.NewResponseController(w).Flush()
			end()
		}
	}
	w.WriteHeader(int(reply.Head.GetStatus()))
	err := writeBody(w, reply)
	if err == nil || errors.Is(err, http.ErrBodyNotAllowed) {
		whole()
		return
	}
	in.journal.Add(slatewind.Decision{
		Time: time.Now(), Kind: slatewind.DecisionUnknown, Service: rq.service.GetName(), Server: f.server,
		Request: rq.id, Reason: "the answer broke off while it was forwarded; the caller's connection is aborted: " + err.Error(),
	})
	link.AbortAnswer(w, rq.oldCaller)
}

// writeBody writes the body of a reply. It returns nil only if the reply was complete.
func writeBody(w io.Writer, reply *link.Reply) error {
	if _, err := w.Write(reply.Body); err != nil {
		return err
	}
	for reply.Rest != nil {
		chunk, err := reply.Rest()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// checkQuarantine refuses a request during which servers crashed. A request that
// is proven to crash them gets status 400, so that its caller does not retry.
// One that is only suspected gets status 503.
func (in *Ingress) checkQuarantine(rq *request) error {
	digest := sync.OnceValue(quarantine.Content{Workspace: rq.customer, Method: rq.method, Host: rq.host, Target: rq.target, Body: rq.body}.Digest)
	verdict := in.suspects.Check(time.Now(), digest)
	if !verdict.Refused {
		return nil
	}
	status := http.StatusServiceUnavailable
	if verdict.Proven {
		status = http.StatusBadRequest
	}
	return &rejection{status: status, reason: verdict.Reason(digest()), retryAfter: verdict.TrialIn}
}

// dispatch runs a request and returns its final result.
func (in *Ingress) dispatch(ctx context.Context, rq *request) finalResult {
	rq.shard.mu.Lock()
	rq.shard.policy.RecordFirst()
	rq.shard.mu.Unlock()
	if slatewind.Kind(rq.route.GetKind()) == slatewind.KindOnce {
		return in.dispatchOnce(ctx, rq)
	}
	return in.dispatchRepeatable(ctx, rq)
}
