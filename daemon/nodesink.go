package daemon

import (
	"errors"
	"fmt"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/discovery"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/platform"
)

// Settings implements discovery.SettingsSink.
func (n *Node) Settings(now time.Time, settings *slatewind.PublishedSettings, from string, took time.Duration) {
	n.services.ApplySettings(now, settings.Fleet)
	n.store.Adopt(now, fmt.Sprintf("%s took=%s revision=%s", nameOf(from), took.Round(time.Millisecond), settings.Revision), settings)
}

// nameOf names who told news by an address, which is empty for the store.
func nameOf(from string) string {
	if from == "" {
		return "store"
	}
	return from
}

// Server implements discovery.Sink.
func (n *Node) Server(now time.Time, entry slatewind.ServerEntry) {
	n.outbound.Put(now, entry)
	n.limiter.Put(now, entry.Name, outbound.HostOf(entry.Address))
	n.shareBounds()
	if entry.Address == n.settings.GetLocalServer().GetAddress() {
		n.inbound.Published(now, &entry)
	}
}

// ServerGone implements discovery.Sink.
func (n *Node) ServerGone(now time.Time, name string) {
	n.outbound.Remove(name)
	n.limiter.Remove(now, name)
	n.shareBounds()
	n.inbound.Removed(now, name)
}

// shareBounds tells the sidecar which servers share the bounds of its service.
func (n *Node) shareBounds() {
	local := n.settings.GetLocalServer()
	n.inbound.SetSharer(n.outbound.Sharer(local.GetService(), local.GetAddress()))
}

const (
	// mostEntryLines is how many lines about entries that name no server are written in
	// each entryLinesTime: whoever writes such entries may never end.
	mostEntryLines = 5
	entryLinesTime = 10 * time.Second
)

// InvalidData implements discovery.Sink and discovery.SettingsSink.
func (n *Node) InvalidData(now time.Time, finding error) {
	var entry *platform.EntryError
	var start *discovery.StartError
	var service *discovery.ServiceError
	switch {
	case errors.As(finding, &entry):
		n.ignored(now, ignoredEntry{
			server: platform.ServerName(entry.Key), field: entry.Fields[0].Field, reason: entry.Reason(),
			place: fmt.Sprintf("key=%s revision=%d", entry.Key, entry.Revision),
		})
	case errors.As(finding, &start):
		n.ignored(now, ignoredEntry{
			server: start.Entry.Name, field: "start", reason: start.Error(), place: fmt.Sprintf("revision=%s", start.Revision),
		})
	case errors.As(finding, &service):
		n.ignored(now, ignoredEntry{
			server: service.Entry.Name, field: "service", reason: service.Error(), place: "key=" + platform.ServersPrefix + service.Entry.Name,
		})
	default:
		n.history.Add(slatewind.Decision{
			Time: now, Kind: slatewind.DecisionSettingsIgnored, Reason: "settings cannot be read; what was in force stays", Evidence: finding.Error(),
		})
	}
}

// ignoredEntry is an entry that is not used, for the field that is wrong.
type ignoredEntry struct{ server, field, reason, place string }

// ignored notes that an entry is not used.
func (n *Node) ignored(now time.Time, entry ignoredEntry) {
	n.metrics.EntryIgnored(entry.field)
	allowed, leftOut := n.entryLines.allow(now)
	if !allowed {
		return
	}
	n.history.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionEntryIgnored, Server: entry.server, Reason: "an entry names no server: " + entry.reason,
		Evidence: fmt.Sprintf("%s lines_left_out=%d", entry.place, leftOut),
	})
}

// SlowPoll implements discovery.Sink.
func (n *Node) SlowPoll(news discovery.SlowPoll) {
	n.logger.Warn("news took long", "from", nameOf(news.From), "took", news.Took.Round(time.Millisecond),
		"age", news.Age.Round(time.Millisecond), "servers", news.Servers, "removed", news.Removed)
}

// Restored implements discovery.Sink.
func (n *Node) Restored(_ time.Time, before, since slatewind.Revision) {
	n.logger.Warn("store restored", "known_until", before, "read_at", since)
}

// SourceReachable implements discovery.Sink.
func (n *Node) SourceReachable(_ time.Time, reached bool, cause error) {
	n.logReach("store", reached, cause)
}

// SettingsReachable implements discovery.SettingsSink.
func (n *Node) SettingsReachable(_ time.Time, reached bool, cause error) {
	n.logReach("settings", reached, cause)
}

// PeerFetchFailed implements discovery.SettingsSink.
func (n *Node) PeerFetchFailed(_ time.Time, from string, cause error) {
	n.logger.Info("settings not handed over", "from", from, "cause", cause)
}

func (n *Node) logReach(dependency string, reached bool, cause error) {
	if reached {
		n.logger.Info("dependency regained", "dependency", dependency)
		return
	}
	n.logger.Warn("dependency lost", "dependency", dependency, "cause", cause)
}
