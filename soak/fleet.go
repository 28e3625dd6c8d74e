package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// service is the only service of a fleet, host that of its callers.
const (
	service = "till"
	host    = "till.example"
)

// Ports on each node's addresses.
const (
	portCallers = 8000
	portPeers   = 8001
	portAdmin   = 8002
	portReady   = 8003
	portServer  = 9000
	portStore   = 7000
)

// Last parts of a node's loopback addresses: its own, the one under which others
// reach it and its server, and the one under which it reaches the store.
const (
	ownBase    = 1
	linkBase   = 100
	storeBase  = 200
	maxNodes   = 50
	serverWork = 30 * time.Millisecond
)

// fleets numbers the fleets of this process.
var fleets atomic.Int32

// node is one process with its server and its links.
type node struct {
	number int
	server *standin.Stamped
	web    *http.Server
	// link is before the process's peer port, store before the store.
	link, store *proxy
	// life counts the starts of the process.
	life atomic.Int64

	mu      sync.Mutex
	process *process
}

// current returns the process that runs now or ran last.
func (n *node) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// fleet is everything that one run starts.
type fleet struct {
	options Options
	base    string
	dir     string
	store   *standin.Platform
	web     *httptest.Server
	nodes   []*node
	record  *Record
	// version is that of the newest settings.
	version atomic.Uint64
	// stopping says that a process was told to stop in the calm.
	stopping atomic.Bool
}

func newFleet(o Options) (*fleet, error) {
	if o.Nodes < 2 || o.Nodes > maxNodes {
		return nil, Error.New("%d nodes: from 2 to %d can run", o.Nodes, maxNodes)
	}
	dir, err := os.MkdirTemp("", "slatewind-soak")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pid := os.Getpid()
	f := &fleet{
		options: o, dir: dir, store: standin.NewPlatform(), record: newRecord(),
		base: fmt.Sprintf("127.%d.%d", 192+int(fleets.Add(1))%60, 1+pid%250),
	}
	f.web = httptest.NewServer(f.store.Handler())
	return f, nil
}

func (f *fleet) address(base, i, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.base, base+i, port)
}

