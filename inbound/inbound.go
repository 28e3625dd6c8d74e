// Package inbound manages the slots (the concurrency limit) of the one backend server beside this
// process.
//
// All requests of the fleet to that server pass through this package, in two steps. A reservation
// asks for a slot; it is refused, queued or granted without contacting the server. Only a granted
// reservation may send its request. An ingress that gets no reply, or does not want to wait, may
// therefore use another server: nothing ran, since the ingress never sent the request. The
// server's circuit breaker (package breaker) is part of this package, since only this process
// sees all of the server's traffic.
package inbound

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/occupant"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/retry"
	"slatewind.example/slatewind/serverlimit"
	"slatewind.example/slatewind/throttle"
	"slatewind.example/slatewind/timer"
	"slatewind.example/slatewind/warmup"
)

// Error is the class of errors of this package.
var Error = errs.Class("inbound")

const (
	// tickInterval is how often the queue and overdue requests are checked.
	tickInterval = 50 * time.Millisecond
	// grantTime is how long a granted slot is kept for its request. A sender that takes longer
	// has given up, or one of the two processes was paused.
	grantTime = time.Second
	// defaultSlots is the number of slots until the server or its entry states one.
	defaultSlots = 2
)

// Cause is the reason why a reservation was refused.
type Cause string

// Causes of refusals.
const (
	// CauseFull: no slot will be free before the reservation's wait limit.
	CauseFull Cause = "full"
	// CauseUnhealthy: the circuit breaker rejects requests of this kind.
	CauseUnhealthy Cause = "sick"
	// CauseLeaving: the server accepts no new requests.
	CauseLeaving Cause = "leaving"
	// CauseStopping: this process is about to exit and accepts no new requests; its successor
	// will.
	CauseStopping Cause = "stopping"
	// CauseMoved: the server at this address belongs to another service.
	CauseMoved Cause = "moved"
	// CauseBudget: the retry budget of this server does not allow another extra attempt.
	CauseBudget Cause = "budget"
	// CauseWarming: the server warms up and gets no further request at present.
	CauseWarming Cause = "warming"
	// CauseLimited: the server gets no further request at present, by the limit that it states.
	CauseLimited Cause = "limited"
	// CauseQuarantined: servers exited while they were running this request.
	CauseQuarantined Cause = "quarantined"
	// CauseLate: the request's deadline has passed, its granted slot has expired, or it cannot
	// complete before this process exits.
	CauseLate Cause = "late"
)

// Server identifies the server beside the process.
type Server struct {
	Service string
	// Address is the server's IP:port.
	Address string
	Headers slatewind.ServerHeaders
}

// Bounds is the operators' limit on extra attempts (retries and hedges) that arrive at the
// servers of a service: in each window at most RetrySlack attempts plus RetryRatio times the
// number of first attempts.
type Bounds struct {
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

const (
	// slackShare is the share of the slack that extra attempts may use; the rest is the credit of calls
	// that extra attempts make.
	slackShare = 0.85
	// ratioShare is the share of the ratio that servers with a share of the slack use, noSlackRatioShare
	// that of others, whose attempts are earned only for a short time (retry.Window). The rest covers
	// calls of extra attempts that are not known as such, since a sidecar has restarted.
	ratioShare        = 0.95
	noSlackRatioShare = 0.85
	// minSlack is the minimum number of attempts of the slack that may be used, in case
	// slackShare of the slack is less.
	minSlack = 1
)

// Inbound manages the slots of one server. It is safe for concurrent use.
type Inbound struct {
	server  Server
	pool    *backend.Pool
	journal slatewind.Journal

	mu sync.Mutex
	// name is the name of the server that is running here and start identifies its start; both
	// are zero until they are known.
	name  string
	start int64
	// evacuated reports that the server's data centre is evacuated.
	evacuated bool
	// occupant decides which server is running at the address.
	occupant *occupant.Local
	slots    *admission.Server
	breaker  *breaker.Breaker
	// extras is the budget of extra attempts at the server.
	extras *retry.Window
	// bounds is the operators' limit; sharer is the server's position among the servers that
	// share it.
	bounds Bounds
	sharer retry.Sharer
	// waiting holds the channels on which reservations await their decision, by item ID.
	waiting map[string]chan admission.Decision
	// parents holds the requests that the server is running, by the request ID of the caller.
	parents map[string]*parent
	// unread holds, by item ID, the functions that report whether bytes of an answer are waiting
	// to be read; lastUnreadCheck is when they were last called.
	unread          map[string]func() bool
	lastUnreadCheck time.Time
	// leavingReason is the reason why the server accepts no new requests, or empty while it does.
	leavingReason string
	// statedLeaving reports that the server stated in an answer that it is leaving.
	statedLeaving bool
	// shutdown is the schedule of the graceful shutdown, nil before it begins; callersInFlight
	// reports whether requests of callers are in flight.
	shutdown        *drain.Schedule
	callersInFlight func() bool
	// queueRefused reports that the reservations that were waiting when the shutdown stopped
	// admission have been refused.
	queueRefused bool
	// inFlight is the number of reservations without a final reply, beforeClose the number of
	// those that got their slot before the shutdown stopped admission.
	inFlight, beforeClose int
	nextID                uint64
	// ended is done, and cancelled by end, when the runs in progress must end.
	ended context.Context
	end   context.CancelFunc
	// idle is the time since the server last got a request.
	idle idleTime
	// clock also counts the time during which the VM was suspended.
	clock timer.Clock
	// pauses detects when the process did not run.
	pauses pauseDetector
	// crashes detects exits of the server; suspects is the process's table of requests that
	// servers were running when they exited.
	crashes  *crash.Detector
	suspects *quarantine.Table
	// warmup limits the requests while the server warms up.
	warmup *warmup.Limiter
	// limit keeps the requests within the limit that the server states.
	limit  serverlimit.Limiter
	memory Memory
	// meter, which may be nil, counts surplus answers; surplusLines limits the entries about them.
	meter        Meter
	surplusLines *throttle.Throttle
}

// New returns an Inbound for a server. The table of suspects is shared by the whole process.
func New(server Server, bounds Bounds, journal slatewind.Journal, suspects *quarantine.Table, memory Memory) *Inbound {
	in := &Inbound{
		server: server, bounds: bounds, journal: journal, suspects: suspects, memory: memory.withDefaults(),
		pool:     backend.NewPool(server.Address, server.Headers),
		occupant: occupant.NewLocal(server.Service),
		slots:    admission.NewServer(defaultSlots),
		breaker:  breaker.New(),
		extras:   retry.NewWindow(time.Now(), noSlackRatioShare*bounds.RetryRatio, bounds.RetryWindow),
		waiting:  map[string]chan admission.Decision{},
		parents:  map[string]*parent{},
		unread:   map[string]func() bool{},
		warmup:   warmup.NewLimiter(time.Now()),
		idle:     newIdleTime(time.Now()),

		surplusLines: throttle.New(maxSurplusLines, surplusLinesInterval),
	}
	in.pool.Observe(in.recordSurplus)
	in.ended, in.end = context.WithCancel(context.Background())
	in.crashes = crash.New(in.pool.Probe, func() bool { return in.leaving() != "" })
	return in
}

// Start starts the periodic checks. They stop when ctx ends.
func (in *Inbound) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(ctx, tickInterval, func(t timer.Tick) { in.tick(t.Now) })
}

