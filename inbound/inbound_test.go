package inbound_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
	"slatewind.example/slatewind/warmup"
)

// fixture is a server with the Inbound of the process beside it.
type fixture struct {
	*inbound.Inbound
	server  *standin.Stamped
	journal *history.Journal
}

const slots = 2

// bounds allow a server some extra attempts once its process has run for one window.
var bounds = inbound.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: time.Second}

func newFixture(t *testing.T) *fixture {
	server := standin.NewStamped("s-1", platform.Servers())
	p := newFixtureFor(t, server)
	p.server = server
	return p
}

// newFixtureFor returns a fixture with the given server.
func newFixtureFor(t *testing.T, server http.Handler) *fixture {
	return newFixtureWithMemory(t, bodylimit.NewBudget(0), server)
}

// newFixtureWithMemory returns a fixture with the given server and budget for bodies.
func newFixtureWithMemory(t *testing.T, bodies *bodylimit.Budget, server http.Handler) *fixture {
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	p := &fixture{journal: history.New(0, nil)}
	p.Inbound = inbound.New(inbound.Server{
		Service: "svc", Address: strings.TrimPrefix(web.URL, "http://"), Headers: platform.Servers(),
	}, bounds, p.journal, quarantine.NewTable(nil, nil), inbound.Memory{Requests: bodies})
	p.SetWarmup(warmup.Limits{})
	t.Cleanup(p.Close)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
	return p
}

// newFixtureWithoutServer returns a fixture for tests of reservations only: nothing listens at
// its server's address.
func newFixtureWithoutServer() *fixture {
	p := &fixture{Inbound: inbound.New(inbound.Server{
		Service: "svc", Address: "127.0.0.1:1", Headers: platform.Servers(),
	}, bounds, history.New(0, nil), quarantine.NewTable(nil, nil), inbound.Memory{})}
	p.SetWarmup(warmup.Limits{})
	return p
}

// reservation returns a reservation for a repeatable request, which may be used as a trial.
func reservation() *slatewindv1.Reservation {
	return &slatewindv1.Reservation{Service: "svc", Route: "r", Repeatable: true, RemainingMs: 2000, PatienceMs: 1000}
}

// longReservation returns a reservation for a request with the given expected service time.
func longReservation(expectedMs uint32) *slatewindv1.Reservation {
	r := reservation()
	r.ExpectedMs = expectedMs
	return r
}

// shutdownStartedAgo returns the schedule of a shutdown with a grace period of six seconds that
// started the given time ago.
func shutdownStartedAgo(ago time.Duration) drain.Schedule {
	return drain.Schedule{Began: time.Now().Add(-ago), Grace: 6 * time.Second}
}

// noCallers reports that no requests of callers are in flight.
func noCallers() bool { return false }

// TestStoppingProcessGrantsSlots: slots are still granted just after a shutdown has started, and
// the reservations that are queued when it stops admission are refused then.
func TestStoppingProcessGrantsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := newFixtureWithoutServer()
		p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 1})
		p.Start(ctx, timer.New())
		const closesIn = 700 * time.Millisecond
		p.Drain(shutdownStartedAgo(1500*time.Millisecond), noCallers)
		_, reply := p.reserve(ctx, reservation())
		assert.Assert(t, reply.GetGranted() != nil, reply)
		assert.Assert(t, !reply.GetGranted().GetLeaving())
		patient := reservation()
		patient.RemainingMs, patient.PatienceMs = 8000, 8000
		waiting, reply := p.reserve(ctx, patient)
		assert.Assert(t, reply.GetQueued() != nil, reply)
		began := time.Now()
		// The granted slot is not used; it is kept for a second.
		reply, err := waiting.Recv()
		assert.NilError(t, err)
		waited := time.Since(began)
		assert.Assert(t, waited >= closesIn && waited < closesIn+100*time.Millisecond, "%s", waited)
		assert.Equal(t, inbound.Cause(reply.GetRefusal().GetCause()), inbound.CauseStopping)
		assert.Assert(t, reply.GetRefusal().GetRetryAfterMs() > 0)
		cancel()
		synctest.Wait()
	})
}

// reserve opens a stream with a reservation and returns the first reply.
func (p *fixture) reserve(ctx context.Context, r *slatewindv1.Reservation) (link.Use, *slatewindv1.UseReply) {
	use := link.LocalUse(ctx, p.Serve)
	if err := use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Reservation{Reservation: r}}); err != nil {
		panic(err)
	}
	reply, err := use.Recv()
	if err != nil {
		panic(err)
	}
	return use, reply
}

