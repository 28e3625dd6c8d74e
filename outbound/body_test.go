package outbound_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/platform"
)

// uploadLimits allow larger bodies than the settings of other tests.
var uploadLimits = &slatewindv1.CallerLimits{BodyBytes: 1 << 20}

// newUploadMesh returns a mesh with the given bounds on memory.
func newUploadMesh(t *testing.T, memory outbound.Memory, names ...string) *mesh {
	m := newMeshWith(t, inbound.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: shortWindow}, memory, names...)
	time.Sleep(shortWindow)
	m.callerLimits = uploadLimits
	m.publish(2, &slatewindv1.Route{
		Name: "send", Host: "h.example", PathPrefix: "/send/", Kind: string(slatewind.KindSingle), Service: "svc", Attempts: 2,
		Timeout: durationpb.New(20 * time.Second), Objective: durationpb.New(15 * time.Second),
	})
	return m
}

// rawRequest writes the parts of a request to a connection of its own, with a pause before each part
// after the first, and returns the status of the answer, or 0 if there is none.
func (m *mesh) rawRequest(t *testing.T, pause time.Duration, hangUp bool, parts ...string) int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.callers.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			break
		}
	}
	if hangUp {
		return 0
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, _ := io.ReadAll(conn)
	status := 0
	_, _ = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	return status
}

// TestCallersBody checks what becomes of a body that arrives slowly, stops midway, or is longer or
// shorter than stated: only a complete one is sent to a server, once.
func TestCallersBody(t *testing.T) {
	head := func(length, id string) string {
		return "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + platform.Callers().RequestID + ": " + id + "\r\n" +
			platform.Callers().Deadline + ": 1000\r\n" + length + "\r\n\r\n"
	}
	tests := map[string]struct {
		parts  []string
		pause  time.Duration
		hangUp bool
		status int
		runs   int
	}{
		"in pieces":                 {parts: []string{head("Content-Length: 6", "id"), "abc", "def"}, pause: 200 * time.Millisecond, status: 200, runs: 1},
		"in chunks":                 {parts: []string{head("Transfer-Encoding: chunked", "id"), "3\r\nabc\r\n", "3\r\ndef\r\n0\r\n\r\n"}, pause: 50 * time.Millisecond, status: 200, runs: 1},
		"stops midway":              {parts: []string{head("Content-Length: 6", "id"), "abc"}, status: http.StatusRequestTimeout},
		"stops midway, in chunks":   {parts: []string{head("Transfer-Encoding: chunked", "id"), "3\r\nabc\r\n"}, status: http.StatusRequestTimeout},
		"is cut off":                {parts: []string{head("Content-Length: 6", "id"), "abc"}, hangUp: true},
		"longer than stated":        {parts: []string{head("Content-Length: 3", "id"), "abcdef"}, status: 200, runs: 1},
		"over the limit":            {parts: []string{head("Content-Length: 2000000", "id"), "abc"}, status: http.StatusRequestEntityTooLarge},
		"over the limit, in chunks": {parts: []string{head("Transfer-Encoding: chunked", "id"), "200000\r\n" + strings.Repeat("b", 1<<21) + "\r\n0\r\n\r\n"}, status: http.StatusRequestEntityTooLarge},
		"larger than the whole bound": {
			parts: []string{head("Content-Length: 100000", "id"), strings.Repeat("b", 100_000)}, status: 200, runs: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newUploadMesh(t, outbound.Memory{Requests: bodylimit.NewBudget(50_000)}, "a")
			assert.Equal(t, m.rawRequest(t, test.pause, test.hangUp, test.parts...), test.status)
			assert.Equal(t, m.runs("id"), test.runs)
		})
	}
}

// TestLateBodyIsAnswered guards against a caller that keeps its connection and whose body stops midway, and that gets no answer
// until it sends the rest.
func TestLateBodyIsAnswered(t *testing.T) {
	tests := map[string]string{
		"length": "Content-Length: 6\r\n\r\nabc",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newUploadMesh(t, outbound.Memory{}, "a")
			conn, err := net.Dial("tcp", strings.TrimPrefix(m.callers.URL, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			names := platform.Callers()
			_, err = fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: h.example\r\n%s: id\r\n%s: 300\r\n%s", names.RequestID, names.Deadline, body)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
			assert.Assert(t, response.Close, "the rest of the body would be taken for the next request")
			assert.Equal(t, m.runs("id"), 0)
		})
	}
}

