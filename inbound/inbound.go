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
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/link"
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
	// defaultSlots counts until the server or its entry tells its slots.
	defaultSlots = 2
)

// Cause says why a reservation was refused.
type Cause string

// Causes of refusals.
const (
	// CauseFull: no slot will be free in time.
	CauseFull Cause = "full"
	// CauseSick: the breaker is open.
	CauseSick Cause = "sick"
	// CauseLeaving: the server or this process takes no new work.
	CauseLeaving Cause = "leaving"
	// CauseMoved: another server than the expected one is here.
	CauseMoved Cause = "moved"
	// CauseLate: the request's time is over.
	CauseLate Cause = "late"
)

// Server says which server stands beside the process.
type Server struct {
	Service string
	Address string
	Dialect slatewind.ServerDialect
}

// Inbound hands out the slots of one server.
type Inbound struct {
	server  Server
	pool    *backend.Pool
	journal slatewind.Journal

	mu      sync.Mutex
	name    string
	slots   *admission.Server
	breaker *breaker.Breaker
	waiting map[string]chan admission.Decision
	// away says why the server takes no work, stopping why the process does.
	away     string
	stopping string
	nextID   uint64
}

// New returns the slots of a server.
func New(server Server, journal slatewind.Journal) *Inbound {
	return &Inbound{
		server: server, journal: journal,
		pool:    backend.NewPool(server.Address, server.Dialect),
		slots:   admission.NewServer(defaultSlots),
		breaker: breaker.New(),
		waiting: map[string]chan admission.Decision{},
	}
}

// Start begins the ticks, which end with ctx.
func (in *Inbound) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(ctx, tickInterval, func(t timer.Tick) { in.tick(t.Now) })
}

func (in *Inbound) tick(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.deliver(in.slots.Advance(now))
	if in.breaker.Tick(now) {
		in.noteBreaker(now, "requests run for far longer than their route's mean")
	}
}

// Published takes the server's entry as it is published.
func (in *Inbound) Published(now time.Time, entry *slatewind.ServerEntry) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.rename(now, entry.Name)
	if entry.Leaving {
		in.leave(now, "its entry says so")
		return
	}
	in.away = ""
	in.setSlots(entry.Slots)
}

// Gone says that the entry of a server is published no more.
func (in *Inbound) Gone(now time.Time, name string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if name == in.name {
		in.leave(now, "its entry is gone")
	}
}

// rename notes which start of the server stands here; a new one begins with a
// clean record.
func (in *Inbound) rename(now time.Time, name string) {
	if in.name == name {
		return
	}
	if in.name != "" {
		in.breaker.Reset()
		in.journal.Add(slatewind.Decision{
			Time: now, Kind: slatewind.DecisionMember, Service: in.server.Service, Server: name,
			Reason: "another start of the server is beside this process", Evidence: "before=" + in.name,
		})
	}
	in.name = name
}

func (in *Inbound) leave(now time.Time, reason string) {
	if in.away != "" {
		return
	}
	in.away = reason
	in.noteLeaving(now, "the server takes no new work: "+reason)
	in.deliver(in.slots.RefuseAll("the server is leaving: " + reason))
}

func (in *Inbound) noteLeaving(now time.Time, reason string) {
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionLeaving, Service: in.server.Service, Server: in.name, Reason: reason,
	})
}

// Stop begins the end of the process: no new reservations from now on.
func (in *Inbound) Stop(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopping != "" {
		return
	}
	in.stopping = "the process beside the server stops"
	in.noteLeaving(now, in.stopping)
	in.deliver(in.slots.RefuseAll(in.stopping))
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

func (in *Inbound) setSlots(slots int) {
	if slots > 0 {
		in.slots.SetSlots(slots)
	}
}

// state returns what replies tell of the server. The lock is held.
func (in *Inbound) state() *slatewindv1.SlotState {
	return &slatewindv1.SlotState{
		Server: in.name,
		InUse:  uint32(in.slots.InUse()), Queued: uint32(in.slots.Queued()), Slots: uint32(in.slots.Slots()),
		Health:    string(healthOf(in.breaker.State())),
		Leaving:   in.away != "" || in.stopping != "",
		HoldNanos: int64(in.slots.Mean()), SuccessShare: in.breaker.Share(), ShedShare: in.breaker.Shed(),
	}
}

func healthOf(state breaker.State) slatewind.ServerState {
	switch state {
	case breaker.StateOpen:
		return slatewind.ServerEjected
	case breaker.StateHalfOpen:
		return slatewind.ServerTrial
	}
	return slatewind.ServerHealthy
}

// noteBreaker writes down that the judgement changed. The lock is held.
func (in *Inbound) noteBreaker(now time.Time, why string) {
	kind := slatewind.DecisionReturn
	if in.breaker.State() != breaker.StateClosed {
		kind = slatewind.DecisionEject
	}
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: kind, Service: in.server.Service, Server: in.name,
		Reason:   fmt.Sprintf("breaker is %s: %s", in.breaker.State(), why),
		Evidence: fmt.Sprintf("score=%.1f in_use=%d slots=%d", in.breaker.Score(), in.slots.InUse(), in.slots.Slots()),
	})
}

