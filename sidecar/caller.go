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

// errBrokenOff ends a reply whose answer broke off.
var errBrokenOff = Error.New("the answer broke off")

// errCrossed: the server answered another request than the one that was sent.
var errCrossed = Error.New("the answer belongs to another request")

// Header fields between sidecar and server.
const (
	// HeaderAttempt names the attempt. A server that repeats it in its answer
	// lets crossed answers be found.
	HeaderAttempt = "Slatewind-Attempt-Id"
	// HeaderRemaining tells the server the time left, in milliseconds.
	HeaderRemaining = "Slatewind-Remaining-Ms"
	// HeaderDraining: a server that sends it takes no new work.
	HeaderDraining = "Slatewind-Draining"
)

// Connections to the VM's own servers.
const (
	warmConnections = 64
	connIdle        = 90 * time.Second
	dialTimeout     = time.Second
)

// HTTPCaller calls servers by HTTP.
type HTTPCaller struct {
	client *http.Client
}

// NewHTTPCaller returns a caller with warm connections of its own.
func NewHTTPCaller() *HTTPCaller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTPCaller{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: warmConnections,
			IdleConnTimeout:     connIdle,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes the connections that no request uses.
func (c *HTTPCaller) CloseIdle() {
	c.client.CloseIdleConnections()
}

// ServerAnswer is a server's answer whose body is still to be read.
type ServerAnswer struct {
	Status   int
	Headers  []slatewind.Header
	Draining bool
	body     io.ReadCloser
}

// NewServerAnswer returns an answer whose body is still to be read; for callers
// other than HTTPCaller.
func NewServerAnswer(status int, body io.ReadCloser) *ServerAnswer {
	return &ServerAnswer{Status: status, body: body}
}

// Close gives the connection back, or closes it if the body was not read whole.
func (a *ServerAnswer) Close() {
	_ = a.body.Close()
}

// ReadUpTo reads the body, at most limit bytes of it; whole says that it ended.
func (a *ServerAnswer) ReadUpTo(limit int) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(a.body, int64(limit)+1))
	return body, len(body) <= limit, err
}

// body hides everything but Read, so that the HTTP client cannot rewind it. A
// client that can rewind sends a request again by itself when a connection
// breaks, and for requests with an Idempotency-Key it does.
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
		return nil, true, errCrossed
	}
	return &ServerAnswer{
		Status:   response.StatusCode,
		Headers:  flatten(response.Header),
		Draining: response.Header.Get(HeaderDraining) != "",
		body:     response.Body,
	}, true, nil
}

func newServerRequest(ctx context.Context, address string, request *slatewindv1.RunRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, request.GetMethod(), "http://"+address+request.GetTarget(), nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, h := range request.GetHeaders() {
		r.Header.Add(h.GetName(), h.GetValue())
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

// flatten lists header fields, in no order that matters.
func flatten(h http.Header) []slatewind.Header {
	var list []slatewind.Header
	for name, values := range h {
		for _, value := range values {
			list = append(list, slatewind.Header{Name: name, Value: value})
		}
	}
	return list
}
