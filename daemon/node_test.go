package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/metrics"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/timer"
)

// nodeRoute returns a route for one kind of request to the service "svc".
func nodeRoute(name string, kind slatewind.Kind) *slatewindv1.Route {
	return &slatewindv1.Route{
		Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: string(kind), Service: "svc", Attempts: 2,
		Timeout: durationpb.New(8 * time.Second), Objective: durationpb.New(800 * time.Millisecond),
	}
}

// nodes is a small fleet of nodes in the test's process, each with its own loopback IP, with
// stand-ins for the store and the servers.
type nodes struct {
	t       testing.TB
	store   *standin.Platform
	web     *httptest.Server
	servers []*standin.Stamped
	// crashers simulate the processes of the servers, which can crash.
	crashers []*standin.Crasher
	nodes    []*Node
	base     string
	// files are the paths of the nodes' settings files. A file exists once a test has written it.
	files []string
}

// crashTime is how long a server is down after a request has crashed it.
const crashTime = 300 * time.Millisecond

// crashesServers reports whether a request crashes the servers that run it.
func crashesServers(r *http.Request) bool { return strings.HasPrefix(path.Base(r.URL.Path), "deadly") }

// nextNet numbers the loopback networks, so that each test has its own.
var nextNet atomic.Int64

func newNodes(t testing.TB, n int) *nodes {
	f := &nodes{t: t, store: standin.NewPlatform(), base: fmt.Sprintf("127.88.%d", (int64(os.Getpid())+nextNet.Add(1))%250)}
	f.web = httptest.NewServer(f.store.Handler())
	t.Cleanup(f.web.Close)
	f.publish(1)
	for i := range n {
		server := standin.NewStamped(fmt.Sprint("s-", i), platform.Servers())
		crasher, err := standin.NewCrasher(f.address(i, 9000), server, crashesServers, crashTime)
		assert.NilError(t, err)
		t.Cleanup(crasher.Close)
		f.servers, f.crashers = append(f.servers, server), append(f.crashers, crasher)
		f.enter(i, false)
		f.nodes = append(f.nodes, f.start(i))
	}
	for i := range n {
		f.awaitReady(i)
	}
	return f
}

func (f *nodes) address(i, port int) string { return fmt.Sprintf("%s.%d:%d", f.base, i+1, port) }

func (f *nodes) publish(version uint64) {
	value, err := platform.EncodeConfig(slatewind.PublishedSettings{Version: version, Fleet: &slatewindv1.Fleet{
		Services: []*slatewindv1.Service{{Name: "svc"}},
		Routes:   []*slatewindv1.Route{nodeRoute("pay", slatewind.KindSingle), nodeRoute("look", slatewind.KindRepeatable)},
	}}, nil)
	assert.NilError(f.t, err)
	f.store.Put(platform.ConfigKey, value)
}

// enter writes the entry of a server to the store, as the server does.
func (f *nodes) enter(i int, leaving bool) {
	name := fmt.Sprint("s-", i)
	value, err := platform.EncodeServer(slatewind.ServerEntry{
		Service: "svc", Address: f.address(i, 9000), DataCentre: "dc", Slots: 4, Leaving: leaving,
	})
	assert.NilError(f.t, err)
	f.store.Put(platform.ServersPrefix+name, value)
}

// settings returns the settings with which a node starts.
func (f *nodes) settings(i int) *slatewindv1.Process {
	return &slatewindv1.Process{
		Vm: fmt.Sprint("vm-", i), DataCentre: "dc",
		IngressAddress: f.address(i, 8000), PeerAddress: f.address(i, 8001), AdminAddress: f.address(i, 8002), ReadyAddress: f.address(i, 8003),
		LocalServer: &slatewindv1.LocalServer{Service: "svc", Address: f.address(i, 9000)},
		Store:       &slatewindv1.Store{Address: strings.TrimPrefix(f.web.URL, "http://")},
		Bounds:      &slatewindv1.Bounds{Grace: durationpb.New(20 * time.Second), RetryRatio: 0.2, RetrySlack: 50},
		SeedPeers:   []string{f.address(0, 8001), f.address(1, 8001)},
	}
}

// build returns a node that has not started.
func (f *nodes) build(i int) *Node {
	process := f.settings(i)
	for len(f.files) <= i {
		f.files = append(f.files, filepath.Join(f.t.TempDir(), "node.yaml"))
	}
	m, err := metrics.New()
	assert.NilError(f.t, err)
	j := history.New(0, nil)
	return newNode(settingsFile{path: f.files[i]}, process, log.New(io.Discard), m, j, config.NewStore(j), timer.New(), link.NewPool(nil))
}