func (in *Inbound) tick(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.refuseQueued(now)
	in.deliver(in.slots.Advance(now))
	in.checkUnread(now)
	if in.currentBreaker(now).Tick(now) {
		in.recordBreaker(now, "requests run for far longer than their route's mean")
	}
	in.recordIdle(now)
	in.pauses.tick(now)
}

// SetSharer sets the server's position among the servers of its service, which share the limit on
// extra attempts.
func (in *Inbound) SetSharer(sharer retry.Sharer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sharer = sharer
	in.updateExtras()
}

// SetBounds changes the operators' limit. Attempts that were already made still count.
func (in *Inbound) SetBounds(bounds Bounds) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.bounds = bounds
	in.updateExtras()
}

// SetWarmup sets the operators' limits for a server that warms up.
func (in *Inbound) SetWarmup(limits warmup.Limits) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.warmup.SetLimits(limits)
}

// updateExtras updates the server's share of the operators' limit. in.mu must be held.
func (in *Inbound) updateExtras() {
	now, slack := time.Now(), in.bounds.RetrySlack
	used := max(slackShare*slack, min(slack, minSlack))
	share := retry.Share{Slack: in.sharer.Share(used), Credit: in.sharer.Share(slack - used)}
	ratio := ratioShare
	if share.Slack < 1 {
		ratio = noSlackRatioShare
	}
	in.extras.SetBounds(now, ratio*in.bounds.RetryRatio, in.bounds.RetryWindow)
	in.extras.SetNoSlack(slack == 0)
	in.extras.SetShare(now, share)
}

// startLeaving refuses all reservations from now on, the queued ones included. in.mu must be held.
func (in *Inbound) startLeaving(now time.Time, reason string) {
	if in.leavingReason != "" {
		return
	}
	in.leavingReason = reason
	in.recordLeaving(now, "the server accepts no new requests: "+reason)
	in.deliver(in.slots.RefuseAll(leavingText(reason)))
}

func (in *Inbound) recordLeaving(now time.Time, reason string) {
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionLeaving, Service: in.server.Service, Server: in.name, Reason: reason,
	})
}

// InUse returns the number of slots in use.
func (in *Inbound) InUse() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.slots.InUse()
}

// Close ends the runs in progress and closes the idle connections to the server.
func (in *Inbound) Close() {
	in.end()
	in.pool.CloseIdle()
}

// setSlots sets the number of slots if it is positive. in.mu must be held.
func (in *Inbound) setSlots(slots int) {
	if slots > 0 {
		in.slots.SetSlots(slots)
	}
}

// Serve handles one reservation until it ends.
func (in *Inbound) Serve(stream link.UseStream) error {
	first, err := stream.Recv()
	if err != nil {
		return ignoreDisconnect(stream.Context(), err)
	}
	reservation := first.GetReservation()
	if reservation == nil {
		return Error.New("invalid stream: the first message must be a reservation")
	}
	u := &use{in: in, stream: stream, reservation: reservation}
	u.trackInFlight()
	defer u.untrackInFlight()
	defer u.releaseHeld()
	return ignoreDisconnect(stream.Context(), u.serve())
}

// ignoreDisconnect returns nil for errors that only result from the sender's disconnecting. The stream of
// a truncated answer must not end like that of a complete one.
func ignoreDisconnect(ctx context.Context, err error) error {
	if !errors.Is(err, errTruncated) && (ctx.Err() != nil || errors.Is(err, io.EOF)) {
		return nil
	}
	return err
}
