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
	"slatewind.example/slatewind/timer"
)

// Node is a running slatewindd beside one server that the platform's store lists:
// an ingress for the callers of its VM and the sidecar of the server.
type Node struct {
	// settings are those of the start, living those that are in force now, as far as
	// livingOfNode names them.
	settings *slatewindv1.Process
	living   atomic.Pointer[slatewindv1.Process]
	file     *reload.File
	logger   *log.Logger
	metrics  *metrics.Metrics
	history  *history.Journal
	store    *config.Store
	timers   *timer.Service
	pool     *link.Pool
	inbound  *inbound.Inbound
	outbound *outbound.Outbound
	share    *discovery.SharedSource
	watcher  *discovery.Watcher
	services *discovery.ServiceFilter
	feed     *discovery.SettingsWatcher
	// limiter keeps the limits of workspaces.
	limiter *ratelimit.Limiter
	// reports holds what is known of sick servers.
	reports *report.Table
	// suspects holds what is known of requests under which servers ended, spreader tells others.
	suspects *quarantine.Table
	spreader *spreader
	// entryLines bounds the lines about entries that name no server. Only the watcher's
	// goroutine uses it.
	entryLines throttle

	stopping atomic.Bool
	cancel   context.CancelFunc
	callers  *http.Server
	silent   silentConns
	ready    *http.Server
	admin    *http.Server
	peers    *grpc.Server
}

// Open implements outbound.Opener.
func (n *Node) Open(ctx context.Context, server slatewind.ServerEntry) (link.Use, error) {
	peer, err := n.peerOf(server.Address)
	if err != nil {
		return nil, err
	}
	if peer == n.settings.GetPeerAddress() {
		return link.LocalUse(ctx, n.inbound.Serve), nil
	}
	return n.pool.Use(ctx, peer, server.DataCentre != n.settings.GetDataCentre())
}

// peerOf returns the peer address of the process on the VM of an address: every
// VM of a fleet uses the same ports.
func (n *Node) peerOf(address string) (string, error) {
	_, port, err := net.SplitHostPort(n.settings.GetPeerAddress())
	if err != nil {
		return "", Error.Wrap(err)
	}
	return net.JoinHostPort(outbound.HostOf(address), port), nil
}

// Start opens the listeners and begins all work, which ends with Stop.
func (n *Node) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return err
	}
	n.spreader.start(ctx)
	n.inbound.Start(ctx, n.timers)
	n.watcher.Start(ctx)
	n.feed.Start(ctx)
	n.file.Start(ctx, n.timers)
	adaptGarbage(ctx, n.timers, n.settings.GetLimits().GetProcessorShare())
	n.logger.Info("started", "vm", n.settings.GetVm(), "data_centre", n.settings.GetDataCentre(),
		"service", n.settings.GetLocalServer().GetService(), "callers", n.settings.GetIngressAddress(),
		"peer", n.settings.GetPeerAddress(), "admin", n.settings.GetAdminAddress(), "version", Version)
	return nil
}

// listen opens the four listeners.
func (n *Node) listen() error {
	n.callers = &http.Server{Handler: n.outbound, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ConnState: n.silent.note}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	n.admin = &http.Server{Handler: admin.NewHandler(n.sources()), ReadHeaderTimeout: readHeaderTimeout}
	n.peers = grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSlotsServer(n.peers, link.SlotsServer{Serve: n.inbound.Serve})
	slatewindv1.RegisterRateLimitsServer(n.peers, link.LimitsServer{Grant: n.limiter.Grant})
	slatewindv1.RegisterNewsServer(n.peers, &link.NewsServer{UpdateSince: n.since, Exchange: n.exchange, ReceiveSuspects: n.told, CurrentSettings: n.feed.Current})
	return serveAll(n.logger, []service{
		{"callers", n.settings.GetIngressAddress(), n.callers.Serve},
		{"ready", n.settings.GetReadyAddress(), n.ready.Serve},
		{"peers", n.settings.GetPeerAddress(), n.peers.Serve},
		{"admin", n.settings.GetAdminAddress(), n.admin.Serve},
	})
}

// serveReady answers the platform's question whether callers may come.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath || !n.isReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// isReady reports whether callers can be served.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && n.store.Current() != nil && n.outbound.Servers() > 0
}

// sources returns what the admin page shows.
func (n *Node) sources() admin.Sources {
	return admin.Sources{
		State:    n.state,
		Settings: func() admin.Settings { return inForce(n.settings.GetVm(), n.store) },
		Journal:  n.history,
		Metrics:  n.metrics.Handler(),
		Record:   func() ([]byte, error) { return nil, Error.New("a node keeps no trace of events") },
		Ready:    n.isReady,
	}
}

func (n *Node) state() admin.State {
	now := time.Now()
	out, in, known := n.outbound.View(now), n.inbound.View(), n.watcher.Revision()
	return admin.State{
		VM: n.settings.GetVm(), DataCentre: n.settings.GetDataCentre(), Version: Version, Time: now,
		Settings: inForce(n.settings.GetVm(), n.store), Reader: n.share.IsReader(), Outbound: &out, Inbound: &in, Known: &known,
		Limits: n.limiter.Uses(now), Suspects: n.suspects.Views(now),
	}
}
