package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
	"go.uber.org/fx"
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
	"slatewind.example/slatewind/timer"
)

const (
	// noticeTime is how long a stopping node goes on taking requests: the
	// platform asks each second whether it is ready and sends callers elsewhere
	// after two answers that it is not.
	noticeTime = 2200 * time.Millisecond
	// quietTime without a new request says that callers have gone elsewhere.
	quietTime = 400 * time.Millisecond
	// graceMargin is kept of the time until the end by force.
	graceMargin = 500 * time.Millisecond
	// defaultGrace counts where the bounds do not state it.
	defaultGrace = 6 * time.Second
)

// nodeOptions returns the wiring of a process whose servers are listed in the
// platform's store.
func nodeOptions(process *slatewindv1.Process, logger *log.Logger) fx.Option {
	return fx.Options(
		commonOptions(process, logger),
		fx.Provide(newNodeHistory, newNode),
		fx.Invoke(func(lc fx.Lifecycle, n *Node) {
			lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
		}),
	)
}

// newNodeHistory logs every decision; those that touch a request are what
// on-call engineers look for.
func newNodeHistory(process *slatewindv1.Process, logger *log.Logger, m *metrics.Metrics) *history.Journal {
	return history.New(int(process.GetLimits().GetJournalEntries()), func(d slatewind.Decision) {
		m.Decision(d.Kind)
		logger.Info("decision", "kind", d.Kind, "service", d.Service, "server", d.Server,
			"request", d.Request, "reason", d.Reason, "evidence", d.Evidence)
	})
}

// Node is a running slatewindd beside one server that the platform's store lists.
type Node struct {
	settings *slatewindv1.Process
	logger   *log.Logger
	metrics  *metrics.Metrics
	history  *history.Journal
	store    *config.Store
	timers   *timer.Service
	pool     *link.Pool
	inbound  *inbound.Inbound
	outbound *outbound.Outbound
	watcher  *discovery.Watcher

	stopping atomic.Bool
	cancel   context.CancelFunc
	callers  *http.Server
	ready    *http.Server
	admin    *http.Server
	peers    *grpc.Server
}

func newNode(process *slatewindv1.Process, logger *log.Logger, m *metrics.Metrics, j *history.Journal, store *config.Store, timers *timer.Service, pool *link.Pool) *Node {
	n := &Node{settings: process, logger: logger, metrics: m, history: j, store: store, timers: timers, pool: pool}
	n.inbound = inbound.New(inbound.Server{
		Service: process.GetLocalServer().GetService(),
		Address: process.GetLocalServer().GetAddress(),
		Dialect: platform.Servers(),
	}, j)
	n.outbound = outbound.New(
		outbound.Self{DataCentre: process.GetDataCentre(), Service: process.GetLocalServer().GetService()},
		outbound.Bounds{RetryRatio: process.GetBounds().GetRetryRatio(), RetrySlack: int(process.GetBounds().GetRetrySlack())},
		platform.Callers(), store, j, n, m,
	)
	client := platform.NewClient("http://"+process.GetStore().GetAddress(), m.PlatformCall)
	share := discovery.NewShare(client, n, process.GetLocalServer().GetAddress(), process.GetSeedPeers())
	n.watcher = discovery.NewWatcher(share, n)
	share.Follow(n.watcher, process.GetDataCentre())
	return n
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
	return n.pool.Use(ctx, peer)
}

// Since implements discovery.Peers.
func (n *Node) Since(ctx context.Context, address string, after, version uint64) (slatewind.Publication, error) {
	peer, err := n.peerOf(address)
	if err != nil {
		return slatewind.Publication{}, err
	}
	return n.pool.Since(ctx, peer, after, version)
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
	n.inbound.Start(ctx, n.timers)
	n.watcher.Start(ctx)
	n.hearReloads(ctx)
	n.logger.Info("started", "vm", n.settings.GetVm(), "data_centre", n.settings.GetDataCentre(),
		"service", n.settings.GetLocalServer().GetService(), "callers", n.settings.GetIngressAddress(),
		"peer", n.settings.GetPeerAddress(), "admin", n.settings.GetAdminAddress(), "version", Version)
	return nil
}

