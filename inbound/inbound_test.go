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
	"slatewind.example/slatewind/drain"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
)

// place is a server with the process beside it.
type place struct {
	*inbound.Inbound
	server *standin.Stamped
}

const slots = 2

// bounds allow a server some extra arrivals once its process has run for a window.
var bounds = inbound.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: time.Second}

func newPlace(t *testing.T) *place {
	server := standin.NewStamped("s-1", platform.Servers())
	p := newPlaceOf(t, server)
	p.server = server
	return p
}

// newPlaceOf returns a place whose server is a handler.
func newPlaceOf(t *testing.T, server http.Handler) *place {
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	p := &place{}
	p.Inbound = inbound.New(inbound.Server{
		Service: "svc", Address: strings.TrimPrefix(web.URL, "http://"), Dialect: platform.Servers(),
	}, bounds, history.New(0, nil), quarantine.NewTable(nil, nil))
	t.Cleanup(p.Close)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
	return p
}

// newUnreached returns a place for tests of reservations alone: nothing listens
// at its server's address.
func newUnreached() *place {
	return &place{Inbound: inbound.New(inbound.Server{
		Service: "svc", Address: "127.0.0.1:1", Dialect: platform.Servers(),
	}, bounds, history.New(0, nil), quarantine.NewTable(nil, nil))}
}

// reservation is one for a request that may be a trial.
func reservation() *slatewindv1.Reservation {
	return &slatewindv1.Reservation{Service: "svc", Route: "r", Repeatable: true, RemainingMs: 2000, PatienceMs: 1000}
}

// longReservation is one for a request that is expected to take so long.
func longReservation(expectedMs uint32) *slatewindv1.Reservation {
	r := reservation()
	r.ExpectedMs = expectedMs
	return r
}

// stopSince returns the course of a stop of six seconds that began some time ago.
func stopSince(ago time.Duration) drain.Course {
	return drain.Course{Began: time.Now().Add(-ago), Grace: 6 * time.Second}
}

// nobody says that no callers' requests are in hand.
func nobody() bool { return false }

// TestStoppingProcessGivesSlots: the server of a process that has just begun to stop works
// on, and what waits for a slot when the stop closes is refused then.
func TestStoppingProcessGivesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := newUnreached()
		p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 1})
		p.Start(ctx, timer.New())
		const closesIn = 700 * time.Millisecond
		p.Drain(stopSince(1500*time.Millisecond), nobody)
		_, reply := p.reserve(ctx, reservation())
		assert.Assert(t, reply.GetGranted() != nil, reply)
		assert.Assert(t, !reply.GetGranted().GetLeaving())
		patient := reservation()
		patient.RemainingMs, patient.PatienceMs = 8000, 8000
		waiting, reply := p.reserve(ctx, patient)
		assert.Assert(t, reply.GetQueued() != nil, reply)
		began := time.Now()
		// Nobody uses the slot that was granted; it is held for a second.
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

// reserve begins a use and returns its first word.
func (p *place) reserve(ctx context.Context, r *slatewindv1.Reservation) (link.Use, *slatewindv1.UseReply) {
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

// request sends the request that takes a granted slot and returns the reply.
func request(use link.Use, id string) (*slatewindv1.UseReply, error) {
	err := use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{Request: &slatewindv1.SlotRequest{
		RemainingNanos: int64(2 * time.Second), Server: "s-1", Method: "POST", Target: "/x", Host: "h",
		Headers: []*slatewindv1.Header{{Name: platform.Servers().RequestID, Value: id}}, Body: []byte("b"), BodyLength: 1,
	}}})
	if err != nil {
		return nil, err
	}
	return use.Recv()
}