func (f *nodes) start(i int) *Node {
	n := f.build(i)
	assert.NilError(f.t, n.Start(context.Background()))
	stopped := false
	f.t.Cleanup(func() {
		if !stopped {
			stopped = true
			f.end(n)
		}
	})
	return n
}

// end ends a node without a drain, as a kill does.
func (f *nodes) end(n *Node) {
	n.cancel()
	_ = n.callers.Close()
	_ = n.ready.Close()
	_ = n.admin.Close()
	n.peers.Stop()
	_ = n.pool.Close()
}

func (f *nodes) ready(i int) bool {
	response, err := http.Get("http://" + f.address(i, 8003) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *nodes) awaitReady(i int) {
	f.await(fmt.Sprint("node ", i, " ready"), func() bool { return f.ready(i) })
}

func (f *nodes) await(what string, done func() bool) {
	f.t.Helper()
	for range 3000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("timed out waiting for: ", what)
}

// send sends a request to a node and returns its status.
func (f *nodes) send(i int, path, id string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(i, 8000)+path, bytes.NewReader([]byte("b")))
	assert.NilError(f.t, err)
	r.Host = "h.example"
	r.Header.Set(platform.Callers().RequestID, id)
	r.Header.Set(platform.Callers().Deadline, "8000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (f *nodes) runs(id string) (n int) {
	for _, server := range f.servers {
		n += server.Runs()[id]
	}
	return n
}

// TestNodesServe checks that a request that is received by any node is run once by one server.
func TestNodesServe(t *testing.T) {
	f := newNodes(t, 3)
	for i := range 30 {
		id := fmt.Sprint("id-", i)
		assert.Equal(t, f.send(i%3, "/pay/1", id), http.StatusOK)
		assert.Equal(t, f.runs(id), 1)
	}
}

// TestNodeLeavesDrainingServer checks that a server whose entry has the state draining gets no
// requests from any node.
func TestNodeLeavesDrainingServer(t *testing.T) {
	f := newNodes(t, 2)
	f.enter(0, true)
	f.await("the drain is known", func() bool { return f.nodes[0].inbound.View().Leaving != "" })
	before := f.servers[0].Arrivals()
	for i := range 20 {
		assert.Equal(t, f.send(i%2, "/pay/1", fmt.Sprint("id-", i)), http.StatusOK)
	}
	assert.Equal(t, f.servers[0].Arrivals(), before)
}

// TestNodeStopCutsOffNothing checks that a stopping node is unready at once and finishes its
// requests both as ingress and as sidecar.
func TestNodeStopCutsOffNothing(t *testing.T) {
	f := newNodes(t, 2)
	for _, server := range f.servers {
		server.SetDelay(700 * time.Millisecond)
	}
	results := make(chan int, 16)
	for i := range cap(results) {
		go func() { results <- f.send(i%2, "/pay/1", fmt.Sprint("id-", i)) }()
	}
	f.await("both servers have requests", func() bool { return f.servers[0].Arrivals() > 0 && f.servers[1].Arrivals() > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].Stop(context.Background()) }()
	f.await("node 0 unready", func() bool { return !f.ready(0) })
	ok := 0
	for range cap(results) {
		status := <-results
		assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, status)
		if status == http.StatusOK {
			ok++
		}
	}
	assert.Assert(t, ok >= 8, ok)
	for i := range cap(results) {
		assert.Assert(t, f.runs(fmt.Sprint("id-", i)) <= 1)
	}
	assert.NilError(t, <-stopped)
}

// TestNodeStartsWithoutStore checks that a node that starts while the store is down gets the
// newest settings and the servers from a seed peer.
func TestNodeStartsWithoutStore(t *testing.T) {
	f := newNodes(t, 3)
	f.publish(7)
	f.await("version 7 everywhere", func() bool {
		for _, n := range f.nodes {
			if n.store.Version().Revision != 7 {
				return false
			}
		}
		return true
	})
	f.end(f.nodes[2])
	f.store.SetMode(standin.PlatformDown)
	f.nodes[2] = f.start(2)
	f.awaitReady(2)
	assert.Equal(t, f.nodes[2].store.Version().Revision, uint64(7))
	assert.Equal(t, f.send(2, "/pay/1", "id"), http.StatusOK)
}

// TestNodesServeWithoutStore checks that nodes keep serving while the store is down.
func TestNodesServeWithoutStore(t *testing.T) {
	f := newNodes(t, 2)
	f.store.SetMode(standin.PlatformDown)
	f.await("the loss is noticed", func() bool { return f.store.Calls()["watch"] > 6 })
	for i := range 10 {
		assert.Equal(t, f.send(i%2, "/look/1", fmt.Sprint("id-", i)), http.StatusOK)
	}
	assert.Assert(t, f.ready(0) && f.ready(1))
}
