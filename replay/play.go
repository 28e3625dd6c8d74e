package replay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/internal/schedule"
	"slatewind.example/slatewind/policy"
)

// start is the wall-clock time at which every replay begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tickInterval is the interval of calls to Tick of the policies and sidecars.
const tickInterval = 100 * time.Millisecond

// settleTime is how long a replay continues after its last event or time limit.
const settleTime = 2 * time.Second

// Miss is an expectation that was not met or an invariant that was violated.
type Miss struct {
	// Index of the expectation in the trace, or -1 for an invariant.
	Index int
	// At is the time since the start of the trace.
	At     time.Duration
	Reason string
}

// Report is the result of one replay.
type Report struct {
	Name   string
	Misses []Miss
	// Detection has one entry for each node that ejected a server while the trace
	// marked it as sick, in the order of the ejections.
	Detection []Detection
	// FalseEjections counts ejections of servers that were not marked sick.
	FalseEjections int
	Decisions      []slatewind.Decision
}

// Detection is the time that a node took to eject a server marked as sick.
type Detection struct {
	Server string
	Node   string
	// After is the time from the mark to the ejection.
	After time.Duration
}

// String formats the report for a terminal.
func (r *Report) String() string {
	var b strings.Builder
	verdict := "pass"
	if len(r.Misses) > 0 {
		verdict = "FAIL"
	}
	fmt.Fprintf(&b, "%s %s false_ejections=%d\n", verdict, r.Name, r.FalseEjections)
	for _, d := range r.Detection {
		fmt.Fprintf(&b, "  detected %s at %s after %s\n", d.Server, d.Node, d.After)
	}
	for _, m := range r.Misses {
		fmt.Fprintf(&b, "  missed expect[%d] at %s: %s\n", m.Index, m.At, m.Reason)
	}
	return b.String()
}

// node is a simulated ingress.
type node struct {
	name     string
	store    *config.Store
	policies map[string]*policy.Service
	// revisions lists the settings revisions that came into force, in order.
	revisions []revisionChange
}

// revisionChange records when a node put a settings revision in force.
type revisionChange struct {
	at       time.Duration
	revision uint64
}

// ejection records that a node ejected a server.
type ejection struct {
	node   string
	server string
	at     time.Duration
}

// player holds the state of one replay. It runs on a single goroutine.
type player struct {
	trace         *Trace
	fleet         *slatewindv1.Fleet
	random        *rand.Rand
	journal       *history.Journal
	report        *Report
	queue         schedule.Queue
	attemptSerial int

	nodes     []*node
	sidecars  map[string]*sidecar
	network   *network
	sickSince map[string]time.Duration
	ejected   []ejection
	answers   map[string]slatewind.Outcome
	runs      map[string]int
	lastRun   map[string]time.Duration
	detected  map[string]bool
}

// Play replays a trace and checks its expectations. It returns an error if the
// settings of the trace are invalid.
func Play(t *Trace) (*Report, error) {
	fleet, err := config.ParseFleet(t.Name+"/settings", []byte(t.Settings))
	if err != nil {
		return nil, err
	}
	p := &player{
		trace:     t,
		fleet:     fleet,
		random:    rand.New(rand.NewPCG(t.Seed, 1)),
		report:    &Report{Name: t.Name},
		sidecars:  map[string]*sidecar{},
		network:   newNetwork(),
		sickSince: map[string]time.Duration{},
		answers:   map[string]slatewind.Outcome{},
		runs:      map[string]int{},
		lastRun:   map[string]time.Duration{},
		detected:  map[string]bool{},
	}
	const journalSize = 1 << 16
	p.journal = history.New(journalSize, p.recordEjection)
	if err := p.setUp(); err != nil {
		return nil, err
	}
	end := p.scheduleAll()
	p.queue.Run(end, p.collectDecisions)
	p.checkExpectations()
	p.report.Decisions = p.journal.Find(history.Filter{})
	return p.report, nil
}

func (p *player) setUp() error {
	for i, name := range p.trace.Nodes {
		n := &node{name: name, store: config.NewStore(p.journal), policies: map[string]*policy.Service{}}
		p.nodes = append(p.nodes, n)
		for _, service := range p.fleet.GetServices() {
			n.policies[service.GetName()] = policy.NewService(service.GetName(), "", p.trace.Seed+uint64(i))
		}
	}
	for _, service := range p.fleet.GetServices() {
		for _, server := range service.GetServers() {
			p.sidecars[server.GetName()] = newSidecar(p, service.GetName(), server)
		}
	}
	return p.applySettings(&Settings{Revision: p.trace.Revision, Text: p.trace.Settings})
}

