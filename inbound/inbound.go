// Package inbound gives out the slots of the one server beside this process.
//
// Everything that the fleet sends to the server passes here, in two steps. A
// reservation asks for a slot; it is refused, queued or granted without the
// server being touched. Only a granted reservation may send its request. So an
// ingress that hears nothing, or does not like to wait, goes elsewhere with the
// proof that nothing ran: it never sent the request. The judgement of the
// server (package breaker) stands here too, since only this process sees all of
// the server's traffic.
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
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/retry"
	"slatewind.example/slatewind/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("inbound")

const (
	// tickInterval is how often the queue and overdue requests are looked at.
	tickInterval = 50 * time.Millisecond
	// grantTime is how long a granted slot waits for its request. A sender that
	// takes longer has given up, or one of the two processes was paused.
	grantTime = time.Second
	// defaultSlots is the number of slots until the server or its entry states it.
	defaultSlots = 2
)

// Cause says why a reservation was refused.
type Cause string

// Causes of refusals.
const (
	// CauseFull: no slot will be free in time.
	CauseFull Cause = "full"
	// CauseSick: the breaker lets no such request through.
	CauseSick Cause = "sick"
	// CauseLeaving: the server takes no new work.
	CauseLeaving Cause = "leaving"
	// CauseStopping: this process is about to end and takes no new work; the next one will.
	CauseStopping Cause = "stopping"
	// CauseMoved: the server here belongs to another service.
	CauseMoved Cause = "moved"
	// CauseBudget: an extra arrival that the bound on them does not allow here.
	CauseBudget Cause = "budget"
	// CauseQuarantined: servers ended under the request.
	CauseQuarantined Cause = "quarantined"
	// CauseLate: the request's time is over, its granted slot ran out, or it cannot be
	// finished before this process ends.
	CauseLate Cause = "late"
)

// Server says which server stands beside the process.
type Server struct {
	Service string
	// Address is the server's IP:port.
	Address string
	Dialect slatewind.ServerHeaders
}

// Bounds holds the operators' bound on extra arrivals at the servers of a service:
// in each window no more than slack and a ratio of the first ones.
type Bounds struct {
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

const (
	// extrasShare is the share of the bound that is given out. The rest is for calls
	// of runs that were extra ones, which are not denied, for servers that are
	// not known of yet, and for what is earned for a short time only (retry.Window).
	extrasShare = 0.85
	// leastSlack is how many attempts of the slack are given out where that share of it is
	// less.
	leastSlack = 1
)

// Inbound gives out the slots of one server. It is safe for use by several
// goroutines.
type Inbound struct {
	server  Server
	pool    *backend.Pool
	journal slatewind.Journal

	mu sync.Mutex
	// name is that of the server that runs here, start which start of it; empty until known.
	name  string
	start int64
	// gone says that its entry is.
	gone bool
	// overtaken is the entry of another server at the address that seems to have started
	// earlier, or nil.
	overtaken *slatewind.ServerEntry
	slots     *admission.Server
	breaker   *breaker.Breaker
	// extras is the account of extra arrivals at the server.
	extras *retry.Window
	// bounds are the operators'; sharer is the server's place among those that share them.
	bounds Bounds
	sharer retry.Sharer
	// waiting holds, by the item's id, where its decision is awaited.
	waiting map[string]chan admission.Decision
	// parents holds, by their callers' ids, the requests that the server runs.
	parents map[string]*parent
	// unread holds, by the item's id, what tells whether bytes of an answer wait to be read, and
	// looked is when they were last asked.
	unread map[string]func() bool
	looked time.Time
	// away says why the server takes no work.
	away string
	// stop is the course of the process's stop, nil before it; callers reports whether it
	// has callers' requests in hand.
	stop    *drain.Course
	callers func() bool
	// closed says that what waited when the stop closed was refused.
	closed bool
	// inHand counts the reservations that have no final reply yet, early those of them
	// that got their slot before the stop closed.
	inHand, early int
	nextID        uint64
	// idle is the time in which the server gets no request.
	idle idleTime
	// clock counts the time too in which the VM was suspended.
	clock timer.Clock
	// pauses tells when the process did not run.
	pauses pauseDetector
	// crashes finds the ends of the server, suspects are the requests under which servers ended.
	crashes  *crash.Detector
	suspects *quarantine.Table
}

// New returns the slots of a server. What is known of requests under which servers ended is the
// process's.
func New(server Server, bounds Bounds, journal slatewind.Journal, suspects *quarantine.Table) *Inbound {
	in := &Inbound{
		server: server, bounds: bounds, journal: journal, suspects: suspects,
		pool:    backend.NewPool(server.Address, server.Dialect),
		slots:   admission.NewServer(defaultSlots),
		breaker: breaker.New(),
		extras:  retry.NewWindow(time.Now(), extrasShare*bounds.RetryRatio, bounds.RetryWindow),
		waiting: map[string]chan admission.Decision{},
		parents: map[string]*parent{},
		unread:  map[string]func() bool{},
		idle:    newIdleTime(time.Now()),
	}
	in.crashes = crash.New(in.pool.Probe, func() bool { return in.leaving() != "" })
	return in
}

// Start begins the ticks, which end with ctx.
func (in *Inbound) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(ctx, tickInterval, func(t timer.Tick) { in.tick(t.Now) })
}

