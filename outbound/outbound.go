// Package outbound implements the ingress: it accepts the requests of the callers on this VM,
// selects a backend server for each and returns the response.
//
// A request is sent in two steps: a reservation at the process beside a server and, once a slot
// is granted, the request itself. A reservation that is refused or not answered costs one round
// trip and proves that the request did not run, so the next server is asked immediately. If all
// servers are full, the request queues at a few of them and takes the first slot granted. Only the
// handling after the request was sent depends on its kind: a repeatable request may be sent to
// another server, within the fleet's budget of extra attempts; a single one only with proof that it
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
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/occupant"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
)

// Error is the error class of this package.
var Error = errs.Class("outbound")

// Opener opens reservation streams to the process beside a server.
type Opener interface {
	Open(ctx context.Context, server slatewind.ServerEntry) (link.Use, error)
}

// Meter records metrics about requests.
type Meter interface {
	// Request counts a request by its outcome; route is empty if the request was rejected before it
	// was handled, for example since no route matched.
	Request(route string, outcome slatewind.Outcome, took time.Duration)
	// Workspace counts a request that requires a key, by the admission decision about its workspace.
	Workspace(name string, admission Admission)
	// Extra counts an attempt after the first; why is the kind of decision that caused it.
	Extra(service, why string)
	// Denied counts an attempt after the first that was not made, by cause.
	Denied(service, cause string)
	// Quarantined counts a request that was refused because servers exited while running it.
	Quarantined(service string)
}

// Admission is the decision about the workspace that sends a request.
type Admission string

// Values of Admission.
const (
	AdmissionAllowed   Admission = "allowed"
	AdmissionNoKey     Admission = "no-key"
	AdmissionOverLimit Admission = "over-limit"
	// AdmissionUnknown means that no process that tracks the workspace's usage answered.
	AdmissionUnknown Admission = "unknown"
)

// Reports receives the server states that are reported with refused reservations.
type Reports interface {
	// AddDirect records that a server is unhealthy and how long until its next trial.
	AddDirect(now time.Time, server slatewind.ServerStart, state *slatewindv1.SlotState, trialIn time.Duration)
}

// Self identifies the ingress.
type Self struct {
	choice.Place
	// Service is the service of the servers on this VM. Servers receive it as the calling service.
	Service string
}

// Outbound is the ingress, the http.Handler for the callers on this VM. It is safe for
// concurrent use.
type Outbound struct {
	self        Self
	headerNames slatewind.CallerHeaders
	store       *config.Store
	journal     slatewind.Journal
	links       Opener
	calls       slatewind.NestedCalls
	meter       Meter
	reports     Reports
	limiter     slatewind.Limiter
	// clock includes the time during which the VM was suspended.
	clock timer.Clock
	// suspects holds the requests during which servers exited.
	suspects *quarantine.Table
	memory   Memory

	// mu guards shards and occupants.
	mu sync.RWMutex
	// shards holds the state of each service by its name.
	shards map[string]*shard
	// occupants holds the entries of all servers.
	occupants *occupant.Table

	// splitMu guards splits, which holds the splitters by route and settings version.
	splitMu sync.Mutex
	splits  map[string]*splitter

	// ended is done once all requests must be completed immediately, see End.
	ended context.Context
	end   context.CancelFunc

	// stop describes the shutdown in progress; nil if there is none.
	stop atomic.Pointer[drain.Schedule]
	// inFlight counts the requests in flight, callsInFlight those of them that are nested calls
	// of the server beside this process.
	inFlight, callsInFlight atomic.Int64
}

// New returns an ingress without any known servers. It takes its settings from store.
func New(self Self, headerNames slatewind.CallerHeaders, store *config.Store, journal slatewind.Journal, links Opener, calls slatewind.NestedCalls, meter Meter, reports Reports, limiter slatewind.Limiter, suspects *quarantine.Table, memory Memory) *Outbound {
	ended, end := context.WithCancel(context.Background())
	return &Outbound{
		self: self, headerNames: headerNames, store: store, journal: journal, links: links, calls: calls, meter: meter, reports: reports, limiter: limiter, suspects: suspects, memory: memory.withDefaults(), ended: ended, end: end,
		shards: map[string]*shard{}, occupants: occupant.NewTable(), splits: map[string]*splitter{},
	}
}

// End completes all requests in flight, and those that still arrive, in their present state: requests
// that no server has received are refused, all others end with an unknown outcome. It is called
// just before the process exits.
func (o *Outbound) End() {
	o.end()
}

// InFlight returns the number of requests that are waiting for a response.
func (o *Outbound) InFlight() int {
	return int(o.inFlight.Load())
}

// HasCallers reports whether any requests other than nested calls are in flight.
func (o *Outbound) HasCallers() bool {
	return o.inFlight.Load() > o.callsInFlight.Load()
}

// HostOf returns the host of a host:port address, or the address itself if it has no port.
func HostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
