package ratelimit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/ratelimit"
)

// The model simulates a fleet in virtual time: processes that receive requests of workspaces, the
// messages between them, and faults of both. Consumer, Allocator and Homes are the real ones; the
// model replaces Limiter, which only adds locks and calls.

// Times of the model.
const (
	// hop is the mean one-way latency of a message.
	hop = time.Millisecond
	// askTimeout is the wait for a reply, as in Limiter.
	askTimeout = 80 * time.Millisecond
	// silentFor is the back-off after a process did not reply, as in Limiter.
	silentFor = 500 * time.Millisecond
	// refusedFor is the back-off after a refused connection, as in Limiter.
	refusedFor = 50 * time.Millisecond
	// viewAge is the maximum delay until a process learns that the set of hosts changed.
	viewAge = 1775 * time.Millisecond
	// window is the period of the excess that operators accept.
	window = 5 * time.Second
)

// fault is a fault of some processes in a scenario.
type fault struct {
	at, lasts time.Duration
	// share is the share of processes that are hit; homeOf adds the home of a workspace.
	share  float64
	homeOf string
	what   faultKind
}

// faultKind is the kind of a fault.
type faultKind string

const (
	// faultKill ends processes; new ones start in their places when the fault is over.
	faultKill faultKind = "kill"
	// faultFreeze suspends processes; they continue when the fault is over.
	faultFreeze faultKind = "freeze"
	// faultCut drops messages between these processes and all others.
	faultCut faultKind = "cut"
	// faultLeave removes hosts permanently; others learn of it within viewAge.
	faultLeave faultKind = "leave"
)

// load is the limit and the traffic of one workspace.
type load struct {
	name        string
	rate, burst float64
	// sends returns the arrival rate in requests per second at a time.
	sends func(at time.Duration) float64
	// at returns the process that receives a request; nil means a random one.
	at func(r *rand.Rand, at time.Duration) int
	// lowered is the rate and burst from loweredAt on, if loweredAt is not zero.
	lowered   float64
	loweredAt time.Duration
}

// scenario holds the parameters of one run of the model.
type scenario struct {
	processes int
	loads     []load
	faults    []fault
	lasts     time.Duration
	loss      float64
	seed      uint64
	// strategy returns the strategy of rate limiting to simulate.
	strategy func(m *model) strategy
}

// strategy is a way to enforce limits across all processes.
type strategy interface {
	// request decides on a request at a process; done may be called later.
	request(process int, l *load, limit slatewind.WorkspaceLimit, done func(allowed bool))
	// restarted is called when a new process has started in place of another one.
	restarted(process int)
	// moved is called when a process has learned the current set of hosts.
	moved(process int, hosts []bool)
}

// event is a callback at a point in virtual time.
type event struct {
	at time.Duration
	// order keeps events of the same time in the order in which they were scheduled.
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is the state of a run.
type model struct {
	scenario
	now    time.Duration
	queue  events
	order  int
	random *rand.Rand

	// dead, frozen and cut hold the faults per process; present tells which hosts exist.
	dead, frozen, cut, present []bool
	// held are the postponed events of frozen processes.
	held [][]func()

	messages  int
	decided   int
	delay     time.Duration
	admitted  map[string][]time.Duration
	reference map[string]*ratelimit.Bucket
	inLimit   map[string]int
}

// epoch is the start of the virtual time passed to the code under test.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock returns the virtual time passed to the code under test.
func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.queue, event{m.now + d, m.order, run})
}

// send delivers a message from one process to another, unless it is lost.
func (m *model) send(from, to int, arrive func()) {
	m.messages++
	if m.cut[from] != m.cut[to] || m.dead[to] || m.random.Float64() < m.loss {
		return
	}
	delay := time.Duration((0.5 + m.random.Float64()) * float64(hop))
	m.after(delay, func() { m.at(to, arrive) })
}

// at runs a callback at a process: never if it is dead, later if it is frozen.
func (m *model) at(process int, run func()) {
	switch {
	case m.dead[process]:
	case m.frozen[process]:
		m.held[process] = append(m.held[process], run)
	default:
		run()
	}
}

// outcome is the result of a run.
type outcome struct {
	// over is the highest number of requests allowed in a window, relative to what operators
	// accept.
	over  float64
	worst string
	// refused is the share of requests inside the limits that was refused.
	refused float64
	// delay is the mean added latency per request, messages the mean number of messages per
	// request.
	delay    time.Duration
	messages float64
	requests int
}

func (o outcome) String() string {
	return fmt.Sprintf("worst window %.2f of what is allowed (%s), %.2f %% refused inside the limit, %s added, %.2f messages a request, %d requests",
		o.over, o.worst, 100*o.refused, o.delay.Round(10*time.Microsecond), o.messages, o.requests)
}

