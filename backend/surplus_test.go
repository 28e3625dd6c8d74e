package backend_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
)

// idLine is the ID field of an answer to the request itself.
const idLine = "Request-Id: {id}\r\n"

// connection returns one of the connections that the server has accepted.
func (s *fakeServer) connection(i int) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted[i]
}

// observed returns a pool that collects surplus answers and bytes.
func observed(address string) (*backend.Pool, *[]backend.Surplus) {
	pool, seen := backend.NewPool(address, dialect), &[]backend.Surplus{}
	pool.Observe(func(s backend.Surplus) { *seen = append(*seen, s) })
	return pool, seen
}

// TestSurplusIsReported checks what is told of answers and bytes that no request asked for. Each test sends two requests.
func TestSurplusIsReported(t *testing.T) {
	long := strings.Repeat("x", 1000)
	withID := func(line string) string { return strings.Replace(foreign, "Request-Id: other\r\n", line, 1) }
	tests := map[string]struct {
		script script
		want   backend.Surplus
	}{
		"foreign ID":       {script{good, foreign + good}, backend.Surplus{Kind: backend.SurplusForeignID, Request: "id-2", Carried: "other", Status: 200, Earlier: 1, Last: "GET 200"}},
		"long ID":          {script{good, withID("Request-Id: "+long+"\r\n") + good}, backend.Surplus{Kind: backend.SurplusForeignID, Request: "id-2", Carried: long[:64] + "...", Status: 200, Earlier: 1, Last: "GET 200"}},
		"no ID":            {script{good, withID("") + good}, backend.Surplus{Kind: backend.SurplusNoID, Request: "id-2", Status: 200, Earlier: 1, Last: "GET 200"}},
		"empty ID":         {script{good, withID("Request-Id:\r\n") + good}, backend.Surplus{Kind: backend.SurplusEmptyID, Request: "id-2", Status: 200, Earlier: 1, Last: "GET 200"}},
		"several IDs":      {script{good, withID(idLine+"Request-Id: other\r\n") + good}, backend.Surplus{Kind: backend.SurplusSeveralIDs, Request: "id-2", Carried: "id-2,other", Status: 200, Earlier: 1, Last: "GET 200"}},
		"after an interim": {script{good, "HTTP/1.1 103 Early Hints\r\n\r\n" + foreign + good}, backend.Surplus{Kind: backend.SurplusForeignID, Request: "id-2", Carried: "other", Status: 200, Earlier: 1, Last: "interim 103"}},
		"in a body":        {script{good, strings.Replace(good, "Content-Length: 4\r\n", "", 1) + foreign + "|" + hangUp}, backend.Surplus{Kind: backend.SurplusInBody, Request: "id-2", Status: 200, Earlier: 1, Last: "GET 200"}},
		"behind an answer": {script{good + foreign, good}, backend.Surplus{Kind: backend.SurplusAtClose, Request: "id-1", Last: "GET 200"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, test.script, script{good})
			pool, seen := observed(server.address)
			for _, id := range []string{"id-1", "id-2"} {
				_, _, err := do(pool, id)
				assert.Equal(t, err != nil, id == test.want.Request && test.want.Kind == backend.SurplusInBody, "%v", err)
			}
			assert.DeepEqual(t, *seen, []backend.Surplus{test.want})
		})
	}
}

// TestSurplusAtReuseIsReported checks that bytes that arrive on an idle connection are told, and that its orderly end is not.
func TestSurplusAtReuseIsReported(t *testing.T) {
	want := backend.Surplus{Kind: backend.SurplusAtReuse, Request: "id-2", Earlier: 1, Last: "GET 200"}
	tests := map[string]struct {
		then func(net.Conn)
		want []backend.Surplus
	}{
		"an answer":   {func(c net.Conn) { _, _ = io.WriteString(c, foreign) }, []backend.Surplus{want}},
		"one byte":    {func(c net.Conn) { _, _ = io.WriteString(c, "x") }, []backend.Surplus{want}},
		"orderly end": {func(c net.Conn) { _ = c.Close() }, []backend.Surplus{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, script{good}, script{good})
			pool, seen := observed(server.address)
			_, _, err := do(pool, "id-1")
			assert.NilError(t, err)
			test.then(server.connection(0))
			_, _, err = do(pool, "id-2")
			assert.NilError(t, err)
			assert.DeepEqual(t, *seen, test.want)
		})
	}
}

// TestRequestsWithoutID checks that a request without an ID gets an answer without one, or with its own, on a connection that no
// other request uses.
func TestRequestsWithoutID(t *testing.T) {
	withID := func(lines string) string { return strings.Replace(good, idLine, lines, 1) }
	tests := map[string]struct {
		ids    []string
		answer string
		err    string
	}{
		"none":               {nil, withID(""), ""},
		"none, answer empty": {nil, withID("Request-Id:\r\n"), ""},
		"empty":              {[]string{""}, withID(""), ""},
		"several":            {[]string{"a", "b"}, withID(""), ""},
		"several, one back":  {[]string{"a", "b"}, withID("Request-Id: b\r\n"), ""},
		"none, another's":    {nil, foreign + "|" + hangUp, "EOF"},
		"several, another's": {[]string{"a", "b"}, withID("Request-Id: a\r\nRequest-Id: c\r\n") + "|" + hangUp, "EOF"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, script{good, good}, script{test.answer})
			pool := backend.NewPool(server.address, dialect)
			_, _, err := do(pool, "id-1")
			assert.NilError(t, err)
			request := newRequest("")
			request.Header["Request-Id"] = test.ids
			body, _, err := send(pool, request)
			if test.err == "" {
				assert.NilError(t, err)
				assert.Equal(t, body, "body")
			} else {
				assert.ErrorContains(t, err, test.err)
			}
			_, _, err = do(pool, "id-2")
			assert.NilError(t, err)
			requests, conns := server.seen()
			assert.Equal(t, requests, 3)
			assert.Equal(t, conns, 2, "the first connection is used again, the second is not")
		})
	}
}
