package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

// Error is the class of errors of this package.
var Error = errs.Class("sidecar")

// errTruncated is the error of a reply whose answer broke off.
var errTruncated = Error.New("the answer broke off")

// errForeignAnswer is the error of an answer that carries the ID of another
// attempt.
var errForeignAnswer = Error.New("the answer belongs to another request")

// Header fields between sidecar and server.
const (
	// HeaderAttempt is the ID of the attempt. If a server echoes it in its answer,
	// answers to other attempts are detected.
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
	dialTimeout        = time.Second
	// maxHeadBytes limits the head of an answer, in bytes.
	maxHeadBytes = 64 << 10
)

// HTTPCaller calls servers by HTTP.
type HTTPCaller struct {
	client *http.Client
}

// NewHTTPCaller returns a caller with its own pool of idle connections.
func NewHTTPCaller() *HTTPCaller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTPCaller{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes the idle connections.
func (c *HTTPCaller) CloseIdle() {
	c.client.CloseIdleConnections()
}

// ServerAnswer is a server's answer whose body has not been read yet.
type ServerAnswer struct {
	Status   int
	Headers  []slatewind.Header
	Draining bool
	body     io.ReadCloser
}

// NewServerAnswer returns an answer whose body has not been read yet, for
// implementations of ServerCaller other than HTTPCaller.
func NewServerAnswer(status int, body io.ReadCloser) *ServerAnswer {
	return &ServerAnswer{Status: status, body: body}
}

// Close returns the connection to the pool, or closes it if the body was not read
// to its end.
func (a *ServerAnswer) Close() {
	_ = a.body.Close()
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
	var started atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { started.Store(true) },
	})
	r, err := newServerRequest(ctx, address, request)
	if err != nil {
		return nil, false, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, started.Load(), Error.Wrap(err)
	}
	if echoed := response.Header.Get(HeaderAttempt); echoed != "" && echoed != request.GetAttemptId() {
		_ = response.Body.Close()
		return nil, true, errForeignAnswer
	}
	return &ServerAnswer{
		Status:   response.StatusCode,
		Headers:  headerList(response.Header),
		Draining: response.Header.Get(HeaderDraining) != "",
		body:     response.Body,
	}, true, nil
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

// Probe implements ServerCaller.
func (c *HTTPCaller) Probe(ctx context.Context, address, path string) (bool, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false, Error.Wrap(err)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return false, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
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

// headerList returns the header fields as a list, in undefined order.
func headerList(h http.Header) []slatewind.Header {
	var list []slatewind.Header
	for name, values := range h {
		for _, value := range values {
			list = append(list, slatewind.Header{Name: name, Value: value})
		}
	}
	return list
}
