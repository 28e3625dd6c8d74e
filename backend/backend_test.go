package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/backend"
)

var dialect = slatewind.ServerHeaders{RequestID: "Request-Id", Deadline: "Deadline-Ms", Stamp: "Server-Stamp"}

// script lists what a server sends in answer to the requests of one connection, in order. {id} is
// replaced by the ID of the request. After "|" follows what happens to the connection.
type script []string

const (
	good    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"
	foreign = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nother"
	reset   = "reset"
	hangUp  = "hang up"
)

// fakeServer runs one script per connection and counts requests.
type fakeServer struct {
	address string

	mu       sync.Mutex
	requests []string
	conns    int
	// ended is the number of connections that the server has closed.
	ended int
	// accepted are all connections.
	accepted []net.Conn
}

func newFakeServer(t *testing.T, scripts ...script) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeServer{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.accepted = append(s.accepted, conn)
			s.mu.Unlock()
			go s.serve(conn, scripts[min(i, len(scripts)-1)])
		}
	}()
	return s
}

func (s *fakeServer) serve(conn net.Conn, steps script) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for _, step := range steps {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, request.Method+" "+request.RequestURI)
		s.mu.Unlock()
		text, end, _ := strings.Cut(step, "|")
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", request.Header.Get("Request-Id")))
		if end == reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if end == hangUp {
			return
		}
	}
	// The connection stays open until the client closes it.
	_, _ = reader.ReadByte()
}

func (s *fakeServer) seen() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.conns
}

func newRequest(id string) *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/a//b%2Fc?x=1"}, Host: "h", Header: http.Header{"Request-Id": {id}}}
}

// do sends one request and returns the body or the error.
func do(pool *backend.Pool, id string) (body string, sent bool, err error) {
	return send(pool, newRequest(id))
}

// send is do for any request.
func send(pool *backend.Pool, request *http.Request) (body string, sent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, sent, err := pool.Do(ctx, request, nil)
	if err != nil {
		return "", sent, err
	}
	defer answer.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), sent, err
}

