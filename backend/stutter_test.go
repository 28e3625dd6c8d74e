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
