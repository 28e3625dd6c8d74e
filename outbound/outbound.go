// Package outbound takes the requests that begin on this VM, chooses a server
// for each, and answers.
//
// A request is sent in two steps: a reservation at the process beside a server,
// and, once a slot is granted, the request itself. Reservations that are
// refused, or not answered, cost a round trip and prove that nothing ran, so the
// next server is asked at once; where all are full, the request waits at a few
// of them and takes the first slot. Only what happens after the request was
// sent differs by kind: a repeatable request may go to another server, within
// the fleet's budget of extra attempts; a single one only with a proof that it
// did not run.
package outbound

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("outbound")

// Opener opens streams for reservations to the process beside a server.
type Opener interface {
	Open(ctx context.Context, server slatewind.ServerEntry) (link.Use, error)
}

// Meter counts what became of requests.
type Meter interface {
	// Request counts a request's outcome; route is empty where none was found.
	Request(route string, outcome slatewind.Outcome, took time.Duration)
	// Workspace counts a request that needs a key, by what was decided about its sender.
	Workspace(name string, admission Admission)
	// Extra counts an attempt beyond the first; why is the kind of decision.
	Extra(service, why string)
	// Denied counts an attempt beyond the first that was not made, by its cause.
	Denied(service, cause string)
	// Quarantined counts a request that was refused since servers ended under it.
	Quarantined(service string)
}

// Admission says what was decided about the sender of a request.
type Admission string

// Admissions.
const (
	AdmissionAllowed   Admission = "allowed"
	AdmissionNoKey     Admission = "no-key"
	AdmissionOverLimit Admission = "over-limit"
	// AdmissionUnknown: no process that knows the workspace's use answered.
	AdmissionUnknown Admission = "unknown"
)

// Reports takes what the processes beside servers say when they refuse requests.
type Reports interface {
	// Heard says that a server is sick and when it is to get its next trial.
	Heard(now time.Time, server slatewind.ServerStart, state *slatewindv1.SlotState, trialIn time.Duration)
}

// Self says where an ingress stands.
type Self struct {
	DataCentre string
	// Service is that of the VM, by which its requests are known to servers.
	Service string
}

// Outbound is an ingress: the http.Handler of the callers on this VM. It is safe
// for use by several goroutines.
type Outbound struct {
	self    Self
	dialect slatewind.CallerHeaders
	store   *config.Store
	journal slatewind.Journal
	links   Opener
	calls   slatewind.NestedCalls
	meter   Meter
	reports Reports
	limiter slatewind.Limiter
	// clock counts the time too in which the VM was suspended.
	clock timer.Clock
	// suspects are requests under which servers ended.
	suspects *quarantine.Table

	mu     sync.RWMutex
	shards map[string]*shard
	// servers holds by their names where the known servers belong, places which of them
	// runs at an address.
	servers map[string]home
	places  map[string]string
	// overtaken holds by their addresses servers at which one runs that started later.
	overtaken map[string]slatewind.ServerEntry

	splitMu sync.Mutex
	splits  map[string]*splitter

	// ended is over once requests are answered as they stand.
	ended context.Context
	end   context.CancelFunc

	// stop is the course of the process's stop, nil before it.
	stop atomic.Pointer[drain.Course]
	// inFlight counts the requests in hand, callsInFlight those of them that the server
	// beside the process makes for others that it runs.
	inFlight, callsInFlight atomic.Int64
}

// New returns an ingress that knows no servers yet. Its settings come from store.
func New(self Self, dialect slatewind.CallerHeaders, store *config.Store, journal slatewind.Journal, links Opener, calls slatewind.NestedCalls, meter Meter, reports Reports, limiter slatewind.Limiter, suspects *quarantine.Table) *Outbound {
	ended, end := context.WithCancel(context.Background())
	return &Outbound{
		self: self, dialect: dialect, store: store, journal: journal, links: links, calls: calls, meter: meter, reports: reports, limiter: limiter, suspects: suspects, ended: ended, end: end,
		shards: map[string]*shard{}, servers: map[string]home{}, places: map[string]string{}, overtaken: map[string]slatewind.ServerEntry{}, splits: map[string]*splitter{},
	}
}

// End answers all requests that are in hand, and those that still come, as they stand:
// those that no server has seen are refused, of the others it is unknown whether they
// ran. The process is about to end.
func (o *Outbound) End() {
	o.end()
}

// InFlight returns how many callers wait for an answer.
func (o *Outbound) InFlight() int {
	return int(o.inFlight.Load())
}

// HasCallers reports whether requests are in hand other than calls.
func (o *Outbound) HasCallers() bool {
	return o.inFlight.Load() > o.callsInFlight.Load()
}

// HostOf returns the host of a host:port address without its port, or the
// address itself where it has none.
func HostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
