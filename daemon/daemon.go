// Package daemon assembles the components of a slatewindd process, starts them
// and drains them on shutdown. If the platform's store lists the servers, the
// process is a Node, otherwise a Process.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
	"go.uber.org/fx"
	"google.golang.org/grpc"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/attempt"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/connlimit"
	"slatewind.example/slatewind/discovery"
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/gossip"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/member"
	"slatewind.example/slatewind/metrics"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
	"slatewind.example/slatewind/reload"
	"slatewind.example/slatewind/replay"
	"slatewind.example/slatewind/sidecar"
	"slatewind.example/slatewind/timer"
	"slatewind.example/slatewind/usage"
)

// Version is the program's version. Releases set it at link time.
var Version = "0.1"

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

const (
	// StopTimeout bounds a planned stop. It is far above the timeouts of routes, so that
	// requests in progress can finish.
	StopTimeout = 60 * time.Second
	// stopMargin is what the callers' connections get after StopTimeout.
	stopMargin = 5 * time.Second
	// drainPoll is how often a draining process checks whether work is left.
	drainPoll = 20 * time.Millisecond
	// drainNotice is how long a draining process must have been idle before it closes its
	// listeners, so that callers and ingresses learn of the drain from replies and not
	// from connection resets.
	drainNotice = 500 * time.Millisecond
	// readHeaderTimeout bounds how long a caller may take to send a header.
	readHeaderTimeout = 10 * time.Second
	// callersShare is the divisor of the descriptors that gives the connections of callers. The others are for servers,
	// peers, the store and files.
	callersShare = 2
	// idleTimeout is after how long callers' idle connections are closed.
	idleTimeout = 2 * time.Minute
)

// Options returns the fx options of a process with the settings that were read from the file
// at path: a Node if they name the platform's store, otherwise a Process.
func Options(path string, process *slatewindv1.Process, logger *log.Logger) fx.Option {
	file := settingsFile{path, logger.GetLevel()}
	file.setLevel(logger, process)
	if process.GetStore() != nil {
		return nodeOptions(file, process, logger)
	}
	return fx.Options(
		commonOptions(file, process, logger),
		fx.Provide(newJournal, newProcess),
		fx.Invoke(func(lc fx.Lifecycle, p *Process) {
			lc.Append(fx.Hook{OnStart: p.Start, OnStop: p.Stop})
		}),
	)
}

// commonOptions returns the fx options that a Process and a Node share.
func commonOptions(file settingsFile, process *slatewindv1.Process, logger *log.Logger) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(file, process, logger),
		fx.Provide(
			newMetrics,
			func(j *history.Journal) *config.Store { return config.NewStore(j) },
			timer.New,
			newPool,
		),
	)
}

// newMetrics returns the metrics of a process, including what it uses of its limits.
func newMetrics(process *slatewindv1.Process) (*metrics.Metrics, error) {
	limits := usage.LimitsOf(process)
	m, err := metrics.New()
	if err != nil {
		return nil, err
	}
	return m, m.ObserveUsage(func() usage.Usage { return usage.Read(limits) })
}

// perRequestKinds are the kinds of decision that are made once or more per request. They are
// logged at debug level only.
var perRequestKinds = map[slatewind.DecisionKind]bool{
	slatewind.DecisionRefuse: true, slatewind.DecisionRetry: true, slatewind.DecisionHedge: true,
	slatewind.DecisionHandOver: true, slatewind.DecisionUnknown: true, slatewind.DecisionDropReply: true,
}

func newJournal(process *slatewindv1.Process, logger *log.Logger, m *metrics.Metrics) *history.Journal {
	return history.New(int(process.GetLimits().GetJournalEntries()), func(d slatewind.Decision) {
		m.Decision(d.Kind)
		level := log.InfoLevel
		if perRequestKinds[d.Kind] {
			level = log.DebugLevel
		}
		logger.Log(level, "decision", "kind", d.Kind, "service", d.Service, "server", d.Server,
			"request", d.Request, "reason", d.Reason, "evidence", d.Evidence)
	})
}

// Process is a slatewindd whose peers come from the platform's list of VMs and whose servers come
// from the operators' settings. It is the ingress for callers and the sidecar of its VM's servers.
type Process struct {
	settings *slatewindv1.Process
	limits   usage.Limits
	file     *reload.File
	logger   *log.Logger
	metrics  *metrics.Metrics
	journal  *history.Journal
	store    *config.Store
	timers   *timer.Service
	pool     *link.Pool
	gossip   *gossip.Gossip
	sidecar  *sidecar.Sidecar
	ingress  *ingress.Ingress
	limiter  *ratelimit.Limiter
	suspects *quarantine.Table
	recorder *replay.Recorder
	reader   *discovery.Reader
	servers  *sidecar.HTTPCaller

	cancel    context.CancelFunc
	endpoints []endpoint
	callers   *http.Server
	// conns limits the connections of callers.
	conns *connlimit.Limiter
	admin *http.Server
	peers *grpc.Server
}

