package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// Error is the class of errors of this package.
var Error = errs.Class("sidecar")

// errTruncated is the error of a reply whose answer broke off.
var errTruncated = Error.New("the answer broke off")

// foreignAnswer is the error of an answer that carries the ID of another attempt,
// or that is not proved to be the attempt's own.
type foreignAnswer struct {
	// attemptID is empty for a probe.
	attemptID string
	// echoed holds the IDs in the head of the answer.
	echoed []string
	status int
	// reused reports that the connection has carried other requests.
	reused bool
}

// Error implements error. The text may reach the caller, so it names no other
// attempt.
func (f *foreignAnswer) Error() string { return "sidecar: the answer belongs to another request" }

func newForeignAnswer(response *http.Response, used use, attemptID string) *foreignAnswer {
	return &foreignAnswer{
		attemptID: attemptID, echoed: response.Header.Values(HeaderAttempt), status: response.StatusCode, reused: used.reused,
	}
}

func (f *foreignAnswer) evidence() string {
	return fmt.Sprintf("attempt=%s echoed=%q status=%d reused=%t", f.attemptID, strings.Join(f.echoed, ","), f.status, f.reused)
}

// Header fields between sidecar and server.
const (
	// HeaderAttempt is the ID of the attempt. A connection is kept only if the
	// server echoes the ID in its answers.
	HeaderAttempt = "Slatewind-Attempt-Id"
	// HeaderRemaining is the time left for the request, in milliseconds.
	HeaderRemaining = "Slatewind-Remaining-Ms"
	// HeaderDraining is set by a server that accepts no new work.
	HeaderDraining = "Slatewind-Draining"
)

// Connections to the VM's own servers.
const (
	maxIdleConnections = 64
	idleTimeout        = 90 * time.Second
	// distrustTime is how long connections to a server are not kept after an answer
	// that did not echo the ID of its attempt, since others may do the same.
	distrustTime = time.Minute
	dialTimeout  = time.Second
	// maxHeadBytes limits the head of an answer, and the interim ones to a request together, in bytes.
	maxHeadBytes = 64 << 10
	// emptyHeadBytes is the length of the shortest head of an interim answer, in bytes.
	emptyHeadBytes = len("HTTP/1.1 103 \r\n\r\n")
)

// HTTPCaller calls servers by HTTP. An answer is taken only if it is proved to be
// the attempt's own: it echoes the attempt's ID, or its connection was opened for
// the attempt and has carried nothing else. A server may answer a request twice,
// and the second answer is read in the place of the next one on the connection.
type HTTPCaller struct {
	pool *pool
}

// NewHTTPCaller returns a caller with its own pool of idle connections.
func NewHTTPCaller() *HTTPCaller {
	return &HTTPCaller{pool: newPool()}
}

// CloseIdle closes the idle connections.
func (c *HTTPCaller) CloseIdle() {
	c.pool.closeIdle()
}

// ServerAnswer is a server's answer whose body has not been read yet.
type ServerAnswer struct {
	Status   int
	Headers  []slatewind.Header
	Draining bool
	body     io.ReadCloser
	// release releases the connection after the body has been closed, or is nil.
	release func()
}

// NewServerAnswer returns an answer whose body has not been read yet, for
// implementations of ServerCaller other than HTTPCaller.
func NewServerAnswer(status int, body io.ReadCloser) *ServerAnswer {
	return &ServerAnswer{Status: status, body: body}
}

// Close ends the use of the answer's connection, which is kept for reuse only if
// the answer carried the attempt's ID and its body was read to its end.
func (a *ServerAnswer) Close() {
	_ = a.body.Close()
	if release := a.release; release != nil {
		a.release = nil
		release()
	}
}

// ReadUpTo reads at most limit+1 bytes of the body; whole reports that the body is
// not longer than limit.
func (a *ServerAnswer) ReadUpTo(limit int) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.body, int64(limit)+1))
	return body, len(body) <= limit, err
}

