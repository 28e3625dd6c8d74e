package outbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/bodylimit"
)

// TestLateAbort checks that an abort after the last byte of an answer was written does not reach the next answer on the
// connection, and that an answer whose end is not written yet appears truncated.
func TestLateAbort(t *testing.T) {
	tests := map[string]struct {
		stated bool
		// whole reports that the answer has no end beside its last byte.
		whole bool
	}{
		"length": {stated: true, whole: true},
		"chunks": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := &Outbound{memory: Memory{Answers: bodylimit.NewAnswers(0)}}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/next" {
					o.writeError(w, "", http.StatusServiceUnavailable, "next", 0)
					return
				}
				if test.stated {
					w.Header().Set("Content-Length", "4")
				}
				a := o.newAnswerWriter(w, 4)
				_, _ = io.WriteString(a, "body")
				_ = a.flush()
				a.abort()
				a.close()
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET /aborted HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			body, err := readBody(reader)
			assert.Equal(t, body == "body" && err == nil, test.whole, "%q %v", body, err)
			if test.whole {
				body, err = readBody(reader)
				assert.NilError(t, err)
				assert.Equal(t, body, "next\n")
			}
		})
	}
}

// readBody reads an answer and returns its body.
func readBody(from *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