// request sends the request that uses a granted slot and returns the reply.
func request(use link.Use, id string) (*slatewindv1.UseReply, error) {
	err := use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{
		RemainingNanos: int64(2 * time.Second), Server: "s-1", Method: "POST", Target: []byte("/x"), Host: "h",
		Headers: []*slatewindv1.Header{{Name: platform.Servers().RequestID, Value: []byte(id)}}, Body: []byte("b"), BodyLength: 1,
	}}})
	if err != nil {
		return nil, err
	}
	return use.Recv()
}

// run takes one request through both steps and returns a short text of the result: the refusal's
// cause, the failure's outcome, or the status and the body.
func (p *fixture) run(r *slatewindv1.Reservation, id string) (result string) {
	use, reply := p.reserve(context.Background(), r)
	if refusal := reply.GetRefusal(); refusal != nil {
		return refusal.GetCause()
	}
	reply, err := request(use, id)
	switch {
	case err != nil:
		return err.Error()
	case reply.GetFailure() != nil:
		return reply.GetFailure().GetOutcome()
	case reply.GetRefusal() != nil:
		return reply.GetRefusal().GetCause()
	}
	var text strings.Builder
	for {
		part, err := use.Recv()
		if errors.Is(err, io.EOF) || part.GetEnd() != nil {
			return fmt.Sprint(reply.GetHead().GetStatus(), " ", text.String())
		}
		text.Write(part.GetChunk())
	}
}

// TestDeadlineLimitedByShutdown: a server that gets a request during the shutdown of the process
// beside it is given a deadline before the end of that process.
func TestDeadlineLimitedByShutdown(t *testing.T) {
	handed := make(chan string, 1)
	p := newFixtureFor(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.Servers().RequestID, r.Header.Get(platform.Servers().RequestID))
		handed <- r.Header.Get(platform.Servers().Deadline)
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	schedule := drain.Schedule{Began: time.Now().Add(-time.Second), Grace: 3 * time.Second}
	p.Drain(schedule, noCallers)
	p.run(reservation(), "id")
	left := time.Until(schedule.WorkEnds())
	milliseconds, err := strconv.Atoi(<-handed)
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(milliseconds)*time.Millisecond < left, "%d ms, the process ends in %s", milliseconds, left)
}

// TestOutcomes: the result of one request for each behaviour of the server, and whether the
// server ran it.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		mode   standin.StampedMode
		result string
		runs   int
	}{
		"an answer":           {standin.StampedOK, "200 s-1 /x b", 1},
		"an error of its own": {standin.StampedError, "500 s-1 /x b", 1},
		"a reset":             {standin.StampedReset, "unknown", 0},
		"a lost answer":       {standin.StampedLost, "unknown", 1},
		"a rejection":         {standin.StampedShed, "not-run", 0},
		"a truncated answer":  {standin.StampedCut, "unknown", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			p.server.SetMode(test.mode)
			assert.Equal(t, p.run(reservation(), "id"), test.result)
			assert.Equal(t, p.server.Runs()["id"], test.runs)
			assert.Equal(t, p.server.Arrivals(), 1, "nothing is sent twice")
			assert.Equal(t, p.InUse(), 0)
		})
	}
}

// TestRefusals: refused reservations cause no request to the server.
func TestRefusals(t *testing.T) {
	careful := reservation()
	careful.Careful = true
	other := reservation()
	other.Service = "another"
	tests := map[string]struct {
		before func(p *fixture)
		r      *slatewindv1.Reservation
		cause  inbound.Cause
	}{
		"another service":                      {func(*fixture) {}, other, inbound.CauseMoved},
		"a leaving server":                     {func(p *fixture) { p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Leaving: true}) }, reservation(), inbound.CauseLeaving},
		"a server without an entry":            {func(p *fixture) { p.Removed(time.Now(), "s-1") }, reservation(), inbound.CauseLeaving},
		"a process that has stopped admission": {func(p *fixture) { p.Drain(shutdownStartedAgo(3*time.Second), noCallers) }, reservation(), inbound.CauseStopping},
		"no time to complete it":               {func(p *fixture) { p.Drain(shutdownStartedAgo(0), noCallers) }, longReservation(5500), inbound.CauseLate},
		"likely to take too long":              {func(p *fixture) { p.Drain(shutdownStartedAgo(2*time.Second), noCallers) }, longReservation(1600), inbound.CauseLate},
		"an unhealthy server": {func(p *fixture) {
			p.server.SetMode(standin.StampedReset)
			p.run(reservation(), "victim")
			p.server.SetMode(standin.StampedOK)
		}, careful, inbound.CauseUnhealthy},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			test.before(p)
			before := p.server.Arrivals()
			assert.Equal(t, p.run(test.r, "id"), string(test.cause))
			assert.Equal(t, p.server.Arrivals(), before)
		})
	}
}

