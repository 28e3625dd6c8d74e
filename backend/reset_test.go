package backend_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/internal/standin"
)

const (
	// firstBytes is the length of the part of an upload that is written at once, uploadBytes that of the rest,
	// which is more than the buffers of a connection hold.
	firstBytes  = 16 << 10
	uploadBytes = 16 << 20
	// resetRuns is the number of runs of each order.
	resetRuns = 50
)

// uploadText is the text of uploads.
var uploadText = strings.Repeat("b", uploadBytes)

// upload is the body of a request. After its first bytes have been written it is held back until it is released.
type upload struct {
	io.Reader
	held, released, closed chan struct{}
	close                  func()
}

func newUpload() *upload {
	u := &upload{held: make(chan struct{}), released: make(chan struct{}), closed: make(chan struct{})}
	u.Reader = io.MultiReader(strings.NewReader(uploadText[:firstBytes]), readerFunc(u.hold), strings.NewReader(uploadText))
	u.close = sync.OnceFunc(func() { close(u.closed) })
	return u
}

// hold is a Read that ends on release.
func (u *upload) hold([]byte) (int, error) {
	close(u.held)
	<-u.released
	return 0, io.EOF
}

// Close implements io.Closer. The request's writer calls it when it ends.
func (u *upload) Close() error { u.close(); return nil }

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// order is the order in which the two directions of a connection learn that the server has ended it.
type order string

const (
	writerFirst order = "writer first"
	// blockedWriterFirst: the writer waits for the server to read when that ends the connection.
	blockedWriterFirst order = "blocked writer first"
	readerFirst        order = "reader first"
	// atOnce: both wait when the server ends the connection.
	atOnce order = "at once"
)

// readInOrder sends an upload to a server that answers early and ends the connection once end is closed, and reads the answer.
func readInOrder(t *testing.T, o order, address string, end func()) (string, error) {
	t.Helper()
	request, body := newRequest("id-1"), newUpload()
	request.Method, request.ContentLength, request.Body = http.MethodPost, firstBytes+uploadBytes, body
	release := sync.OnceFunc(func() { close(body.released) })
	defer release()
	answer, _, err := backend.NewPool(address, dialect).Do(t.Context(), request, nil)
	assert.NilError(t, err)
	defer answer.Close()
	<-body.held
	if o == blockedWriterFirst || o == atOnce {
		release()
		time.Sleep(time.Millisecond)
	}
	if o == atOnce {
		go end()
	} else {
		end()
	}
	if o == writerFirst || o == blockedWriterFirst {
		release()
		<-body.closed
	}
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

// TestEarlyAnswerEnds checks that an answer to a request whose body is still being written is complete exactly if the
// server has said so, by its length, its last chunk or the orderly end of the connection, whichever direction of the connection
// learns first of the end.
func TestEarlyAnswerEnds(t *testing.T) {
	const length, chunked, none = "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "\r\nbody"
	tests := map[string]struct {
		status string
		rest   string
		end    func(*net.TCPConn)
		whole  bool
	}{
		"no length, reset":             {"200 OK", none, standin.EndByReset, false},
		"error, no length, reset":      {"500 Error", none, standin.EndByReset, false},
		"no length, orderly end":       {"200 OK", none, standin.EndInOrder, true},
		"length, reset":                {"200 OK", length, standin.EndByReset, true},
		"length, orderly end":          {"200 OK", length, standin.EndInOrder, true},
		"chunks, reset":                {"200 OK", chunked, standin.EndByReset, true},
		"chunks, orderly end":          {"200 OK", chunked, standin.EndInOrder, true},
		"chunks cut, reset":            {"200 OK", strings.TrimSuffix(chunked, "0\r\n\r\n"), standin.EndByReset, false},
		"shorter than its length":      {"200 OK", strings.Replace(length, "4", "5", 1), standin.EndByReset, false},
		"shorter, orderly end":         {"200 OK", strings.Replace(length, "4", "5", 1), standin.EndInOrder, false},
		"no body, no length, reset":    {"200 OK", "\r\n", standin.EndByReset, false},
		"no body, no length, in order": {"200 OK", "\r\n", standin.EndInOrder, true},
	}
	for name, test := range tests {
		for _, o := range []order{writerFirst, blockedWriterFirst, readerFirst, atOnce} {
			t.Run(name+"/"+string(o), func(t *testing.T) {
				for run := range resetRuns {
					ending, ended := make(chan struct{}), make(chan struct{})
					server, err := standin.NewEarly("127.0.0.1:0", func(r *http.Request) string {
						return "HTTP/1.1 " + test.status + "\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Stamp: s\r\n" + test.rest
					}, func(conn *net.TCPConn) { <-ending; test.end(conn); close(ended) })
					assert.NilError(t, err)
					body, err := readInOrder(t, o, server.Address(), func() { close(ending); <-ended })
					server.Close()
					assert.Equal(t, err == nil, test.whole, "run %d: body %q, error %v", run, body, err)
				}
			})
		}
	}
}

// TestOrderlyEndNeedsNoWriter checks that an answer that ends in order is complete although the request's body is
// still being written to a server that keeps the other direction open.
func TestOrderlyEndNeedsNoWriter(t *testing.T) {
	read := make(chan struct{})
	server, err := standin.NewEarly("127.0.0.1:0", func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Stamp: s\r\n\r\nbody"
	}, func(conn *net.TCPConn) { _ = conn.CloseWrite(); <-read; _ = conn.Close() })
	assert.NilError(t, err)
	defer server.Close()
	defer close(read)
	body, err := readInOrder(t, atOnce, server.Address(), func() {})
	assert.NilError(t, err)
	assert.Equal(t, body, "body")
}

// TestUnreadKeepsReset checks that asking for unread bytes does not make a reset look like an orderly end.
func TestUnreadKeepsReset(t *testing.T) {
	ending, ended := make(chan struct{}), make(chan struct{})
	server, err := standin.NewEarly("127.0.0.1:0", func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Stamp: s\r\n\r\nbody"
	}, func(conn *net.TCPConn) { <-ending; standin.EndByReset(conn); close(ended) })
	assert.NilError(t, err)
	defer server.Close()
	var unread func() bool
	answer, _, err := backend.NewPool(server.Address(), dialect).Do(t.Context(), newRequest("id-1"), func(f func() bool) { unread = f })
	assert.NilError(t, err)
	defer answer.Close()
	close(ending)
	<-ended
	for range 100 {
		assert.Assert(t, !unread())
		time.Sleep(100 * time.Microsecond)
	}
	body, err := io.ReadAll(answer.Body)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "body %q, error %v", body, err)
}
