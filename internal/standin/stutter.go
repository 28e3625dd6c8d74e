package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// CopyForm is the form in which a stuttering server sends an answer again.
type CopyForm string

// Forms of copies.
const (
	CopySame      CopyForm = "same bytes"
	CopyNoID      CopyForm = "no id"
	CopyEmptyID   CopyForm = "empty id"
	CopyChunked   CopyForm = "chunked"
	CopyNoIDChunk CopyForm = "no id, chunked"
	// CopyUnframed is a copy that follows an answer without a length, before the server closes the connection.
	CopyUnframed CopyForm = "after an answer without a length"
)

// CopyTime is when a stuttering server sends a copy.
type CopyTime string

// Times of copies.
const (
	CopyAtOnce CopyTime = "at once"
	// CopyLate is a drawn time after the answer.
	CopyLate CopyTime = "late"
	// CopyBeforeNext is after the head of the next request on the connection was read.
	CopyBeforeNext CopyTime = "before the next answer"
)

const (
	// maxCopies is the maximum number of copies of an answer, maxCopyDelay the maximum delay of late ones.
	maxCopies    = 4
	maxCopyDelay = 120 * time.Millisecond
	// copyShare is the share of answers that are sent again.
	copyShare = 0.5
)

// copyTimes are the times that are drawn from.
var copyTimes = []CopyTime{CopyAtOnce, CopyLate, CopyBeforeNext, CopyBeforeNext}

// Stutterer lets a server send its answers again on the connections of their requests. It passes requests to a handler and
// is safe for concurrent use.
type Stutterer struct {
	handler http.Handler
	// requestID is the name of the header field with a request's ID.
	requestID string

	// mu guards the fields below.
	mu sync.Mutex
	// random draws the copies, in one of forms; it is nil if the server does not stutter.
	random *rand.Rand
	forms  []CopyForm
	// copies counts the copies by form.
	copies map[CopyForm]int
}

// NewStutterer returns a Stutterer in front of a handler. It sends no copies until Start is called. requestID is the name
// of the header field with a request's ID.
func NewStutterer(handler http.Handler, requestID string) *Stutterer {
	return &Stutterer{handler: handler, requestID: requestID, copies: map[CopyForm]int{}}
}

// Start makes the server stutter. random draws what it sends again, in which of the forms, when and how often.
func (s *Stutterer) Start(random *rand.Rand, forms ...CopyForm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random, s.forms = random, forms
}

// Stop ends what Start began. Copies that were drawn before may still follow.
func (s *Stutterer) Stop() { s.Start(nil) }

// Copies returns the number of copies by form.
func (s *Stutterer) Copies() map[CopyForm]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.copies)
}

// ServeHTTP implements http.Handler.
func (s *Stutterer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stutters := s.random != nil
	s.mu.Unlock()
	hijacker, ok := w.(http.Hijacker)
	if !stutters || !ok {
		s.handler.ServeHTTP(w, r)
		return
	}
	first := s.run(r)
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	s.serve(conn, buffered.Reader, first)
}

// recorded is an answer with the method of its request.
type recorded struct {
	method string
	*httptest.ResponseRecorder
}

// run runs a request and returns the answer.
func (s *Stutterer) run(r *http.Request) recorded {
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return recorded{r.Method, w}
}

// serve sends an answer and serves the further requests of a connection, until it is closed.
func (s *Stutterer) serve(conn net.Conn, reader *bufio.Reader, answer recorded) {
	for {
		plan := s.draw()
		if plan.form == CopyUnframed {
			_, _ = conn.Write(append(answer.encode(answer.Header(), framedByEnd), plan.encode(answer, s.requestID)...))
			return
		}
		if _, err := conn.Write(answer.encode(answer.Header(), framedByLength)); err != nil {
			return
		}
		copies := plan.encode(answer, s.requestID)
		switch plan.time {
		case CopyAtOnce:
			_, _ = conn.Write(copies)
		case CopyLate:
			// A write to a connection that was closed meanwhile fails, which does no harm.
			time.AfterFunc(plan.delay, func() { _, _ = conn.Write(copies) })
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if plan.time == CopyBeforeNext {
			_, _ = conn.Write(copies)
		}
		answer = s.run(r)
		// The rest of a body that the handler left would be taken for the next request.
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// copyPlan says how an answer is sent again.
type copyPlan struct {
	form  CopyForm
	time  CopyTime
	count int
	delay time.Duration
}

// draw draws how the next answer is sent again, and counts the copies. The count is 0 if it is not.
func (s *Stutterer) draw() copyPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil || s.random.Float64() >= copyShare {
		return copyPlan{}
	}
	p := copyPlan{
		form:  s.forms[s.random.IntN(len(s.forms))],
		time:  copyTimes[s.random.IntN(len(copyTimes))],
		count: 1,
		delay: time.Duration(s.random.Int64N(int64(maxCopyDelay))),
	}
	if s.random.IntN(maxCopies) == 0 {
		p.count += s.random.IntN(maxCopies)
	}
	s.copies[p.form] += p.count
	return p
}

// encode returns the bytes of the copies of an answer; requestID is the name of the header field with its ID.
func (p copyPlan) encode(answer recorded, requestID string) []byte {
	header, f := answer.Header().Clone(), framedByLength
	switch p.form {
	case CopyNoID, CopyNoIDChunk:
		header.Del(requestID)
	case CopyEmptyID:
		header.Set(requestID, "")
	}
	if p.form == CopyChunked || p.form == CopyNoIDChunk {
		f = framedByChunks
	}
	return bytes.Repeat(answer.encode(header, f), p.count)
}

// framing is how the end of an answer's body is marked.
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	framedByEnd    framing = "end of the connection"
)

// encode returns the bytes of an answer with a header.
func (a recorded) encode(header http.Header, f framing) []byte {
	header, body := header.Clone(), a.Body.Bytes()
	switch f {
	case framedByLength:
		header.Set("Content-Length", strconv.Itoa(len(body)))
	case framedByChunks:
		header.Set("Transfer-Encoding", "chunked")
		if len(body) > 0 {
			body = fmt.Appendf(nil, "%x\r\n%s\r\n", len(body), body)
		}
		body = append(body, "0\r\n\r\n"...)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Code, http.StatusText(a.Code))
	_ = header.Write(&b) // A buffer takes all writes.
	b.WriteString("\r\n")
	if a.method != http.MethodHead {
		b.Write(body)
	}
	return b.Bytes()
}
