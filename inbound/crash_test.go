package inbound_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
)

// newCrashingFixture returns a fixture whose server exits on every request if it is deadly, and the
// journal of its process.
func newCrashingFixture(t *testing.T, deadly bool) (*fixture, *history.Journal) {
	server := standin.NewStamped("s-1", platform.Servers())
	crasher, err := standin.NewCrasher("127.0.0.1:0", server, func(*http.Request) bool { return deadly }, time.Hour)
	assert.NilError(t, err)
	t.Cleanup(crasher.Close)
	journal := history.New(0, nil)
	p := &fixture{server: server, Inbound: inbound.New(inbound.Server{Service: "svc", Address: crasher.Address(), Headers: platform.Servers()}, bounds, journal, quarantine.NewTable(nil, nil), inbound.Memory{})}
	t.Cleanup(p.Close)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
	return p, journal
}

// TestServerExitIsRecorded: an exit of the server while it runs a request is recorded with the
// request's digest. Failures that look similar on the connection are not.
func TestServerExitIsRecorded(t *testing.T) {
	tests := map[string]struct {
		deadly bool
		before func(p *fixture)
		lines  int
	}{
		"the server exits":   {true, func(*fixture) {}, 1},
		"a reset":            {false, func(p *fixture) { p.server.SetMode(standin.StampedReset) }, 0},
		"a truncated answer": {false, func(p *fixture) { p.server.SetMode(standin.StampedCut) }, 0},
		"an error":           {false, func(p *fixture) { p.server.SetMode(standin.StampedError) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, journal := newCrashingFixture(t, test.deadly)
			test.before(p)
			p.run(reservation(), "id")
			var lines []string
			for _, d := range journal.Find(history.Filter{}) {
				if d.Kind == slatewind.DecisionServerEnded {
					lines = append(lines, d.Evidence)
				}
			}
			assert.Equal(t, len(lines), test.lines, "%v", lines)
			for _, line := range lines {
				assert.Assert(t, strings.Contains(line, "digests=") && !strings.Contains(line, "/x"), line)
			}
		})
	}
}