// start brings everything up and waits until all processes are ready.
func (f *fleet) start(ctx context.Context) error {
	f.publish()
	for i := range f.options.Nodes {
		n, err := f.newNode(i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.enter(i, false)
	}
	for _, n := range f.nodes {
		if err := f.launch(n); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// newNode starts the server and the links of a node.
func (f *fleet) newNode(i int) (*node, error) {
	n := &node{number: i, server: standin.NewStamped(serverName(i), platform.Servers())}
	n.server.SetDelay(serverWork)
	listener, err := net.Listen("tcp", f.address(linkBase, i, portServer))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n.web = &http.Server{Handler: f.watched(i, n.server), ReadHeaderTimeout: time.Second}
	go func() { _ = n.web.Serve(listener) }()
	if n.link, err = newProxy(f.address(linkBase, i, portPeers), f.address(ownBase, i, portPeers)); err != nil {
		return nil, err
	}
	if n.store, err = newProxy(f.address(storeBase, i, portStore), strings.TrimPrefix(f.web.URL, "http://")); err != nil {
		return nil, err
	}
	return n, nil
}

func serverName(i int) string { return fmt.Sprint("server-", i) }

// watched writes down what comes to a server before the server sees it.
func (f *fleet) watched(i int, server http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.record.noteArrival(Arrival{ID: r.Header.Get(platform.Servers().RequestID), Server: i, At: time.Now()})
		server.ServeHTTP(w, r)
	})
}

// enter writes a server's entry as the server itself does.
func (f *fleet) enter(i int, leaving bool) {
	value, err := platform.EncodeServer(slatewind.ServerEntry{
		Service: service, Address: f.address(linkBase, i, portServer), DataCentre: "dc", Slots: 4, Leaving: leaving,
	})
	if err != nil {
		panic(err)
	}
	f.store.Put(platform.ServersPrefix+serverName(i), value)
}

// publish puts new settings in force and returns their version. Each version has
// a route of its own besides those of all before it.
func (f *fleet) publish() uint64 {
	version := f.version.Add(1)
	f.store.Put(platform.ConfigKey, encodeVersion(version))
	return version
}

func encodeVersion(version uint64) []byte {
	routes := []*slatewindv1.Route{newRoute("/pay/", slatewind.KindSingle), newRoute("/look/", slatewind.KindRepeatable)}
	for v := uint64(1); v <= version; v++ {
		routes = append(routes, newRoute(versionPath(v), slatewind.KindRepeatable))
	}
	value, err := platform.EncodeConfig(slatewind.PublishedSettings{Version: version, Fleet: &slatewindv1.Fleet{
		Services: []*slatewindv1.Service{{Name: service}}, Routes: routes,
	}})
	if err != nil {
		panic(err)
	}
	return value
}

func versionPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

func newRoute(prefix string, kind slatewind.Kind) *slatewindv1.Route {
	return &slatewindv1.Route{
		Name: strings.Trim(prefix, "/"), Host: host, PathPrefix: prefix, Kind: string(kind), Service: service, Attempts: 2,
		Timeout: durationpb.New(2 * time.Second), Objective: durationpb.New(400 * time.Millisecond),
	}
}

// settings returns the settings file of a node's process.
func (f *fleet) settings(i int) string {
	return fmt.Sprintf(`vm: vm-%d
data_centre: dc
ingress_address: %q
ready_address: %q
peer_address: %q
admin_address: %q
local_server: {service: %s, address: %q}
store: {address: %q, reads_per_second: 2000, history: 20s}
bounds: {drain: 2s, grace: 6s, settings: 2s, retry_ratio: %g, retry_window: %s, retry_slack: %g, address_reuse: 2s}
seed_peers: [%q, %q]
`, i, f.address(ownBase, i, portCallers), f.address(ownBase, i, portReady), f.address(ownBase, i, portPeers), f.address(ownBase, i, portAdmin),
		service, f.address(linkBase, i, portServer), f.address(storeBase, i, portStore), budgetRatio, budgetWindow, budgetSlack,
		f.address(linkBase, 0, portPeers), f.address(linkBase, 1, portPeers))
}

// relaunch starts a node's process again where it is still the one that ended:
// faults overlap, and two may have ended the same one.
func (f *fleet) relaunch(n *node, ended *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != ended {
		return
	}
	if err := f.launch(n); err != nil {
		f.record.noteFailure(err)
	}
}

// launch starts a node's process. The node's lock is held, or nobody else knows
// the node yet.
func (f *fleet) launch(n *node) error {
	file := filepath.Join(f.dir, fmt.Sprintf("node-%d.yaml", n.number))
	if err := os.WriteFile(file, []byte(f.settings(n.number)), 0o600); err != nil {
		return Error.Wrap(err)
	}
	p, err := startProcess(f.options.Program, file, filepath.Join(f.dir, fmt.Sprintf("node-%d.log", n.number)))
	if err != nil {
		return err
	}
	n.process = p
	n.life.Add(1)
	return nil
}

// awaitReady waits until every process says that it is ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for i := range f.nodes {
		url := "http://" + f.address(ownBase, i, portReady) + platform.ReadyPath
		if !await(ctx, f.options.Patience, func() bool { return statusOf(url) == http.StatusOK }) {
			return Error.New("node %d is not ready after %s; its log is in %s", i, f.options.Patience, f.dir)
		}
	}
	return nil
}

func statusOf(url string) int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// pollInterval is how often await looks.
const pollInterval = 20 * time.Millisecond

// await waits until done reports true, for patience at most; it reports whether
// that happened.
func await(ctx context.Context, patience time.Duration, done func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if done() {
			return true
		}
	}
	return false
}

// settle lets servers finish what callers gave up on, and counts the runs.
func (f *fleet) settle() {
	f.setServers(standin.StampedOK)
	time.Sleep(settleTime)
	for _, n := range f.nodes {
		f.record.noteRuns(n.server.Runs())
	}
}

// settleTime is how long after the last request something may still run late.
const settleTime = 1500 * time.Millisecond

// close ends all that was started. The logs are kept where that is asked for.
func (f *fleet) close(keepLogs bool) {
	for _, n := range f.nodes {
		if p := n.current(); p != nil {
			p.kill()
		}
		n.link.close()
		n.store.close()
		_ = n.web.Close()
	}
	f.web.CloseClientConnections()
	f.web.Close()
	if !keepLogs {
		_ = os.RemoveAll(f.dir)
	}
}
