package inbound_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/platform"
)

// countingMeter counts surplus answers and bytes by kind.
type countingMeter map[backend.SurplusKind]int

// Surplus implements inbound.Meter.
func (m countingMeter) Surplus(kind backend.SurplusKind) { m[kind]++ }

// stutter sends, before its answer to each request, a copy of an answer to another one.
func stutter(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	names := platform.Servers()
	for _, id := range []string{"other", r.Header.Get(names.RequestID)} {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", names.RequestID, id, names.Stamp)
	}
}

// TestSurplusAnswersAreTold checks that each surplus answer is counted, that the journal names both IDs and what the
// connection had carried, and that a server that stutters does not flood it.
func TestSurplusAnswersAreTold(t *testing.T) {
	const requests, maxLines = 20, 5
	p := newFixtureFor(t, http.HandlerFunc(stutter))
	meter := countingMeter{}
	p.SetMeter(meter)
	for i := range requests {
		assert.Equal(t, p.run(reservation(), fmt.Sprint("id-", i)), "200 body")
	}
	assert.DeepEqual(t, meter, countingMeter{backend.SurplusForeignID: requests})
	lines := p.journal.Find(history.Filter{})
	var dropped []slatewind.Decision
	for _, line := range lines {
		if line.Kind == slatewind.DecisionDropReply {
			dropped = append(dropped, line)
		}
	}
	assert.Equal(t, len(dropped), maxLines)
	assert.Equal(t, dropped[0].Request, "id-0")
	assert.Equal(t, dropped[0].Server, "s-1")
	assert.Equal(t, dropped[0].Evidence, `surplus=foreign-id carried="other" status=200 earlier=0 last="" lines_left_out=0`)
	assert.Assert(t, strings.Contains(dropped[0].Reason, string(backend.SurplusForeignID)))
}

// sendTwice returns a server that sends each answer twice on a connection, without a length, and closes it.
func sendTwice(body string) http.HandlerFunc {
	names := platform.Servers()
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\n\r\n%s", names.RequestID, r.Header.Get(names.RequestID), names.Stamp, body)
		_, _ = io.WriteString(conn, answer+answer)
	}
}

// TestSecondAnswerInBody checks that an answer without a length is no answer if a copy of it is behind it.
func TestSecondAnswerInBody(t *testing.T) {
	p := newFixtureFor(t, sendTwice("body"))
	assert.Equal(t, p.run(reservation(), "id"), "unknown")
}
