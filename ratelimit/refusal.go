package ratelimit

import (
	"net/http"

	"slatewind.example/slatewind"
)

// Reasons for which a request is refused for its workspace's limit.
const (
	ReasonOverLimit = "the workspace is over its limit"
	ReasonUnknown   = "no process that knows the workspace's use answers"
)

// Refusal returns the HTTP status and the reason for a request that is not allowed: 429 where
// its workspace is over the limit, 503 where nobody who knows could be asked.
func Refusal(v slatewind.LimitVerdict) (status int, reason string) {
	if v.OverLimit {
		return http.StatusTooManyRequests, ReasonOverLimit
	}
	return http.StatusServiceUnavailable, ReasonUnknown
}