func (in *Inbound) tick(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closeInTime(now)
	in.deliver(in.slots.Advance(now))
	in.lookForAnswers(now)
	if in.judge(now).Tick(now) {
		in.noteBreaker(now, "requests run for far longer than their route's mean")
	}
	in.noteIdle(now)
	in.pauses.tick(now)
}

// SetSharer states the server's place among those of its service; they share the bound on
// extra arrivals.
func (in *Inbound) SetSharer(sharer retry.Sharer) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sharer = sharer
	in.shareSlack()
}

// SetBounds changes the operators' bound. What was spent counts on.
func (in *Inbound) SetBounds(bounds Bounds) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.bounds = bounds
	in.extras.SetBounds(time.Now(), extrasShare*bounds.RetryRatio, bounds.RetryWindow)
	in.shareSlack()
}

// shareSlack takes the server's share of the slack. The lock is held.
func (in *Inbound) shareSlack() {
	slack := in.bounds.RetrySlack
	in.extras.SetBare(slack == 0)
	in.extras.SetSlack(in.sharer.Share(max(extrasShare*slack, min(slack, leastSlack))))
}

// leave refuses all work from now on. The lock is held.
func (in *Inbound) leave(now time.Time, reason string) {
	if in.away != "" {
		return
	}
	in.away = reason
	in.noteLeaving(now, "the server takes no new work: "+reason)
	in.deliver(in.slots.RefuseAll(whyLeaving(reason)))
}

func (in *Inbound) noteLeaving(now time.Time, reason string) {
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionLeaving, Service: in.server.Service, Server: in.name, Reason: reason,
	})
}

// InUse returns how many slots are held.
func (in *Inbound) InUse() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.slots.InUse()
}

// Close closes the connections that no request uses.
func (in *Inbound) Close() {
	in.pool.CloseIdle()
}

// setSlots takes a number of slots where one is stated. The lock is held.
func (in *Inbound) setSlots(slots int) {
	if slots > 0 {
		in.slots.SetSlots(slots)
	}
}

// Serve handles one reservation until its end.
func (in *Inbound) Serve(stream link.UseStream) error {
	first, err := stream.Recv()
	if err != nil {
		return ignoreEnd(stream.Context(), err)
	}
	reservation := first.GetReservation()
	if reservation == nil {
		return Error.New("a stream begins with a reservation")
	}
	u := &use{in: in, stream: stream, reservation: reservation}
	u.begin()
	defer u.finish()
	return ignoreEnd(stream.Context(), u.serve())
}

// ignoreEnd leaves out errors that only say that the sender is gone.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
