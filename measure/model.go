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
	// tickInterval and gossipInterval are the same as in the daemon.
	tickInterval   = 100 * time.Millisecond
	gossipInterval = time.Second
	// gossipFanOut is the number of ingresses that get the digest of a server in each
	// interval, relayFanOut the number that get it after an ejection.
	gossipFanOut = 2
	relayFanOut  = 4
	// cancelReserve is the part of the timeout that is reserved for cancelling an
	// attempt, which also tells whether it was started.
	cancelReserve = 100 * time.Millisecond
	// errorServiceTime is the service time of requests that fail.
	errorServiceTime = 2 * time.Millisecond
	// otherCustomers is the number of customers besides the one of LaunchShare.
	otherCustomers = 20
)

// start is the wall-clock time at which every run begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model is the state of one run of one scenario.
type model struct {
	profile       Profile
	scenario      Scenario
	random        *rand.Rand
	queue         schedule.Queue
	servers       []*modelServer
	nodes         []*node
	attemptSerial int
	result        *Result
	end           time.Duration
}

// node is a simulated ingress.
type node struct {
	id       int
	strategy Strategy
	// detected holds the unhealthy servers that the node has ejected.
	detected map[int]bool
	// sent counts the attempts to each server before the fault, as the weight of the
	// detections by this ingress.
	sent []int
}

// modelServer is a server with its sidecar.
type modelServer struct {
	id       int
	slots    *admission.Server
	outcomes *outlier.Outcomes
	attempts map[string]*attempt
	// limit limits the rate of replies that carry outcomes.
	limit *rate.Limiter
	// observed counts outcomes since the fault began.
	observed int
}

// request is a request of a caller.
type request struct {
	node     *node
	arrived  time.Duration
	priority slatewind.Priority
	customer string
	race     *policy.Race
	pending  []*attempt
	done     bool
	// retries is the number of earlier requests that failed and were retried.
	retries int
}

// attempt is an attempt of a request at one server.
type attempt struct {
	id      string
	request *request
	server  *modelServer
	// onEnd records the end of the attempt in the strategy.
	onEnd func()
	item  admission.Item
	// started means that the server started the attempt, closed that the ingress no
	// longer waits for it.
	started bool
	closed  bool
}

// run simulates one scenario with one profile, strategy and seed.
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

// faultBegun reports whether warmUp is over.
func (m *model) faultBegun() bool { return m.queue.Now() >= warmUp }

