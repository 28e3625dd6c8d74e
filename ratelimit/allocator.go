package ratelimit

import (
	"time"

	"slatewind.example/slatewind"
)

// Role is the role in which a process allocates tokens.
type Role string

// Roles of a process that allocates tokens.
const (
	// RoleHome is the process that ranks first for a workspace.
	RoleHome Role = "home"
	// RoleStandIn ranks second and is asked because the home did not reply.
	RoleStandIn Role = "stand-in"
	// RoleSuccessor ranks second and is asked because the home is known not to run.
	RoleSuccessor Role = "successor"
)

// Known reports whether r is one of the roles above.
func (r Role) Known() bool { return r == RoleHome || r == RoleStandIn || r == RoleSuccessor }

// TokenRequest asks for tokens of a workspace.
type TokenRequest struct {
	// Limit is the limit of the workspace as known to the requesting process.
	Limit slatewind.WorkspaceLimit
	// Tokens is the number of tokens wanted; the first one is for a waiting request.
	Tokens int
	Role   Role
}

// TokenReply is the reply to a TokenRequest.
type TokenReply struct {
	// Tokens is the number of tokens granted, possibly fewer than wanted.
	Tokens int
	// Next is the time until there is a token, Turn the time until there is one for this caller,
	// after those that were refused before it. Both are 0 if tokens were granted.
	Next, Turn time.Duration
	// Level is the number of tokens left.
	Level float64
	// Role is the role in which the process replied.
	Role Role
}

// account is the state of one workspace at a process that allocates its tokens.
type account struct {
	limit  slatewind.WorkspaceLimit
	role   Role
	bucket *Bucket
	// lastTurn is the time at which the last refused caller was asked to retry.
	lastTurn time.Time
	used     time.Time
}

// Allocator holds the accounts of the workspaces whose tokens a process allocates. It is not safe
// for concurrent use.
type Allocator struct {
	accounts map[string]*account
	// since is when the process started, or when the set of hosts last changed: before it, other
	// processes may have granted tokens of the workspaces that this one allocates now.
	since time.Time
	// swept is the time of the last removal of unused accounts.
	swept time.Time
}

// NewAllocator returns an allocator without accounts, of a process that starts now.
func NewAllocator(now time.Time) *Allocator {
	return &Allocator{accounts: map[string]*account{}, since: now}
}

// HostsChanged records that the set of hosts changed. roleOf returns the role of this process for a
// workspace, empty if it has none. The accounts of workspaces that moved to other processes are
// removed, since those processes now grant tokens of which this one is not told.
func (l *Allocator) HostsChanged(now time.Time, roleOf func(workspace string) Role) {
	l.since = now
	for name, a := range l.accounts {
		switch role := roleOf(name); role {
		case "":
			delete(l.accounts, name)
		case RoleStandIn:
			a.become(now, role)
		}
	}
}

// Take grants the wanted tokens as far as they are available.
func (l *Allocator) Take(now time.Time, q TokenRequest) TokenReply {
	l.sweep(now)
	a := l.account(now, q)
	a.used = now
	if !a.bucket.Take(now, 1) {
		return a.refuse(now)
	}
	given := 1
	// No tokens are prefetched for a workspace close to its limit: other processes may need them.
	for given < q.Tokens && a.bucket.Level(now) > a.bucket.burst/2 && a.bucket.Take(now, 1) {
		given++
	}
	return TokenReply{Tokens: given, Level: a.bucket.Level(now), Role: a.role}
}

// account returns the account that a token request concerns, creating or updating it as needed.
func (l *Allocator) account(now time.Time, q TokenRequest) *account {
	a := l.accounts[q.Limit.Workspace]
	if a == nil {
		a = l.newAccount(now, q)
		l.accounts[q.Limit.Workspace] = a
	}
	if q.Role == RoleSuccessor && now.Sub(a.used) > successorIdleTime {
		// In the meantime the home granted the tokens that accrued. A stand-in keeps its tokens,
		// since nobody else grants its share.
		a.bucket.DropToOne(now)
	}
	if q.Limit.Version > a.limit.Version {
		a.limit = q.Limit
	}
	a.become(now, q.Role)
	return a
}

// successorIdleTime is the time without token requests after which a successor starts again with
// one token.
const successorIdleTime = 100 * time.Millisecond

// newAccount returns the account of a workspace for which this process had none. A home without an
// account has granted nothing since it became the home, so the bucket has been filling since then.
func (l *Allocator) newAccount(now time.Time, q TokenRequest) *account {
	a := &account{limit: q.Limit, role: q.Role, used: now}
	rate, burst := a.shares()
	switch q.Role {
	case RoleHome:
		a.bucket = NewBucket(l.since, rate, burst, initialShare)
	case RoleStandIn:
		a.bucket = NewBucket(now, rate, burst, 1)
	case RoleSuccessor:
		a.bucket = NewBucket(now, rate, burst, 0)
	}
	return a
}

// become changes the role of the account and adjusts its bucket to the rate and burst of that role.
func (a *account) become(now time.Time, role Role) {
	a.role = role
	rate, burst := a.shares()
	a.bucket.Set(now, rate, burst)
}

// shares returns the rate and burst that the account grants in its role.
func (a *account) shares() (rate, burst float64) {
	if a.role == RoleStandIn {
		return standInShare * a.limit.Rate, standInShare * a.limit.Burst
	}
	return a.limit.Rate, a.limit.Burst
}

// refuse returns the reply if there is no token. Refused callers are given consecutive retry times,
// one per token at the rate of the limit, so that they do not all retry for the same token.
func (a *account) refuse(now time.Time) TokenReply {
	next := a.bucket.Next(now)
	if next > maxTurn {
		return TokenReply{Next: maxTurn, Turn: maxTurn, Level: a.bucket.Level(now), Role: a.role}
	}
	turn := now.Add(next)
	if after := a.lastTurn.Add(time.Duration(float64(time.Second) / a.bucket.rate)); after.After(turn) {
		turn = after
	}
	if last := now.Add(maxTurn); turn.After(last) {
		turn = last
	}
	a.lastTurn = turn
	return TokenReply{Next: next, Turn: turn.Sub(now), Level: a.bucket.Level(now), Role: a.role}
}

// sweepInterval is the minimum time between two removals of unused accounts.
const sweepInterval = 5 * time.Second

// sweep removes accounts that are no longer requested once their buckets are full: a new account
// would start with a full bucket too.
func (l *Allocator) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for name, a := range l.accounts {
		idle := now.Sub(a.used) > sweepInterval && a.used.After(l.since)
		if idle && a.bucket.Level(now) >= a.bucket.burst && now.Sub(l.since).Seconds()*a.bucket.rate >= a.bucket.burst {
			delete(l.accounts, name)
		}
	}
}

// Use is the state of one account.
type Use struct {
	Workspace string  `json:"workspace"`
	Role      Role    `json:"role"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Level     float64 `json:"tokens"`
}

// Uses returns the state of all accounts, in no particular order.
func (l *Allocator) Uses(now time.Time) []Use {
	uses := make([]Use, 0, len(l.accounts))
	for name, a := range l.accounts {
		uses = append(uses, Use{Workspace: name, Role: a.role, Rate: a.limit.Rate, Burst: a.limit.Burst, Level: a.bucket.Level(now)})
	}
	return uses
}
