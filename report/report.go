// Package report keeps the reports on unhealthy backend servers that processes exchange.
//
// An ingress sends few requests to each of the many servers of a service, so its own observations
// of a server are mostly outdated, while the sidecar of the server knows at any moment whether it
// is healthy. Each process sends its first-hand reports, on its own server and on servers that
// refused its requests, with the periodic request for server updates that it makes to a reader of
// its data centre anyway, and the reader replies with the reports of all processes. So a request
// avoids unhealthy servers that its process has never contacted, without any additional message.
//
// A report is a hint. It only changes the order in which servers are tried: a server that has
// recovered but is still reported as unhealthy gets its trials, and is used as a last resort.
package report

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

const (
	// keepTime is the maximum age of a report that is passed on. Servers are unhealthy for seconds,
	// each process reports on its own server about every half second, and a report from another
	// data centre passes through two readers.
	keepTime = 2 * time.Second
	// directTime is the maximum age of a first-hand report that is sent with a request: about the
	// interval between two requests, so that each report is sent once or twice.
	directTime = 500 * time.Millisecond
	// maxDirect and maxRelayed limit the reports per request and per reply, at about 35 bytes each.
	// A reader answers some 110 requests a second; if more servers are unhealthy than fit, each
	// reply holds a different selection of them.
	maxDirect  = 8
	maxRelayed = 32
)

// entry is a report with the time at which the sidecar of the server made it.
type entry struct {
	report *slatewindv1.ServerReport
	at     time.Time
	// direct means that this process received the report from the sidecar of the server itself.
	direct bool
}

// Table holds the newest report on each server that is or recently was unhealthy. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]entry{}}
}

// AddDirect adds the state that the sidecar of a server has just sent to this process.
func (t *Table) AddDirect(now time.Time, server slatewind.ServerStart, state *slatewindv1.SlotState, trialIn time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(entry{&slatewindv1.ServerReport{
		Server: server.Name, StartUnixMillis: server.Start, State: state, TrialInMs: uint32(trialIn.Milliseconds()),
	}, now, true})
}

// AddRelayed adds reports received from another process.
func (t *Table) AddRelayed(now time.Time, reports []*slatewindv1.ServerReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		t.put(entry{report, now.Add(-Age(report)), false})
	}
}

// Age returns the age of a report when it was sent.
func Age(report *slatewindv1.ServerReport) time.Duration {
	return time.Duration(report.GetAgeMs()) * time.Millisecond
}

// put stores an entry if it is the newest for its server and the server is unhealthy or was known
// as such. Reports on an older start are dropped, and a report on a newer start replaces them
// whatever its age. The lock is held.
func (t *Table) put(e entry) {
	name := e.report.GetServer()
	before, known := t.entries[name]
	newer := e.report.GetStartUnixMillis() - before.report.GetStartUnixMillis()
	if known && (newer < 0 || newer == 0 && !e.at.After(before.at)) || !known && !unhealthy(e.report) {
		return
	}
	t.entries[name] = e
}

// unhealthy reports whether a report is on an unhealthy server.
func unhealthy(report *slatewindv1.ServerReport) bool {
	health := report.GetState().GetHealth()
	return health != "" && health != string(slatewind.ServerHealthy)
}

// Direct returns the reports to send with a request: recent first-hand ones.
func (t *Table) Direct(now time.Time) []*slatewindv1.ServerReport {
	return t.reports(now, maxDirect, func(e entry) bool { return e.direct && now.Sub(e.at) <= directTime })
}

// All returns the reports to send in a reply.
func (t *Table) All(now time.Time) []*slatewindv1.ServerReport {
	return t.reports(now, maxRelayed, func(entry) bool { return true })
}

// reports returns up to limit of the selected reports, at random, with their current ages, and
// removes expired ones.
func (t *Table) reports(now time.Time, limit int, selected func(entry) bool) []*slatewindv1.ServerReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []*slatewindv1.ServerReport
	for name, e := range t.entries {
		age := now.Sub(e.at)
		if age > keepTime {
			delete(t.entries, name)
			continue
		}
		if len(reports) < limit && selected(e) {
			report := proto.CloneOf(e.report)
			report.AgeMs = uint32(max(age, 0).Milliseconds())
			reports = append(reports, report)
		}
	}
	return reports
}
