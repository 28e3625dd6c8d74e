// Package backend is the HTTP/1.1 client for the one backend server beside the process.
//
// The standard library's client retries requests by itself when a reused connection fails, and
// accepts whatever arrives next on a connection as the answer. Here both must be known exactly:
// whether any byte was sent determines whether a request may be sent to another server, and a
// server may send surplus answers that belong to no request. A connection therefore carries one
// request at a time and is checked for unexpected bytes before it is reused, and answers that do not
// state the ID of their request are discarded. A request without an ID has a connection of its own.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/clip"
	"slatewind.example/slatewind/headcheck"
)

// Error is the class of errors of this package.
var Error = errs.Class("backend")

var (
	// ErrMalformedAnswer is returned if the received bytes are not a valid HTTP answer.
	ErrMalformedAnswer = Error.New("malformed HTTP answer")
	// ErrHeadTooLarge is the cause of ErrMalformedAnswer if the head of an answer exceeds its limit.
	ErrHeadTooLarge = Error.New("the head of the answer exceeds %d bytes", maxHeadBytes)
	// ErrForeignAnswer is returned if only answers to other requests, or interim ones, were
	// received.
	ErrForeignAnswer = Error.New("the answer belongs to another request")
	// ErrNoStamp is returned for a success status without the stamp header by which a server
	// proves that the answer is its own.
	ErrNoStamp = Error.New("success status without the server's stamp header")
)

const (
	// DialTimeout limits a connect to a server on the same VM, which takes about a millisecond.
	// The server may start to leave in the meantime, so the timeout is part of the time for which
	// a leaving server may still get requests.
	DialTimeout = 200 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server states no timeout;
	// idleMargin is subtracted from the timeout that a server states.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = 1500 * time.Millisecond
	// writeWait is how long Close waits until the request of a complete answer has been written.
	// Usually it has been; but the goroutine that writes it may be scheduled a little later.
	writeWait = 20 * time.Millisecond
	// maxIdle is the maximum number of idle connections.
	maxIdle = 16
	// maxRequests is the number of requests after which a connection is closed. It bounds the memory for their IDs
	// to 8 KB for each connection.
	maxRequests = 1 << 10
	// maxForeignAnswers is the number of interim and foreign answers to one request after which
	// the request fails and its connection is closed, maxForeignBytes the number of their bytes, heads
	// included. The first bounds the work for answers of a few bytes.
	maxForeignAnswers = 1 << 10
	maxForeignBytes   = 1 << 20
	// maxErrorBytes limits what an error quotes of a malformed answer, in bytes.
	maxErrorBytes = 200
	// bufferBytes is the size of a connection's read buffer, in bytes.
	bufferBytes = 4 << 10
)

// Answer is a server's answer. It must be closed. Its connection is reused only if the body was
// read to its end before.
type Answer struct {
	*http.Response
	pool *Pool
	conn *conn
	// stop stops watching the request's context; it returns false if the context ended first.
	stop   func() bool
	writer *requestWriter
	closed bool
}

// Do sends one request. sent is false only if no byte of it was written. sending, which may be
// nil, is called before the first byte is written; the function passed to it reports, at any
// time, whether bytes of the answer are waiting to be read.
//
// An answer with a success status is returned only if it has the server's stamp. The error wraps
// ctx's error if ctx ended first; otherwise it is ErrMalformedAnswer, ErrForeignAnswer,
// ErrNoStamp or a network error.
func (p *Pool) Do(ctx context.Context, request *http.Request, sending func(unread func() bool)) (answer *Answer, sent bool, err error) {
	c, err := p.connection(ctx, request)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if sending != nil {
		sending(func() bool { return unread(c.Conn) })
	}
	writer := &requestWriter{w: c, done: make(chan struct{})}
	if request.Body == nil {
		writer.write(request)
	} else {
		// The server may answer before it has read the body.
		go writer.write(request)
	}
	response, err := p.readResponse(c, request) //nolint:bodyclose // Answer.Close ends the connection.
	if err != nil {
		_ = c.Close()
		stop()
		<-writer.done
		if ctx.Err() != nil {
			err = errs.Combine(ctx.Err(), err)
		}
		return nil, writer.wrote, Error.Wrap(err)
	}
	return &Answer{Response: response, pool: p, conn: c, stop: stop, writer: writer}, true, nil
}

// requestWriter writes a request and records whether any byte was written.
type requestWriter struct {
	w     io.Writer
	wrote bool
	// done is closed when writing has ended, err is its result.
	done chan struct{}
	err  error
}

