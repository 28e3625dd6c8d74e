package outbound_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/warmup"
)

// linkFault is a fault of the connection to a process beside a server, or of that process.
type linkFault string

// The zero value is no fault.
const (
	// linkRefused refuses connections.
	linkRefused linkFault = "refused"
	// linkSilent accepts messages and never replies.
	linkSilent linkFault = "silent"
	// linkLost loses all replies after a request was sent.
	linkLost linkFault = "lost"
	// linkSick refuses each reservation after a delay because the server is unhealthy.
	linkSick linkFault = "sick"
)

// mesh is one ingress, several servers and the processes beside them.
type mesh struct {
	*outbound.Outbound
	store   *config.Store
	history *history.Journal
	// suspects is shared by all processes.
	suspects *quarantine.Table
	callers  *httptest.Server

	// bounds apply to all processes beside servers.
	bounds inbound.Bounds
	// callerLimits are part of the settings.
	callerLimits *slatewindv1.CallerLimits

	mu         sync.Mutex
	linkFaults map[string]linkFault
	servers    map[string]*standin.Stamped
	inbounds   map[string]*inbound.Inbound
	// addresses holds the addresses of the servers by name.
	addresses map[string]string
	// opened counts the reservations made.
	opened int
	// serve replaces the processes beside the servers if it is set, open the connections to them.
	serve func(link.UseStream) error
	open  func(ctx context.Context, in *inbound.Inbound) (link.Use, error)
}

func (m *mesh) Request(string, slatewind.Outcome, time.Duration) {}
func (m *mesh) Workspace(string, outbound.Admission)             {}
func (m *mesh) Extra(string, string)                             {}
func (m *mesh) Denied(string, string)                            {}
func (m *mesh) Quarantined(string)                               {}

// AddDirect implements outbound.Reports.
func (m *mesh) AddDirect(time.Time, slatewind.ServerStart, *slatewindv1.SlotState, time.Duration) {}

// Admit implements slatewind.Limiter. No workspace of a mesh has a rate limit.
func (m *mesh) Admit(context.Context, slatewind.WorkspaceLimit) slatewind.LimitVerdict {
	return slatewind.LimitVerdict{Allowed: true}
}

// NestedCall implements slatewind.NestedCalls. No request of a mesh is a nested call.
func (m *mesh) NestedCall(string) (slatewind.NestedCall, bool) { return slatewind.NestedCall{}, false }

// Open implements outbound.Opener.
func (m *mesh) Open(ctx context.Context, server slatewind.ServerEntry) (link.Use, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opened++
	in := m.inbounds[server.Name]
	if m.serve != nil {
		return link.LocalUse(ctx, m.serve), nil
	}
	if m.open != nil {
		return m.open(ctx, in)
	}
	switch m.linkFaults[server.Name] {
	case linkRefused:
		return nil, errors.New("connection refused")
	case linkSilent:
		return link.LocalUse(ctx, func(s link.UseStream) error { <-s.Context().Done(); return nil }), nil
	case linkSick:
		return link.LocalUse(ctx, refuseSick), nil
	case linkLost:
		return &lossy{Use: link.LocalUse(ctx, in.Serve), ctx: ctx}, nil
	}
	return link.LocalUse(ctx, in.Serve), nil
}

// refuseSick acts as the process beside a server that remains unhealthy.
func refuseSick(s link.UseStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	time.Sleep(20 * time.Millisecond)
	return s.Send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Refusal{Refusal: &slatewindv1.Refusal{
		Cause: string(inbound.CauseUnhealthy), RetryAfterMs: 2000, State: &slatewindv1.SlotState{Slots: 2, Health: string(slatewind.ServerEjected), FailurePercent: 100},
	}}})
}

// lossy is a reservation stream that loses all replies after a request was sent.
type lossy struct {
	link.Use
	ctx  context.Context
	sent bool
}

func (l *lossy) Send(r *slatewindv1.UseRequest) error {
	l.sent = l.sent || r.GetRequest() != nil
	return l.Use.Send(r)
}

func (l *lossy) Recv() (*slatewindv1.UseReply, error) {
	if l.sent {
		<-l.ctx.Done()
		return nil, l.ctx.Err()
	}
	return l.Use.Recv()
}

