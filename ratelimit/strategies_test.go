package ratelimit_test

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/ratelimit"
)

// tokens is the strategy of the package: each request needs a token from the home of its workspace.
type tokens struct {
	m         *model
	processes []*tokenProcess
	without   safeguard
}

// safeguard names a safeguard that a scenario leaves out.
type safeguard string

// Safeguards.
const (
	withAll safeguard = ""
	// withoutInitialShare: homes start with a full bucket.
	withoutInitialShare safeguard = "a home starts with a share of the burst"
	// withoutStandInShare: the process that ranks second always grants the full limit.
	withoutStandInShare safeguard = "a stand-in grants a share"
	// withoutSuccessorReset: successors keep the tokens that accrued while nobody asked them.
	withoutSuccessorReset safeguard = "a successor starts with one token"
	// withoutIsolatedShare: all requests are allowed if no process replies.
	withoutIsolatedShare safeguard = "an isolated process spends a share of its rate"
)

// tokensWithout returns the tokens strategy without a safeguard.
func tokensWithout(out safeguard) func(*model) strategy {
	return func(m *model) strategy {
		t := newTokens(m).(*tokens)
		t.without = out
		return t
	}
}

// hostView holds the hosts that a process knows.
type hostView struct {
	homes *ratelimit.Homes
	known []bool
}

func newHostView(processes int) hostView {
	return hostView{homes: ratelimit.NewHomes(), known: make([]bool, processes)}
}

// update applies the current set of hosts.
func (v hostView) update(hosts []bool) {
	for i, there := range hosts {
		switch {
		case there && !v.known[i]:
			v.homes.Put(hostOf(i), hostOf(i))
		case !there && v.known[i]:
			v.homes.Remove(hostOf(i))
		}
		v.known[i] = there
	}
}

type tokenProcess struct {
	hostView
	allocator *ratelimit.Allocator
	consumers map[string]*ratelimit.Consumer
	silent    map[int]time.Duration
	proved    map[int]bool
}

func newTokens(m *model) strategy {
	t := &tokens{m: m, processes: make([]*tokenProcess, m.processes)}
	for i := range t.processes {
		t.restarted(i)
	}
	return t
}

func (t *tokens) restarted(process int) {
	t.processes[process] = &tokenProcess{
		hostView: newHostView(t.m.processes), allocator: ratelimit.NewAllocator(t.m.clock()),
		consumers: map[string]*ratelimit.Consumer{}, silent: map[int]time.Duration{}, proved: map[int]bool{},
	}
}

func (t *tokens) moved(process int, hosts []bool) {
	p := t.processes[process]
	p.update(hosts)
	now := t.m.clock()
	if t.without == withoutInitialShare {
		now = now.Add(-time.Hour)
	}
	p.allocator.HostsChanged(now, func(workspace string) ratelimit.Role { return p.role(hostOf(process), workspace) })
}

func (p *tokenProcess) role(host, workspace string) ratelimit.Role {
	switch first, second := p.homes.Of(workspace); host {
	case first:
		return ratelimit.RoleHome
	case second:
		return ratelimit.RoleStandIn
	}
	return ""
}

// processAt returns the index of the process at a host, or -1.
func processAt(host string) int {
	var a, b int
	if n, _ := sscanHost(host, &a, &b); n != 2 {
		return -1
	}
	return a*256 + b
}

func (t *tokens) request(process int, l *load, limit slatewind.WorkspaceLimit, done func(bool)) {
	p := t.processes[process]
	s := p.consumers[l.name]
	if s == nil {
		s = &ratelimit.Consumer{}
		p.consumers[l.name] = s
	}
	switch s.Begin(t.m.clock(), limit) {
	case ratelimit.StepAllow:
		done(true)
		return
	case ratelimit.StepRefuse:
		done(false)
		return
	}
	first, second := p.homes.Of(l.name)
	q := ratelimit.TokenRequest{Limit: limit, Tokens: s.Want(t.m.clock()), Role: ratelimit.RoleHome}
	t.ask(process, processAt(first), q, func(answer ratelimit.TokenReply, answered, proved bool) {
		if answered {
			done(s.Answered(t.m.clock(), answer) == ratelimit.StepAllow)
			return
		}
		q.Role, q.Tokens = ratelimit.RoleStandIn, 1
		if proved || t.without == withoutStandInShare {
			q.Role = ratelimit.RoleSuccessor
		}
		t.ask(process, processAt(second), q, func(answer ratelimit.TokenReply, answered, _ bool) {
			if answered {
				done(s.Answered(t.m.clock(), answer) == ratelimit.StepAllow)
				return
			}
			done(s.Unanswered(t.m.clock()) == ratelimit.StepAllow || t.without == withoutIsolatedShare)
		})
	})
}

