package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/sidecar"
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

// earlyAnswers are answers that a server sends to an upload while it is still being written.
var earlyAnswers = map[string]struct {
	status string
	rest   string
	end    func(*net.TCPConn)
	whole  bool
}{
	"no length, reset":        {"200 OK", "\r\nbody", standin.EndByReset, false},
	"error, no length, reset": {"500 Error", "\r\nbody", standin.EndByReset, false},
	"no length, orderly end":  {"200 OK", "\r\nbody", standin.EndInOrder, true},
	"length, reset":           {"200 OK", "Content-Length: 4\r\n\r\nbody", standin.EndByReset, true},
	"chunks, reset":           {"200 OK", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", standin.EndByReset, true},
}

// TestEarlyAnswerToUpload checks that the caller of a long upload gets an answer that the server sends while the upload is still
// being written, unless the server cuts it off.
func TestEarlyAnswerToUpload(t *testing.T) {
	const uploads, uploadBytes = 4, 8 << 20
	for name, test := range earlyAnswers {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			p.serveEarly(test.status, test.rest, test.end)
			p.start(nil)
			p.awaitReady()
			for range uploads {
				status, body := p.send(http.MethodPost, "/pay/x", bytes.NewReader(make([]byte, uploadBytes)))
				if test.whole {
					assert.Equal(t, status, http.StatusOK, "%s", body)
					assert.Equal(t, body, "body")
				} else {
					assert.Equal(t, status, http.StatusBadGateway, "%s", body)
				}
			}
		})
	}
}

// serveText replaces the server of a process by one that is listed in the settings, at the given address. Its route /uploads takes
// long bodies.
func (m *mesh) serveText(p *process, address string) {
	m.t.Helper()
	p.serverAddress = address
	route := "  - {name: upload, path_prefix: /uploads, service: kassa, kind: repeatable, timeout: 4s, max_body_bytes: 7340032}\n"
	revision := m.platform.Publish([]byte(m.settings(0) + route))
	m.await("the settings with the server", func() bool { return m.state(p).Settings.Revision == revision })
}

// TestEarlyAnswerOnOwnPath is TestEarlyAnswerToUpload for a server that the settings list.
func TestEarlyAnswerOnOwnPath(t *testing.T) {
	const uploads, uploadBytes = 4, 7 << 20
	for name, test := range earlyAnswers {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewEarly("127.0.0.1:0", func(r *http.Request) string {
				return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s", test.status, sidecar.HeaderAttempt, r.Header.Get(sidecar.HeaderAttempt), test.rest)
			}, test.end)
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			m := newMesh(t, 1, time.Millisecond)
			m.serveText(m.processes[0], server.Address())
			for i := range uploads {
				got := sendBody(m.processes[0], http.MethodPost, "/uploads", fmt.Sprint("n", i), 0, strings.Repeat("b", uploadBytes))
				assert.NilError(t, got.err)
				if test.whole {
					assert.Equal(t, got.status, http.StatusOK, "%+v", got)
					assert.Equal(t, got.body, "body")
				} else {
					assert.Equal(t, got.outcome, slatewind.OutcomeUnknown, "%+v", got)
				}
			}
		})
	}
}

// invalidAnswers are answers of which no caller may get anything. The ID and the stamp are in the place of the %s.
var invalidAnswers = map[string]string{
	"status 000": "HTTP/1.1 000 None\r\n%sContent-Length: 4\r\n\r\nbody",
	"status 099": "HTTP/1.1 099 None\r\n%sContent-Length: 4\r\n\r\nbody",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\n%sUpgrade: a\r\n\r\n",
	"status 700": "HTTP/1.1 700 None\r\n%sContent-Length: 4\r\n\r\nbody",

	"blank behind Content-Length":    "HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\nbody",
	"blank behind Transfer-Encoding": "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank in a name":                "HTTP/1.1 200 OK\r\n%sX A: b\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name of an error":    "HTTP/1.1 500 Error\r\n%sX A: b\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a trailer":             "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: b\r\n\r\n",
	"blank in an interim name":       "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody",
	"control byte in a name":         "HTTP/1.1 200 OK\r\n%sX\x01: b\r\nContent-Length: 4\r\n\r\nbody",
	"tab behind a name":              "HTTP/1.1 200 OK\r\n%sContent-Length\t: 4\r\n\r\nbody",
}

// soonTime is far below the time of a request that waits for an answer.
const soonTime = 2 * time.Second

// keepOpen waits until the client closes a connection.
func keepOpen(conn *net.TCPConn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// TestInvalidAnswer checks that the caller of a server that sends an invalid answer and keeps the connection open gets a
// rejection soon.
func TestInvalidAnswer(t *testing.T) {
	for name, text := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			names := platform.Servers()
			p := newNodeProcess(t)
			server, err := standin.NewEarly(p.address(portServer), func(r *http.Request) string {
				return fmt.Sprintf(text, fmt.Sprintf("%s: %s\r\n%s: stamp\r\n", names.RequestID, r.Header.Get(names.RequestID), names.Stamp))
			}, keepOpen)
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			p.start(nil)
			p.awaitReady()
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				began := time.Now()
				status, body := p.send(method, "/pay/x", nil)
				assert.Equal(t, status, http.StatusBadGateway, "%s", body)
				assert.Assert(t, time.Since(began) < soonTime, "took %s", time.Since(began))
			}
		})
	}
}

// TestInvalidAnswerOnOwnPath is TestInvalidAnswer for a server that the settings list.
func TestInvalidAnswerOnOwnPath(t *testing.T) {
	for name, text := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewEarly("127.0.0.1:0", func(r *http.Request) string {
				return fmt.Sprintf(text, fmt.Sprintf("%s: %s\r\n", sidecar.HeaderAttempt, r.Header.Get(sidecar.HeaderAttempt)))
			}, keepOpen)
			assert.NilError(t, err)
			t.Cleanup(server.Close)
			m := newMesh(t, 1, time.Millisecond)
			m.serveText(m.processes[0], server.Address())
			began := time.Now()
			got := send(m.processes[0], http.MethodGet, "/prices/1", "n", 0)
			assert.NilError(t, got.err)
			assert.Equal(t, got.outcome, slatewind.OutcomeUnknown, "%+v", got)
			assert.Assert(t, time.Since(began) < soonTime, "took %s", time.Since(began))
		})
	}
}
