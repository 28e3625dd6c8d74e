package daemon

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/discovery"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/warmup"
)

// Settings implements discovery.SettingsSink.
func (n *Node) Settings(now time.Time, settings *slatewind.PublishedSettings, from string, took time.Duration) {
	n.services.ApplySettings(now, settings.Fleet)
	n.inbound.SetWarmup(warmupOf(settings.Fleet, n.settings.GetLocalServer().GetService()))
	n.store.Adopt(now, fmt.Sprintf("%s took=%s revision=%s", sourceName(from), took.Round(time.Millisecond), settings.Revision), settings)
}

// warmupOf returns the limits for servers of a service that warm up.
func warmupOf(fleet *slatewindv1.Fleet, service string) warmup.Limits {
	for _, s := range fleet.GetServices() {
		if s.GetName() == service {
			return warmup.Limits{Time: s.GetWarmupTime().AsDuration(), Rate: s.GetWarmupRate()}
		}
	}
	return warmup.Limits{}
}

// Evacuations implements discovery.SettingsSink.
func (n *Node) Evacuations(now time.Time, list slatewind.Evacuations) {
	reason := "no data centre is evacuated any more"
	if len(list.DataCentres) > 0 {
		reason = "the servers of evacuated data centres get no requests: " + strings.Join(list.DataCentres, ", ")
	}
	n.history.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionEvacuation, Reason: reason, Evidence: "revision=" + list.Revision.String(),
	})
	n.watcher.Redeliver(now, n.evacuations.Evacuate(list))
}

// sourceName returns the name of a source of updates in log lines and evidence. An empty address
// stands for the store.
func sourceName(from string) string {
	if from == "" {
		return "store"
	}
	return from
}

// Server implements discovery.Sink.
func (n *Node) Server(now time.Time, entry slatewind.ServerEntry) {
	n.outbound.Put(now, entry)
	n.limiter.Put(now, entry.Name, outbound.HostOf(entry.Address))
	n.updateSharer()
	if entry.Address == n.settings.GetLocalServer().GetAddress() {
		n.inbound.Published(now, &entry)
	}
}

// ServerGone implements discovery.Sink.
func (n *Node) ServerGone(now time.Time, name string) {
	n.outbound.Remove(name)
	n.limiter.Remove(now, name)
	n.updateSharer()
	n.inbound.Removed(now, name)
}

// updateSharer passes the local server's position among the servers of its service to inbound.
// These servers share the limit on extra attempts.
func (n *Node) updateSharer() {
	local := n.settings.GetLocalServer()
	n.inbound.SetSharer(n.outbound.Sharer(local.GetService(), local.GetAddress()))
}

const (
	// maxEntryLines is how many lines about invalid server entries are logged per
	// entryLinesInterval, since there is no bound on how many such entries are written.
	maxEntryLines      = 5
	entryLinesInterval = 10 * time.Second
)

// InvalidData implements discovery.Sink and discovery.SettingsSink.
func (n *Node) InvalidData(now time.Time, finding error) {
	var entry *platform.EntryError
	var start *discovery.StartError
	var service *discovery.ServiceError
	switch {
	case errors.As(finding, &entry):
		n.recordIgnored(now, ignoredEntry{
			server: platform.ServerName(entry.Key), field: entry.Fields[0].Field, reason: entry.Reason(),
			location: fmt.Sprintf("key=%s revision=%d", entry.Key, entry.Revision),
		})
	case errors.As(finding, &start):
		n.recordIgnored(now, ignoredEntry{
			server: start.Entry.Name, field: "start", reason: start.Error(), location: fmt.Sprintf("revision=%s", start.Revision),
		})
	case errors.As(finding, &service):
		n.recordIgnored(now, ignoredEntry{
			server: service.Entry.Name, field: "service", reason: service.Error(), location: "key=" + platform.ServersPrefix + service.Entry.Name,
		})
	default:
		n.history.Add(slatewind.Decision{
			Time: now, Kind: slatewind.DecisionSettingsIgnored, Reason: "settings cannot be decoded; the settings in force stay", Evidence: finding.Error(),
		})
	}
}

// ignoredEntry describes a server entry that is not used. field is the invalid field, location
// the entry's key or revision in the store.
type ignoredEntry struct{ server, field, reason, location string }

// recordIgnored counts an entry that is not used and adds it to the journal, as far as entryLines
// allows.
func (n *Node) recordIgnored(now time.Time, entry ignoredEntry) {
	n.metrics.EntryIgnored(entry.field)
	allowed, leftOut := n.entryLines.Allow(now)
	if !allowed {
		return
	}
	n.history.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionEntryIgnored, Server: entry.server, Reason: "server entry ignored: " + entry.reason,
		Evidence: fmt.Sprintf("%s lines_left_out=%d", entry.location, leftOut),
	})
}

// SlowPoll implements discovery.Sink.
func (n *Node) SlowPoll(poll discovery.SlowPoll) {
	n.logger.Warn("poll for server updates was slow", "from", sourceName(poll.From), "took", poll.Took.Round(time.Millisecond),
		"age", poll.Age.Round(time.Millisecond), "servers", poll.Servers, "removed", poll.Removed)
}

// Restored implements discovery.Sink.
func (n *Node) Restored(_ time.Time, before, since slatewind.Revision) {
	n.logger.Warn("store restored", "known_until", before, "read_at", since)
}

// SourceReachable implements discovery.Sink.
func (n *Node) SourceReachable(_ time.Time, reached bool, cause error) {
	n.logReachability("store", reached, cause)
}

// SettingsReachable implements discovery.SettingsSink.
func (n *Node) SettingsReachable(_ time.Time, reached bool, cause error) {
	n.logReachability("settings", reached, cause)
}

// PeerFetchFailed implements discovery.SettingsSink.
func (n *Node) PeerFetchFailed(_ time.Time, from string, cause error) {
	n.logger.Info("settings not received from peer", "from", from, "cause", cause)
}

func (n *Node) logReachability(dependency string, reached bool, cause error) {
	if reached {
		n.logger.Info("dependency regained", "dependency", dependency)
		return
	}
	n.logger.Warn("dependency lost", "dependency", dependency, "cause", cause)
}
