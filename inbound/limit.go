package inbound

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/link"
)

// recordLimit records the limit that the server states in an answer. A malformed one is ignored. in.mu
// must be held.
func (u *use) recordLimit(now time.Time, answer *backend.Answer) {
	limit, ok := parseLimit(answer.Header.Get(u.in.server.Headers.Limit))
	if !ok {
		return
	}
	record := u.in.limit.Answered
	if u.rejected(answer) || answer.StatusCode >= slatewind.MinServerErrorStatus {
		record = u.in.limit.Failed
	}
	if record(now, u.began, limit) {
		u.in.journalLimit(now)
	}
}

// parseLimit parses the limit that a server states; an empty text means none.
func parseLimit(text string) (limit slatewind.ServerLimit, ok bool) {
	if text == "" {
		return slatewind.ServerLimit{}, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return slatewind.ServerLimit{}, false
	}
	return slatewind.ServerLimit{Stated: true, PerSecond: perSecond}, true
}

// recordToldLimit records the limit that a reservation states. in.mu must be held.
func (in *Inbound) recordToldLimit(now time.Time, r *slatewindv1.Reservation) {
	if r.RequestLimit == nil || in.name != "" && r.GetLimitedServer() != slatewind.ServerID(in.name, in.start) {
		return
	}
	if in.limit.Told(now, link.LimitOf(r.RequestLimit)) {
		in.journalLimit(now)
	}
}

// journalLimit writes a journal entry about a change of the server's limit. in.mu must be held.
func (in *Inbound) journalLimit(now time.Time) {
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionServerLimit, Service: in.server.Service, Server: in.name, Reason: in.limitText(),
		Evidence: fmt.Sprintf("in_use=%d queued=%d told=%t", in.slots.InUse(), in.slots.Queued(), in.limit.Unknown()),
	})
}

// limitText returns the server's limit, worded for operators. in.mu must be held.
func (in *Inbound) limitText() string {
	limit := in.limit.Limit()
	if !limit.Stated {
		return "the server states no limit any more"
	}
	return fmt.Sprintf("the server states a limit of %g requests a second", limit.PerSecond)
}
