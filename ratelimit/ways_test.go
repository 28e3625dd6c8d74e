package ratelimit_test

import (
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/ratelimit"
)

// tokens is the way that is kept: a token of the workspace's home for each request.
type tokens struct {
	m         *model
	processes []*tokenProcess
	without   safeguard
}

// safeguard names one that a play leaves out.
type safeguard string

// Safeguards.
const (
	withAll safeguard = ""
	// withoutStart has homes begin with a full bucket.
	withoutStart safeguard = "a home begins with a part of the burst"
	// withoutStandIn has whoever is asked second give all of the limit.
	withoutStandIn safeguard = "a stand-in gives a part"
	// withoutPause has successors keep what came while nobody asked them.
	withoutPause safeguard = "a successor begins anew"
	// withoutAlone lets everything through where nobody answers.
	withoutAlone safeguard = "who reaches nobody spends a part of what it had"
)

// leaving returns the way without a safeguard.
func leaving(out safeguard) func(*model) way {
	return func(m *model) way {
		t := newTokens(m).(*tokens)
		t.without = out
		return t
	}
}

// hostView is what a process knows of the hosts.
type hostView struct {
	homes *ratelimit.Homes
	known []bool
}

func newHostView(processes int) hostView {
	return hostView{homes: ratelimit.NewHomes(), known: make([]bool, processes)}
}

// hear takes which hosts there are.
func (v hostView) hear(hosts []bool) {
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
	ledger   *ratelimit.Ledger
	spenders map[string]*ratelimit.Spender
	silent   map[int]time.Duration
	proved   map[int]bool
}

func newTokens(m *model) way {
	t := &tokens{m: m, processes: make([]*tokenProcess, m.processes)}
	for i := range t.processes {
		t.restarted(i)
	}
	return t
}

func (t *tokens) restarted(process int) {
	t.processes[process] = &tokenProcess{
		hostView: newHostView(t.m.processes), ledger: ratelimit.NewLedger(t.m.clock()),
		spenders: map[string]*ratelimit.Spender{}, silent: map[int]time.Duration{}, proved: map[int]bool{},
	}
}

