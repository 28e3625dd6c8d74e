package slatewind

import (
	"context"
	"time"
)

// WorkspaceLimit is the rate limit of a workspace, enforced over all processes together.
type WorkspaceLimit struct {
	Workspace string
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is the maximum number of requests that are admitted at once.
	Burst float64
	// Version is the version of the settings that define the limit; the highest version
	// takes precedence.
	Version uint64
}

// LimitVerdict states whether a request is admitted.
type LimitVerdict struct {
	Allowed bool
	// OverLimit is only meaningful if Allowed is false. It reports that the request was rejected
	// because the workspace has exceeded its limit, not because no process that keeps the limit
	// could be reached.
	OverLimit bool
	// RetryAfter is how long a rejected caller should wait before it retries.
	RetryAfter time.Duration
	// Evidence holds the figures on which the verdict is based.
	Evidence string
}

// Limiter enforces the rate limits of workspaces.
type Limiter interface {
	// Admit decides whether to admit one request. It may need a round trip to another process.
	Admit(ctx context.Context, limit WorkspaceLimit) LimitVerdict
}

// ServerLimit is the limit that a server states in its answers. The zero value means that it states
// none.
type ServerLimit struct {
	Stated bool `json:"stated"`
	// PerSecond is the number of requests a second that the server takes from the whole fleet.
	PerSecond float64 `json:"per_second"`
}

// LooserThan reports whether the limit allows more requests than another.
func (l ServerLimit) LooserThan(other ServerLimit) bool {
	return other.Stated && (!l.Stated || l.PerSecond > other.PerSecond)
}
