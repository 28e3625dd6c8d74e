package daemon_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// serveEarly lets a server answer at the address of the server with a status line and the rest of an answer as soon as it has read
// the head of a request, and end the connection.
func (p *nodeProcess) serveEarly(status, rest string, end func(*net.TCPConn)) {
	p.t.Helper()
	names := platform.Servers()
	server, err := standin.NewEarly(p.address(portServer), func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: stamp\r\n%s", status, names.RequestID, r.Header.Get(names.RequestID), names.Stamp, rest)
	}, end)
	assert.NilError(p.t, err)
	p.t.Cleanup(server.Close)
}

// TestEarlyAnswerToUpload checks that the caller of a long upload gets an answer that the server sends while the upload is still
// being written, unless the server cuts it off.
func TestEarlyAnswerToUpload(t *testing.T) {
	const uploads, uploadBytes = 4, 8 << 20
	tests := map[string]struct {
		status string
		rest   string
		end    func(*net.TCPConn)
		want   int
	}{
		"no length, reset":        {"200 OK", "\r\nbody", standin.EndByReset, http.StatusBadGateway},
		"error, no length, reset": {"500 Error", "\r\nbody", standin.EndByReset, http.StatusBadGateway},
		"no length, orderly end":  {"200 OK", "\r\nbody", standin.EndInOrder, http.StatusOK},
		"length, reset":           {"200 OK", "Content-Length: 4\r\n\r\nbody", standin.EndByReset, http.StatusOK},
		"chunks, reset":           {"200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", standin.EndByReset, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			p.serveEarly(test.status, test.rest, test.end)
			p.start(nil)
			p.awaitReady()
			for range uploads {
				status, body := p.send(http.MethodPost, "/pay/x", bytes.NewReader(make([]byte, uploadBytes)))
				assert.Equal(t, status, test.want, "%s", body)
				if test.want == http.StatusOK {
					assert.Equal(t, body, "body")
				}
			}
		})
	}
}
