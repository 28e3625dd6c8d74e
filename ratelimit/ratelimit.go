// Package ratelimit keeps the limits of workspaces over all processes of the fleet.
//
// Each workspace has a home: the process with the highest hash of the workspace's name and
// its address (Homes). The home alone has the workspace's token bucket (Ledger), and whoever
// has a request of the workspace asks it for a token first (Spender). So the sum over all
// processes keeps the limit without any of them knowing what the others send, and a
// workspace with a request in ten seconds costs a message for each request and no more.
//
// Nothing of this is stored. What happens when processes do not know enough:
//
//   - A home that begins does not know what was given before it. It begins with a part of
//     the burst (startShare).
//   - A home that cannot be reached is stood in for by the process that comes second. That
//     one gives a small part of the limit (standInShare), since the home may go on giving to
//     others; all of it where a refused connection proves that the home does not run.
//   - A process that reaches neither spends a part of what it was given itself in the last
//     seconds (aloneShare). All processes together were given the limit at most, so that
//     those which are cut off add their part of the demand times that share.
//
// Decisions are pure: Bucket, Ledger and Spender are given the time and are not safe for use
// by several goroutines. Limiter guards them and asks other processes.
package ratelimit

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("rate limit")

// Shares of a workspace's limit that are given while processes do not know enough. Together
// they stay below a quarter of rate and burst over five seconds, which is what operators
// allow beyond a limit (docs/design/shifted.md).
const (
	// startShare of the burst is what a home begins with that does not know what was given
	// before it.
	startShare = 0.2
	// standInShare of rate and burst is given for a home that may still run.
	standInShare = 0.15
	// aloneShare of what a process was given lately is what it may spend while it reaches
	// nobody who gives.
	aloneShare = 0.5
)

const (
	// holdTime is how long tokens may be held unspent. What is held longer could be spent
	// together with what is given later.
	holdTime = 250 * time.Millisecond
	// useTime is the time over which a process's use of a workspace's tokens is averaged.
	useTime = 5 * time.Second
	// mostAhead bounds the tokens that are asked for beyond the request's own.
	mostAhead = 64
	// mostTurn bounds the time that refused callers are told: beyond it, what the workspace
	// sends by then is unknown.
	mostTurn = 3 * time.Second
	// refusedTime bounds how long a process refuses by itself after its home had no token.
	// It spares the home of a workspace that floods most questions.
	refusedTime = 50 * time.Millisecond
)
