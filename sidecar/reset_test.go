package sidecar_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/sidecar"
)

// TestEarlyAnswerEnds checks that an answer to a request whose body is still being written is complete exactly if the
// server has said so, by its length, its last chunk or the orderly end of the connection.
func TestEarlyAnswerEnds(t *testing.T) {
	// uploadBytes is more than the buffers of a connection hold.
	const uploadBytes, runs = 16 << 20, 50
	const length, chunked, none = "Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "\r\nbody"
	long := strings.Repeat("a", 32<<10)
	upload := []byte(strings.Repeat("b", uploadBytes))
	tests := map[string]struct {
		status string
		rest   string
		end    func(*net.TCPConn)
		whole  bool
	}{
		"no length, reset":        {"200 OK", none, standin.EndByReset, false},
		"error, no length, reset": {"500 Error", none, standin.EndByReset, false},
		"no length, orderly end":  {"200 OK", none, standin.EndInOrder, true},
		"length, reset":           {"200 OK", length, standin.EndByReset, true},
		"long, length, reset":     {"200 OK", "Content-Length: 32768\r\n\r\n" + long, standin.EndByReset, true},
		"chunks, reset":           {"200 OK", chunked, standin.EndByReset, true},
		"chunks cut, reset":       {"200 OK", strings.TrimSuffix(chunked, "0\r\n\r\n"), standin.EndByReset, false},
	}
	for name, test := range tests {
		// The time between the end of the connection and the read of the body lets the writer learn of the end first.
		for order, pause := range map[string]time.Duration{"writer first": 5 * time.Millisecond, "at once": 0} {
			t.Run(name+"/"+order, func(t *testing.T) {
				t.Parallel()
				for run := range runs {
					ending, ended := make(chan struct{}), make(chan struct{})
					server, err := standin.NewEarly("127.0.0.1:0", func(r *http.Request) string {
						return "HTTP/1.1 " + test.status + "\r\n" + echo(r.Header.Get(sidecar.HeaderAttempt)) + "\r\n" + test.rest
					}, func(conn *net.TCPConn) { <-ending; test.end(conn); close(ended) })
					assert.NilError(t, err)
					answer, _, err := sidecar.NewHTTPCaller().Call(t.Context(), server.Address(), &slatewindv1.RunRequest{
						AttemptId: "id", Method: http.MethodPost, Target: []byte("/x"), Body: upload,
					})
					assert.NilError(t, err)
					close(ending)
					if pause > 0 {
						<-ended
						time.Sleep(pause)
					}
					body, _, err := answer.ReadUpTo(1 << 20)
					answer.Close()
					server.Close()
					assert.Equal(t, err == nil, test.whole, "run %d: body %q, error %v", run, body, err)
				}
			})
		}
	}
}
