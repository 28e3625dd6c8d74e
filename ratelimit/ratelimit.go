// Package ratelimit enforces the limits of workspaces across all processes of the fleet.
//
// Each workspace has a home: the process with the highest hash of the name of the workspace and its
// own address (Homes). Only the home has the token bucket of the workspace (Allocator), and a
// process with a request of the workspace first requests a token from it (Consumer). So the sum
// over all processes stays within the limit although none of them knows what the others send, and a
// workspace with one request every ten seconds costs one message per request and no more.
//
// None of this state is stored. If processes have incomplete knowledge:
//
//   - A home that starts does not know what was granted before. It starts with a part of the
//     burst (initialShare).
//   - If the home cannot be reached, the process that ranks second stands in for it. It grants
//     a small part of the limit (standInShare), since the home may still be granting to others,
//     or all of it if a refused connection proves that the home does not run.
//   - A process that reaches neither spends a part of what it was granted in the last seconds
//     (isolatedShare). All processes together were granted the limit at most, so those that are
//     cut off add at most their part of the demand times that share.
//
// Bucket, Allocator and Consumer do no I/O, are passed the time and are not safe for concurrent
// use. Limiter guards them and calls other processes.
package ratelimit

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("rate limit")

// Shares of a workspace's limit that are granted while processes have incomplete knowledge.
// Together they stay below a quarter of rate and burst over five seconds, which is the excess that
// operators accept (docs/design/shifted.md).
const (
	// initialShare of the burst is what a home starts with if it does not know what was granted
	// before.
	initialShare = 0.2
	// standInShare of rate and burst is granted by a stand-in while the home may still run.
	standInShare = 0.15
	// isolatedShare of its recent spending rate is what a process may spend while no allocating
	// process can be reached.
	isolatedShare = 0.5
)

const (
	// tokenHoldTime is how long prefetched tokens may stay unspent. Tokens held for longer could be
	// spent together with ones granted later.
	tokenHoldTime = 250 * time.Millisecond
	// usageWindow is the time constant over which the use of tokens by a process is averaged.
	usageWindow = 5 * time.Second
	// maxPrefetch limits the number of tokens requested beyond the one for the waiting request.
	maxPrefetch = 64
	// maxTurn limits the retry time given to refused callers: beyond it, the demand of the
	// workspace is unknown.
	maxTurn = 3 * time.Second
	// localRefusalTime limits how long a process refuses by itself after the home had no token. It
	// spares the home most of the token requests of a workspace that floods.
	localRefusalTime = 50 * time.Millisecond
)