// TestUploadsWithinMemory sends many uploads at once through an ingress that may hold only a few of
// them: all of them are served, whole, and the bodies held never exceed the bound.
func TestUploadsWithinMemory(t *testing.T) {
	const uploads, size, held = 200, 60_000, 5
	m := newUploadMesh(t, outbound.Memory{Requests: bodylimit.NewBudget(held * size)}, "a", "b", "c", "d")
	body := strings.Repeat("b", size)
	var callers sync.WaitGroup
	for i := range uploads {
		callers.Go(func() {
			id := fmt.Sprint("upload-", i)
			g := m.send("POST", "/send/1", id, body, 20*time.Second)
			assert.Check(t, g.status == http.StatusOK, "%s: %d %s", id, g.status, g.body[:min(len(g.body), 200)])
			assert.Check(t, strings.HasSuffix(g.body, body), "%s: the body was changed", id)
			assert.Check(t, m.runs(id) == 1, "%s ran %d times", id, m.runs(id))
		})
	}
	var most int64
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(time.Millisecond):
			most = max(most, m.View(time.Now()).Memory.RequestBytes)
		}
	}
	assert.Assert(t, most > 0 && most <= held*size, "held at once: %d", most)
}

// TestUploadSentAgain checks that an upload that a server rejects without running it is sent whole to
// another one, and one whose fate is not known is not.
func TestUploadSentAgain(t *testing.T) {
	tests := map[string]struct {
		mode   standin.StampedMode
		status int
		runs   int
	}{
		"rejected":           {standin.StampedShed, 200, 1},
		"the answer is lost": {standin.StampedLost, 502, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newUploadMesh(t, outbound.Memory{}, "a", "b")
			m.setAll(test.mode)
			if test.mode == standin.StampedShed {
				m.servers["b"].SetMode(standin.StampedOK)
			}
			body := strings.Repeat("b", 200_000)
			g := m.send("POST", "/pay/1", "id", body, 2*time.Second)
			assert.Equal(t, g.status, test.status)
			assert.Equal(t, m.runs("id"), test.runs)
			assert.Assert(t, test.status != 200 || strings.HasSuffix(g.body, body))
		})
	}
}

// TestCallersThatDoNotRead: many callers do not read their answers. These stay within their bound,
// the oldest are cut off, and other callers are served meanwhile.
func TestCallersThatDoNotRead(t *testing.T) {
	const silent, size, bound = 500, 100_000, 2_000_000
	m := newUploadMesh(t, outbound.Memory{Answers: bodylimit.NewAnswers(bound)}, "a", "b", "c", "d")
	body := bytes.Repeat([]byte("b"), size)
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	// Small buffers of the kernel leave most of an answer at the ingress.
	callers := httptest.NewUnstartedServer(m.Outbound)
	callers.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetWriteBuffer(1)
		return ctx
	}
	callers.Start()
	t.Cleanup(callers.Close)
	address := strings.TrimPrefix(callers.URL, "http://")
	for i := range silent {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		conns = append(conns, conn)
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(1))
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /send/1 HTTP/1.1\r\nHost: h.example\r\n%s: silent-%d\r\nContent-Length: %d\r\n\r\n", platform.Callers().RequestID, i, size)
			_, _ = conn.Write(body)
		}()
	}
	var view bodylimit.AnswersView
	for deadline := time.Now().Add(20 * time.Second); m.answered() < silent && time.Now().Before(deadline); {
		view = m.View(time.Now()).Memory.Answers
		assert.Assert(t, view.Bytes <= bound, "unread: %d bytes", view.Bytes)
		time.Sleep(5 * time.Millisecond)
	}
	began := time.Now()
	g := m.send("POST", "/pay/1", "reads", "body", 2*time.Second)
	assert.Equal(t, g.status, http.StatusOK)
	assert.Assert(t, time.Since(began) < time.Second, "a caller that reads waited %s", time.Since(began))
	assert.Assert(t, m.View(time.Now()).Memory.Answers.Cut > 0, "no answer was cut off: %v", view)
}

// answered returns how many requests have run.
func (m *mesh) answered() int {
	n := 0
	for _, server := range m.servers {
		n += len(server.Runs())
	}
	return n
}
