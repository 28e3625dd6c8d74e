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

// The model plays a fleet in virtual time: processes that get requests of workspaces, the
// messages between them, and what befalls both. Spender, Ledger and Homes are the real ones;
// the model takes the place of Limiter, which only adds locks and calls.

// Times of the model.
const (
	// hop is the time of a message one way, in the mean.
	hop = time.Millisecond
	// askTimeout is how long an asker waits, as Limiter does.
	askTimeout = 80 * time.Millisecond
	// silentFor is how long an asker leaves a silent process alone, as Limiter does.
	silentFor = 500 * time.Millisecond
	// refusedFor is the same for one that refused the connection.
	refusedFor = 50 * time.Millisecond
	// viewAge bounds how late a process hears that hosts changed.
	viewAge = 1775 * time.Millisecond
	// window is that of the operators' bound.
	window = 5 * time.Second
)

// fault is what befalls processes in a play.
type fault struct {
	at, lasts time.Duration
	// share of the processes, or those that come first for a workspace.
	share  float64
	homeOf string
	what   trouble
}

// trouble names a kind of fault.
type trouble string

const (
	// troubleKill ends processes; others start in their places when it is over.
	troubleKill trouble = "kill"
	// troubleFreeze stops processes; they go on when it is over.
	troubleFreeze trouble = "freeze"
	// troubleCut keeps messages from crossing between these processes and all others.
	troubleCut trouble = "cut"
	// troubleLeave takes hosts away for good; others hear of it within viewAge.
	troubleLeave trouble = "leave"
)

// load is one workspace's.
type load struct {
	name        string
	rate, burst float64
	// sends is how many requests a second come, at a time.
	sends func(at time.Duration) float64
	// at returns the process that a request comes to; nil draws one.
	at func(r *rand.Rand, at time.Duration) int
	// lowered is the rate and burst from loweredAt on, if that is not zero.
	lowered   float64
	loweredAt time.Duration
}

// play is one run of the model.
type play struct {
	processes int
	loads     []load
	faults    []fault
	lasts     time.Duration
	loss      float64
	seed      uint64
	// way makes the way of limiting that is played.
	way func(m *model) way
}

// way is one way to keep limits over all processes.
type way interface {
	// request decides about a request at a process; done may be called later.
	request(process int, l *load, limit slatewind.WorkspaceLimit, done func(allowed bool))
	// restarted says that another process started in the place of one.
	restarted(process int)
	// moved says that a process has heard which hosts there are.
	moved(process int, hosts []bool)
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	// order keeps events of one time in the order in which they were made.
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

// model is the state of a play.
type model struct {
	play
	now    time.Duration
	queue  events
	order  int
	random *rand.Rand

	// dead, frozen and cut say what holds for each process now; present which hosts there are.
	dead, frozen, cut, present []bool
	// held are events of frozen processes.
	held [][]func()

	messages  int
	decided   int
	delay     time.Duration
	admitted  map[string][]time.Duration
	reference map[string]*ratelimit.Bucket
	inLimit   map[string]int
}

// epoch is the model's beginning as the decisions see it.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// clock returns the time as decisions see it.
func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.queue, event{m.now + d, m.order, run})
}

// send carries a message from one process to another, if it arrives.
func (m *model) send(from, to int, arrive func()) {
	m.messages++
	if m.cut[from] != m.cut[to] || m.dead[to] || m.random.Float64() < m.loss {
		return
	}
	delay := time.Duration((0.5 + m.random.Float64()) * float64(hop))
	m.after(delay, func() { m.at(to, arrive) })
}

// at runs something at a process: not while it is dead, and later while it is frozen.
func (m *model) at(process int, run func()) {
	switch {
	case m.dead[process]:
	case m.frozen[process]:
		m.held[process] = append(m.held[process], run)
	default:
		run()
	}
}

// outcome is what a play came to.
type outcome struct {
	// over is the most that was admitted in a window, as a share of what operators allow.
	over  float64
	worst string
	// refused is the share of what is inside the limits that was not admitted.
	refused float64
	// delay is added to a request in the mean, messages are sent for it.
	delay    time.Duration
	messages float64
	requests int
}

func (o outcome) String() string {
	return fmt.Sprintf("worst window %.2f of what is allowed (%s), %.2f %% refused inside the limit, %s added, %.2f messages a request, %d requests",
		o.over, o.worst, 100*o.refused, o.delay.Round(10*time.Microsecond), o.messages, o.requests)
}

// run plays.
func (p play) run() outcome {
	m := &model{
		play: p, random: rand.New(rand.NewPCG(p.seed, 1)),
		dead: make([]bool, p.processes), frozen: make([]bool, p.processes), cut: make([]bool, p.processes), present: make([]bool, p.processes),
		held:     make([][]func(), p.processes),
		admitted: map[string][]time.Duration{}, reference: map[string]*ratelimit.Bucket{}, inLimit: map[string]int{},
	}
	for i := range m.present {
		m.present[i] = true
	}
	w := p.way(m)
	for i := range m.present {
		w.moved(i, m.hosts())
	}
	for _, f := range p.faults {
		m.after(f.at, func() { m.strike(w, f) })
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

// limitOf returns a workspace's limit now.
func (m *model) limitOf(l *load) slatewind.WorkspaceLimit {
	if l.loweredAt > 0 && m.now >= l.loweredAt {
		return slatewind.WorkspaceLimit{Workspace: l.name, Rate: l.lowered, Burst: l.lowered, Version: 2}
	}
	return slatewind.WorkspaceLimit{Workspace: l.name, Rate: l.rate, Burst: l.burst, Version: 1}
}

// next draws the next request of a workspace.
func (m *model) next(w way, l *load) {
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

// arrive is a request that comes to a process. Callers go elsewhere where none runs.
func (m *model) arrive(w way, l *load) {
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

// strike begins a fault, and ends it in time.
func (m *model) strike(w way, f fault) {
	struck := m.struck(f)
	for _, i := range struck {
		switch f.what {
		case troubleKill:
			m.dead[i] = true
			m.held[i] = nil
		case troubleFreeze:
			m.frozen[i] = true
		case troubleCut:
			m.cut[i] = true
		case troubleLeave:
			m.dead[i], m.present[i] = true, false
		}
	}
	if f.what == troubleLeave {
		m.tellHosts(w)
		return
	}
	m.after(f.lasts, func() { m.mend(w, f, struck) })
}

func (m *model) struck(f fault) (struck []int) {
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
			struck = append(struck, i)
		}
	}
	return struck
}

func (m *model) mend(w way, f fault, struck []int) {
	for _, i := range struck {
		switch f.what {
		case troubleKill:
			m.dead[i] = false
			w.restarted(i)
			w.moved(i, m.hosts())
		case troubleFreeze:
			m.frozen[i] = false
			held := m.held[i]
			m.held[i] = nil
			for _, run := range held {
				run()
			}
		case troubleCut:
			m.cut[i] = false
		}
	}
}

// tellHosts has each process hear within viewAge which hosts there are.
func (m *model) tellHosts(w way) {
	for i := range m.processes {
		late := time.Duration(m.random.Float64() * float64(viewAge))
		// News never goes back: what is heard is what holds now.
		m.after(late, func() { m.at(i, func() { w.moved(i, m.hosts()) }) })
	}
}

// Allowance of operators beyond a limit, over a window.
const (
	overage = 0.25
	slack   = 20
)

// outcome sums up a play.
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

// worstWindow returns the most that was admitted in a window as a share of what is allowed. A
// lower limit counts from a window after it came.
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