// body hides all methods but Read, so that the HTTP client cannot rewind the
// body. The client resends a request by itself if its connection breaks, the body
// can be rewound and the request has an Idempotency-Key.
type body struct {
	io.Reader
}

// Call implements ServerCaller.
func (c *HTTPCaller) Call(ctx context.Context, address string, request *slatewindv1.RunRequest) (*ServerAnswer, bool, error) {
	r, err := newServerRequest(ctx, address, request)
	if err != nil {
		return nil, false, err
	}
	conn, kept := c.pool.take(time.Now(), address)
	r.Close = !kept
	response, used, err := conn.send(r)
	if err != nil {
		conn.close()
		return nil, used.started, err
	}
	echoed := echoOf(response.Header, request.GetAttemptId())
	if echoed == echoNone && used.reused {
		echoed = echoForeign
	}
	release := func() { c.pool.put(time.Now(), address, conn, echoed) }
	if echoed == echoForeign {
		_ = response.Body.Close()
		release()
		return nil, true, newForeignAnswer(response, used, request.GetAttemptId())
	}
	return &ServerAnswer{
		Status:   response.StatusCode,
		Headers:  callerHeaders(response.Header),
		Draining: response.Header.Get(HeaderDraining) != "",
		body:     response.Body,
		release:  release,
	}, true, nil
}

// echo is what an answer says about the attempt to which it belongs.
type echo string

const (
	echoNone    echo = "none"
	echoOwn     echo = "own"
	echoForeign echo = "foreign"
)

// echoOf compares the IDs in the head of an answer with the ID of the attempt. All
// of them must be that ID, since a server may add its fields to those of another
// answer.
func echoOf(h http.Header, attemptID string) echo {
	ids := slices.Compact(slices.Clone(h.Values(HeaderAttempt)))
	switch {
	case len(ids) == 0 || len(ids) == 1 && ids[0] == "":
		return echoNone
	case len(ids) == 1 && ids[0] == attemptID:
		return echoOwn
	}
	return echoForeign
}

func newServerRequest(ctx context.Context, address string, request *slatewindv1.RunRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, request.GetMethod(), "http://"+address+string(request.GetTarget()), nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, h := range request.GetHeaders() {
		r.Header.Add(h.GetName(), string(h.GetValue()))
	}
	r.Host = request.GetHost()
	r.Header.Set(HeaderAttempt, request.GetAttemptId())
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(HeaderRemaining, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if request.GetOnce() != nil || len(request.GetBody()) > 0 {
		r.Body = io.NopCloser(body{bytes.NewReader(request.GetBody())})
		r.ContentLength = int64(len(request.GetBody()))
	}
	return r, nil
}

// Probe implements ServerCaller. Each probe has a connection of its own, since a
// probe's answer carries no ID that proves whose it is.
func (c *HTTPCaller) Probe(ctx context.Context, address, path string) (bool, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false, Error.Wrap(err)
	}
	r.Close = true
	conn := newConnection()
	defer conn.close()
	response, used, err := conn.send(r)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if echoOf(response.Header, "") == echoForeign {
		return false, newForeignAnswer(response, used, "")
	}
	draining := response.Header.Get(HeaderDraining) != ""
	if response.StatusCode >= slatewind.MinServerErrorStatus && !draining {
		return false, Error.New("probe got status %d", response.StatusCode)
	}
	return draining, nil
}

// Reach implements ServerCaller.
func (c *HTTPCaller) Reach(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	return conn.Close()
}

// callerHeaders returns the header fields of an answer that are meant for the
// caller.
func callerHeaders(h http.Header) []slatewind.Header {
	fields := link.ForwardedHeaders(h, HeaderAttempt, HeaderDraining)
	list := make([]slatewind.Header, len(fields))
	for i, field := range fields {
		list[i] = slatewind.Header{Name: field.GetName(), Value: string(field.GetValue())}
	}
	return list
}