// hearReloads keeps SIGHUP from ending the process. What can change while a
// process lives is published in the store, so nothing is read anew.
func (n *Node) hearReloads(ctx context.Context) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		defer signal.Stop(reloads)
		for {
			select {
			case <-ctx.Done():
				return
			case <-reloads:
				n.logger.Info("reload", "effect", "none: settings of a process count from its start")
			}
		}
	}()
}

func (n *Node) listen() error {
	n.callers = &http.Server{Handler: n.outbound, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	n.admin = &http.Server{Handler: admin.NewHandler(n.sources()), ReadHeaderTimeout: readHeaderTimeout}
	n.peers = grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSlotsServer(n.peers, link.SlotsServer{Serve: n.inbound.Serve})
	slatewindv1.RegisterNewsServer(n.peers, link.NewsServer{Known: n.watcher.Since})
	return serveAll(n.logger, []service{
		{"callers", n.settings.GetIngressAddress(), n.callers.Serve},
		{"ready", n.settings.GetReadyAddress(), n.ready.Serve},
		{"peers", n.settings.GetPeerAddress(), n.peers.Serve},
		{"admin", n.settings.GetAdminAddress(), n.admin.Serve},
	})
}

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

// Stop drains the node: it is unready at once, gives out no more slots, serves
// callers until they have gone elsewhere, and finishes what is in hand.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.outbound.Leave()
	n.inbound.Stop(time.Now())
	n.waitUntilQuiet(ctx)
	ending, cancel := context.WithTimeout(ctx, drainNotice)
	defer cancel()
	n.callers.SetKeepAlivesEnabled(false)
	err := n.callers.Shutdown(ending)
	n.peers.Stop()
	n.cancel()
	n.inbound.Close()
	n.logger.Info("stopped", "vm", n.settings.GetVm())
	return errs.Combine(err, n.ready.Close(), n.admin.Close(), n.pool.Close())
}

// waitUntilQuiet waits until nothing is in hand and no caller comes any more.
func (n *Node) waitUntilQuiet(ctx context.Context) {
	grace := n.settings.GetBounds().GetGrace().AsDuration()
	if grace <= 0 {
		grace = defaultGrace
	}
	began := time.Now()
	for time.Since(began) < grace-graceMargin && ctx.Err() == nil {
		now := time.Now()
		idle := n.outbound.InFlight() == 0 && n.inbound.InUse() == 0
		if idle && now.Sub(began) >= noticeTime && n.outbound.QuietFor(now) >= quietTime {
			return
		}
		time.Sleep(drainPoll)
	}
	n.logger.Warn("stopping with work in hand", "running", n.inbound.InUse(), "callers", n.outbound.InFlight())
}

// Settings implements discovery.Sink.
func (n *Node) Settings(now time.Time, settings *slatewind.PublishedSettings) {
	n.store.Adopt(now, "store", settings)
}

// Server implements discovery.Sink.
func (n *Node) Server(now time.Time, entry slatewind.ServerEntry) {
	n.outbound.Put(now, entry)
	if entry.Address == n.settings.GetLocalServer().GetAddress() {
		n.inbound.Published(now, &entry)
	}
}

// ServerGone implements discovery.Sink.
func (n *Node) ServerGone(now time.Time, name string) {
	n.outbound.Remove(name)
	n.inbound.Gone(now, name)
}

// Finding implements discovery.Sink.
func (n *Node) Finding(now time.Time, finding error) {
	n.history.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionStale, Reason: "an entry cannot be read; what was in force stays", Evidence: finding.Error(),
	})
}

// Reach implements discovery.Sink.
func (n *Node) Reach(_ time.Time, reached bool, cause error) {
	if reached {
		n.logger.Info("dependency regained", "dependency", "store")
		return
	}
	n.logger.Warn("dependency lost", "dependency", "store", "cause", cause)
}

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
	out, in := n.outbound.View(now), n.inbound.View()
	return admin.State{
		VM: n.settings.GetVm(), DataCentre: n.settings.GetDataCentre(), Version: Version, Time: now,
		Settings: inForce(n.settings.GetVm(), n.store), Reader: true, Outbound: &out, Inbound: &in,
	}
}
