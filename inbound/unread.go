package inbound

import (
	"time"

	"slatewind.example/slatewind/breaker"
)

// lookPause is the least time between two looks for answers that wait to be read: each costs a
// system call for each request that is late.
const lookPause = 10 * time.Millisecond

// sending begins the server's time, with the first byte of a request, and keeps what tells whether
// bytes of the answer wait to be read.
func (in *Inbound) sending(item string, unread func() bool) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.judge(now).Start(now, item)
	in.unread[item] = unread
}

// lookForAnswers finds out which requests take long only since this process has not read their
// answers yet. The lock is held.
func (in *Inbound) lookForAnswers(now time.Time) {
	if now.Sub(in.looked) < lookPause {
		return
	}
	in.looked = now
	judgement := in.judge(now)
	for _, item := range judgement.Late(now) {
		if unread := in.unread[item]; unread != nil {
			judgement.SetUnread(now, item, unread())
		}
	}
}

// allows reports whether the judgement lets a request through. The lock is held.
func (in *Inbound) allows(now time.Time, ask breaker.Ask) bool {
	if in.judge(now).Allow(now, ask) {
		return true
	}
	in.lookForAnswers(now)
	return in.breaker.Allow(now, ask)
}