func (m *model) interarrival(rate float64) time.Duration {
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

func (m *model) arriveInteractive() {
	rate := m.profile.Rate
	if m.faultBegun() && m.scenario.Load > 0 {
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
	customer := fmt.Sprint("customer-", m.random.IntN(otherCustomers))
	if m.faultBegun() && m.random.Float64() < m.scenario.LaunchShare {
		customer = "launch"
	}
	r := &request{
		node: m.nodes[m.random.IntN(len(m.nodes))], arrived: m.queue.Now(),
		priority: priority, customer: customer, retries: retries,
	}
	timeout := m.profile.Timeout - cancelReserve
	r.race = policy.NewRace(m.now().Add(timeout))
	r.node.strategy.RecordFirst()
	m.result.recordOffered(m, r)
	if !m.sendAttempt(r) {
		m.fail(r)
		return
	}
	m.queue.After(timeout, func() { m.timeOut(r) })
	if after := r.node.strategy.HedgeAfter(); after > 0 {
		m.queue.After(after, func() {
			if !r.done {
				m.sendExtra(r)
			}
		})
	}
}

// sendAttempt sends an attempt to a server that was not tried yet. It reports false
// if there is none.
func (m *model) sendAttempt(r *request) bool {
	i := r.node.strategy.Pick(m.now(), r.race.Tried)
	if i == policy.None {
		return false
	}
	m.attemptSerial++
	a := &attempt{id: fmt.Sprint(m.attemptSerial), request: r, server: m.servers[i], onEnd: r.node.strategy.Started(m.now(), i)}
	r.race.Launched(i)
	r.pending = append(r.pending, a)
	m.result.attempts++
	if !m.faultBegun() {
		r.node.sent[i]++
	}
	m.queue.After(m.delay(r.node.id, i), func() { m.arriveAtSidecar(a) })
	return true
}

func (m *model) delay(node, server int) time.Duration {
	if dataCentreOf(m.profile, node) == dataCentreOf(m.profile, server) {
		return sameDCDelay
	}
	return crossDCDelay
}

func (m *model) sendExtra(r *request) bool {
	return r.race.MayLaunch(m.now()) && r.node.strategy.TakeExtra() && m.sendAttempt(r)
}

// arriveAtSidecar handles the arrival of an attempt at the sidecar.
func (m *model) arriveAtSidecar(a *attempt) {
	if a.closed {
		return
	}
	deadline := start.Add(a.request.arrived + m.profile.Timeout)
	a.item = admission.Item{ID: a.id, Priority: a.request.priority, Customer: a.request.customer, Deadline: deadline}
	a.server.attempts[a.id] = a
	m.applyDecisions(a.server, a.server.slots.Offer(m.now(), a.item))
}

func (m *model) applyDecisions(s *modelServer, decisions []admission.Decision) {
	for _, d := range decisions {
		a := s.attempts[d.Item.ID]
		switch d.Action {
		case admission.ActionStart:
			m.serve(a)
		case admission.ActionRefuse:
			delete(s.attempts, a.id)
			m.sendReply(a, slatewind.OutcomeNotRun, false)
		case admission.ActionQueue:
		}
	}
}

// serve starts an attempt at the server, with the faults that are active now.
func (m *model) serve(a *attempt) {
	a.started = true
	s := a.server
	s.outcomes.Start(m.now(), a.id, 0)
	took := float64(m.profile.ServiceTime) * math.Exp(m.profile.Spread*m.random.NormFloat64())
	failed := false
	for _, f := range m.scenario.Faults {
		if !m.faultActive(f, s.id) {
			continue
		}
		switch {
		case f.Hang:
			return
		case m.random.Float64() < f.Errors:
			failed = true
			took = float64(errorServiceTime)
		case f.Slow > 0:
			took *= m.slowFactor(f)
		}
	}
	m.queue.After(time.Duration(took), func() { m.finish(a, failed) })
}

// faultActive reports whether a fault affects a server now.
func (m *model) faultActive(f Fault, server int) bool {
	if !m.faultBegun() || (!f.Shared && f.Server != server) {
		return false
	}
	since := m.queue.Now() - warmUp
	return f.Period == 0 || (since/f.Period)%2 == 0
}

// slowFactor returns the factor of service times under a fault. It falls to 1
// linearly over the time Cold, if that is set.
func (m *model) slowFactor(f Fault) float64 {
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
	if a.closed && !a.started {
		return
	}
	if m.servers[a.server.id].attempts[a.id] == nil {
		return
	}
	result := slatewind.ResultOK
	if failed {
		result = slatewind.ResultError
	}
	m.releaseSlot(a, result)
	m.sendReply(a, slatewind.OutcomeAnswer, failed)
}

// releaseSlot ends an attempt at its server and frees its slot.
func (m *model) releaseSlot(a *attempt, result slatewind.Result) {
	s := a.server
	delete(s.attempts, a.id)
	took := s.outcomes.End(m.now(), a.id, result)
	if m.faultBegun() {
		s.observed++
	}
	m.applyDecisions(s, s.slots.Done(m.now(), a.item, took))
}

// sendReply sends the result of an attempt to its ingress, unless a fault cuts the
// way back.
func (m *model) sendReply(a *attempt, outcome slatewind.Outcome, failed bool) {
	if m.cut(a.request.node.id, a.server.id) {
		return
	}
	digest := m.replyDigest(a.server)
	m.queue.After(m.delay(a.request.node.id, a.server.id), func() {
		a.request.node.strategy.ApplyDigest(m.now(), digest, true)
		m.processStrategy(a.request.node)
		m.handleResult(a, outcome, failed)
	})
}

func (m *model) cut(node, server int) bool {
	for _, f := range m.scenario.Faults {
		if m.faultActive(f, server) && f.Cut > 0 && float64(node) < f.Cut*float64(len(m.nodes)) {
			return true
		}
	}
	return false
}

// replyDigest returns the digest for a reply. It has no outcomes if the rate limit of
// the server is exceeded.
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

// handleResult handles the result of an attempt at its ingress.
func (m *model) handleResult(a *attempt, outcome slatewind.Outcome, failed bool) {
	r := a.request
	if a.closed {
		return
	}
	m.closeAttempt(a)
	if outcome != slatewind.OutcomeNotRun {
		r.node.strategy.RecordResult(m.now(), a.server.id, !failed)
		m.processStrategy(r.node)
	}
	if r.done {
		return
	}
	switch step := r.race.Record(m.now(), outcome, failed); step {
	case policy.RaceWon:
		m.succeed(r)
	case policy.RaceRetry:
		if !m.sendExtra(r) && r.race.NoExtra() == policy.RaceLost {
			m.fail(r)
		}
	case policy.RaceLost:
		m.fail(r)
	case policy.RaceWait:
	}
}

// closeAttempt ends an attempt at its ingress, which ignores its result from then on.
func (m *model) closeAttempt(a *attempt) {
	if !a.closed {
		a.closed = true
		a.onEnd()
	}
}

func (m *model) succeed(r *request) {
	m.cancelPending(r)
	m.result.recordAnswer(m, r)
}

func (m *model) fail(r *request) {
	m.cancelPending(r)
	if r.retries < m.scenario.Retries {
		m.arrive(r.priority, r.retries+1)
	}
}

func (m *model) timeOut(r *request) {
	if !r.done {
		m.fail(r)
	}
}

// cancelPending cancels the open attempts of a request. The reply to each
// cancellation carries the digest of the sidecar; a missing one counts as lost.
func (m *model) cancelPending(r *request) {
	r.done = true
	for _, a := range r.pending {
		if a.closed {
			continue
		}
		m.closeAttempt(a)
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
		m.releaseSlot(a, slatewind.ResultCancelled)
	}
	node := a.request.node
	if m.cut(node.id, s.id) {
		m.queue.After(cancelReserve, func() {
			node.strategy.ReplyLost(m.now(), s.id)
			m.processStrategy(node)
		})
		return
	}
	digest := m.replyDigest(s)
	m.queue.After(m.delay(node.id, s.id), func() {
		node.strategy.ApplyDigest(m.now(), digest, true)
		node.strategy.RecordResult(m.now(), s.id, false)
		m.processStrategy(node)
	})
}

func (m *model) tick() {
	for _, s := range m.servers {
		s.outcomes.Tick(m.now())
		m.applyDecisions(s, s.slots.Advance(m.now()))
	}
	for _, n := range m.nodes {
		n.strategy.Tick(m.now())
		m.processStrategy(n)
		if !n.strategy.FloorKept() {
			m.result.floorViolations++
		}
	}
	m.queue.After(tickInterval, m.tick)
}

// gossip sends the digest of each server to gossipFanOut random ingresses.
func (m *model) gossip() {
	for _, s := range m.servers {
		for range gossipFanOut {
			n := m.nodes[m.random.IntN(len(m.nodes))]
			if !m.cut(n.id, s.id) {
				n.strategy.ApplyDigest(m.now(), m.digest(s), false)
				m.processStrategy(n)
			}
		}
	}
	m.queue.After(gossipInterval, m.gossip)
}

// refreshDigests fetches the digests that a node needs to confirm a suspicion, and
// then has its strategy confirm it.
func (m *model) refreshDigests(n *node, names []string) {
	roundTrip := time.Duration(0)
	for _, name := range names {
		s := m.servers[serverIndex(name)]
		if m.cut(n.id, s.id) {
			continue
		}
		delay := m.delay(n.id, s.id)
		roundTrip = max(roundTrip, 2*delay)
		m.queue.After(delay, func() {
			digest := m.digest(s)
			m.queue.After(delay, func() { n.strategy.ApplyDigest(m.now(), digest, false) })
		})
	}
	m.queue.After(roundTrip+sameDCDelay, func() {
		n.strategy.Confirm(m.now())
		m.processStrategy(n)
	})
}

// relayEjection sends the digest of an ejected server to other ingresses, which decide
// for themselves whether to eject it.
func (m *model) relayEjection(n *node, name string) {
	s := m.servers[serverIndex(name)]
	digest := m.digest(s)
	for range relayFanOut {
		to := m.nodes[m.random.IntN(len(m.nodes))]
		m.queue.After(m.delay(n.id, to.id), func() {
			to.strategy.ApplyDigest(m.now(), digest, false)
			m.processStrategy(to)
		})
	}
}

func serverIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "s%d", &i)
	return i
}

// processStrategy fetches the digests that the strategy of a node requests, and
// records and relays its ejections.
func (m *model) processStrategy(n *node) {
	if requested := n.strategy.TakeRefreshRequests(); len(requested) > 0 {
		m.refreshDigests(n, requested)
	}
	for _, name := range n.strategy.TakeEjected() {
		m.result.recordEjection(m, n, serverIndex(name))
		m.relayEjection(n, name)
	}
}

// unhealthy reports whether a server has a fault of its own that affects a node.
func (m *model) unhealthy(node, server int) bool {
	if !m.faultBegun() {
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
