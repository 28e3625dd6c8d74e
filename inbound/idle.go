package inbound

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"slatewind.example/slatewind"
)

// firstIdle is how long a server has got no request when that is first written down. It is
// written down again after twice the time, and so on.
const firstIdle = time.Second

// idleTime is the time in which a server gets no request, with what became of the reservations
// meanwhile. It tells a server that nobody asks from one whose process refuses.
type idleTime struct {
	// since is when the server last got a request, or when the process began.
	since time.Time
	// noted is the age at which the idle time was last written down.
	noted time.Duration
	// refused counts the refused reservations by their cause, unused the granted slots that were
	// given back.
	refused map[Cause]int
	unused  int
}

func newIdleTime(now time.Time) idleTime { return idleTime{since: now, refused: map[Cause]int{}} }

// end begins the next idle time, with a request that is sent.
func (i *idleTime) end(now time.Time) {
	i.since, i.noted, i.unused = now, 0, 0
	clear(i.refused)
}

// due reports whether the idle time is to be written down.
func (i *idleTime) due(now time.Time) bool {
	age := now.Sub(i.since)
	if age < max(firstIdle, 2*i.noted) {
		return false
	}
	i.noted = age
	return true
}

// describe says how long the idle time has lasted and what was refused in it.
func (i *idleTime) describe(now time.Time) string {
	words := []string{fmt.Sprintf("for=%.1fs unused=%d", now.Sub(i.since).Seconds(), i.unused)}
	for _, cause := range slices.Sorted(maps.Keys(i.refused)) {
		words = append(words, fmt.Sprintf("%s=%d", cause, i.refused[cause]))
	}
	return strings.Join(words, " ")
}

// noteIdle writes down that the server gets no request, if that is due. The lock is held.
func (in *Inbound) noteIdle(now time.Time) {
	if !in.idle.due(now) {
		return
	}
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionIdle, Service: in.server.Service, Server: in.name,
		Reason: "no request was sent to the server",
		Evidence: fmt.Sprintf("%s state=%s in_use=%d queued=%d slots=%d away=%q stopping=%t",
			in.idle.describe(now), in.breaker.State(), in.slots.InUse(), in.slots.Queued(), in.slots.Slots(), in.away, in.stop != nil),
	})
}
