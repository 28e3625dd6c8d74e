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

// start is the time at which every trace begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tickInterval is how often the decision code is ticked.
const tickInterval = 100 * time.Millisecond

// settle is how long a replay goes on after its last event.
const settle = 2 * time.Second

// Miss is a stated outcome that did not come about.
type Miss struct {
	// Index of the expectation in the trace, or -1 for what must always hold.
	Index  int
	At     time.Duration
	Reason string
}

// Report is the result of one replay.
type Report struct {
	Name   string
	Misses []Miss
	// Detection is, by server marked sick, how long it took the first and the
	// last node to eject it.
	Detection []Detection
	// FalseEjections counts ejections of servers that were not marked sick.
	FalseEjections int
	Decisions      []slatewind.Decision
}

// Detection is how long a sick server kept receiving work.
type Detection struct {
	Server string
	Node   string
	After  time.Duration
}

// String renders a report for the terminal.
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

// node is one ingress in a replay.
type node struct {
	name     string
	store    *config.Store
	policies map[string]*policy.Service
	// revisions lists what was put in force, in order.
	revisions []inForce
}

type inForce struct {
	at       time.Duration
	revision uint64
}

// ejection is one ejection that was decided.
type ejection struct {
	node   string
	server string
	at     time.Duration
}

// player holds the state of one replay.
type player struct {
	trace   *Trace
	fleet   *slatewindv1.Fleet
	random  *rand.Rand
	journal *history.Journal
	report  *Report
	queue   schedule.Queue
	serial  int

	nodes    []*node
	sides    map[string]*side
	network  *network
	sick     map[string]time.Duration
	ejected  []ejection
	answers  map[string]slatewind.Outcome
	runs     map[string]int
	lastRun  map[string]time.Duration
	detected map[string]bool
}

// Play replays a trace and compares what was decided with what it states.
func Play(t *Trace) (*Report, error) {
	fleet, err := config.ParseFleet(t.Name+"/settings", []byte(t.Settings))
	if err != nil {
		return nil, err
	}
	p := &player{
		trace:    t,
		fleet:    fleet,
		random:   rand.New(rand.NewPCG(t.Seed, 1)),
		report:   &Report{Name: t.Name},
		sides:    map[string]*side{},
		network:  newNetwork(),
		sick:     map[string]time.Duration{},
		answers:  map[string]slatewind.Outcome{},
		runs:     map[string]int{},
		lastRun:  map[string]time.Duration{},
		detected: map[string]bool{},
	}
	const journalSize = 1 << 16
	p.journal = history.New(journalSize, p.noteDecision)
	if err := p.setUp(); err != nil {
		return nil, err
	}
	end := p.scheduleAll()
	p.queue.Run(end, p.collect)
	p.judge()
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
			p.sides[server.GetName()] = newSide(p, service.GetName(), server)
		}
	}
	return p.applySettings(&Settings{Revision: p.trace.Revision, Text: p.trace.Settings})
}

// now returns the time of the trace as the decision code sees it.
func (p *player) now() time.Time {
	return start.Add(p.queue.Now())
}

// scheduleAll puts every event in the queue and returns the end of the replay.
func (p *player) scheduleAll() time.Duration {
	end := time.Duration(0)
	for _, e := range p.trace.Events {
		count, every := repeats(e)
		for k := range count {
			at := time.Duration(e.At) + time.Duration(k)*every
			p.queue.At(at, func() { p.happen(e) })
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
	end += settle
	for at := tickInterval; at <= end; at += tickInterval {
		p.queue.At(at, p.tick)
	}
	return end
}

// repeats returns how often an event happens and at what distance.
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

// collect journals what was decided and checks what must always hold.
func (p *player) collect() {
	for _, n := range p.nodes {
		for _, service := range n.policies {
			for _, d := range service.TakeDecisions() {
				d.Request = n.name
				p.journal.Add(d)
			}
		}
	}
}

// noteDecision keeps ejections for the measures.
func (p *player) noteDecision(d slatewind.Decision) {
	if d.Kind != slatewind.DecisionEject {
		return
	}
	at := p.queue.Now()
	p.ejected = append(p.ejected, ejection{node: d.Request, server: d.Server, at: at})
	since, sick := p.sick[d.Server]
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
	for _, s := range p.sides {
		s.tick()
	}
	p.checkFloors()
}

// checkFloors holds at every tick, whatever the trace states: nothing may be
// out while capacity is below the floor and it could serve.
func (p *player) checkFloors() {
	for _, n := range p.nodes {
		snapshot := n.store.Current()
		for name, service := range n.policies {
			settings := snapshot.Services[name]
			if settings == nil {
				continue
			}
			if out, capacity := service.Idle(), service.Capacity(); out > 0 && capacity < int(settings.GetFloor()) {
				p.miss(-1, fmt.Sprintf("%s: %d server(s) of %s set aside while capacity %d is below the floor %d", n.name, out, name, capacity, settings.GetFloor()))
			}
		}
	}
}

func (p *player) miss(index int, reason string) {
	p.report.Misses = append(p.report.Misses, Miss{Index: index, At: p.queue.Now(), Reason: reason})
}

// at calls use for each node that an event concerns.
func (p *player) at(e Event, use func(*node)) {
	for _, n := range p.nodes {
		if e.Node == "" || e.Node == n.name {
			use(n)
		}
	}
}

// servicePolicy returns the decisions of a node about a server's service.
func (p *player) servicePolicy(n *node, server string) *policy.Service {
	s := p.sides[server]
	if s == nil {
		return nil
	}
	return n.policies[s.service]
}
