package slatewind

import (
	"context"
	"time"
)

// WorkspaceLimit bounds a workspace's requests over all processes.
type WorkspaceLimit struct {
	Workspace string
	// Rate is requests a second; 0 is without limit.
	Rate float64
	// Burst is how many requests may come at once.
	Burst float64
	// Version is that of the settings which state the limit; the highest counts.
	Version uint64
}

// LimitVerdict says whether a request may be sent on.
type LimitVerdict struct {
	Allowed bool
	// OverLimit says that the workspace is beyond its limit, and not that no process that
	// knows could be asked.
	OverLimit bool
	// RetryAfter is when a refused caller is to come back.
	RetryAfter time.Duration
	// Evidence holds the figures that decided.
	Evidence string
}

// Limiter keeps the limits of workspaces.
type Limiter interface {
	// Admit decides about one request; it may take a round trip to another process.
	Admit(ctx context.Context, limit WorkspaceLimit) LimitVerdict
}
