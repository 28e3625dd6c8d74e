package inbound_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/warmup"
)

// TestAddressReusedByAnotherService guards against requests that are run by a server of another service
// because its name is taken for that of the service's own server.
func TestAddressReusedByAnotherService(t *testing.T) {
	entry := func(name, service string) func(p *fixture) {
		return func(p *fixture) {
			p.Published(time.Now(), &slatewind.ServerEntry{Name: name, Service: service, Slots: slots})
		}
	}
	removed := func(name string) func(p *fixture) { return func(p *fixture) { p.Removed(time.Now(), name) } }
	send := func(p *fixture) { p.run(reservation(), "r") }
	before, after := entry("old", "svc"), entry("new", "other")
	tests := map[string]struct {
		events []func(p *fixture)
		// arrivals is the number of requests that reach the other server.
		arrivals int
	}{
		"before its entry comes":               {[]func(*fixture){before, send, send, send}, 1},
		"its entry comes before the requests":  {[]func(*fixture){before, after, send, send}, 1},
		"its entry comes between them":         {[]func(*fixture){before, send, after, send, send}, 1},
		"the old entry expires":                {[]func(*fixture){before, after, removed("old"), send, send}, 0},
		"the old entry expires after an error": {[]func(*fixture){before, send, removed("old"), after, send}, 1},
		"the old entry is written late":        {[]func(*fixture){before, send, after, removed("old"), before, send, send}, 2},
		"the process starts meanwhile":         {[]func(*fixture){send, after, send, send}, 1},
		"it starts and gets the entry first":   {[]func(*fixture){after, send, before, send, send}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := standin.NewStamped("new", platform.Servers())
			p := newFixtureFor(t, server)
			p.Removed(time.Now(), "s-1")
			p.Inbound = inbound.New(inbound.Server{Service: "svc", Address: p.View().Address, Headers: platform.Servers()},
				bounds, history.New(0, nil), quarantine.NewTable(nil, nil), inbound.Memory{})
			t.Cleanup(p.Close)
			for _, event := range test.events {
				event(p)
			}
			assert.Equal(t, len(server.Runs()), 0)
			assert.Equal(t, server.Arrivals(), test.arrivals)
			assert.Equal(t, p.InUse(), 0)
			assert.Assert(t, p.Report().GetServer() != "new", "reports the state of a server of another service")
			entry("next", "svc")(p)
			assert.Equal(t, p.View().Leaving, "", "a server of the service comes back to the address")
		})
	}
}

// TestServerAnswersForAnother guards against a server that stays unused, or gets the requests of another start, when the
// address is shared by the entries of several starts.
func TestServerAnswersForAnother(t *testing.T) {
	entry := func(name string, start int64) *slatewind.ServerEntry {
		return &slatewind.ServerEntry{Name: name, Service: "svc", Slots: slots, Start: start}
	}
	tests := map[string]struct {
		entries []*slatewind.ServerEntry
		results []string
	}{
		"its entry is known":               {[]*slatewind.ServerEntry{entry("s-1", 0), entry("s-0", 0)}, []string{"not-run", "200 s-1 /x b"}},
		"its entry is not known":           {[]*slatewind.ServerEntry{entry("s-0", 0)}, []string{"not-run", "leaving"}},
		"its clock is behind":              {[]*slatewind.ServerEntry{entry("s-1", 1), entry("s-0", 2)}, []string{"not-run", "200 s-1 /x b"}},
		"the last entry is an older one's": {[]*slatewind.ServerEntry{entry("s-0", 0), entry("s-1", 0), entry("s-0", 0)}, []string{"200 s-1 /x b"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			p.Removed(time.Now(), "s-1")
			for _, e := range test.entries {
				p.Published(time.Now(), e)
			}
			for i, result := range test.results {
				assert.Equal(t, p.run(reservation(), fmt.Sprint(i)), result)
			}
			p.Published(time.Now(), entry("s-1", 3))
			assert.Equal(t, p.run(reservation(), "last"), "200 s-1 /x b")
		})
	}
}

// TestOtherServersStatements guards against the slots, the limit or the end of another server that are taken for those of
// this one.
func TestOtherServersStatements(t *testing.T) {
	names := platform.Servers()
	p := newFixtureFor(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := w.Header()
		header.Set(names.RequestID, r.Header.Get(names.RequestID))
		header.Set(names.Identity, "new")
		header.Set(names.Load, "0,0,9")
		header.Set(names.Limit, "1")
		header.Set(names.Leaving, slatewind.LeavingValue)
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	assert.Equal(t, p.run(reservation(), "r"), "not-run")
	view := p.View()
	assert.Equal(t, view.Slots, slots)
	assert.Assert(t, !view.Limit.Stated)
	assert.Equal(t, view.Leaving, "another server answers at its address: new")
	p.Removed(time.Now(), "new")
	assert.Equal(t, p.View().Leaving, "", "the other server has left")
	assert.Equal(t, p.run(reservation(), "r"), "not-run")
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots, DataCentre: "dc"})
	assert.Equal(t, p.View().Leaving, "", "the server has written its entry anew")
}

// TestNoServerIsKnown guards against a request that any server at the address would run, since it names none.
func TestNoServerIsKnown(t *testing.T) {
	server := standin.NewStamped("s-1", platform.Servers())
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	p := &fixture{Inbound: inbound.New(inbound.Server{Service: "svc", Address: strings.TrimPrefix(web.URL, "http://"), Headers: platform.Servers()},
		bounds, history.New(0, nil), quarantine.NewTable(nil, nil), inbound.Memory{})}
	p.SetWarmup(warmup.Limits{})
	t.Cleanup(p.Close)
	use, reply := p.reserve(t.Context(), reservation())
	assert.Assert(t, reply.GetGranted() != nil)
	assert.NilError(t, use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{
		RemainingNanos: int64(time.Second), Method: "GET", Target: []byte("/x"), Host: "h",
	}}}))
	reply, err := use.Recv()
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRefusal().GetCause(), string(inbound.CauseLeaving))
	assert.Equal(t, server.Arrivals(), 0)
	assert.Equal(t, p.InUse(), 0)
}