// ask requests tokens from one process, as Limiter.askOne does.
func (t *tokens) ask(from, to int, q ratelimit.TokenRequest, done func(answer ratelimit.TokenReply, answered, proved bool)) {
	m, p := t.m, t.processes[from]
	switch {
	case to < 0:
		done(ratelimit.TokenReply{}, false, false)
		return
	case to == from:
		done(t.grant(to, q), true, false)
		return
	case m.now < p.silent[to]:
		done(ratelimit.TokenReply{}, false, p.proved[to])
		return
	}
	over := false
	end := func(answer ratelimit.TokenReply, answered, proved bool) {
		if over || m.dead[from] || t.processes[from] != p {
			return
		}
		over = true
		delete(p.silent, to)
		if !answered {
			p.silent[to], p.proved[to] = m.now+silentFor, proved
			if proved {
				p.silent[to] = m.now + refusedFor
			}
		}
		done(answer, answered, proved)
	}
	if m.dead[to] && m.present[to] && m.cut[from] == m.cut[to] {
		// The VM refuses the connection.
		m.after(2*hop, func() { m.at(from, func() { end(ratelimit.TokenReply{}, false, true) }) })
		return
	}
	m.send(from, to, func() {
		answer := t.grant(to, q)
		m.send(to, from, func() { end(answer, true, false) })
	})
	m.after(askTimeout, func() { m.at(from, func() { end(ratelimit.TokenReply{}, false, false) }) })
}

// grant replies as Limiter.Grant does.
func (t *tokens) grant(process int, q ratelimit.TokenRequest) ratelimit.TokenReply {
	p := t.processes[process]
	if t.without == withoutSuccessorReset && q.Role == ratelimit.RoleSuccessor {
		q.Role = ratelimit.RoleHome
		return p.allocator.Take(t.m.clock(), q)
	}
	if q.Role == ratelimit.RoleHome && p.role(hostOf(process), q.Limit.Workspace) != ratelimit.RoleHome {
		q.Role = ratelimit.RoleStandIn
	}
	return p.allocator.Take(t.m.clock(), q)
}

// counts is a strategy that allows requests and counts them at the home afterwards, which notifies
// the sender if the workspace is over its limit.
type counts struct {
	m         *model
	processes []*countProcess
}

type countProcess struct {
	hostView
	buckets map[string]*debt
	refused map[string]time.Duration
}

// debt is a bucket that may be overdrawn.
type debt struct {
	level float64
	at    time.Duration
}

func newCounts(m *model) strategy {
	c := &counts{m: m, processes: make([]*countProcess, m.processes)}
	for i := range c.processes {
		c.restarted(i)
	}
	return c
}

func (c *counts) restarted(process int) {
	c.processes[process] = &countProcess{
		hostView: newHostView(c.m.processes), buckets: map[string]*debt{}, refused: map[string]time.Duration{},
	}
}

func (c *counts) moved(process int, hosts []bool) { c.processes[process].update(hosts) }

func (c *counts) request(process int, l *load, limit slatewind.WorkspaceLimit, done func(bool)) {
	p := c.processes[process]
	if c.m.now < p.refused[l.name] {
		done(false)
		return
	}
	done(true)
	first, _ := p.homes.Of(l.name)
	home := processAt(first)
	if home < 0 {
		return
	}
	count := func() {
		over := c.count(home, limit)
		if over <= 0 {
			return
		}
		refuse := func() { p.refused[l.name] = c.m.now + over }
		if home == process {
			refuse()
			return
		}
		c.m.send(home, process, refuse)
	}
	if home == process {
		count()
		return
	}
	c.m.send(process, home, count)
}