func newProcess(file settingsFile, process *slatewindv1.Process, logger *log.Logger, m *metrics.Metrics, j *history.Journal, store *config.Store, timers *timer.Service, pool *link.Pool) *Process {
	incarnation := attempt.NewIncarnation(time.Now())
	records := process.GetLimits()
	p := &Process{settings: process, limits: usage.LimitsOf(process), logger: logger, metrics: m, journal: j, store: store, timers: timers, pool: pool}
	p.file = reload.New(file.path, process, reloadableProcessKeys, reloadSink{file, logger, p.reload})
	p.servers = sidecar.NewHTTPCaller()
	p.recorder = replay.NewRecorder(process.GetVm(), int(records.GetRecordedEvents()))
	p.gossip = gossip.New(member.Entry{
		VM: process.GetVm(), DataCentre: process.GetDataCentre(), PeerAddress: process.GetPeerAddress(), Incarnation: incarnation,
	}, process.GetSeedPeers(), store, j, pool)
	p.suspects = p.newSuspects()
	p.sidecar = sidecar.New(process.GetVm(), incarnation, sidecar.Limits{
		OnceRecords:     int(records.GetOnceRecords()),
		OnceAnswerBytes: int(records.GetOnceAnswerBytes()),
		Attempts:        int(records.GetTombstones()),
	}, store, j, p.servers, p.suspects)
	links := &localLinks{pool: pool, ownAddress: process.GetPeerAddress(), sidecar: p.sidecar}
	p.limiter = ratelimit.New(time.Now(), process.GetPeerAddress(), processPeers{pool}, limitsOf(store))
	p.ingress = ingress.New(process.GetVm(), process.GetDataCentre(), store, j, links, p.gossip, m, p.recorder, p.limiter, p.suspects)
	client := platform.NewClient(process.GetPlatformUrl(), nil)
	p.reader = discovery.NewReader(client, client, p.gossip, m)
	return p
}

// Start opens the listeners, for which it waits until starting ends, starts all components, which run until Stop, and then serves: a call
// may use any component.
func (p *Process) Start(starting context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if err := p.listen(starting); err != nil {
		cancel()
		return err
	}
	p.gossip.Start(ctx, p.timers, p)
	p.sidecar.Start(ctx, p.timers)
	p.ingress.Start(ctx, p.timers)
	p.reader.Start(ctx)
	p.file.Start(ctx, p.timers)
	limitMemory(p.limits.MemoryBytes)
	tuneGC(ctx, p.timers, p.settings.GetLimits().GetProcessorShare())
	serveAll(p.logger, p.endpoints)
	p.logger.Info("started", "vm", p.settings.GetVm(), "data_centre", p.settings.GetDataCentre(),
		"ingress", p.settings.GetIngressAddress(), "peer", p.settings.GetPeerAddress(), "admin", p.settings.GetAdminAddress(), "version", Version)
	return nil
}

// listen opens the three listeners without serving them.
func (p *Process) listen(ctx context.Context) error {
	p.conns = connlimit.New(p.limits.Descriptors / callersShare)
	p.callers = &http.Server{
		Handler: connlimit.Handler(p.ingress), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ConnState: p.conns.State, ConnContext: connContext,
	}
	p.admin = &http.Server{Handler: admin.NewHandler(p.sources()), ReadHeaderTimeout: readHeaderTimeout}
	p.peers = grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSidecarServer(p.peers, sidecarServer{sidecar: p.sidecar})
	slatewindv1.RegisterPeerServer(p.peers, peerServer{gossip: p.gossip})
	slatewindv1.RegisterRateLimitsServer(p.peers, link.LimitsServer{Grant: p.limiter.Grant})
	p.endpoints = []endpoint{
		{name: "callers", address: p.settings.GetIngressAddress(), serve: func(l net.Listener) error { return p.callers.Serve(p.conns.Listener(l)) }},
		{name: "peers", address: p.settings.GetPeerAddress(), serve: p.peers.Serve},
		{name: "admin", address: p.settings.GetAdminAddress(), serve: p.admin.Serve},
	}
	return openAll(ctx, p.logger, p.endpoints)
}