// run takes one request through both steps; word says what came of it.
func (p *place) run(r *slatewindv1.Reservation, id string) (word string) {
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

// TestRunCutByStop: a server that is given a request while the process beside it stops is handed no more time than that process has.
func TestRunCutByStop(t *testing.T) {
	handed := make(chan string, 1)
	p := newPlaceOf(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handed <- r.Header.Get(platform.Servers().Deadline)
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	course := drain.Course{Began: time.Now().Add(-time.Second), Grace: 3 * time.Second}
	p.Drain(course, nobody)
	p.run(reservation(), "id")
	left := time.Until(course.WorkEnds())
	milliseconds, err := strconv.Atoi(<-handed)
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(milliseconds)*time.Millisecond < left, "%d ms, the process ends in %s", milliseconds, left)
}

// TestOutcomes: what becomes of one request, by how the server behaves, and
// whether the server ran it.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		mode standin.StampedMode
		word string
		runs int
	}{
		"an answer":             {standin.StampedOK, "200 s-1 /x b", 1},
		"an error of its own":   {standin.StampedError, "500 s-1 /x b", 1},
		"a reset":               {standin.StampedReset, "unknown", 0},
		"a lost answer":         {standin.StampedLost, "unknown", 1},
		"a rejection":           {standin.StampedShed, "not-run", 0},
		"an answer that is cut": {standin.StampedCut, "unknown", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlace(t)
			p.server.SetMode(test.mode)
			assert.Equal(t, p.run(reservation(), "id"), test.word)
			assert.Equal(t, p.server.Runs()["id"], test.runs)
			assert.Equal(t, p.server.Arrivals(), 1, "nothing is sent twice")
			assert.Equal(t, p.InUse(), 0)
		})
	}
}

// TestRefusals: refused reservations touch no server.
func TestRefusals(t *testing.T) {
	careful := reservation()
	careful.Careful = true
	other := reservation()
	other.Service = "another"
	tests := map[string]struct {
		before func(p *place)
		r      *slatewindv1.Reservation
		cause  inbound.Cause
	}{
		"another service":       {func(*place) {}, other, inbound.CauseMoved},
		"a leaving server":      {func(p *place) { p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Leaving: true}) }, reservation(), inbound.CauseLeaving},
		"a server that is gone": {func(p *place) { p.Gone(time.Now(), "s-1") }, reservation(), inbound.CauseLeaving},
		"a process that closes": {func(p *place) { p.Drain(stopSince(3*time.Second), nobody) }, reservation(), inbound.CauseStopping},
		"no time to finish it":  {func(p *place) { p.Drain(stopSince(0), nobody) }, longReservation(5500), inbound.CauseLate},
		"little time to spare":  {func(p *place) { p.Drain(stopSince(2*time.Second), nobody) }, longReservation(1600), inbound.CauseLate},
		"a sick server": {func(p *place) {
			p.server.SetMode(standin.StampedReset)
			p.run(reservation(), "victim")
			p.server.SetMode(standin.StampedOK)
		}, careful, inbound.CauseSick},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlace(t)
			test.before(p)
			before := p.server.Arrivals()
			assert.Equal(t, p.run(test.r, "id"), string(test.cause))
			assert.Equal(t, p.server.Arrivals(), before)
		})
	}
}

// TestLeavesAfterGrant: a request whose slot was granted before its server began
// to leave does not go there any more. It may come up to a second after its grant,
// which no bound on how soon a leaving server is heard of counts.
func TestLeavesAfterGrant(t *testing.T) {
	p := newPlace(t)
	use, reply := p.reserve(context.Background(), reservation())
	assert.Assert(t, reply.GetGranted() != nil)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Leaving: true})
	reply, err := request(use, "id")
	assert.NilError(t, err)
	assert.Equal(t, reply.GetRefusal().GetCause(), string(inbound.CauseLeaving))
	assert.Equal(t, p.server.Arrivals(), 0)
	assert.Equal(t, p.InUse(), 0)
}

// TestServerReturns: a server whose entry is back, or that another start took
// the place of, is served again.
func TestServerReturns(t *testing.T) {
	p := newPlace(t)
	p.Gone(time.Now(), "an older start")
	assert.Equal(t, p.run(reservation(), "a"), "200 s-1 /x b")
	p.Gone(time.Now(), "s-1")
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: slots})
	assert.Equal(t, p.run(reservation(), "b"), "200 s-1 /x b")
}

// TestOtherStart: a request that is meant for another start is not run, and the
// name that the server tells is used from then on.
func TestOtherStart(t *testing.T) {
	p := newPlace(t)
	p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-0", Service: "svc", Slots: slots})
	assert.Equal(t, p.run(reservation(), "a"), "not-run")
	assert.Equal(t, p.server.Runs()["a"], 0)
	assert.Equal(t, p.run(reservation(), "b"), "200 s-1 /x b")
}

// TestQueue: a reservation beyond the slots waits, takes the next free one, and
// a sender that leaves gives its place back.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newUnreached()
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

// TestGrantRunsOut: a granted slot that no request takes is given back, and a
// request that comes later is refused. A sender or a process that was frozen
// meanwhile starts nothing late.
func TestGrantRunsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newUnreached()
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

// TestPatience: a reservation that would wait too long is refused at once, with
// the time after which a slot is likely.
func TestPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newUnreached()
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
