package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/schedule"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/policy"
	"slatewind.example/slatewind/sidecar"
)

const (
	// tickInterval and gossipInterval are the daemon's.
	tickInterval   = 100 * time.Millisecond
	gossipInterval = time.Second
	gossipFanOut   = 2
	relayFanOut    = 4
	// cancelTime is kept for asking whether an attempt was started.
	cancelTime = 100 * time.Millisecond
	// errorTime is how fast a failing server answers.
	errorTime = 2 * time.Millisecond
	// customers is the number of customers besides the one that launches.
	customers = 20
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model is one run of one scenario.
type model struct {
	profile  Profile
	scenario Scenario
	random   *rand.Rand
	queue    schedule.Queue
	servers  []*modelServer
	nodes    []*node
	serial   int
	result   *Result
	end      time.Duration
}

// node is one ingress.
type node struct {
	id       int
	strategy Strategy
	detected map[int]bool
	// sent counts attempts to each server before the fault: how much of the
	// server's work comes from this ingress.
	sent []int
}

// modelServer is a server with its sidecar.
type modelServer struct {
	id       int
	slots    *admission.Server
	outcomes *outlier.Outcomes
	attempts map[string]*attempt
	// limit bounds the replies that carry outcomes.
	limit *rate.Limiter
	// observed counts outcomes since the beginning of the fault.
	observed int
}

// request is one caller's request.
type request struct {
	node     *node
	born     time.Duration
	priority slatewind.Priority
	customer string
	race     *policy.Race
	pending  []*attempt
	done     bool
	retries  int
}

// attempt is one try at one server.
type attempt struct {
	id      string
	request *request
	server  *modelServer
	ended   func()
	item    admission.Item
	started bool
	over    bool
}

// run plays one scenario under one strategy and seed.
func run(s Scenario, p Profile, name StrategyName, seed uint64) *Result {
	m := &model{
		profile: p, scenario: s, random: rand.New(rand.NewPCG(seed, 7)),
		result: newResult(), end: warmUp + runTime,
	}
	for i := range p.Servers {
		m.servers = append(m.servers, &modelServer{
			id: i, slots: admission.NewServer(p.Slots), outcomes: outlier.NewOutcomes(), attempts: map[string]*attempt{},
			limit: rate.NewLimiter(sidecar.OutcomeReplies, sidecar.OutcomeBurst),
		})
	}
	for i := range p.Ingresses {
		m.nodes = append(m.nodes, &node{id: i, strategy: newStrategy(name, p, i, seed, start), detected: map[int]bool{}, sent: make([]int, p.Servers)})
	}
	m.queue.After(m.interarrival(p.Rate), m.arriveInteractive)
	if s.Background > 0 {
		m.queue.At(warmUp, m.arriveBackground)
	}
	m.queue.After(tickInterval, m.tick)
	m.queue.After(gossipInterval, m.gossip)
	m.queue.Run(m.end, func() {})
	m.result.finish(m)
	return m.result
}

func (m *model) now() time.Time { return start.Add(m.queue.Now()) }

// faulty reports whether the fault has begun.
func (m *model) faulty() bool { return m.queue.Now() >= warmUp }

func (m *model) interarrival(rate float64) time.Duration {
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

func (m *model) arriveInteractive() {
	rate := m.profile.Rate
	if m.faulty() && m.scenario.Load > 0 {
		rate *= m.scenario.Load
	}
	m.arrive(slatewind.PriorityInteractive, 0)
	m.queue.After(m.interarrival(rate), m.arriveInteractive)
}

func (m *model) arriveBackground() {
	m.arrive(slatewind.PriorityBackground, 0)
	m.queue.After(m.interarrival(m.profile.Rate*m.scenario.Background), m.arriveBackground)
}

func (m *model) arrive(priority slatewind.Priority, retries int) {
	customer := fmt.Sprint("customer-", m.random.IntN(customers))
	if m.faulty() && m.random.Float64() < m.scenario.Launch {
		customer = "launch"
	}
	r := &request{
		node: m.nodes[m.random.IntN(len(m.nodes))], born: m.queue.Now(),
		priority: priority, customer: customer, retries: retries,
	}
	giveUp := m.profile.Timeout - cancelTime
	r.race = policy.NewRace(m.now().Add(giveUp))
	r.node.strategy.First()
	m.result.offered(m, r)
	if !m.launch(r) {
		m.fail(r)
		return
	}
	m.queue.After(giveUp, func() { m.giveUp(r) })
	if after := r.node.strategy.HedgeAfter(); after > 0 {
		m.queue.After(after, func() {
			if !r.done {
				m.extra(r)
			}
		})
	}
}

// launch sends an attempt to another server.
func (m *model) launch(r *request) bool {
	i := r.node.strategy.Pick(m.now(), r.race.Tried)
	if i == policy.None {
		return false
	}
	m.serial++
	a := &attempt{id: fmt.Sprint(m.serial), request: r, server: m.servers[i], ended: r.node.strategy.Started(m.now(), i)}
	r.race.Launched(i)
	r.pending = append(r.pending, a)
	m.result.attempts++
	if !m.faulty() {
		r.node.sent[i]++
	}
	m.queue.After(m.delay(r.node.id, i), func() { m.reach(a) })
	return true
}

func (m *model) delay(node, server int) time.Duration {
	if dataCentreOf(m.profile, node) == dataCentreOf(m.profile, server) {
		return sameDC
	}
	return oneWay
}

func (m *model) extra(r *request) bool {
	return r.race.MayLaunch(m.now()) && r.node.strategy.Extra() && m.launch(r)
}

// reach is the arrival of an attempt at the sidecar.
func (m *model) reach(a *attempt) {
	if a.over {
		return
	}
	deadline := start.Add(a.request.born + m.profile.Timeout)
	a.item = admission.Item{ID: a.id, Priority: a.request.priority, Customer: a.request.customer, Deadline: deadline}
	a.server.attempts[a.id] = a
	m.carryOut(a.server, a.server.slots.Offer(m.now(), a.item))
}

func (m *model) carryOut(s *modelServer, decisions []admission.Decision) {
	for _, d := range decisions {
		a := s.attempts[d.Item.ID]
		switch d.Action {
		case admission.ActionStart:
			m.serve(a)
		case admission.ActionRefuse:
			delete(s.attempts, a.id)
			m.reply(a, slatewind.OutcomeNotRun, false)
		case admission.ActionQueue:
		}
	}
}

// serve has the server run an attempt, under its fault of the moment.
func (m *model) serve(a *attempt) {
	a.started = true
	s := a.server
	s.outcomes.Start(m.now(), a.id, 0)
	took := float64(m.profile.Service) * math.Exp(m.profile.Spread*m.random.NormFloat64())
	failed := false
	for _, f := range m.scenario.Faults {
		if !m.active(f, s.id) {
			continue
		}
		switch {
		case f.Hang:
			return
		case m.random.Float64() < f.Errors:
			failed = true
			took = float64(errorTime)
		case f.Slow > 0:
			took *= m.slowness(f)
		}
	}
	m.queue.After(time.Duration(took), func() { m.finish(a, failed) })
}

// active reports whether a fault is on a server now.
func (m *model) active(f Fault, server int) bool {
	if !m.faulty() || (!f.Shared && f.Server != server) {
		return false
	}
	since := m.queue.Now() - warmUp
	return f.Period == 0 || (since/f.Period)%2 == 0
}

// slowness is the factor of a slow fault; a cold server gets faster.
func (m *model) slowness(f Fault) float64 {
	since := m.queue.Now() - warmUp
	if f.Cold == 0 {
		return f.Slow
	}
	if since >= f.Cold {
		return 1
	}
	return 1 + (f.Slow-1)*(1-float64(since)/float64(f.Cold))
}

func (m *model) finish(a *attempt, failed bool) {
	if a.over && !a.started {
		return
	}
	if m.servers[a.server.id].attempts[a.id] == nil {
		return
	}
	result := slatewind.ResultOK
	if failed {
		result = slatewind.ResultError
	}
	m.leave(a, result)
	m.reply(a, slatewind.OutcomeAnswer, failed)
}

// leave takes an attempt out of its slot.
func (m *model) leave(a *attempt, result slatewind.Result) {
	s := a.server
	delete(s.attempts, a.id)
	took := s.outcomes.End(m.now(), a.id, result)
	if m.faulty() {
		s.observed++
	}
	m.carryOut(s, s.slots.Done(m.now(), a.item, took))
}

// reply brings a result to the ingress, unless the way back is cut.
func (m *model) reply(a *attempt, outcome slatewind.Outcome, failed bool) {
	if m.cut(a.request.node.id, a.server.id) {
		return
	}
	digest := m.replyDigest(a.server)
	m.queue.After(m.delay(a.request.node.id, a.server.id), func() {
		a.request.node.strategy.Heard(m.now(), digest, true)
		m.note(a.request.node)
		m.take(a, outcome, failed)
	})
}

func (m *model) cut(node, server int) bool {
	for _, f := range m.scenario.Faults {
		if m.active(f, server) && f.Cut > 0 && float64(node) < f.Cut*float64(len(m.nodes)) {
			return true
		}
	}
	return false
}

// replyDigest is what a reply tells; some leave the outcomes out.
func (m *model) replyDigest(s *modelServer) *slatewindv1.Digest {
	d := m.digest(s)
	if !s.limit.AllowN(m.now(), 1) {
		d.Outcomes = nil
	}
	return d
}

func (m *model) digest(s *modelServer) *slatewindv1.Digest {
	return &slatewindv1.Digest{
		Serial: uint64(m.queue.Now()), Server: serverName(s.id), Incarnation: 1<<24 | 1, InFlight: uint32(s.slots.InUse()), Queued: uint32(s.slots.Queued()),
		Slots: uint32(s.slots.Slots()), Sequence: s.outcomes.Sequence(), Outcomes: s.outcomes.Newest(nil),
	}
}

// take handles the result of an attempt at its ingress.
func (m *model) take(a *attempt, outcome slatewind.Outcome, failed bool) {
	r := a.request
	if a.over {
		return
	}
	m.close(a)
	if outcome != slatewind.OutcomeNotRun {
		r.node.strategy.Result(m.now(), a.server.id, !failed)
		m.note(r.node)
	}
	if r.done {
		return
	}
	switch step := r.race.Record(m.now(), outcome, failed); step {
	case policy.RaceWon:
		m.succeed(r)
	case policy.RaceRetry:
		if !m.extra(r) && r.race.NoExtra() == policy.RaceLost {
			m.fail(r)
		}
	case policy.RaceLost:
		m.fail(r)
	case policy.RaceWait:
	}
}

// close ends an attempt at its ingress.
func (m *model) close(a *attempt) {
	if !a.over {
		a.over = true
		a.ended()
	}
}

func (m *model) succeed(r *request) {
	m.cancelAll(r)
	m.result.answered(m, r)
}

func (m *model) fail(r *request) {
	m.cancelAll(r)
	if r.retries < m.scenario.Retries {
		m.arrive(r.priority, r.retries+1)
	}
}

func (m *model) giveUp(r *request) {
	if !r.done {
		m.fail(r)
	}
}

// cancelAll ends a request's other attempts; the question whether they were
// started brings the sidecar's digest, or its silence.
func (m *model) cancelAll(r *request) {
	r.done = true
	for _, a := range r.pending {
		if a.over {
			continue
		}
		m.close(a)
		delay := m.delay(r.node.id, a.server.id)
		m.queue.After(delay, func() { m.cancel(a) })
	}
	r.pending = nil
}

func (m *model) cancel(a *attempt) {
	s := a.server
	switch {
	case s.attempts[a.id] == nil:
	case s.slots.Remove(a.id):
		delete(s.attempts, a.id)
	case a.started:
		m.leave(a, slatewind.ResultCancelled)
	}
	node := a.request.node
	if m.cut(node.id, s.id) {
		m.queue.After(cancelTime, func() {
			node.strategy.Lost(m.now(), s.id)
			m.note(node)
		})
		return
	}
	digest := m.replyDigest(s)
	m.queue.After(m.delay(node.id, s.id), func() {
		node.strategy.Heard(m.now(), digest, true)
		node.strategy.Result(m.now(), s.id, false)
		m.note(node)
	})
}

func (m *model) tick() {
	for _, s := range m.servers {
		s.outcomes.Tick(m.now())
		m.carryOut(s, s.slots.Advance(m.now()))
	}
	for _, n := range m.nodes {
		n.strategy.Tick(m.now())
		m.note(n)
		if !n.strategy.FloorKept() {
			m.result.floorBroken++
		}
	}
	m.queue.After(tickInterval, m.tick)
}

// gossip brings each server's digest to a few ingresses.
func (m *model) gossip() {
	for _, s := range m.servers {
		for range gossipFanOut {
			n := m.nodes[m.random.IntN(len(m.nodes))]
			if !m.cut(n.id, s.id) {
				n.strategy.Heard(m.now(), m.digest(s), false)
				m.note(n)
			}
		}
	}
	m.queue.After(gossipInterval, m.gossip)
}

// askServers brings a node the digests that it wants to confirm a suspicion.
func (m *model) askServers(n *node, names []string) {
	round := time.Duration(0)
	for _, name := range names {
		s := m.servers[serverIndex(name)]
		if m.cut(n.id, s.id) {
			continue
		}
		delay := m.delay(n.id, s.id)
		round = max(round, 2*delay)
		m.queue.After(delay, func() {
			digest := m.digest(s)
			m.queue.After(delay, func() { n.strategy.Heard(m.now(), digest, false) })
		})
	}
	m.queue.After(round+sameDC, func() {
		n.strategy.Confirm(m.now())
		m.note(n)
	})
}

// relay passes the news of an ejected server on: its digest, which the others
// judge for themselves.
func (m *model) relay(n *node, name string) {
	s := m.servers[serverIndex(name)]
	digest := m.digest(s)
	for range relayFanOut {
		to := m.nodes[m.random.IntN(len(m.nodes))]
		m.queue.After(m.delay(n.id, to.id), func() {
			to.strategy.Heard(m.now(), digest, false)
			m.note(to)
		})
	}
}

func serverIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "s%d", &i)
	return i
}

// note counts what a node's strategy has ejected and asks what it wants to know.
func (m *model) note(n *node) {
	if questions := n.strategy.Questions(); len(questions) > 0 {
		m.askServers(n, questions)
	}
	for _, name := range n.strategy.Ejected() {
		m.result.ejected(m, n, serverIndex(name))
		m.relay(n, name)
	}
}

// sick reports whether a server truly has a fault of its own, at a node.
func (m *model) sick(node, server int) bool {
	if !m.faulty() {
		return false
	}
	for _, f := range m.scenario.Faults {
		if f.Shared || f.Server != server {
			continue
		}
		if f.Cut > 0 && float64(node) >= f.Cut*float64(len(m.nodes)) {
			continue
		}
		return true
	}
	return false
}