// Stop drains the process: it takes no new work, finishes the work in progress, and
// closes the listeners after that.
func (p *Process) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, StopTimeout+stopMargin)
	defer cancel()
	p.drain("the process received a stop signal")
	p.waitUntilIdle(ctx)
	err := p.callers.Shutdown(ctx)
	p.conns.AwaitClosed(ctx)
	// Only gossip is left; calls in progress ended above.
	stopPeers(p.peers, drainNotice)
	p.cancel()
	p.logger.Info("stopped", "vm", p.settings.GetVm())
	p.servers.CloseIdle()
	return errs.Combine(err, p.admin.Shutdown(ctx), p.pool.Close())
}

// drain announces to callers and peers that the process takes no new work.
func (p *Process) drain(reason string) {
	now := time.Now()
	p.sidecar.Leave(now, reason)
	p.ingress.Drain(drain.Schedule{Began: now, Grace: StopTimeout})
	p.gossip.Leave(now)
}

// waitUntilIdle waits until no work has been in progress for drainNotice, for at most StopTimeout.
func (p *Process) waitUntilIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, StopTimeout)
	defer cancel()
	idleSince := time.Now()
	for time.Since(idleSince) < drainNotice {
		if p.sidecar.Running() > 0 || p.ingress.InFlight() > 0 {
			idleSince = time.Now()
		}
		select {
		case <-ctx.Done():
			p.logger.Warn("stopping with work in hand", "running", p.sidecar.Running(), "callers", p.ingress.InFlight())
			return
		case <-time.After(drainPoll):
		}
	}
}

// SettingsChanged implements gossip.Events.
func (p *Process) SettingsChanged(now time.Time, snapshot *config.Snapshot) {
	p.sidecar.Update(now, snapshot)
	p.ingress.Update(now, snapshot)
	p.ingress.MembersChanged(now)
}

// MembersChanged implements gossip.Events.
func (p *Process) MembersChanged(now time.Time) {
	p.updateLimiterPeers(now)
	p.ingress.MembersChanged(now)
}

// DigestsReceived implements gossip.Events.
func (p *Process) DigestsReceived(now time.Time, digests []*slatewindv1.Digest) {
	p.ingress.ApplyDigests(now, digests)
}

// SelfLeaving implements gossip.Events.
func (p *Process) SelfLeaving(now time.Time) {
	p.sidecar.Leave(now, "the platform's VM list has the VM as leaving")
}

// Digests implements gossip.Events.
func (p *Process) Digests(outcomes bool) []*slatewindv1.Digest {
	return p.sidecar.Digests(outcomes)
}

func (p *Process) sources() admin.Sources {
	return admin.Sources{
		State:    p.state,
		Settings: p.settingsInForce,
		Journal:  p.journal,
		Metrics:  p.metrics.Handler(),
		Record:   func() ([]byte, error) { return p.recorder.Trace(p.store.Current()) },
		Ready:    func() bool { return p.store.Current() != nil && !p.sidecar.Leaving() },
	}
}

func (p *Process) settingsInForce() admin.Settings {
	return settingsInForce(p.settings.GetVm(), p.store)
}

func (p *Process) state() admin.State {
	now, conns := time.Now(), p.conns.View()
	return admin.State{
		VM:          p.settings.GetVm(),
		DataCentre:  p.settings.GetDataCentre(),
		Version:     Version,
		Time:        now,
		Settings:    p.settingsInForce(),
		Usage:       usage.Read(p.limits),
		Connections: &conns,
		PlatformAge: p.gossip.PlatformAge(now).Round(time.Millisecond).String(),
		Reader:      p.gossip.MayRead(now),
		Ingress:     p.ingress.View(now),
		Sidecar:     p.sidecar.View(),
		Members:     p.gossip.Members(),
		Limits:      p.limiter.Uses(now),
		Suspects:    p.suspects.Views(now),
	}
}

// peerServer implements the Peer service, by which other processes gossip with this one.
type peerServer struct {
	slatewindv1.UnimplementedPeerServer
	gossip *gossip.Gossip
}

// Sync implements slatewindv1.PeerServer.
func (s peerServer) Sync(ctx context.Context, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error) {
	return s.gossip.Sync(ctx, request)
}

// Fetch implements slatewindv1.PeerServer.
func (s peerServer) Fetch(ctx context.Context, request *slatewindv1.FetchRequest) (*slatewindv1.FetchReply, error) {
	return s.gossip.Fetch(ctx, request)
}

// NewLogger returns a logger that writes each event to out as one line of key=value pairs.
// verbose sets the level debug instead of info.
func NewLogger(out io.Writer, verbose bool) *log.Logger {
	level := log.InfoLevel
	if verbose {
		level = log.DebugLevel
	}
	return log.NewWithOptions(out, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Level: level,
	})
}