// shortWindow is the window of the limit on extra attempts in most tests. The tests start after the
// first window, so that processes may use their slack.
const shortWindow = 10 * time.Millisecond

func newMesh(t *testing.T, names ...string) *mesh {
	m := newBoundedMesh(t, inbound.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: shortWindow}, names...)
	time.Sleep(shortWindow)
	return m
}

func newBoundedMesh(t *testing.T, bounds inbound.Bounds, names ...string) *mesh {
	return newMeshWith(t, bounds, outbound.Memory{}, names...)
}

// newMeshWith returns a mesh with a limit on extra attempts and with bounds on the ingress's memory.
func newMeshWith(t *testing.T, bounds inbound.Bounds, memory outbound.Memory, names ...string) *mesh {
	m := &mesh{
		bounds:       bounds,
		callerLimits: &slatewindv1.CallerLimits{BodyBytes: 100},
		linkFaults:   map[string]linkFault{}, servers: map[string]*standin.Stamped{}, inbounds: map[string]*inbound.Inbound{}, addresses: map[string]string{},
		history: history.New(0, nil), suspects: quarantine.NewTable(nil, nil),
	}
	m.store = config.NewStore(m.history)
	m.Outbound = outbound.New(
		outbound.Self{Place: choice.Place{DataCentre: "dc"}, Service: "caller"},
		platform.Callers(), m.store, m.history, m, m, m, m, m, m.suspects, memory,
	)
	for _, name := range names {
		m.add(t, name, "svc")
	}
	m.callers = httptest.NewUnstartedServer(m.Outbound)
	m.callers.Config.ConnContext = link.ConnContext
	m.callers.Start()
	t.Cleanup(m.callers.Close)
	m.publish(1)
	return m
}

func (m *mesh) add(t *testing.T, name, service string) {
	server := standin.NewStamped(name, platform.Servers())
	m.servers[name] = server
	m.addServer(t, name, service, server)
}

// addServer adds a server with the given handler.
func (m *mesh) addServer(t *testing.T, name, service string, server http.Handler) {
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	entry := slatewind.ServerEntry{Name: name, Service: service, Address: strings.TrimPrefix(web.URL, "http://"), DataCentre: "dc", Slots: 2}
	in := inbound.New(inbound.Server{Service: service, Address: entry.Address, Headers: platform.Servers()}, m.bounds, m.history, m.suspects, inbound.Memory{})
	in.SetWarmup(warmup.Limits{})
	t.Cleanup(in.Close)
	in.Published(time.Now(), &entry)
	m.mu.Lock()
	m.inbounds[name], m.addresses[name] = in, entry.Address
	m.mu.Unlock()
	m.Put(time.Now(), entry)
}

// Put updates the ingress and redistributes the limit on extra attempts among the processes.
func (m *mesh) Put(now time.Time, entry slatewind.ServerEntry) {
	m.Outbound.Put(now, entry)
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, in := range m.inbounds {
		in.SetSharer(m.Sharer("svc", m.addresses[name]))
	}
}

// publish puts settings in force that have one route of each kind, and any further routes.
func (m *mesh) publish(version uint64, more ...*slatewindv1.Route) {
	route := func(prefix string, kind slatewind.Kind) *slatewindv1.Route {
		return &slatewindv1.Route{
			Name: prefix, Host: "h.example", PathPrefix: prefix, Kind: string(kind), Service: "svc", Attempts: 2,
			Timeout: durationpb.New(2 * time.Second), Objective: durationpb.New(400 * time.Millisecond),
		}
	}
	m.store.Adopt(time.Now(), "test", &slatewind.PublishedSettings{Version: version, Fleet: &slatewindv1.Fleet{
		Routes:       append([]*slatewindv1.Route{route("/look/", slatewind.KindRepeatable), route("/pay/", slatewind.KindSingle)}, more...),
		CallerLimits: m.callerLimits,
	}})
}

// got is a response as received by a caller.
type got struct {
	status     int
	body       string
	retryAfter float64
	took       time.Duration
}