// write writes the request. An error results in a missing answer, if it matters: a server may answer early and
// stop reading.
func (w *requestWriter) write(request *http.Request) {
	defer close(w.done)
	w.err = request.Write(w)
}

// endsWithin waits for the end of writing and reports whether it came in time. An end that is already there counts, however
// late this is called.
func (w *requestWriter) endsWithin(wait time.Duration) bool {
	select {
	case <-w.done:
		return true
	default:
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-w.done:
		return true
	case <-timeout.C:
		return false
	}
}

// Write implements io.Writer.
func (w *requestWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.wrote = w.wrote || n > 0
	return n, err
}

// readResponse reads the answer to a request and discards interim answers and answers to other
// requests.
func (p *Pool) readResponse(c *conn, request *http.Request) (*http.Response, error) {
	limit := c.consumed() + maxForeignBytes
	for range maxForeignAnswers {
		c.head.beginHead()
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, malformedAnswer(err)
		}
		c.head.endHead()
		if err := checkHead(response); err != nil {
			return nil, malformedAnswer(err)
		}
		if !p.isOwn(c, request, response) {
			if err := c.discard(response, limit); err != nil {
				return nil, err
			}
			continue
		}
		if response.StatusCode < http.StatusMultipleChoices && response.Header.Get(p.dialect.Stamp) == "" {
			return nil, ErrNoStamp
		}
		if response.Header.Get("Content-Encoding") != "" {
			return nil, errs.Combine(ErrMalformedAnswer, Error.New("the body is encoded although no Content-Encoding was requested"))
		}
		if isUnframed(response) {
			response.Body = newUnframedBody(response.Body, func() {
				p.report(c, request, Surplus{Kind: SurplusInBody, Status: response.StatusCode})
			}, p.dialect.RequestID, p.dialect.Stamp)
		}
		return response, nil
	}
	return nil, ErrForeignAnswer
}

// checkHead returns an error for the head of an answer that the standard library takes although it is invalid. Nothing that the
// head states may be relied on before.
func checkHead(response *http.Response) error {
	if !isInterim(response) && !slatewind.IsFinalStatus(response.StatusCode) {
		return Error.New("status %d", response.StatusCode)
	}
	return headcheck.Response(response)
}

// isInterim reports whether another answer to the same request follows. None follows on the connection
// after 101, which only a request with an Upgrade field asks for.
func isInterim(response *http.Response) bool {
	status := response.StatusCode
	return http.StatusContinue <= status && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isUnframed reports whether the body of an answer ends only with its connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// consumed returns the number of bytes of the connection that were taken as answers so far.
func (c *conn) consumed() int64 { return c.head.read - int64(c.reader.Buffered()) }

// discard reads the body of a foreign answer to its end. It fails once limit bytes of the connection were consumed.
func (c *conn) discard(response *http.Response, limit int64) error {
	if isUnframed(response) {
		return ErrForeignAnswer
	}
	switch _, err := io.CopyN(io.Discard, response.Body, max(limit-c.consumed(), 0)); {
	case err == nil:
		return ErrForeignAnswer
	case !errors.Is(err, io.EOF):
		return malformedAnswer(err)
	}
	return nil
}

// malformedAnswer adds ErrMalformedAnswer to a protocol error and shortens what that quotes. Network
// errors are returned unchanged.
func malformedAnswer(err error) error {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	if errors.Is(err, ErrHeadTooLarge) {
		return errs.Combine(ErrMalformedAnswer, ErrHeadTooLarge)
	}
	return errs.Combine(ErrMalformedAnswer, errors.New(clip.Text(err.Error(), maxErrorBytes)))
}

// Close releases the answer. Its connection is returned to the pool if the body was read to its
// end and the server keeps the connection open, too; otherwise it is closed.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	aborted := !a.stop()
	if aborted || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	a.pool.recordCarried(a.conn, a.Request)
	a.pool.putIdle(a.conn, a.Header)
}

// reusable reports whether the answer's connection can be reused for another request.
func (a *Answer) reusable() bool {
	if a.conn.spent || len(a.conn.earlier) >= maxRequests-1 || a.Response.Close || isUnframed(a.Response) {
		return false
	}
	var one [1]byte
	if n, err := a.Body.Read(one[:]); n > 0 || !errors.Is(err, io.EOF) {
		return false
	}
	if a.conn.reader.Buffered() > 0 {
		a.pool.report(a.conn, a.Request, Surplus{Kind: SurplusAtClose})
		return false
	}
	// The server would take the rest of the request's body for the next request.
	return a.writer.endsWithin(writeWait) && a.writer.err == nil
}
