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
	// requestTimeout limits the wait for a process that allocates tokens. A round trip takes some
	// milliseconds; a lost packet is retransmitted only after 200 ms.
	requestTimeout = 80 * time.Millisecond
	// unresponsiveBackoff is the time for which a process that did not reply is not asked again.
	unresponsiveBackoff = 500 * time.Millisecond
	// refusedBackoff is the same after a refused connection, which costs only a round trip: as soon
	// as a new process listens there it allocates again, and nobody should do so in its place any
	// longer.
	refusedBackoff = 50 * time.Millisecond
	// consumerShards is the number of locks that the workspaces of a process share.
	consumerShards = 16
	// maxConsumersPerShard limits the number of workspaces that a shard remembers.
	maxConsumersPerShard = 8192
)

// Peers sends token requests to the processes at other hosts.
type Peers interface {
	Take(ctx context.Context, host string, q TokenRequest) (TokenReply, error)
	// NotRunning reports whether an error proves that no process runs there.
	NotRunning(err error) bool
}

// Limiter enforces the limits at one process, in both roles: it requests tokens and allocates them.
// It is safe for concurrent use.
type Limiter struct {
	self  string
	peers Peers
	// own returns the limit of a workspace in the settings of this process.
	own   func(workspace string) slatewind.WorkspaceLimit
	homes *Homes

	allocatorMu sync.Mutex
	allocator   *Allocator

	shards [consumerShards]consumers

	// clock includes the time for which the VM was suspended, since prefetched tokens expire
	// meanwhile.
	clock timer.Clock

	outagesMu sync.Mutex
	outages   map[string]outage
}

// consumers holds the workspaces of one shard; mu guards them.
type consumers struct {
	mu  sync.Mutex
	all map[string]*Consumer
}

// outage records that a process did not reply and is not asked again until a given time.
type outage struct {
	until time.Time
	// proved means that the process is known not to run.
	proved bool
}

// New returns the limiter of the process at host self. own returns the limit of a workspace in the
// settings of this process.
func New(now time.Time, self string, peers Peers, own func(workspace string) slatewind.WorkspaceLimit) *Limiter {
	l := &Limiter{self: self, peers: peers, own: own, homes: NewHomes(), outages: map[string]outage{}}
	l.allocator = NewAllocator(l.withSuspension(now))
	for i := range l.shards {
		l.shards[i].all = map[string]*Consumer{}
	}
	return l
}

// Put adds a server at a host, whose sidecar may allocate tokens from now on.
func (l *Limiter) Put(now time.Time, server, host string) {
	if l.homes.Put(server, host) {
		l.hostsChanged(now)
	}
}

// Remove removes a server.
func (l *Limiter) Remove(now time.Time, server string) {
	if l.homes.Remove(server) {
		l.hostsChanged(now)
	}
}

// hostsChanged updates the allocator after the set of hosts changed.
func (l *Limiter) hostsChanged(now time.Time) {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	l.allocator.HostsChanged(l.withSuspension(now), l.ownRole)
}

// withSuspension adds the time for which the VM has been suspended so far.
func (l *Limiter) withSuspension(now time.Time) time.Time { return now.Add(l.clock.Suspended()) }

// ownRole returns the role of this process for a workspace, given the hosts it knows; empty if it
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

// Grant replies to a token request of another process or of this one. If another process takes this
// one for the home but this one does not know so, it grants only the share of a stand-in: the
// previous home may still be granting.
func (l *Limiter) Grant(now time.Time, q TokenRequest) TokenReply {
	if q.Role == RoleHome && l.ownRole(q.Limit.Workspace) != RoleHome {
		q.Role = RoleStandIn
	}
	if own := l.own(q.Limit.Workspace); own.Version > q.Limit.Version {
		if own.Rate <= 0 {
			// The requesting process has not yet received the settings without a limit.
			return TokenReply{Tokens: q.Tokens, Role: q.Role}
		}
		q.Limit = own
	}
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	return l.allocator.Take(l.withSuspension(now), q)
}

// Admit implements slatewind.Limiter: each request costs its workspace one token.
func (l *Limiter) Admit(ctx context.Context, limit slatewind.WorkspaceLimit) slatewind.LimitVerdict {
	if limit.Rate <= 0 {
		return slatewind.LimitVerdict{Allowed: true}
	}
	var step Step
	var wanted int
	l.update(limit.Workspace, func(s *Consumer) {
		now := l.withSuspension(time.Now())
		step, wanted = s.Begin(now, limit), s.Want(now)
	})
	if step == StepAllow {
		return slatewind.LimitVerdict{Allowed: true}
	}
	var answer TokenReply
	answered := true
	if step == StepAsk {
		answer, answered = l.ask(ctx, TokenRequest{Limit: limit, Tokens: wanted})
	}
	return l.decide(limit, step, answer, answered)
}

// decide returns the verdict on a request that needed more than the prefetched tokens.
func (l *Limiter) decide(limit slatewind.WorkspaceLimit, step Step, answer TokenReply, answered bool) (v slatewind.LimitVerdict) {
	l.update(limit.Workspace, func(s *Consumer) {
		now := l.withSuspension(time.Now())
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

// update calls f with the consumer of a workspace while holding the lock of its shard. If there is
// no room for a new consumer, all others of the shard are dropped first.
func (l *Limiter) update(workspace string, f func(s *Consumer)) {
	shard := &l.shards[xxhash.Sum64String(workspace)%consumerShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s := shard.all[workspace]
	if s == nil {
		if len(shard.all) >= maxConsumersPerShard {
			clear(shard.all)
		}
		s = &Consumer{}
		shard.all[workspace] = s
	}
	f(s)
}

// ask requests tokens from the home of a workspace and, if that does not reply, from the process
// that ranks second. It returns false if neither replied.
func (l *Limiter) ask(ctx context.Context, q TokenRequest) (TokenReply, bool) {
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

// askOne requests tokens from the process at a host, unless it is in an outage. It returns nil if
// that replied, or else the outage, which is empty if there is no host or the caller left.
func (l *Limiter) askOne(ctx context.Context, host string, q TokenRequest) (TokenReply, *outage) {
	if host == "" {
		return TokenReply{}, &outage{}
	}
	if host == l.self {
		return l.Grant(time.Now(), q), nil
	}
	l.outagesMu.Lock()
	known, ok := l.outages[host]
	l.outagesMu.Unlock()
	if ok && time.Now().Before(known.until) {
		return TokenReply{}, &known
	}
	askCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := l.peers.Take(askCtx, host, q)
	if err != nil && ctx.Err() != nil {
		// The caller left, which says nothing about the process that was asked.
		return TokenReply{}, &outage{}
	}
	l.outagesMu.Lock()
	defer l.outagesMu.Unlock()
	if err == nil {
		delete(l.outages, host)
		return answer, nil
	}
	known = outage{until: time.Now().Add(unresponsiveBackoff), proved: l.peers.NotRunning(err)}
	if known.proved {
		known.until = time.Now().Add(refusedBackoff)
	}
	l.outages[host] = known
	return TokenReply{}, &known
}

// Uses returns the state of the workspaces whose tokens this process allocates, sorted by name.
func (l *Limiter) Uses(now time.Time) []Use {
	l.allocatorMu.Lock()
	uses := l.allocator.Uses(l.withSuspension(now))
	l.allocatorMu.Unlock()
	slices.SortFunc(uses, func(a, b Use) int { return strings.Compare(a.Workspace, b.Workspace) })
	return uses
}
