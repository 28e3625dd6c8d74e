// Package backend is the HTTP/1.1 client that a process uses for the one server
// beside it.
//
// The standard library's client repeats requests by itself when a kept connection
// breaks, and takes whatever comes next on a connection for the answer. Here
// both must be known exactly: whether anything was sent decides whether a
// request may go elsewhere, and a server may send surplus answers, which belong
// to no request. So a connection carries one request at a time, is checked for
// unexpected bytes before it is used again, and an answer with another request's
// id is passed over.
package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("backend")

var (
	// ErrNotAnAnswer says that what came back is not an answer in the protocol.
	ErrNotAnAnswer = Error.New("the bytes are no answer")
	// ErrCrossed says that only answers to other requests came back.
	ErrCrossed = Error.New("the answer belongs to another request")
	// ErrNoStamp says that a success came without the server's proof.
	ErrNoStamp = Error.New("a success without the server's stamp")
)

const (
	// DialTimeout bounds a connect to a server on the same VM, which takes a
	// millisecond. The server may begin to leave meanwhile, so it counts towards how
	// late a leaving server may get a request.
	DialTimeout = 200 * time.Millisecond
	// idleTime is how long a connection is kept where the server does not say;
	// idleMargin is taken off what it says.
	idleTime   = 4 * time.Second
	idleMargin = 1500 * time.Millisecond
	// sentTime is how long an answer that was read waits until its request is seen to
	// be sent. Usually it is; but the goroutine that sends may run a little later.
	sentTime = 20 * time.Millisecond
	// maxIdle is how many connections are kept at most.
	maxIdle = 16
	// maxSurplus bounds the foreign answers that are passed over on one
	// connection before it is given up.
	maxSurplus = 3
	// bufferBytes is the size of a connection's read buffer, in bytes.
	bufferBytes = 4 << 10
)

// Answer is a server's answer. It must be closed; its connection is kept only if
// its body was read to the end before.
type Answer struct {
	*http.Response
	pool *Pool
	conn *conn
	// stop ends the watch of the request's context; it reports false if the
	// context ended first.
	stop func() bool
	// sent is closed once the whole request is written.
	sent <-chan struct{}
	done bool
}

// Do sends one request. sent is false only if no byte of it was written. sending, which may be
// nil, is called before the first byte is written; unread then tells at any time whether bytes of
// the answer wait to be read.
// A success is returned only with the server's stamp. The error is ctx's own
// where that ended first, ErrNotAnAnswer, ErrCrossed, ErrNoStamp, or one of the
// network.
func (p *Pool) Do(ctx context.Context, request *http.Request, sending func(unread func() bool)) (answer *Answer, sent bool, err error) {
	c, err := p.connection(ctx)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if sending != nil {
		sending(func() bool { return unread(c.Conn) })
	}
	written := make(chan struct{})
	writer := &countingWriter{w: c}
	go func() {
		defer close(written)
		// A failure shows as a missing answer: a server may answer early and
		// stop reading.
		_ = request.Write(writer)
	}()
	response, err := p.readResponse(c, request) //nolint:bodyclose // Answer.Close ends the connection.
	if err != nil {
		_ = c.Close()
		stop()
		<-written
		if ctx.Err() != nil {
			err = errs.Combine(ctx.Err(), err)
		}
		return nil, writer.wrote, Error.Wrap(err)
	}
	return &Answer{Response: response, pool: p, conn: c, stop: stop, sent: written}, true, nil
}

// countingWriter notes whether anything was written.
type countingWriter struct {
	w     io.Writer
	wrote bool
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.wrote = w.wrote || n > 0
	return n, err
}

// readResponse reads the answer to a request and passes over others.
func (p *Pool) readResponse(c *conn, request *http.Request) (*http.Response, error) {
	for range maxSurplus {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, notAnAnswer(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if id := response.Header.Get(p.dialect.RequestID); id != "" && id != request.Header.Get(p.dialect.RequestID) {
			if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
				return nil, ErrCrossed
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, notAnAnswer(err)
			}
			continue
		}
		if response.StatusCode < http.StatusMultipleChoices && response.Header.Get(p.dialect.Stamp) == "" {
			return nil, ErrNoStamp
		}
		if response.Header.Get("Content-Encoding") != "" {
			return nil, errs.Combine(ErrNotAnAnswer, Error.New("an encoded body that nobody asked for"))
		}
		return response, nil
	}
	return nil, ErrCrossed
}

// notAnAnswer adds ErrNotAnAnswer to an error of the protocol; errors of the
// network stay as they are.
func notAnAnswer(err error) error {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return errs.Combine(ErrNotAnAnswer, err)
}

// Close ends the use of an answer. The connection is kept if the body was read
// to its end and the server keeps it too.
func (a *Answer) Close() {
	if a.done {
		return
	}
	a.done = true
	aborted := !a.stop()
	if aborted || !a.mayKeep() {
		_ = a.conn.Close()
		return
	}
	a.pool.keep(a.conn, a.Header)
}

// mayKeep reports whether the answer's connection can carry another request.
func (a *Answer) mayKeep() bool {
	if a.Response.Close || a.ContentLength < 0 && len(a.TransferEncoding) == 0 {
		return false
	}
	var one [1]byte
	if n, err := a.Body.Read(one[:]); n > 0 || !errors.Is(err, io.EOF) {
		return false
	}
	if a.conn.reader.Buffered() > 0 {
		return false
	}
	sending := time.NewTimer(sentTime)
	defer sending.Stop()
	select {
	case <-a.sent:
		return true
	case <-sending.C:
		// The rest of the request's body would be taken for the next request.
		return false
	}
}
