package outbound_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/platform"
)

// TestFramingOfAnswers checks which fields of a server's answer reach the caller, for those that say how an answer is framed or
// concern one connection, and that the next answer on the caller's connection is read as one.
func TestFramingOfAnswers(t *testing.T) {
	const date = "Tue, 01 Jan 2030 00:00:00 GMT"
	tests := map[string]struct {
		method string
		status int
		// rest is what the server sends after the fields that each answer has.
		rest string
		// fields are those that the caller gets; none are meant by nil.
		fields map[string][]string
		body   string
	}{
		"length":                    {rest: "Content-Length: 2\r\n\r\nok", fields: map[string][]string{"Content-Length": {"2"}, "Content-Type": nil}, body: "ok"},
		"the same length twice":     {rest: "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", fields: map[string][]string{"Content-Length": {"2"}}, body: "ok"},
		"chunks":                    {rest: "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", fields: map[string][]string{"Content-Length": {"2"}}, body: "ok"},
		"length and chunks":         {rest: "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", fields: map[string][]string{"Content-Length": {"2"}}, body: "ok"},
		"neither length nor chunks": {rest: "\r\nok", fields: map[string][]string{"Content-Length": {"2"}}, body: "ok"},
		"trailer":                   {rest: "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: t\r\n\r\n", fields: map[string][]string{"Trailer": nil, "X-T": nil}, body: "ok"},
		"announced in the head":     {rest: "Trailer: X-T\r\nX-T: t\r\nContent-Length: 2\r\n\r\nok", fields: map[string][]string{"Trailer": nil, "X-T": {"t"}}, body: "ok"},
		"fields of the connection":  {rest: "Connection: keep-alive, X-Hop\r\nX-Hop: h\r\nX-End: e\r\nContent-Length: 2\r\n\r\nok", fields: map[string][]string{"X-Hop": nil, "X-End": {"e"}, "Connection": nil}, body: "ok"},
		"other fields of one":       {rest: "Connection: x-hop\r\nConnection: X-Jump\r\nX-Hop: h\r\nX-Jump: j\r\nContent-Length: 2\r\n\r\nok", fields: map[string][]string{"X-Hop": nil, "X-Jump": nil}, body: "ok"},
		"keep-alive and upgrade":    {rest: "Keep-Alive: timeout=9\r\nUpgrade: other\r\nContent-Length: 2\r\n\r\nok", fields: map[string][]string{"Keep-Alive": nil, "Upgrade": nil}, body: "ok"},
		"date and type":             {rest: "Date: " + date + "\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nok", fields: map[string][]string{"Date": {date}, "Content-Type": {"a/b"}}, body: "ok"},
		"a field twice":             {rest: "X-A: 1\r\nX-B: b\r\nX-A: 2\r\nContent-Length: 2\r\n\r\nok", fields: map[string][]string{"X-A": {"1", "2"}}, body: "ok"},
		"HEAD, length":              {method: http.MethodHead, rest: "Content-Length: 12\r\n\r\n", fields: map[string][]string{"Content-Length": {"12"}}},
		"HEAD, long":                {method: http.MethodHead, rest: "Content-Length: 5000000\r\n\r\n", fields: map[string][]string{"Content-Length": {"5000000"}}},
		"HEAD, empty":               {method: http.MethodHead, rest: "Content-Length: 0\r\n\r\n", fields: map[string][]string{"Content-Length": {"0"}}},
		"HEAD, chunks":              {method: http.MethodHead, rest: "Transfer-Encoding: chunked\r\n\r\n", fields: map[string][]string{"Content-Length": nil}},
		"HEAD, not found":           {method: http.MethodHead, status: 404, rest: "Content-Length: 12\r\n\r\n", fields: map[string][]string{"Content-Length": {"12"}}},
		"no content":                {status: 204, rest: "\r\n", fields: map[string][]string{"Content-Length": nil}},
		"no content, length":        {status: 204, rest: "Content-Length: 12\r\n\r\n", fields: map[string][]string{"Content-Length": nil}},
		"not modified":              {status: 304, rest: "Etag: e\r\n\r\n", fields: map[string][]string{"Content-Length": nil, "Etag": {"e"}}},
		"not modified, length":      {status: 304, rest: "Content-Length: 12\r\n\r\n", fields: map[string][]string{"Content-Length": nil}},
		"reset content":             {status: 205, rest: "Content-Length: 0\r\n\r\n", fields: map[string][]string{"Content-Length": {"0"}}},
		"error":                     {status: 500, rest: "Content-Length: 2\r\n\r\nok", fields: map[string][]string{"Content-Length": {"2"}}, body: "ok"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.status == 0 {
				test.status = http.StatusOK
			}
			if test.method == "" {
				test.method = http.MethodPost
			}
			m := newMesh(t)
			m.addServer(t, "a", "svc", answerWith(test.status, test.rest))
			conn, err := net.Dial("tcp", strings.TrimPrefix(m.callers.URL, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			reader := bufio.NewReader(conn)
			for i := range 2 {
				id := fmt.Sprint("id-", i)
				_, err = fmt.Fprintf(conn, "%s /pay/1 HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n\r\n", test.method, platform.Callers().RequestID, id)
				assert.NilError(t, err)
				response, err := http.ReadResponse(reader, &http.Request{Method: test.method})
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, test.status, "%s", body)
				assert.Equal(t, string(body), test.body)
				assert.Equal(t, response.Header.Get(platform.Servers().RequestID), id)
				for field, values := range test.fields {
					assert.DeepEqual(t, response.Header[field], values)
				}
			}
		})
	}
}

// answerWith returns a server that answers with a status and the rest of an answer, byte for byte, and then closes the connection.
func answerWith(status int, rest string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		names := platform.Servers()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: stamp\r\n%s", status, names.RequestID, r.Header.Get(names.RequestID), names.Stamp, rest)
		// A close before all was read could reset the connection, and the answer with it.
		if tcp, ok := conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	})
}