// run executes the scenario.
func (p scenario) run() outcome {
	m := &model{
		scenario: p, random: rand.New(rand.NewPCG(p.seed, 1)),
		dead: make([]bool, p.processes), frozen: make([]bool, p.processes), cut: make([]bool, p.processes), present: make([]bool, p.processes),
		held:     make([][]func(), p.processes),
		admitted: map[string][]time.Duration{}, reference: map[string]*ratelimit.Bucket{}, inLimit: map[string]int{},
	}
	for i := range m.present {
		m.present[i] = true
	}
	w := p.strategy(m)
	for i := range m.present {
		w.moved(i, m.hosts())
	}
	for _, f := range p.faults {
		m.after(f.at, func() { m.begin(w, f) })
	}
	for i := range p.loads {
		l := &p.loads[i]
		m.reference[l.name] = ratelimit.NewBucket(m.clock(), l.rate, l.burst, 1)
		m.next(w, l)
	}
	for len(m.queue) > 0 && m.now < p.lasts {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	return m.outcome()
}

func (m *model) hosts() []bool { return append([]bool(nil), m.present...) }

// limitOf returns the current limit of a workspace.
func (m *model) limitOf(l *load) slatewind.WorkspaceLimit {
	if l.loweredAt > 0 && m.now >= l.loweredAt {
		return slatewind.WorkspaceLimit{Workspace: l.name, Rate: l.lowered, Burst: l.lowered, Version: 2}
	}
	return slatewind.WorkspaceLimit{Workspace: l.name, Rate: l.rate, Burst: l.burst, Version: 1}
}

// next schedules the next request of a workspace.
func (m *model) next(w strategy, l *load) {
	rate := l.sends(m.now)
	if rate <= 0 {
		m.after(100*time.Millisecond, func() { m.next(w, l) })
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		m.arrive(w, l)
		m.next(w, l)
	})
}

// arrive delivers a request to a process. Callers pick another process if the first does not run.
func (m *model) arrive(w strategy, l *load) {
	process := -1
	for range 20 {
		process = m.random.IntN(m.processes)
		if l.at != nil {
			process = l.at(m.random, m.now)
		}
		if m.present[process] && !m.dead[process] && !m.frozen[process] {
			break
		}
		process = -1
	}
	if process < 0 {
		return
	}
	limit := m.limitOf(l)
	reference := m.reference[l.name]
	if limit.Version > 1 {
		reference.Set(m.clock(), limit.Rate, limit.Burst)
	}
	if reference.Take(m.clock(), 1) {
		m.inLimit[l.name]++
	}
	began := m.now
	w.request(process, l, limit, func(allowed bool) {
		m.decided++
		m.delay += m.now - began
		if allowed {
			m.admitted[l.name] = append(m.admitted[l.name], m.now)
		}
	})
}

// begin starts a fault and schedules its end.
func (m *model) begin(w strategy, f fault) {
	affected := m.affected(f)
	for _, i := range affected {
		switch f.what {
		case faultKill:
			m.dead[i] = true
			m.held[i] = nil
		case faultFreeze:
			m.frozen[i] = true
		case faultCut:
			m.cut[i] = true
		case faultLeave:
			m.dead[i], m.present[i] = true, false
		}
	}
	if f.what == faultLeave {
		m.announceHosts(w)
		return
	}
	m.after(f.lasts, func() { m.end(w, f, affected) })
}

func (m *model) affected(f fault) (affected []int) {
	for i := range m.processes {
		first := false
		if f.homeOf != "" {
			homes := ratelimit.NewHomes()
			for j, there := range m.present {
				if there {
					homes.Put(hostOf(j), hostOf(j))
				}
			}
			host, _ := homes.Of(f.homeOf)
			first = host == hostOf(i)
		}
		if first || m.random.Float64() < f.share {
			affected = append(affected, i)
		}
	}
	return affected
}

func (m *model) end(w strategy, f fault, affected []int) {
	for _, i := range affected {
		switch f.what {
		case faultKill:
			m.dead[i] = false
			w.restarted(i)
			w.moved(i, m.hosts())
		case faultFreeze:
			m.frozen[i] = false
			held := m.held[i]
			m.held[i] = nil
			for _, run := range held {
				run()
			}
		case faultCut:
			m.cut[i] = false
		}
	}
}

// announceHosts has each process learn the set of hosts within viewAge.
func (m *model) announceHosts(w strategy) {
	for i := range m.processes {
		late := time.Duration(m.random.Float64() * float64(viewAge))
		// An update never reverts to an older state: processes learn the hosts as of the time of
		// delivery.
		m.after(late, func() { m.at(i, func() { w.moved(i, m.hosts()) }) })
	}
}

// Excess over a limit that operators accept in a window.
const (
	overage = 0.25
	slack   = 20
)

// outcome summarises the run.
func (m *model) outcome() outcome {
	o := outcome{requests: m.decided, messages: float64(m.messages) / float64(max(m.decided, 1)), delay: m.delay / time.Duration(max(m.decided, 1))}
	missed, inside := 0, 0
	for i := range m.loads {
		l := &m.loads[i]
		times := m.admitted[l.name]
		if over := l.worstWindow(times); over > o.over {
			o.over, o.worst = over, l.name
		}
		inside += m.inLimit[l.name]
		missed += max(m.inLimit[l.name]-len(times), 0)
	}
	o.refused = float64(missed) / float64(max(inside, 1))
	return o
}

// worstWindow returns the highest number of requests allowed in a window, relative to what
// operators accept. A lowered limit applies one window after the change.
func (l *load) worstWindow(times []time.Duration) (worst float64) {
	first := 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		rate, burst := l.rate, l.burst
		if l.loweredAt > 0 && times[first] > l.loweredAt+window {
			rate, burst = l.lowered, l.lowered
		}
		allowed := (rate*window.Seconds()+burst)*(1+overage) + slack
		worst = math.Max(worst, float64(i-first+1)/allowed)
	}
	return worst
}

func hostOf(process int) string { return fmt.Sprintf("10.0.%d.%d", process/256, process%256) }
