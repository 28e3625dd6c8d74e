package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
)

// newStutteringServer returns the address of a server that writes, before each answer but the first of a connection, a
// copy of the answer before it. rewrite changes the copy, given the ID of the request before whose answer it is sent.
func newStutteringServer(t *testing.T, answer string, rewrite func(answer, next string) string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go stutter(conn, answer, rewrite)
		}
	}()
	return listener.Addr().String()
}

// stutter answers the requests of one connection.
func stutter(conn net.Conn, answer string, rewrite func(answer, next string) string) {
	defer func() { _ = conn.Close() }()
	reader, last := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if last != "" {
			_, _ = io.WriteString(conn, rewrite(last, id))
		}
		last = fmt.Sprintf(answer, id, len(id), id)
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
	}
}

// stampedAnswer and rejection are answers whose body is the ID of their request.
const (
	stampedAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s"
	rejection     = "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: %d\r\n\r\n%s"
)

// TestAnswerWithoutIDReachesNextRequest guards against an answer without the ID of its request that is taken for the answer
// to the next request on its connection.
func TestAnswerWithoutIDReachesNextRequest(t *testing.T) {
	const requests = 100
	// replaced replaces the ID field of an answer by other lines, in which {next} is the ID of the next request.
	replaced := func(lines string) func(string, string) string {
		return func(answer, next string) string {
			head, rest, _ := strings.Cut(answer, "Request-Id: ")
			_, rest, _ = strings.Cut(rest, "\r\n")
			return head + strings.ReplaceAll(lines, "{next}", next) + rest
		}
	}
	tests := map[string]struct {
		answer  string
		rewrite func(answer, next string) string
	}{
		"no ID":              {stampedAnswer, replaced("")},
		"empty ID":           {stampedAnswer, replaced("Request-Id:\r\n")},
		"no ID, a failure":   {strings.Replace(stampedAnswer, "200 OK", "500 Error", 1), replaced("")},
		"no ID, a rejection": {rejection, replaced("")},
		"several IDs":        {stampedAnswer, replaced("Request-Id: {next}\r\nRequest-Id: other\r\n")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pool := backend.NewPool(newStutteringServer(t, test.answer, test.rewrite), dialect)
			foreign := 0
			for i := range requests {
				id := fmt.Sprint("id-", i)
				body, _, err := do(pool, id)
				assert.NilError(t, err)
				if body != id {
					foreign++
				}
			}
			assert.Equal(t, foreign, 0, "of %d requests got the answer to another one", requests)
		})
	}
}

// TestCopyReachesSecondAttempt guards against the copy of a rejection that is taken for the result of a second attempt at the
// same request: the request runs although it is told not to.
func TestCopyReachesSecondAttempt(t *testing.T) {
	const copied = "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	server := newFakeServer(t, script{copied, copied, copied + good}, script{good})
	pool := backend.NewPool(server.address, dialect)
	for _, id := range []string{"id-1", "id-2"} {
		body, _, err := do(pool, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "full")
	}
	body, _, err := do(pool, "id-1")
	assert.NilError(t, err)
	assert.Equal(t, body, "body", "the second attempt has a connection of its own")
	assert.Equal(t, pool.Opened(), uint64(2))
}

// TestConnectionsBesideRepeatedIDs checks that a connection that one request must not use stays for the others, and that none
// is used without end.
func TestConnectionsBesideRepeatedIDs(t *testing.T) {
	const maxRequests = 1024
	ids := func(n int) (list []string) {
		for i := range n {
			list = append(list, fmt.Sprint("id-", i))
		}
		return list
	}
	tests := map[string]struct {
		ids   []string
		conns uint64
	}{
		"different IDs":             {[]string{"a", "b", "c"}, 1},
		"each ID twice":             {[]string{"a", "a", "b", "b"}, 2},
		"one ID again and again":    {[]string{"a", "a", "a"}, 3},
		"a connection left in pool": {[]string{"a", "b", "a", "c", "b", "c"}, 2},
		"as many as allowed":        {ids(maxRequests), 1},
		"more than allowed":         {ids(maxRequests + 1), 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			none := func(string, string) string { return "" }
			pool := backend.NewPool(newStutteringServer(t, stampedAnswer, none), dialect)
			for _, id := range test.ids {
				body, _, err := do(pool, id)
				assert.NilError(t, err)
				assert.Equal(t, body, id)
			}
			assert.Equal(t, pool.Opened(), test.conns)
		})
	}
}

// TestLateAnswersAroundHead guards against the answer to a HEAD request, which has a length and no body, that is read as one with
// a body, and the other way round: the bytes behind it would be taken apart at the wrong place.
func TestLateAnswersAroundHead(t *testing.T) {
	const headAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n"
	lateHead, late := strings.ReplaceAll(headAnswer, "{id}", "id-1"), strings.ReplaceAll(good, "{id}", "id-1")
	tests := map[string]struct {
		methods []string
		first   script
		conns   uint64
	}{
		"HEAD, then GET":       {[]string{http.MethodHead, http.MethodGet}, script{headAnswer, lateHead + good}, 2},
		"GET, then HEAD":       {[]string{http.MethodGet, http.MethodHead}, script{good, late + headAnswer}, 2},
		"HEAD, then HEAD":      {[]string{http.MethodHead, http.MethodHead}, script{headAnswer, lateHead + headAnswer}, 1},
		"GET, then POST":       {[]string{http.MethodGet, http.MethodPost}, script{good, late + good}, 1},
		"HEAD, GET, then HEAD": {[]string{http.MethodHead, http.MethodGet, http.MethodHead}, script{headAnswer, lateHead + headAnswer}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			second := headAnswer
			if test.methods[1] != http.MethodHead {
				second = good
			}
			pool := backend.NewPool(newFakeServer(t, test.first, script{second}).address, dialect)
			for i, method := range test.methods {
				request := newRequest(fmt.Sprint("id-", i+1))
				request.Method = method
				body, _, err := send(pool, request)
				assert.NilError(t, err)
				assert.Equal(t, body == "", method == http.MethodHead, body)
			}
			assert.Equal(t, pool.Opened(), test.conns)
		})
	}
}