// TestLeavesAfterGrant: a request is not sent if its server started to leave after the slot was
// granted. Otherwise the server would get requests up to a second later than the bound on
// noticing a leaving server allows.
func TestLeavesAfterGrant(t *testing.T) {
	p := newFixture(t)
	use, reply := p.reserve(context.Background(), reservation())
	assert.Assert(t, reply.GetGranted() != nil)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Leaving: true})
	reply, err := request(use, "id")
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRefusal().GetCause(), string(inbound.CauseLeaving))
	assert.Equal(t, p.server.Arrivals(), 0)
	assert.Equal(t, p.InUse(), 0)
}

// TestServerReturns: a server is used again when its entry is published again. The removal of
// another start's entry has no effect.
func TestServerReturns(t *testing.T) {
	p := newFixture(t)
	p.Removed(time.Now(), "an older start")
	assert.Equal(t, p.run(reservation(), "a"), "200 s-1 /x b")
	p.Removed(time.Now(), "s-1")
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
	assert.Equal(t, p.run(reservation(), "b"), "200 s-1 /x b")
}

// TestRequestForOtherStart: a request that is addressed to another start of the server is not
// run, and the name that the server states is used from then on.
func TestRequestForOtherStart(t *testing.T) {
	p := newFixture(t)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-0", Service: "svc", Slots: slots})
	assert.Equal(t, p.run(reservation(), "a"), "not-run")
	assert.Equal(t, p.server.Runs()["a"], 0)
	assert.Equal(t, p.run(reservation(), "b"), "200 s-1 /x b")
}

// TestQueue: a reservation beyond the slots is queued and gets the next free one. A sender that
// disconnects gives up its place in the queue.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixtureWithoutServer()
		ctx, stop := context.WithCancel(t.Context())
		p.Start(ctx, timer.New())
		p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
		var cancels []context.CancelFunc
		for range slots {
			holding, cancel := context.WithCancel(ctx)
			cancels = append(cancels, cancel)
			_, reply := p.reserve(holding, reservation())
			assert.Assert(t, reply.GetGranted() != nil)
		}
		leaving, cancelLeaving := context.WithCancel(ctx)
		_, reply := p.reserve(leaving, reservation())
		assert.Assert(t, reply.GetQueued() != nil)
		use, reply := p.reserve(ctx, reservation())
		assert.Equal(t, reply.GetQueued().GetQueued(), uint32(2))
		cancelLeaving()
		synctest.Wait()
		cancels[0]()
		reply, err := use.Recv()
		assert.NilError(t, err)
		assert.Assert(t, reply.GetGranted() != nil, "the slot that was given back")
		cancels[1]()
		stop()
		synctest.Wait()
	})
}

// TestGrantExpires: a granted slot is released if no request uses it in time, and a request that
// arrives later is refused. Nothing is started late for a sender or process that was paused in
// between.
func TestGrantExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixtureWithoutServer()
		ctx, stop := context.WithCancel(t.Context())
		p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
		use, reply := p.reserve(ctx, reservation())
		assert.Assert(t, reply.GetGranted() != nil)
		assert.Equal(t, p.InUse(), 1)
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, p.InUse(), 0)
		reply, err := use.Recv()
		assert.NilError(t, err)
		assert.Equal(t, reply.GetRefusal().GetCause(), string(inbound.CauseLate))
		stop()
		synctest.Wait()
	})
}

// TestWaitLimit: a reservation that would be queued for longer than its wait limit is refused when
// the limit is reached, with the time after which a slot is expected to be free.
func TestWaitLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixtureWithoutServer()
		ctx, stop := context.WithCancel(t.Context())
		p.Start(ctx, timer.New())
		p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 1})
		_, reply := p.reserve(ctx, reservation())
		assert.Assert(t, reply.GetGranted() != nil)
		waits := reservation()
		waits.PatienceMs = 300
		began := time.Now()
		use, reply := p.reserve(ctx, waits)
		assert.Assert(t, reply.GetQueued() != nil)
		reply, err := use.Recv()
		assert.NilError(t, err)
		assert.Equal(t, reply.GetRefusal().GetCause(), string(inbound.CauseFull))
		assert.Assert(t, reply.GetRefusal().GetRetryAfterMs() > 0)
		assert.Assert(t, time.Since(began) < 400*time.Millisecond)
		stop()
		synctest.Wait()
	})
}
