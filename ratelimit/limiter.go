package ratelimit

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/timer"
)

const (
	// askTime bounds the wait for a process that gives tokens. A round trip takes some
	// milliseconds; one that was lost on its way is repeated after 200.
	askTime = 80 * time.Millisecond
	// silentTime is how long a process that did not answer is not asked again.
	silentTime = 500 * time.Millisecond
	// refusedPause is the same where the connection was refused, which costs a round trip: the
	// next process there gives at once, and nobody should give in its place any more.
	refusedPause = 50 * time.Millisecond
	// spenderShards is how many locks the workspaces of a process share.
	spenderShards = 16
	// mostSpenders bounds the workspaces that a shard remembers.
	mostSpenders = 8192
)

// Peers asks the processes at other hosts.
type Peers interface {
	Take(ctx context.Context, host string, q Question) (Answer, error)
	// NotRunning reports whether an error proves that no process runs there.
	NotRunning(err error) bool
}

// Limiter keeps the limits at one process, in both roles: it asks for tokens and gives them.
// It is safe for use by several goroutines.
type Limiter struct {
	self  string
	peers Peers
	// own returns a workspace's limit as this process's settings have it.
	own   func(workspace string) slatewind.WorkspaceLimit
	homes *Homes

	ledgerMu sync.Mutex
	ledger   *Ledger

	shards [spenderShards]spenders

	// clock counts the time too in which the VM was suspended: what is held lapses meanwhile.
	clock timer.Clock

	silentMu sync.Mutex
	silent   map[string]silence
}

// spenders are the workspaces of one shard.
type spenders struct {
	mu  sync.Mutex
	all map[string]*Spender
}

// silence says that a process did not answer.
type silence struct {
	until time.Time
	// proved says that it does not run.
	proved bool
}

// New returns the limiter of the process at a host. own returns a workspace's limit as this
// process's settings have it.
func New(now time.Time, self string, peers Peers, own func(workspace string) slatewind.WorkspaceLimit) *Limiter {
	l := &Limiter{self: self, peers: peers, own: own, homes: NewHomes(), silent: map[string]silence{}}
	l.ledger = NewLedger(l.counted(now))
	for i := range l.shards {
		l.shards[i].all = map[string]*Spender{}
	}
	return l
}

// Put notes a server at a host: the process beside it may give tokens.
func (l *Limiter) Put(now time.Time, server, host string) {
	if l.homes.Put(server, host) {
		l.moved(now)
	}
}

// Remove notes that a server is gone.
func (l *Limiter) Remove(now time.Time, server string) {
	if l.homes.Remove(server) {
		l.moved(now)
	}
}

// moved tells the ledger that the hosts changed.
func (l *Limiter) moved(now time.Time) {
	l.ledgerMu.Lock()
	defer l.ledgerMu.Unlock()
	l.ledger.Moved(l.counted(now), l.ownRole)
}

// counted adds to a time that in which the VM was suspended so far.
func (l *Limiter) counted(now time.Time) time.Time { return now.Add(l.clock.Suspended()) }

// ownRole returns this process's role for a workspace as it knows the hosts, empty where it
// has none.
func (l *Limiter) ownRole(workspace string) Role {
	switch first, second := l.homes.Of(workspace); l.self {
	case first:
		return RoleHome
	case second:
		return RoleStandIn
	}
	return ""
}

// Give answers another process's question. One that takes this process for the home is given
// a stand-in's part as long as this process does not know that it is: the home before may
// still give.
func (l *Limiter) Give(now time.Time, q Question) Answer {
	if q.Role == RoleHome && l.ownRole(q.Limit.Workspace) != RoleHome {
		q.Role = RoleStandIn
	}
	if own := l.own(q.Limit.Workspace); own.Version > q.Limit.Version {
		if own.Rate <= 0 {
			// The asker has not heard yet that there is no limit any more.
			return Answer{Tokens: q.Tokens, Role: q.Role}
		}
		q.Limit = own
	}
	l.ledgerMu.Lock()
	defer l.ledgerMu.Unlock()
	return l.ledger.Take(l.counted(now), q)
}

