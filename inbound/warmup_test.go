package inbound_test

import (
	"fmt"
	"net"
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
	"slatewind.example/slatewind/warmup"
)

// TestWarmingServer checks how many of many requests at once reach a server after events from which
// it may have to warm up, and that the others are told when to come.
func TestWarmingServer(t *testing.T) {
	const requests, rate = 40, 16
	limited := rate / 4
	entry := func(p *restartable, change func(*slatewind.ServerEntry)) {
		e := slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots}
		change(&e)
		p.Published(time.Now(), &e)
	}
	tests := map[string]struct {
		before func(p *restartable)
		want   int
	}{
		"warm":                     {func(*restartable) {}, requests},
		"its entry says so":        {func(p *restartable) { entry(p, func(e *slatewind.ServerEntry) { e.Warming = 2 * time.Second }) }, limited},
		"its entry says no more":   {func(p *restartable) { entry(p, func(*slatewind.ServerEntry) {}) }, requests},
		"another start":            {func(p *restartable) { entry(p, func(e *slatewind.ServerEntry) { e.Start = 5 }) }, limited},
		"evacuated and taken back": {func(p *restartable) { entry(p, evacuate); entry(p, func(*slatewind.ServerEntry) {}) }, limited},
		"evacuated":                {func(p *restartable) { entry(p, evacuate) }, 0},
		"no limit, although it is": {func(p *restartable) {
			p.SetWarmup(warmup.Limits{Time: time.Minute})
			entry(p, evacuate)
			entry(p, func(*slatewind.ServerEntry) {})
		}, requests},
		"it says so after requests": {func(p *restartable) {
			p.flood(10)
			entry(p, func(e *slatewind.ServerEntry) { e.Warming = 2 * time.Second })
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newRestartableFixture(t)
			p.SetWarmup(warmup.Limits{Time: 0, Rate: rate})
			p.SetWarmup(warmup.Limits{Time: time.Minute, Rate: rate})
			test.before(p)
			results := p.flood(requests)
			served := 0
			for _, result := range results {
				if result[:3] == "200" {
					served++
				}
			}
			assert.Equal(t, served, test.want, "%v", results)
			if test.want == limited {
				assert.Equal(t, results[requests-1], string(inbound.CauseWarming))
				_, reply := p.reserve(t.Context(), reservation())
				wait := reply.GetRefusal().GetRetryAfterMs()
				assert.Assert(t, wait > 0 && wait <= 1000, wait)
			}
		})
	}
}

// restartable is a fixture whose server can be stopped and started again at its address.
type restartable struct {
	*fixture
	t       *testing.T
	address string
	web     *http.Server
}

func newRestartableFixture(t *testing.T) *restartable {
	p := &restartable{t: t, address: "127.0.0.1:0", fixture: &fixture{server: standin.NewStamped("s-1", platform.Servers())}}
	p.listen()
	t.Cleanup(p.stop)
	p.Inbound = inbound.New(inbound.Server{Service: "svc", Address: p.address, Headers: platform.Servers()},
		bounds, history.New(0, nil), quarantine.NewTable(nil, nil), inbound.Memory{})
	t.Cleanup(p.Close)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
	return p
}

// listen starts the server.
func (p *restartable) listen() {
	listener, err := net.Listen("tcp", p.address)
	assert.NilError(p.t, err)
	p.address = listener.Addr().String()
	p.web = &http.Server{Handler: p.server, ReadHeaderTimeout: time.Second}
	go func() { _ = p.web.Serve(listener) }()
}

// stop ends the server and its connections.
func (p *restartable) stop() { _ = p.web.Close() }

// TestServerThatWasDown: a server that did not accept connections warms up once it answers again,
// also if no entry says so.
func TestServerThatWasDown(t *testing.T) {
	p := newRestartableFixture(t)
	p.SetWarmup(warmup.Limits{Rate: 16})
	p.SetWarmup(warmup.Limits{Time: time.Minute, Rate: 16})
	assert.Equal(t, p.run(reservation(), "before")[:3], "200")
	assert.Assert(t, !p.View().WarmingUp)
	p.stop()
	assert.Equal(t, p.run(reservation(), "down"), string(slatewind.OutcomeNotRun))
	p.listen()
	await(t, func() bool { return strings.HasPrefix(p.run(reservation(), "after"), "200") })
	assert.Assert(t, p.View().WarmingUp)
}

// TestServerThatCrashed: a server that ended while it ran a request warms up once it answers again, also
// if nothing was sent to it while it was down.
func TestServerThatCrashed(t *testing.T) {
	p, _ := newCrashingFixture(t, true)
	p.SetWarmup(warmup.Limits{Rate: 16})
	p.SetWarmup(warmup.Limits{Time: time.Minute, Rate: 16})
	assert.Assert(t, !p.View().WarmingUp)
	p.run(reservation(), "deadly")
	assert.Assert(t, p.View().WarmingUp)
}

func evacuate(e *slatewind.ServerEntry) { e.Evacuated = true }

// flood sends requests one after another and returns their results.
func (p *fixture) flood(n int) []string {
	results := make([]string, n)
	for i := range results {
		results[i] = p.run(reservation(), fmt.Sprint("flood-", i))
	}
	return results
}