func (m *mesh) send(method, path, id, body string, deadline time.Duration) got {
	r, err := http.NewRequest(method, m.callers.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.Callers().RequestID, id)
	r.Header.Set(platform.Callers().Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set(platform.Callers().CallerService, "forged")
	began := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return got{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return got{response.StatusCode, string(text), after, time.Since(began)}
}

// runs returns how often a request ran on all servers together.
func (m *mesh) runs(id string) int {
	n := 0
	for _, server := range m.servers {
		n += server.Runs()[id]
	}
	return n
}

func (m *mesh) arrivals() int {
	n := 0
	for _, server := range m.servers {
		n += server.Arrivals()
	}
	return n
}

// openings returns the number of reservations made.
func (m *mesh) openings() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.opened
}

// setAll sets the mode of all servers, except that those named in but get StampedOK.
func (m *mesh) setAll(mode standin.StampedMode, but ...string) {
	for name, server := range m.servers {
		server.SetMode(mode)
		for _, other := range but {
			if name == other {
				server.SetMode(standin.StampedOK)
			}
		}
	}
}

// TestOneRequest checks, for several failures of the three servers and of the links to them, which
// response a caller gets, how often its request ran, and that a refused request did not run.
func TestOneRequest(t *testing.T) {
	all := func(mode standin.StampedMode, but ...string) func(*mesh) {
		return func(m *mesh) { m.setAll(mode, but...) }
	}
	faults := func(f linkFault, names ...string) func(*mesh) {
		return func(m *mesh) {
			for _, name := range names {
				m.linkFaults[name] = f
			}
		}
	}
	tests := map[string]struct {
		before func(*mesh)
		path   string
		status int
		runs   int
		// arrivals is the maximum number of requests that servers receive.
		arrivals int
	}{
		"all is well":                            {func(*mesh) {}, "/pay/1", 200, 1, 1},
		"single, its answer is lost":             {all(standin.StampedLost), "/pay/1", 502, 1, 1},
		"repeatable, its answer is lost":         {all(standin.StampedLost), "/look/1", 502, 2, 2},
		"single, reset":                          {all(standin.StampedReset), "/pay/1", 502, 0, 1},
		"single, the server's own error":         {all(standin.StampedError), "/pay/1", 500, 1, 1},
		"repeatable, the servers' own errors":    {all(standin.StampedError), "/look/1", 500, 2, 2},
		"single, rejected everywhere":            {all(standin.StampedShed), "/pay/1", 503, 0, 2},
		"single, an answer that is cut":          {all(standin.StampedCut), "/pay/1", 502, 1, 1},
		"single, two of three cannot be reached": {faults(linkRefused, "a", "b"), "/pay/1", 200, 1, 1},
		"single, two of three are silent":        {faults(linkSilent, "a", "b"), "/pay/1", 200, 1, 1},
		"single, no process can be reached":      {faults(linkRefused, "a", "b", "c"), "/pay/1", 503, 0, 0},
		"single, all processes are silent":       {faults(linkSilent, "a", "b", "c"), "/pay/1", 503, 0, 0},
		"no route":                               {func(*mesh) {}, "/other/1", 404, 0, 0},
		"the path of a route without its slash":  {func(*mesh) {}, "/payment/1", 404, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, "a", "b", "c")
			test.before(m)
			g := m.send("POST", test.path, "id", "body", 2*time.Second)
			assert.Equal(t, g.status, test.status, g.body)
			assert.Equal(t, m.runs("id"), test.runs)
			assert.Assert(t, m.arrivals() <= test.arrivals, m.arrivals())
			if g.status == http.StatusServiceUnavailable {
				assert.Assert(t, g.retryAfter > 0, "refusal without Retry-After")
			}
			if g.status == http.StatusOK {
				assert.Assert(t, strings.HasSuffix(g.body, test.path+" body"), g.body)
				return
			}
			assert.Assert(t, len(m.history.Find(history.Filter{Request: "id"})) > 0, "the journal has no entry for the request")
		})
	}
}