// Admit implements slatewind.Limiter: a request costs its workspace one token.
func (l *Limiter) Admit(ctx context.Context, limit slatewind.WorkspaceLimit) slatewind.LimitVerdict {
	if limit.Rate <= 0 {
		return slatewind.LimitVerdict{Allowed: true}
	}
	var step Step
	var wanted int
	l.update(limit.Workspace, func(s *Spender) {
		now := l.counted(time.Now())
		step, wanted = s.Begin(now, limit), s.Want(now)
	})
	if step == StepAllow {
		return slatewind.LimitVerdict{Allowed: true}
	}
	var answer Answer
	answered := true
	if step == StepAsk {
		answer, answered = l.ask(ctx, Question{Limit: limit, Tokens: wanted})
	}
	return l.decide(limit, step, answer, answered)
}

// decide ends a request that a spender could not allow by itself.
func (l *Limiter) decide(limit slatewind.WorkspaceLimit, step Step, answer Answer, answered bool) (v slatewind.LimitVerdict) {
	l.update(limit.Workspace, func(s *Spender) {
		now := l.counted(time.Now())
		switch {
		case step == StepRefuse:
		case answered:
			step = s.Answered(now, answer)
		default:
			step = s.Unanswered(now)
		}
		v.Allowed, v.OverLimit = step == StepAllow, answered
		if v.Allowed {
			return
		}
		v.RetryAfter = s.RetryAfter(now)
		v.Evidence = s.Evidence(now)
	})
	return v
}

// update gives the state of a workspace to f under its lock.
func (l *Limiter) update(workspace string, f func(s *Spender)) {
	shard := &l.shards[xxhash.Sum64String(workspace)%spenderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.all[workspace]
	if s == nil {
		if len(shard.all) >= mostSpenders {
			clear(shard.all)
		}
		s = &Spender{}
		shard.all[workspace] = s
	}
	f(s)
}

// ask asks the home of a workspace and, where that does not answer, the process that comes
// second.
func (l *Limiter) ask(ctx context.Context, q Question) (Answer, bool) {
	first, second := l.homes.Of(q.Limit.Workspace)
	q.Role = RoleHome
	answer, state := l.askOne(ctx, first, q)
	if state == nil {
		return answer, true
	}
	q.Role, q.Tokens = RoleStandIn, 1
	if state.proved {
		q.Role = RoleSuccessor
	}
	answer, state = l.askOne(ctx, second, q)
	return answer, state == nil
}

// askOne asks the process at a host. It returns why that did not answer, or nil.
func (l *Limiter) askOne(ctx context.Context, host string, q Question) (Answer, *silence) {
	if host == "" {
		return Answer{}, &silence{}
	}
	if host == l.self {
		return l.Give(time.Now(), q), nil
	}
	l.silentMu.Lock()
	known, ok := l.silent[host]
	l.silentMu.Unlock()
	if ok && time.Now().Before(known.until) {
		return Answer{}, &known
	}
	asking, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answer, err := l.peers.Take(asking, host, q)
	if err != nil && ctx.Err() != nil {
		// The caller left, which says nothing of the process that was asked.
		return Answer{}, &silence{}
	}
	l.silentMu.Lock()
	defer l.silentMu.Unlock()
	if err == nil {
		delete(l.silent, host)
		return answer, nil
	}
	known = silence{until: time.Now().Add(silentTime), proved: l.peers.NotRunning(err)}
	if known.proved {
		known.until = time.Now().Add(refusedPause)
	}
	l.silent[host] = known
	return Answer{}, &known
}

// Uses returns the state of the workspaces whose tokens this process gives, by name.
func (l *Limiter) Uses(now time.Time) []Use {
	l.ledgerMu.Lock()
	uses := l.ledger.Uses(l.counted(now))
	l.ledgerMu.Unlock()
	slices.SortFunc(uses, func(a, b Use) int { return strings.Compare(a.Workspace, b.Workspace) })
	return uses
}