// count takes a request off the bucket of the workspace and returns for how long it is overdrawn.
func (c *counts) count(home int, limit slatewind.WorkspaceLimit) time.Duration {
	p := c.processes[home]
	b := p.buckets[limit.Workspace]
	if b == nil {
		b = &debt{level: limit.Burst, at: c.m.now}
		p.buckets[limit.Workspace] = b
	}
	b.level = min(b.level+limit.Rate*(c.m.now-b.at).Seconds(), limit.Burst)
	b.at = c.m.now
	b.level = max(b.level-1, -limit.Burst)
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / limit.Rate * float64(time.Second))
}

// shares is a strategy that gives each process the share of the limit that equals its share of the
// demand, as published some time ago.
type shares struct {
	m     *model
	local []map[string]*shareBucket
	// demand is the demand of each workspace at each process in the current period; sum is the
	// published total over all processes, seen what each process last received of it.
	demand []map[string]float64
	sum    map[string]float64
	seen   []map[string]float64
	own    []map[string]float64
}

type shareBucket struct {
	bucket *ratelimit.Bucket
}

const (
	// publishInterval is the interval at which a process exchanges demands, publishDelay the age of
	// what it receives.
	publishInterval = 450 * time.Millisecond
	publishDelay    = 900 * time.Millisecond
	// reserve is the share of a limit that is split evenly, for processes without published demand.
	reserve = 0.2
)

func newShares(m *model) strategy {
	s := &shares{m: m, local: make([]map[string]*shareBucket, m.processes), demand: make([]map[string]float64, m.processes), sum: map[string]float64{}, seen: make([]map[string]float64, m.processes), own: make([]map[string]float64, m.processes)}
	for i := range s.local {
		s.restarted(i)
		m.after(time.Duration(m.random.Float64()*float64(publishInterval)), func() { s.exchange(i) })
	}
	return s
}

func (s *shares) restarted(process int) {
	s.local[process], s.demand[process] = map[string]*shareBucket{}, map[string]float64{}
	s.seen[process], s.own[process] = map[string]float64{}, map[string]float64{}
}

func (s *shares) moved(int, []bool) {}

// exchange publishes the demand of a process and receives the totals.
func (s *shares) exchange(process int) {
	s.m.after(publishInterval, func() { s.exchange(process) })
	if s.m.dead[process] || s.m.frozen[process] || s.m.cut[process] {
		return
	}
	s.m.messages += 2
	demand := s.demand[process]
	s.demand[process] = map[string]float64{}
	before := s.own[process]
	now := map[string]float64{}
	for name, n := range demand {
		now[name] = 0.5*before[name] + 0.5*n/publishInterval.Seconds()
	}
	for name, n := range before {
		if _, ok := now[name]; !ok && n > 0.001 {
			now[name] = 0.5 * n
		}
	}
	s.own[process] = now
	s.m.after(publishDelay, func() {
		for name := range before {
			s.sum[name] -= before[name]
		}
		for name := range now {
			s.sum[name] += now[name]
		}
	})
	seen := map[string]float64{}
	for name, n := range s.sum {
		seen[name] = n
	}
	s.seen[process] = seen
}

func (s *shares) request(process int, l *load, limit slatewind.WorkspaceLimit, done func(bool)) {
	s.demand[process][l.name]++
	b := s.local[process][l.name]
	part := reserve / float64(s.m.processes)
	if sum := s.seen[process][l.name]; sum > 0 {
		part += (1 - reserve) * min(s.own[process][l.name]/sum, 1)
	}
	if b == nil {
		b = &shareBucket{bucket: ratelimit.NewBucket(s.m.clock(), part*limit.Rate, part*limit.Burst, 1)}
		s.local[process][l.name] = b
	}
	b.bucket.Set(s.m.clock(), part*limit.Rate, part*limit.Burst)
	done(b.bucket.Take(s.m.clock(), 1))
}
