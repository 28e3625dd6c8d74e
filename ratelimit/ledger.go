package ratelimit

import (
	"time"

	"slatewind.example/slatewind"
)

// Role says for whom a process gives tokens.
type Role string

// Roles of a process that gives tokens.
const (
	// RoleHome is the process that comes first for a workspace.
	RoleHome Role = "home"
	// RoleStandIn comes second and is asked since the home did not answer.
	RoleStandIn Role = "stand-in"
	// RoleSuccessor comes second and is asked since the home is proved not to run.
	RoleSuccessor Role = "successor"
)

// Question asks for tokens of a workspace.
type Question struct {
	// Limit is the workspace's as the asker knows it.
	Limit slatewind.WorkspaceLimit
	// Tokens is how many are wanted, the first for a request that waits.
	Tokens int
	Role   Role
}

// Answer says what was given.
type Answer struct {
	// Tokens is how many were given; they may be fewer than were wanted.
	Tokens int
	// Next is how long it takes until there is a token, Turn until there is one for the
	// asker, after those who were refused before. Both are 0 where tokens were given.
	Next, Turn time.Duration
	// Level is how many tokens are left.
	Level float64
	// Role is that in which the process answered.
	Role Role
}

// account is one workspace's at a process that gives its tokens.
type account struct {
	limit  slatewind.WorkspaceLimit
	role   Role
	bucket *Bucket
	// told is when the last refused asker was told to come back.
	told time.Time
	used time.Time
}

// Ledger holds the accounts of the workspaces that a process gives tokens of. It is not safe
// for use by several goroutines.
type Ledger struct {
	accounts map[string]*account
	// since is when the process began, or when the known hosts last changed: before it,
	// others may have given tokens that this process gives now.
	since time.Time
	// swept is when unused accounts were last dropped.
	swept time.Time
}

// NewLedger returns a ledger without accounts, of a process that begins now.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{accounts: map[string]*account{}, since: now}
}

// Moved notes that the known hosts changed. roleOf returns this process's role for a
// workspace, empty where it has none. What it knew of workspaces that are others' now is
// forgotten, since they give without telling.
func (l *Ledger) Moved(now time.Time, roleOf func(workspace string) Role) {
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

// Take gives tokens, as many as are wanted and there.
func (l *Ledger) Take(now time.Time, q Question) Answer {
	l.sweep(now)
	a := l.account(now, q)
	a.used = now
	if !a.bucket.Take(now, 1) {
		return a.refuse(now)
	}
	given := 1
	// Nobody holds tokens of a workspace that is near its limit: others may need them.
	for given < q.Tokens && a.bucket.Level(now) > a.bucket.burst/2 && a.bucket.Take(now, 1) {
		given++
	}
	return Answer{Tokens: given, Level: a.bucket.Level(now), Role: a.role}
}

// account returns the account that a question is about, made or changed where that is due.
func (l *Ledger) account(now time.Time, q Question) *account {
	a := l.accounts[q.Limit.Workspace]
	if a == nil {
		a = l.newAccount(now, q)
		l.accounts[q.Limit.Workspace] = a
	}
	if q.Role == RoleSuccessor && now.Sub(a.used) > askedPause {
		// Meanwhile the home gave what came. A stand-in's part is its own all the time.
		a.bucket.Lose(now)
	}
	if q.Limit.Version > a.limit.Version {
		a.limit = q.Limit
	}
	a.become(now, q.Role)
	return a
}

// askedPause is how long nobody asked a successor for tokens when it begins anew.
const askedPause = 100 * time.Millisecond

// newAccount returns the account of a workspace that nobody asked this process for. A home has
// given nothing since it is one, so that tokens came for as long.
func (l *Ledger) newAccount(now time.Time, q Question) *account {
	a := &account{limit: q.Limit, role: q.Role, used: now}
	rate, burst := a.gives()
	switch q.Role {
	case RoleHome:
		a.bucket = NewBucket(l.since, rate, burst, startShare)
	case RoleStandIn:
		a.bucket = NewBucket(now, rate, burst, 1)
	case RoleSuccessor:
		a.bucket = NewBucket(now, rate, burst, 0)
	}
	return a
}

// become gives the account a role, and its bucket what is given in it.
func (a *account) become(now time.Time, role Role) {
	a.role = role
	rate, burst := a.gives()
	a.bucket.Set(now, rate, burst)
}

// gives returns the rate and the burst that the account gives in its role.
func (a *account) gives() (rate, burst float64) {
	if a.role == RoleStandIn {
		return standInShare * a.limit.Rate, standInShare * a.limit.Burst
	}
	return a.limit.Rate, a.limit.Burst
}

// refuse answers where no token is there. Those who are refused are told one time after the
// other, as fast as tokens come, so that they do not all come back for the same one.
func (a *account) refuse(now time.Time) Answer {
	next := a.bucket.Next(now)
	if next > mostTurn {
		return Answer{Next: mostTurn, Turn: mostTurn, Level: a.bucket.Level(now), Role: a.role}
	}
	turn := now.Add(next)
	if after := a.told.Add(time.Duration(float64(time.Second) / a.bucket.rate)); after.After(turn) {
		turn = after
	}
	if last := now.Add(mostTurn); turn.After(last) {
		turn = last
	}
	a.told = turn
	return Answer{Next: next, Turn: turn.Sub(now), Level: a.bucket.Level(now), Role: a.role}
}

// sweepPause is the least time between two looks for unused accounts.
const sweepPause = 5 * time.Second

// sweep drops accounts that nobody asked for, once their buckets are full: they would be full
// too if they were begun anew.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepPause {
		return
	}
	l.swept = now
	for name, a := range l.accounts {
		idle := now.Sub(a.used) > sweepPause && a.used.After(l.since)
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

// Uses returns the state of all accounts, in no order.
func (l *Ledger) Uses(now time.Time) []Use {
	uses := make([]Use, 0, len(l.accounts))
	for name, a := range l.accounts {
		uses = append(uses, Use{Workspace: name, Role: a.role, Rate: a.limit.Rate, Burst: a.limit.Burst, Level: a.bucket.Level(now)})
	}
	return uses
}