func (t *tokens) moved(process int, hosts []bool) {
	p := t.processes[process]
	p.hear(hosts)
	now := t.m.clock()
	if t.without == withoutStart {
		now = now.Add(-time.Hour)
	}
	p.ledger.Moved(now, func(workspace string) ratelimit.Role { return p.role(hostOf(process), workspace) })
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

// processAt returns the number of the process at a host, or -1.
func processAt(host string) int {
	var a, b int
	if n, _ := sscanHost(host, &a, &b); n != 2 {
		return -1
	}
	return a*256 + b
}

func (t *tokens) request(process int, l *load, limit slatewind.WorkspaceLimit, done func(bool)) {
	p := t.processes[process]
	s := p.spenders[l.name]
	if s == nil {
		s = &ratelimit.Spender{}
		p.spenders[l.name] = s
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
	q := ratelimit.Question{Limit: limit, Tokens: s.Want(t.m.clock()), Role: ratelimit.RoleHome}
	t.ask(process, processAt(first), q, func(answer ratelimit.Answer, answered, proved bool) {
		if answered {
			done(s.Answered(t.m.clock(), answer) == ratelimit.StepAllow)
			return
		}
		q.Role, q.Tokens = ratelimit.RoleStandIn, 1
		if proved || t.without == withoutStandIn {
			q.Role = ratelimit.RoleSuccessor
		}
		t.ask(process, processAt(second), q, func(answer ratelimit.Answer, answered, _ bool) {
			if answered {
				done(s.Answered(t.m.clock(), answer) == ratelimit.StepAllow)
				return
			}
			done(s.Unanswered(t.m.clock()) == ratelimit.StepAllow || t.without == withoutAlone)
		})
	})
}

// ask asks one process, as Limiter.askOne does.
func (t *tokens) ask(from, to int, q ratelimit.Question, done func(answer ratelimit.Answer, answered, proved bool)) {
	m, p := t.m, t.processes[from]
	switch {
	case to < 0:
		done(ratelimit.Answer{}, false, false)
		return
	case to == from:
		done(t.give(to, q), true, false)
		return
	case m.now < p.silent[to]:
		done(ratelimit.Answer{}, false, p.proved[to])
		return
	}
	over := false
	end := func(answer ratelimit.Answer, answered, proved bool) {
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
		m.after(2*hop, func() { m.at(from, func() { end(ratelimit.Answer{}, false, true) }) })
		return
	}
	m.send(from, to, func() {
		answer := t.give(to, q)
		m.send(to, from, func() { end(answer, true, false) })
	})
	m.after(askTimeout, func() { m.at(from, func() { end(ratelimit.Answer{}, false, false) }) })
}

// give answers as Limiter.Give does.
func (t *tokens) give(process int, q ratelimit.Question) ratelimit.Answer {
	p := t.processes[process]
	if t.without == withoutPause && q.Role == ratelimit.RoleSuccessor {
		q.Role = ratelimit.RoleHome
		return p.ledger.Take(t.m.clock(), q)
	}
	if q.Role == ratelimit.RoleHome && p.role(hostOf(process), q.Limit.Workspace) != ratelimit.RoleHome {
		q.Role = ratelimit.RoleStandIn
	}
	return p.ledger.Take(t.m.clock(), q)
}

// counts lets requests through and counts them at the home afterwards, which tells whoever
// counts there when the workspace is over its limit.
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

func newCounts(m *model) way {
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

func (c *counts) moved(process int, hosts []bool) { c.processes[process].hear(hosts) }

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
		told := func() { p.refused[l.name] = c.m.now + over }
		if home == process {
			told()
			return
		}
		c.m.send(home, process, told)
	}
	if home == process {
		count()
		return
	}
	c.m.send(process, home, count)
}

// count takes a request off the workspace's bucket and returns for how long it is overdrawn.
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

// shares gives each process the part of the limit that its part of the demand is, as it was
// told with the news of a while ago.
type shares struct {
	m     *model
	local []map[string]*shareBucket
	// demand of each workspace at each process over the last period, and what was told of all.
	demand []map[string]float64
	sum    map[string]float64
	told   []map[string]float64
	own    []map[string]float64
}

type shareBucket struct {
	bucket *ratelimit.Bucket
}

const (
	// newsPause is how often a process tells and hears, newsAge how old what it hears is.
	newsPause = 450 * time.Millisecond
	newsAge   = 900 * time.Millisecond
	// newcomers is the share of a limit for processes of which nothing was told.
	newcomers = 0.2
)

func newShares(m *model) way {
	s := &shares{m: m, local: make([]map[string]*shareBucket, m.processes), demand: make([]map[string]float64, m.processes), sum: map[string]float64{}, told: make([]map[string]float64, m.processes), own: make([]map[string]float64, m.processes)}
	for i := range s.local {
		s.restarted(i)
		m.after(time.Duration(m.random.Float64()*float64(newsPause)), func() { s.news(i) })
	}
	return s
}

func (s *shares) restarted(process int) {
	s.local[process], s.demand[process] = map[string]*shareBucket{}, map[string]float64{}
	s.told[process], s.own[process] = map[string]float64{}, map[string]float64{}
}

func (s *shares) moved(int, []bool) {}

// news has a process tell its demand and hear of everyone's.
func (s *shares) news(process int) {
	s.m.after(newsPause, func() { s.news(process) })
	if s.m.dead[process] || s.m.frozen[process] || s.m.cut[process] {
		return
	}
	s.m.messages += 2
	demand := s.demand[process]
	s.demand[process] = map[string]float64{}
	before := s.own[process]
	now := map[string]float64{}
	for name, n := range demand {
		now[name] = 0.5*before[name] + 0.5*n/newsPause.Seconds()
	}
	for name, n := range before {
		if _, ok := now[name]; !ok && n > 0.001 {
			now[name] = 0.5 * n
		}
	}
	s.own[process] = now
	s.m.after(newsAge, func() {
		for name := range before {
			s.sum[name] -= before[name]
		}
		for name := range now {
			s.sum[name] += now[name]
		}
	})
	told := map[string]float64{}
	for name, n := range s.sum {
		told[name] = n
	}
	s.told[process] = told
}

func (s *shares) request(process int, l *load, limit slatewind.WorkspaceLimit, done func(bool)) {
	s.demand[process][l.name]++
	b := s.local[process][l.name]
	part := newcomers / float64(s.m.processes)
	if sum := s.told[process][l.name]; sum > 0 {
		part += (1 - newcomers) * min(s.own[process][l.name]/sum, 1)
	}
	if b == nil {
		b = &shareBucket{bucket: ratelimit.NewBucket(s.m.clock(), part*limit.Rate, part*limit.Burst, 1)}
		s.local[process][l.name] = b
	}
	b.bucket.Set(s.m.clock(), part*limit.Rate, part*limit.Burst)
	done(b.bucket.Take(s.m.clock(), 1))
}
