package inbound

import (
	"net/http"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/backend"
)

// statedLeavingReason is the reason why a server gets no new requests that stated in an answer that
// it is leaving.
const statedLeavingReason = "its answers state it"

// recordStatements records what the server states about itself in an answer. An answer with status
// 421 may come from another server that does not state its name.
func (u *use) recordStatements(answer *backend.Answer) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	u.recordLimit(now, answer)
	if answer.Header.Get(u.in.server.Headers.Leaving) == slatewind.LeavingValue {
		u.in.statedLeaving = true
		u.in.startLeaving(now, statedLeavingReason)
	}
}

// statement returns the server's state if the server states something that applies before its answer
// ends, or nil.
func (u *use) statement() *slatewindv1.SlotState {
	u.in.mu.Lock()
	defer u.in.mu.Unlock()
	if !u.in.statedLeaving && !u.in.limit.Limit().Stated {
		return nil
	}
	return u.in.state()
}
