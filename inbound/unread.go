package inbound

import (
	"time"

	"slatewind.example/slatewind/breaker"
)

// minUnreadCheckInterval is the minimum time between two checks for unread answers: each check
// costs a system call per overdue request.
const minUnreadCheckInterval = 10 * time.Millisecond

// beginServerTime starts the server's time for an item, at the first byte of the request, and
// stores unread, which reports whether bytes of the answer are waiting to be read.
func (in *Inbound) beginServerTime(item string, unread func() bool) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.currentBreaker(now).Start(now, item)
	in.unread[item] = unread
}

// checkUnread finds the requests that appear overdue only because this process has not read
// their answers yet. in.mu must be held.
func (in *Inbound) checkUnread(now time.Time) {
	if now.Sub(in.lastUnreadCheck) < minUnreadCheckInterval {
		return
	}
	in.lastUnreadCheck = now
	current := in.currentBreaker(now)
	for _, item := range current.LateRequests(now) {
		if unread := in.unread[item]; unread != nil {
			current.SetUnread(now, item, unread())
		}
	}
}

// allows reports whether the breaker admits a request. If it does not, unread answers are checked
// for and the breaker is asked again. in.mu must be held.
func (in *Inbound) allows(now time.Time, constraints breaker.Constraints) bool {
	if in.currentBreaker(now).Allow(now, constraints) {
		return true
	}
	in.checkUnread(now)
	return in.breaker.Allow(now, constraints)
}