// now returns the virtual time as a wall-clock time.
func (p *player) now() time.Time {
	return start.Add(p.queue.Now())
}

// scheduleAll queues all events and ticks and returns the end of the replay.
func (p *player) scheduleAll() time.Duration {
	end := time.Duration(0)
	for _, e := range p.trace.Events {
		count, every := repeats(e)
		for k := range count {
			at := time.Duration(e.At) + time.Duration(k)*every
			p.queue.At(at, func() { p.playEvent(e) })
			end = max(end, at)
		}
	}
	for _, x := range p.trace.Expect {
		if x.Ejected != nil {
			end = max(end, time.Duration(x.Ejected.By))
		}
		if x.InForce != nil {
			end = max(end, time.Duration(x.InForce.At))
		}
	}
	end += settleTime
	for at := tickInterval; at <= end; at += tickInterval {
		p.queue.At(at, p.tick)
	}
	return end
}

// repeats returns how often an event occurs and the interval in between.
func repeats(e Event) (int, time.Duration) {
	count, every := 0, Duration(0)
	switch {
	case e.Outcome != nil:
		count, every = e.Outcome.Count, e.Outcome.Every
	case e.Lost != nil:
		count, every = e.Lost.Count, e.Lost.Every
	case e.Probe != nil:
		count, every = e.Probe.Count, e.Probe.Every
	case e.Traffic != nil:
		count, every = e.Traffic.Count, e.Traffic.Every
	}
	return max(count, 1), time.Duration(every)
}

// collectDecisions moves new decisions of all policies to the journal. The name
// of the node goes into the Request field, where recordEjection reads it.
func (p *player) collectDecisions() {
	for _, n := range p.nodes {
		for _, service := range n.policies {
			for _, d := range service.TakeDecisions() {
				d.Request = n.name
				p.journal.Add(d)
			}
		}
	}
}

// recordEjection is called for each decision that is added to the journal. It
// records ejections and whether the server was marked as sick.
func (p *player) recordEjection(d slatewind.Decision) {
	if d.Kind != slatewind.DecisionEject {
		return
	}
	at := p.queue.Now()
	p.ejected = append(p.ejected, ejection{node: d.Request, server: d.Server, at: at})
	since, sick := p.sickSince[d.Server]
	if !sick {
		p.report.FalseEjections++
		return
	}
	key := d.Request + "/" + d.Server
	if !p.detected[key] {
		p.detected[key] = true
		p.report.Detection = append(p.report.Detection, Detection{Server: d.Server, Node: d.Request, After: at - since})
	}
}

func (p *player) tick() {
	for _, n := range p.nodes {
		for _, service := range n.policies {
			service.Tick(p.now())
		}
	}
	for _, s := range p.sidecars {
		s.tick()
	}
	p.checkFloors()
}

// checkFloors checks an invariant at every tick, whatever the trace expects: while
// the capacity of a service is below its floor, no server that could serve may be
// out of service.
func (p *player) checkFloors() {
	for _, n := range p.nodes {
		snapshot := n.store.Current()
		for name, service := range n.policies {
			settings := snapshot.Services[name]
			if settings == nil {
				continue
			}
			if out, capacity := service.Idle(), service.Capacity(); out > 0 && capacity < int(settings.GetFloor()) {
				p.addMiss(-1, fmt.Sprintf("%s: %d usable server(s) of %s out of service while capacity %d is below the floor %d", n.name, out, name, capacity, settings.GetFloor()))
			}
		}
	}
}

func (p *player) addMiss(index int, reason string) {
	p.report.Misses = append(p.report.Misses, Miss{Index: index, At: p.queue.Now(), Reason: reason})
}

// forNodes calls apply for each node that an event concerns.
func (p *player) forNodes(e Event, apply func(*node)) {
	for _, n := range p.nodes {
		if e.Node == "" || e.Node == n.name {
			apply(n)
		}
	}
}

// servicePolicy returns the policy of a node for the service of a server, or nil
// if the trace has no such server.
func (p *player) servicePolicy(n *node, server string) *policy.Service {
	s := p.sidecars[server]
	if s == nil {
		return nil
	}
	return n.policies[s.service]
}