// TestAnswers: the result of one request for each kind of answer that a server may send.
func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		step string
		body string
		err  string
	}{
		"a whole answer":                  {step: good, body: "body"},
		"a foreign answer before it":      {step: foreign + good, body: "body"},
		"an answer without ID":            {step: strings.Replace(good, idLine, "", 1) + "|" + hangUp, err: "EOF"},
		"an answer with an empty ID":      {step: strings.Replace(good, idLine, "Request-Id:\r\n", 1) + "|" + hangUp, err: "EOF"},
		"an answer with its ID twice":     {step: strings.Replace(good, idLine, idLine+idLine, 1) + "|" + hangUp, err: "EOF"},
		"an answer with two IDs":          {step: strings.Replace(good, idLine, idLine+"Request-Id: other\r\n", 1) + "|" + hangUp, err: "EOF"},
		"an ID in another spelling":       {step: strings.Replace(good, "{id}", "ID-1", 1) + "|" + hangUp, err: "EOF"},
		"a failure without ID":            {step: "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\noops|" + hangUp, err: "EOF"},
		"an answer without ID before it":  {step: strings.Replace(good, idLine, "", 1) + good, body: "body"},
		"several copies before it":        {step: strings.Repeat(foreign, 200) + good, body: "body"},
		"only interim answers":            {step: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1024), err: "another request"},
		"only foreign answers":            {step: strings.Repeat(foreign, 1024), err: "another request"},
		"a reset":                         {step: "|" + reset, err: "reset"},
		"no answer":                       {step: "|" + hangUp, err: "EOF"},
		"an answer that ends early":       {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nbody|" + hangUp, err: "EOF"},
		"no length, ends in order":        {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\nbody|" + hangUp, body: "body"},
		"no length, a copy behind it":     {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\nbody" + good + "|" + hangUp, err: "head of another answer"},
		"no length, another's behind it":  {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\nbody" + foreign + "|" + hangUp, err: "head of another answer"},
		"no length, text like one":        {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\nbody HTTP/1.1 200 OK|" + hangUp, body: "body HTTP/1.1 200 OK"},
		"no length, reset":                {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\nbody|" + reset, err: "reset"},
		"a success without a stamp":       {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody", err: "stamp"},
		"an encoded body":                 {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", err: "encoded"},
		"a malformed answer":              {step: "what is this\r\n\r\n|" + hangUp, err: "malformed HTTP answer"},
		"status 000":                      {step: "HTTP/1.1 000 None\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\nbody", err: "malformed HTTP answer"},
		"status 000, then an answer":      {step: "HTTP/1.1 000 None\r\n\r\n" + good, err: "malformed HTTP answer"},
		"status 000 after an interim one": {step: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n\r\n", err: "malformed HTTP answer"},
		"status 099":                      {step: "HTTP/1.1 099 None\r\nRequest-Id: {id}\r\n\r\n", err: "malformed HTTP answer"},
		"status 101":                      {step: "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\nUpgrade: a\r\n\r\n", err: "malformed HTTP answer"},
		"status 600":                      {step: "HTTP/1.1 600 None\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody", err: "malformed HTTP answer"},
		"status 700":                      {step: "HTTP/1.1 700 None\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody", err: "malformed HTTP answer"},
		"another's status 000":            {step: "HTTP/1.1 000 None\r\nRequest-Id: other\r\nContent-Length: 4\r\n\r\nbody", err: "malformed HTTP answer"},
		"status 599":                      {step: "HTTP/1.1 599 Error\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\noops", body: "oops"},
		"several interim answers":         {step: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Any\r\n\r\n" + good, body: "body"},
		"a blank behind a name":           {step: strings.Replace(good, "Content-Length", "X-A : b\r\nContent-Length", 1), err: "malformed HTTP answer"},
		"a blank within a name":           {step: strings.Replace(good, "Content-Length", "X A: b\r\nContent-Length", 1), err: "malformed HTTP answer"},
		"a blank behind Content-Length":   {step: strings.Replace(good, "Length:", "Length :", 1), err: "malformed HTTP answer"},
		"a blank behind the encoding":     {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", err: "malformed HTTP answer"},
		"a blank behind the ID's name":    {step: strings.Replace(good, "Request-Id:", "Request-Id :", 1), err: "malformed HTTP answer"},
		"a second ID behind a blank":      {step: strings.Replace(good, "Content-Length", "Request-Id : other\r\nContent-Length", 1), err: "malformed HTTP answer"},
		"a blank behind the stamp":        {step: strings.Replace(good, "Stamp:", "Stamp :", 1), err: "malformed HTTP answer"},
		"a blank in an error's name":      {step: "HTTP/1.1 500 Error\r\nRequest-Id: {id}\r\nX-A : b\r\nContent-Length: 4\r\n\r\noops", err: "malformed HTTP answer"},
		"a blank in an interim name":      {step: "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n" + good, err: "malformed HTTP answer"},
		"a blank in another's name":       {step: strings.Replace(foreign, "Length:", "Length :", 1) + good, err: "malformed HTTP answer"},
		"a blank in a trailer's name":     {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: b\r\n\r\n", err: `the name "X A" of a field is invalid`},
		"a blank in another's trailer":    {step: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n" + good, err: "malformed HTTP answer"},
		"a trailer":                       {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-A: b\r\n\r\n", body: "body"},
		"a control byte in a name":        {step: strings.Replace(good, "Content-Length", "X\x01A: b\r\nContent-Length", 1), err: "malformed HTTP answer"},
		"a tab behind a name":             {step: strings.Replace(good, "Length:", "Length\t:", 1), err: "malformed HTTP answer"},
		"DEL in a name":                   {step: strings.Replace(good, "Content-Length", "X\x7f: b\r\nContent-Length", 1), err: "malformed HTTP answer"},
		"a control byte in a trailer":     {step: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX\x01: b\r\n\r\n", err: "malformed MIME header"},
		"an interim answer":               {step: "HTTP/1.1 103 Early Hints\r\n\r\n" + good, body: "body"},
		"a failure of the server's own":   {step: "HTTP/1.1 500 Error\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\noops", body: "oops"},
		"a foreign answer without an end": {step: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\n\r\nother|" + hangUp, err: "another request"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, script{test.step})
			body, sent, err := do(backend.NewPool(server.address, dialect), "id-1")
			assert.Equal(t, sent, true)
			if test.err != "" {
				assert.ErrorContains(t, err, test.err)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, body, test.body)
			}
			requests, _ := server.seen()
			assert.Equal(t, requests, 1, "a request must never be repeated")
		})
	}
}

// TestConnections: whether the second of two requests reuses the connection of the first.
func TestConnections(t *testing.T) {
	tests := map[string]struct {
		first script
		conns int
	}{
		"kept":                        {script{good, good}, 1},
		"closed by the server":        {script{good + "|" + hangUp}, 2},
		"reset by the server":         {script{good + "|" + reset}, 2},
		"Connection: close":           {script{strings.Replace(good, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), good}, 2},
		"short Keep-Alive timeout":    {script{strings.Replace(good, "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1), good}, 2},
		"long Keep-Alive timeout":     {script{strings.Replace(good, "\r\n\r\n", "\r\nKeep-Alive: timeout=9\r\n\r\n", 1), good}, 1},
		"a surplus answer after it":   {script{good + foreign, good}, 2},
		"a surplus answer before it":  {script{foreign + good, good}, 2},
		"an interim answer before it": {script{"HTTP/1.1 103 Early Hints\r\n\r\n" + good, good}, 1},
		"surplus malformed bytes":     {script{good + "rest", good}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, test.first, script{good, good})
			pool := backend.NewPool(server.address, dialect)
			_, _, err := do(pool, "id-1")
			assert.NilError(t, err)
			await(t, func() bool { n, _ := server.seen(); return n == 1 })
			if strings.Contains(test.first[0], "|") {
				await(t, func() bool { server.mu.Lock(); defer server.mu.Unlock(); return server.ended == 1 })
			}
			body, _, err := do(pool, "id-2")
			assert.NilError(t, err)
			assert.Equal(t, body, "body")
			requests, conns := server.seen()
			assert.Equal(t, requests, 2)
			assert.Equal(t, conns, test.conns)
			assert.Equal(t, pool.Opened(), uint64(test.conns))
		})
	}
}

// slowEOF is a request body that reports its end a little after its last byte, as if the
// goroutine that writes it were scheduled late.
type slowEOF struct{ io.Reader }

func (l slowEOF) Read(b []byte) (int, error) {
	n, err := l.Reader.Read(b)
	if errors.Is(err, io.EOF) {
		time.Sleep(5 * time.Millisecond)
	}
	return n, err
}

func (slowEOF) Close() error { return nil }

// TestKeepsAfterQuickAnswer: a connection is reused even if the answer was read before the
// goroutine that writes the request has noticed the end of the request. On a loaded machine that
// goroutine may run late, and a second connection was opened needlessly.
func TestKeepsAfterQuickAnswer(t *testing.T) {
	server := newFakeServer(t, script{good, good}, script{good})
	pool := backend.NewPool(server.address, dialect)
	request := newRequest("id-1")
	request.Method, request.Body, request.ContentLength = http.MethodPost, slowEOF{strings.NewReader("body")}, 4
	answer, _, err := pool.Do(t.Context(), request, nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	answer.Close()
	_, _, err = do(pool, "id-2")
	assert.NilError(t, err)
	assert.Equal(t, pool.Opened(), uint64(1))
}

// TestPartlyWrittenRequest guards against the reuse of a connection on which part of a request was not written: the server would
// take the next request for the rest.
func TestPartlyWrittenRequest(t *testing.T) {
	const length = 64 << 10
	server := newFakeServer(t, script{good, good}, script{good})
	pool := backend.NewPool(server.address, dialect)
	request := newRequest("id-1")
	request.Method, request.ContentLength = http.MethodPost, length+1
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", length)))
	_, _, err := send(pool, request)
	assert.NilError(t, err)
	_, _, err = do(pool, "id-2")
	assert.NilError(t, err)
	assert.Equal(t, pool.Opened(), uint64(2))
}

func await(t *testing.T, what func() bool) {
	t.Helper()
	for range 5000 {
		if what() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timed out")
}

// TestNothingSent: only an error before the first byte proves that nothing was sent.
func TestNothingSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, sent, err := do(backend.NewPool(address, dialect), "id-1")
	assert.ErrorContains(t, err, "refused")
	assert.Equal(t, sent, false)
}

// TestEarlyAnswer: if a server answers before it has read a long body, it gets no other bytes in
// place of the rest of the body.
func TestEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	got := make(chan string, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(good, "{id}", request.Header.Get("Request-Id")))
			go func() {
				defer func() { _ = conn.Close() }()
				time.Sleep(50 * time.Millisecond)
				rest, _ := io.ReadAll(reader)
				got <- string(rest)
			}()
		}
	}()
	pool := backend.NewPool(listener.Addr().String(), dialect)
	long := newRequest("id-1")
	long.Method, long.ContentLength = http.MethodPost, 32<<20
	long.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", 32<<20)))
	answer, _, err := pool.Do(context.Background(), long, nil)
	assert.NilError(t, err)
	_, _ = io.ReadAll(answer.Body)
	answer.Close()
	_, _, err = do(pool, "id-2")
	assert.NilError(t, err)
	assert.Equal(t, strings.Trim(<-got, "b"), "", "other bytes were sent in place of the body")
}

// TestTarget: the request target is sent unchanged.
func TestTarget(t *testing.T) {
	server := newFakeServer(t, script{good})
	_, _, err := do(backend.NewPool(server.address, dialect), "id-1")
	assert.NilError(t, err)
	assert.DeepEqual(t, server.requests, []string{"GET /a//b%2Fc?x=1"})
}

// TestCancel: a cancelled request ends immediately, and its connection is closed.
func TestCancel(t *testing.T) {
	server := newFakeServer(t, script{""}, script{good})
	pool := backend.NewPool(server.address, dialect)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, _, err := pool.Do(ctx, newRequest("id-1"), nil)
		failed <- err
	}()
	await(t, func() bool { n, _ := server.seen(); return n == 1 })
	cancel()
	assert.ErrorIs(t, <-failed, context.Canceled)
	body, _, err := do(pool, "id-2")
	assert.NilError(t, err)
	assert.Equal(t, body, "body", "on a new connection")
}

// TestUnread: from the moment of sending, unread reports whether bytes of the answer are waiting
// to be read.
func TestUnread(t *testing.T) {
	const length = 1 << 20
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n", length)
	server := newFakeServer(t, script{head + strings.Repeat("x", length)})
	pool := backend.NewPool(server.address, dialect)
	var unread func() bool
	answer, _, err := pool.Do(t.Context(), newRequest("id"), func(f func() bool) { unread = f })
	assert.NilError(t, err)
	for !unread() {
		time.Sleep(time.Millisecond)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
	assert.Assert(t, !unread())
	answer.Close()
	pool.CloseIdle()
	assert.Assert(t, !unread(), "the connection is closed")
}
