package daemon

import (
	"net"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/choice"
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
	"slatewind.example/slatewind/throttle"
	"slatewind.example/slatewind/timer"
	"slatewind.example/slatewind/usage"
)

// nodeOptions returns the fx options of a Node.
func nodeOptions(file settingsFile, process *slatewindv1.Process, logger *log.Logger) fx.Option {
	return fx.Options(
		commonOptions(file, process, logger),
		fx.Provide(newNodeHistory, newNode),
		fx.Invoke(func(lc fx.Lifecycle, n *Node) {
			lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
		}),
	)
}

// newNodeHistory returns a journal whose decisions are all logged at info level, also those about
// single requests: on-call engineers look for these.
func newNodeHistory(process *slatewindv1.Process, logger *log.Logger, m *metrics.Metrics) *history.Journal {
	return history.New(int(process.GetLimits().GetJournalEntries()), func(d slatewind.Decision) {
		m.Decision(d.Kind)
		logger.Info("decision", "kind", d.Kind, "service", d.Service, "server", d.Server,
			"request", d.Request, "reason", d.Reason, "evidence", d.Evidence)
	})
}

// newNode assembles the components of a node.
func newNode(file settingsFile, process *slatewindv1.Process, logger *log.Logger, m *metrics.Metrics, j *history.Journal, store *config.Store, timers *timer.Service, pool *link.Pool) *Node {
	n := &Node{settings: process, limits: usage.LimitsOf(process), logger: logger, metrics: m, history: j, store: store, timers: timers, pool: pool, reports: report.NewTable(), unused: unusedConns{conns: map[net.Conn]bool{}}}
	n.entryLines = throttle.New(maxEntryLines, entryLinesInterval)
	n.reloadable.Store(process)
	n.file = reload.New(file.path, process, reloadableNodeKeys, reloadSink{file, logger, n.reload})
	n.publisher = newRecordPublisher(n)
	n.suspects = quarantine.NewTable(n.publisher.enqueue, n.recordQuarantine)
	guard := usage.NewGuard(n.limits.MemoryBytes, usage.Memory)
	n.inbound = inbound.New(inbound.Server{
		Service: process.GetLocalServer().GetService(),
		Address: process.GetLocalServer().GetAddress(),
		Headers: platform.Servers(),
	}, boundsOf(process), j, n.suspects, inboundMemory(process, guard))
	n.inbound.SetMeter(m)
	n.limiter = ratelimit.New(time.Now(), outbound.HostOf(process.GetLocalServer().GetAddress()), nodePeers{n}, limitsOf(store))
	n.outbound = outbound.New(
		outbound.Self{Place: placeOf(process), Service: process.GetLocalServer().GetService()},
		platform.Callers(), store, j, n, n.inbound, m, n.reports, n.limiter, n.suspects, outboundMemory(process, guard),
	)
	client := platform.NewClient("http://"+process.GetStore().GetAddress(), func(call platform.Call, err error) { m.PlatformCall(string(call), err) })
	n.source = discovery.NewSharedSource(client, nodePeers{n}, process.GetLocalServer().GetAddress(), process.GetSeedPeers())
	n.evacuations = discovery.NewEvacuationFilter(n)
	n.services = discovery.NewServiceFilter(n.evacuations)
	n.watcher = discovery.NewWatcher(n.source, n.services)
	n.settingsWatcher = discovery.NewSettingsWatcher(client, nodePeers{n}, n.source, n)
	n.source.Attach(n.watcher, n.settingsWatcher, process.GetDataCentre())
	return n
}

// outboundMemory returns the bounds on the memory of the ingress.
func outboundMemory(process *slatewindv1.Process, guard *usage.Guard) outbound.Memory {
	limits := process.GetLimits()
	return outbound.Memory{
		Guard:    guard,
		Requests: bodylimit.NewBudget(int64(limits.GetRequestBytes())),
		Buffers:  newAnswerBudget(limits),
		Answers:  bodylimit.NewAnswers(int64(limits.GetAnswerBytes())),
	}
}

// inboundMemory returns the bounds on the memory of requests at the local server.
func inboundMemory(process *slatewindv1.Process, guard *usage.Guard) inbound.Memory {
	limits := process.GetLimits()
	return inbound.Memory{Guard: guard, Requests: bodylimit.NewBudget(int64(limits.GetRequestBytes())), Answers: newAnswerBudget(limits)}
}

// newAnswerBudget returns a budget for answers that are buffered.
func newAnswerBudget(limits *slatewindv1.Limits) *bodylimit.Budget {
	if bytes := int64(limits.GetAnswerBytes()); bytes > 0 {
		return bodylimit.NewBudget(bytes)
	}
	return bodylimit.NewBudget(bodylimit.DefaultAnswerBytes)
}

// placeOf returns where the process is.
func placeOf(process *slatewindv1.Process) choice.Place {
	place := choice.Place{DataCentre: process.GetDataCentre(), Regions: map[string]string{}}
	for _, dataCentre := range process.GetDataCentres() {
		place.Regions[dataCentre.GetName()] = dataCentre.GetRegion()
	}
	return place
}
