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

// newMortal returns a place whose server ends under all requests while it is deadly, and the
// journal of its process.
func newMortal(t *testing.T, deadly bool) (*place, *history.Journal) {
	server := standin.NewStamped("s-1", platform.Servers())
	crasher, err := standin.NewCrasher("127.0.0.1:0", server, func(*http.Request) bool { return deadly }, time.Hour)
	assert.NilError(t, err)
	t.Cleanup(crasher.Close)
	journal := history.New(0, nil)
	p := &place{server: server, Inbound: inbound.New(inbound.Server{Service: "svc", Address: crasher.Address(), Dialect: platform.Servers()}, bounds, journal, quarantine.NewTable(nil, nil))}
	t.Cleanup(p.Close)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
	return p, journal
}

// TestServerEndIsTold: an end of the server under a request is written down with the request's
// digest, and what only looks alike at the connection is not.
func TestServerEndIsTold(t *testing.T) {
	tests := map[string]struct {
		deadly bool
		before func(p *place)
		lines  int
	}{
		"the server ends":           {true, func(*place) {}, 1},
		"a reset":                   {false, func(p *place) { p.server.SetMode(standin.StampedReset) }, 0},
		"an answer that breaks off": {false, func(p *place) { p.server.SetMode(standin.StampedCut) }, 0},
		"an error":                  {false, func(p *place) { p.server.SetMode(standin.StampedError) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, journal := newMortal(t, test.deadly)
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
