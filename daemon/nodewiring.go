package daemon

import (
	"net"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"slatewind.example/slatewind"
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

// nodeOptions returns the wiring of a process whose servers are listed in the
// platform's store.
func nodeOptions(file settingsFile, process *slatewindv1.Process, logger *log.Logger) fx.Option {
	return fx.Options(
		commonOptions(file, process, logger),
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

// newNode puts the parts of a node together.
func newNode(file settingsFile, process *slatewindv1.Process, logger *log.Logger, m *metrics.Metrics, j *history.Journal, store *config.Store, timers *timer.Service, pool *link.Pool) *Node {
	n := &Node{settings: process, logger: logger, metrics: m, history: j, store: store, timers: timers, pool: pool, reports: report.NewTable(), silent: silentConns{conns: map[net.Conn]bool{}}}
	n.entryLines = throttle{interval: entryLinesTime, most: mostEntryLines}
	n.living.Store(process)
	n.file = reload.New(file.path, process, livingOfNode, reloaded{file, logger, n.reload})
	n.spreader = newSpreader(n)
	n.suspects = quarantine.NewTable(n.spreader.spread, n.listed)
	n.inbound = inbound.New(inbound.Server{
		Service: process.GetLocalServer().GetService(),
		Address: process.GetLocalServer().GetAddress(),
		Headers: platform.Servers(),
	}, boundsOf(process), j, n.suspects)
	n.limiter = ratelimit.New(time.Now(), outbound.HostOf(process.GetLocalServer().GetAddress()), nodePeers{n}, limitsOf(store))
	n.outbound = outbound.New(
		outbound.Self{DataCentre: process.GetDataCentre(), Service: process.GetLocalServer().GetService()},
		platform.Callers(), store, j, n, n.inbound, m, n.reports, n.limiter, n.suspects,
	)
	client := platform.NewClient("http://"+process.GetStore().GetAddress(), func(call platform.Call, err error) { m.PlatformCall(string(call), err) })
	n.share = discovery.NewSharedSource(client, nodePeers{n}, process.GetLocalServer().GetAddress(), process.GetSeedPeers())
	n.services = discovery.NewServiceFilter(n)
	n.watcher = discovery.NewWatcher(n.share, n.services)
	n.feed = discovery.NewSettingsWatcher(client, nodePeers{n}, n.share, n)
	n.share.Attach(n.watcher, n.feed, process.GetDataCentre())
	return n
}
