package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/connlimit"
	"slatewind.example/slatewind/discovery"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/metrics"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
	"slatewind.example/slatewind/reload"
	"slatewind.example/slatewind/report"
	"slatewind.example/slatewind/throttle"
	"slatewind.example/slatewind/timer"
	"slatewind.example/slatewind/usage"
)

// Node is a slatewindd beside one server that the platform's store lists. It is the
// ingress for the callers of its VM and the sidecar of the server.
type Node struct {
	// settings are those that the node started with. For the keys of reloadableNodeKeys,
	// reloadable has the values in force.
	settings        *slatewindv1.Process
	limits          usage.Limits
	reloadable      atomic.Pointer[slatewindv1.Process]
	file            *reload.File
	logger          *log.Logger
	metrics         *metrics.Metrics
	history         *history.Journal
	store           *config.Store
	timers          *timer.Service
	pool            *link.Pool
	inbound         *inbound.Inbound
	outbound        *outbound.Outbound
	source          *discovery.SharedSource
	watcher         *discovery.Watcher
	services        *discovery.ServiceFilter
	evacuations     *discovery.EvacuationFilter
	settingsWatcher *discovery.SettingsWatcher
	// limiter enforces the rate limits of workspaces.
	limiter *ratelimit.Limiter
	// reports holds the health reports of unhealthy servers.
	reports *report.Table
	// suspects holds the records of requests during which servers crashed; publisher sends
	// new records to other nodes.
	suspects  *quarantine.Table
	publisher *recordPublisher
	// entryLines limits the log lines about invalid server entries. Only the watcher's
	// goroutine uses it.
	entryLines *throttle.Throttle

	stopping  atomic.Bool
	cancel    context.CancelFunc
	endpoints []endpoint
	callers   *http.Server
	// conns limits the connections of callers.
	conns  *connlimit.Limiter
	unused unusedConns
	ready  *http.Server
	admin  *http.Server
	peers  *grpc.Server
}

// Open implements outbound.Opener.
func (n *Node) Open(ctx context.Context, server slatewind.ServerEntry) (link.Use, error) {
	peer, err := n.peerAddressOf(server.Address)
	if err != nil {
		return nil, err
	}
	if peer == n.settings.GetPeerAddress() {
		return link.LocalUse(ctx, n.inbound.Serve), nil
	}
	return n.pool.Use(ctx, peer, server.DataCentre != n.settings.GetDataCentre())
}

// peerAddressOf returns the peer address of the process on the VM of a server's address. All
// VMs of a fleet use the same ports.
func (n *Node) peerAddressOf(address string) (string, error) {
	_, port, err := net.SplitHostPort(n.settings.GetPeerAddress())
	if err != nil {
		return "", Error.Wrap(err)
	}
	return net.JoinHostPort(outbound.HostOf(address), port), nil
}

// Start opens the listeners, for which it waits until starting ends, starts all components, which run until Stop, and then serves: a call
// may use any component.
func (n *Node) Start(starting context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(starting); err != nil {
		cancel()
		return err
	}
	n.publisher.start(ctx)
	n.inbound.Start(ctx, n.timers)
	n.watcher.Start(ctx)
	n.settingsWatcher.Start(ctx)
	n.file.Start(ctx, n.timers)
	limitMemory(n.limits.MemoryBytes)
	tuneGC(ctx, n.timers, n.settings.GetLimits().GetProcessorShare())
	serveAll(n.logger, n.endpoints)
	n.logger.Info("started", "vm", n.settings.GetVm(), "data_centre", n.settings.GetDataCentre(),
		"service", n.settings.GetLocalServer().GetService(), "callers", n.settings.GetIngressAddress(),
		"peer", n.settings.GetPeerAddress(), "admin", n.settings.GetAdminAddress(), "version", Version)
	return nil
}

// listen opens the four listeners without serving them.
func (n *Node) listen(ctx context.Context) error {
	n.conns = connlimit.New(n.limits.Descriptors / callersShare)
	n.callers = &http.Server{
		Handler: connlimit.Handler(n.outbound), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ConnState: n.trackConn, ConnContext: limitWriteBuffer,
	}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	n.admin = &http.Server{Handler: admin.NewHandler(n.sources()), ReadHeaderTimeout: readHeaderTimeout}
	n.peers = grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSlotsServer(n.peers, link.SlotsServer{Serve: n.inbound.Serve})
	slatewindv1.RegisterRateLimitsServer(n.peers, link.LimitsServer{Grant: n.limiter.Grant})
	slatewindv1.RegisterNewsServer(n.peers, &link.NewsServer{UpdateSince: n.since, Exchange: n.exchange, ReceiveSuspects: n.receiveRecords, CurrentSettings: n.settingsWatcher.Current})
	n.endpoints = []endpoint{
		{name: "callers", address: n.settings.GetIngressAddress(), serve: func(l net.Listener) error { return n.callers.Serve(n.conns.Listener(l)) }},
		{name: "ready", address: n.settings.GetReadyAddress(), serve: n.ready.Serve},
		{name: "peers", address: n.settings.GetPeerAddress(), serve: n.peers.Serve},
		{name: "admin", address: n.settings.GetAdminAddress(), serve: n.admin.Serve},
	}
	return openAll(ctx, n.logger, n.endpoints)
}

// callerWriteBuffer is the size in bytes of the kernel's buffer for what a caller has not read yet.
// The memory of buffers that the kernel chooses would not be bounded by limits.answer_bytes.
const callerWriteBuffer = 64 << 10

// limitWriteBuffer is the http.Server.ConnContext hook: it limits the write buffer of a connection, besides what connContext
// does.
func limitWriteBuffer(ctx context.Context, conn net.Conn) context.Context {
	if buffered, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		// An error leaves the kernel's choice in force.
		_ = buffered.SetWriteBuffer(callerWriteBuffer)
	}
	return connContext(ctx, conn)
}

// connContext is the http.Server.ConnContext hook that packages link and connlimit need.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return connlimit.Context(link.ConnContext(ctx, conn), conn)
}

// trackConn is the http.Server.ConnState hook.
func (n *Node) trackConn(conn net.Conn, state http.ConnState) {
	n.unused.track(conn, state)
	n.conns.State(conn, state)
}

// serveReady is the readiness check of the platform: it answers 200 if the node can serve callers.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath || !n.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// isReady reports whether callers can be served: the node is not stopping, has settings and
// knows at least one server.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.store.Current() != nil && n.outbound.Servers() > 0
}

// sources returns the data sources of the admin address.
func (n *Node) sources() admin.Sources {
	return admin.Sources{
		State:    n.state,
		Settings: func() admin.Settings { return settingsInForce(n.settings.GetVm(), n.store) },
		Journal:  n.history,
		Metrics:  n.metrics.Handler(),
		Record:   func() ([]byte, error) { return nil, Error.New("a node does not record a trace of events") },
		Ready:    n.isReady,
	}
}

func (n *Node) state() admin.State {
	now := time.Now()
	out, in, known, conns := n.outbound.View(now), n.inbound.View(), n.watcher.Revision(), n.conns.View()
	return admin.State{
		VM: n.settings.GetVm(), DataCentre: n.settings.GetDataCentre(), Version: Version, Time: now,
		Settings: settingsInForce(n.settings.GetVm(), n.store), Usage: usage.Read(n.limits), Connections: &conns, Reader: n.source.IsReader(), Outbound: &out, Inbound: &in, Known: &known,
		Limits: n.limiter.Uses(now), Suspects: n.suspects.Views(now),
		Evacuated: n.evacuations.Evacuated().DataCentres,
	}
}