// TestRetryGoesElsewhere checks that a repeatable request that fails on one server is answered by
// another, and that later single requests are not sent to the unhealthy server.
func TestRetryGoesElsewhere(t *testing.T) {
	m := newMesh(t, "a", "b", "c")
	m.setAll(standin.StampedOK)
	m.servers["a"].SetMode(standin.StampedReset)
	for i := range 30 {
		g := m.send("GET", "/look/1", fmt.Sprint("look-", i), "", 2*time.Second)
		assert.Equal(t, g.status, 200, g.body)
	}
	assert.Assert(t, m.servers["a"].Arrivals() > 0, "the unhealthy server received no request")
	before := m.servers["a"].Arrivals()
	for i := range 30 {
		g := m.send("POST", "/pay/1", fmt.Sprint("pay-", i), "", 2*time.Second)
		assert.Equal(t, g.status, 200, g.body)
	}
	assert.Equal(t, m.servers["a"].Arrivals(), before)
}

// TestLostReply checks that a single request without a reply is not sent again, and that its caller
// gets a response that does not say whether it ran.
func TestLostReply(t *testing.T) {
	m := newMesh(t, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		m.linkFaults[name] = linkLost
	}
	g := m.send("POST", "/pay/1", "id", "", 300*time.Millisecond)
	assert.Equal(t, g.status, http.StatusGatewayTimeout, g.body)
	assert.Equal(t, m.runs("id"), 1)
}

// TestTime checks that a request to a server that hangs ends with the caller's deadline or the
// route's timeout, whichever is shorter.
func TestTime(t *testing.T) {
	m := newMesh(t, "a")
	m.setAll(standin.StampedHang)
	for name, deadline := range map[string]time.Duration{"caller": 200 * time.Millisecond, "route": time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := m.send("POST", "/pay/1", name, "", deadline)
			assert.Equal(t, g.status, http.StatusGatewayTimeout, g.body)
			assert.Assert(t, g.took < 5*time.Second, g.took)
			assert.Equal(t, m.runs(name), 1)
		})
	}
}

// TestBudget checks that servers that reject all requests receive no more extra attempts than the
// operators' limit allows, and most of what it allows, also while servers are added.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		bounds inbound.Bounds
		// newcomers states that servers are added between the requests.
		newcomers bool
		// least and most bound the number of extra arrivals for 100 requests.
		least, most int
	}{
		"the ratio alone":                  {inbound.Bounds{RetryRatio: 0.2, RetryWindow: time.Hour}, false, 10, 20},
		"nothing at all":                   {inbound.Bounds{RetryWindow: time.Hour}, false, 0, 0},
		"slack of an unfinished window":    {inbound.Bounds{RetrySlack: 60, RetryWindow: time.Hour}, false, 0, 0},
		"the ratio, and servers that come": {inbound.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: time.Hour}, true, 10, 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newBoundedMesh(t, test.bounds, "a", "b", "c", "d", "e")
			m.setAll(standin.StampedShed)
			const requests = 100
			for i := range requests {
				m.send("GET", "/look/1", fmt.Sprint("id-", i), "", 2*time.Second)
				if test.newcomers && i%10 == 0 {
					m.Put(time.Now(), slatewind.ServerEntry{Name: fmt.Sprint("new-", i), Service: "other", Address: fmt.Sprint("10.0.0.", i, ":1")})
					m.Put(time.Now(), slatewind.ServerEntry{Name: fmt.Sprint("elsewhere-", i), Service: "svc", Address: fmt.Sprint("10.0.1.", i, ":1"), DataCentre: "far", Leaving: true})
				}
			}
			extra := m.arrivals() - requests
			assert.Assert(t, extra >= test.least && extra <= test.most, "%d extra arrivals", extra)
		})
	}
}

// TestHedgeIsAskedAgain checks that a repeatable request whose server hangs is hedged as soon as the
// limit on extra attempts allows it, even if it did not at first.
func TestHedgeIsAskedAgain(t *testing.T) {
	m := newBoundedMesh(t, inbound.Bounds{RetrySlack: 60, RetryWindow: time.Second}, "a", "b")
	m.setAll(standin.StampedHang, "b")
	for i := range 4 {
		g := m.send("GET", "/look/1", fmt.Sprint("id-", i), "", 2*time.Second)
		assert.Equal(t, g.status, 200, g.body)
	}
}