// deliver hands decisions to those who wait for them. The lock is held.
func (in *Inbound) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if d.Action == admission.ActionQueue {
			continue
		}
		if waiter, ok := in.waiting[d.Item.ID]; ok {
			delete(in.waiting, d.Item.ID)
			waiter <- d
		}
	}
}

// offer asks for a slot. It returns the decision at once, or the channel that
// will give it.
func (in *Inbound) offer(now time.Time, r *slatewindv1.Reservation) (admission.Item, *slatewindv1.Refusal, <-chan admission.Decision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if refusal := in.refuses(now, r); refusal != nil {
		return admission.Item{}, refusal, nil
	}
	in.nextID++
	item := admission.Item{
		ID:       fmt.Sprint(in.nextID),
		Priority: slatewind.PriorityInteractive,
		Rank:     r.GetRank(),
		Deadline: now.Add(time.Duration(r.GetRemainingNanos())),
		StartBy:  now.Add(time.Duration(r.GetPatienceNanos())),
	}
	decision := make(chan admission.Decision, 1)
	in.waiting[item.ID] = decision
	in.deliver(in.slots.Offer(now, item))
	return item, nil, decision
}

// expected returns the identity that a request is sent for: the server's as it is
// known here, where that is newer than the sender's, or the sender's.
func (in *Inbound) expected(r *slatewindv1.Reservation) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.name != "" {
		return in.name
	}
	return r.GetServer()
}

// refuses returns why the server may not get a request now, or nil.
func (in *Inbound) refuses(now time.Time, r *slatewindv1.Reservation) *slatewindv1.Refusal {
	switch {
	case r.GetService() != in.server.Service:
		return in.refusal(CauseMoved, "the server here belongs to service "+in.server.Service, 0)
	case in.stopping != "":
		return in.refusal(CauseLeaving, in.stopping, 0)
	case in.away != "":
		return in.refusal(CauseLeaving, "the server is leaving: "+in.away, 0)
	case !in.breaker.Allow(now, breaker.Ask{Careful: r.GetCareful(), LastResort: r.GetLastResort()}):
		reason := fmt.Sprintf("the breaker is %s", in.breaker.State())
		return in.refusal(CauseSick, reason, in.breaker.RetryAfter(now))
	}
	return nil
}

// refusal returns a refusal with the server's state. The lock is held.
func (in *Inbound) refusal(cause Cause, reason string, after time.Duration) *slatewindv1.Refusal {
	return &slatewindv1.Refusal{Cause: string(cause), Reason: reason, RetryAfterNanos: int64(after), State: in.state()}
}

// abandon takes a waiting reservation back, or its slot if it got one meanwhile.
func (in *Inbound) abandon(item admission.Item, decision <-chan admission.Decision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.slots.Remove(item.ID) {
		delete(in.waiting, item.ID)
		return
	}
	if d := <-decision; d.Action == admission.ActionStart {
		in.release(time.Now(), item)
	}
}

// release gives a slot back that no request used. The lock is held.
func (in *Inbound) release(now time.Time, item admission.Item) {
	in.deliver(in.slots.Done(now, item, in.slots.Mean()))
}

// View is the server's part of a state dump.
type View struct {
	Service string        `json:"service"`
	Server  string        `json:"server"`
	Address string        `json:"address"`
	Leaving string        `json:"leaving,omitempty"`
	Breaker breaker.State `json:"breaker"`
	Score   float64       `json:"score"`
	InUse   int           `json:"in_use"`
	Queued  int           `json:"queued"`
	Slots   int           `json:"slots"`
	// Connections is how many were opened to the server so far.
	Connections uint64 `json:"connections_opened"`
}

// View returns the server's part of a state dump.
func (in *Inbound) View() View {
	in.mu.Lock()
	defer in.mu.Unlock()
	return View{
		Service: in.server.Service, Server: in.name, Address: in.server.Address, Leaving: in.away + in.stopping,
		Breaker: in.breaker.State(), Score: in.breaker.Score(),
		InUse: in.slots.InUse(), Queued: in.slots.Queued(), Slots: in.slots.Slots(), Connections: in.pool.Opened(),
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
	return ignoreEnd(stream.Context(), u.serve())
}

// ignoreEnd leaves out errors that only say that the sender is gone.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
