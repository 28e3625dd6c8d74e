package inbound

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"slatewind.example/slatewind"
)

// firstIdleReport is the idle time after which the first journal entry is written. The next one
// follows after twice that time, and so on.
const firstIdleReport = time.Second

// idleTime is the time since the server last got a request, with the results of the reservations
// since then. It distinguishes a server that gets no reservations from one whose sidecar refuses
// them.
type idleTime struct {
	// since is when the server last got a request, or when the process started.
	since time.Time
	// lastReport is the idle time at which the last journal entry was written.
	lastReport time.Duration
	// refused counts the refused reservations by cause, unused the granted slots that were
	// released without a request.
	refused map[Cause]int
	unused  int
}

func newIdleTime(now time.Time) idleTime { return idleTime{since: now, refused: map[Cause]int{}} }

// reset starts a new idle time when a request is sent.
func (i *idleTime) reset(now time.Time) {
	i.since, i.lastReport, i.unused = now, 0, 0
	clear(i.refused)
}

// due reports whether a journal entry has to be written now.
func (i *idleTime) due(now time.Time) bool {
	age := now.Sub(i.since)
	if age < max(firstIdleReport, 2*i.lastReport) {
		return false
	}
	i.lastReport = age
	return true
}

// describe formats the length of the idle time and the counters as evidence.
func (i *idleTime) describe(now time.Time) string {
	parts := []string{fmt.Sprintf("for=%.1fs unused=%d", now.Sub(i.since).Seconds(), i.unused)}
	for _, cause := range slices.Sorted(maps.Keys(i.refused)) {
		parts = append(parts, fmt.Sprintf("%s=%d", cause, i.refused[cause]))
	}
	return strings.Join(parts, " ")
}

// recordIdle writes a journal entry about the idle server if one is due. in.mu must be held.
func (in *Inbound) recordIdle(now time.Time) {
	if !in.idle.due(now) {
		return
	}
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionIdle, Service: in.server.Service, Server: in.name,
		Reason: "no request was sent to the server",
		Evidence: fmt.Sprintf("%s state=%s in_use=%d queued=%d slots=%d away=%q stopping=%t",
			in.idle.describe(now), in.breaker.State(), in.slots.InUse(), in.slots.Queued(), in.slots.Slots(), in.leavingReason, in.shutdown != nil),
	})
}