// TestBeforeSettings checks that a process without settings responds that it cannot serve yet, and
// not that the route does not exist.
func TestBeforeSettings(t *testing.T) {
	m := newMesh(t, "a")
	empty := config.NewStore(m.history)
	o := outbound.New(outbound.Self{}, platform.Callers(), empty, m.history, m, m, m, m, m, m.suspects, outbound.Memory{})
	w := httptest.NewRecorder()
	o.ServeHTTP(w, httptest.NewRequest("GET", "http://h.example/look/1", nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Assert(t, w.Header().Get("Retry-After") != "")
}

// TestVersions checks that newer settings apply from the next request on, and older ones never.
func TestVersions(t *testing.T) {
	m := newMesh(t, "a")
	added := &slatewindv1.Route{Name: "new", Host: "h.example", PathPrefix: "/new/", Kind: string(slatewind.KindRepeatable), Service: "svc", Timeout: durationpb.New(time.Second)}
	m.publish(5, added)
	assert.Equal(t, m.send("GET", "/new/1", "a", "", time.Second).status, 200)
	m.publish(4)
	assert.Equal(t, m.send("GET", "/new/1", "b", "", time.Second).status, 200)
	m.publish(9)
	assert.Equal(t, m.send("GET", "/new/1", "c", "", time.Second).status, 404)
}

// TestSplit checks that the requests of a route are distributed by weight.
func TestSplit(t *testing.T) {
	m := newMesh(t, "a")
	m.add(t, "b", "other")
	m.publish(2, &slatewindv1.Route{
		Name: "split", Host: "h.example", PathPrefix: "/split/", Kind: string(slatewind.KindRepeatable), Timeout: durationpb.New(time.Second),
		Splits: []*slatewindv1.Split{{Service: "svc", Weight: 90}, {Service: "other", Weight: 10}},
	})
	const requests = 100
	for i := range requests {
		assert.Equal(t, m.send("GET", "/split/1", fmt.Sprint(i), "", time.Second).status, 200)
	}
	assert.Assert(t, m.servers["b"].Arrivals() >= 9 && m.servers["b"].Arrivals() <= 11, m.servers["b"].Arrivals())
}

// TestLimits checks that a request whose body exceeds the limit is refused without being sent.
func TestLimits(t *testing.T) {
	m := newMesh(t, "a")
	g := m.send("POST", "/pay/1", "id", strings.Repeat("x", 101), time.Second)
	assert.Equal(t, g.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, m.arrivals(), 0)
}

// TestCallerLeaves checks that a repeatable request is cancelled when its caller disconnects, and that
// a single one continues, since cancelling it does not undo it.
func TestCallerLeaves(t *testing.T) {
	for path, freed := range map[string]bool{"/look/1": true, "/pay/1": false} {
		t.Run(path, func(t *testing.T) {
			m := newMesh(t, "a")
			m.setAll(standin.StampedHang)
			leave := m.sendAndLeave(t, path, "id")
			await(t, func() bool { return m.runs("id") == 1 })
			leave()
			if freed {
				await(t, func() bool { return m.inbounds["a"].InUse() == 0 })
				return
			}
			assert.Equal(t, m.inbounds["a"].InUse(), 1)
			m.setAll(standin.StampedOK)
			await(t, func() bool { return m.inbounds["a"].InUse() == 0 })
		})
	}
}

// TestNewerStart checks that a new server at an address replaces the older one.
func TestNewerStart(t *testing.T) {
	m := newMesh(t, "a")
	entry := slatewind.ServerEntry{Name: "a-2", Service: "svc", Address: m.onlyAddress(t), DataCentre: "dc"}
	m.Put(time.Now(), entry)
	assert.Equal(t, m.Servers(), 1)
}

// onlyAddress returns the address of the only known server.
func (m *mesh) onlyAddress(t *testing.T) string {
	view := m.View(time.Now())
	assert.Equal(t, len(view.Services[0].Servers), 1)
	return view.Services[0].Servers[0].Address
}

func await(t *testing.T, what func() bool) {
	t.Helper()
	for range 5000 {
		if what() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met in time")
}
