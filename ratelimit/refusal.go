package ratelimit

import (
	"net/http"

	"slatewind.example/slatewind"
)

// Reasons for refusing a request because of the limit of its workspace.
const (
	ReasonOverLimit = "the workspace is over its limit"
	ReasonUnknown   = "no process that knows the workspace's use answers"
)

// Refusal returns the HTTP status and the reason for a request that is not allowed: 429 if its
// workspace is over the limit, 503 if no process that knows could be asked.
func Refusal(v slatewind.LimitVerdict) (status int, reason string) {
	if v.OverLimit {
		return http.StatusTooManyRequests, ReasonOverLimit
	}
	return http.StatusServiceUnavailable, ReasonUnknown
}
