package inbound_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/retry"
)

// nextPaid runs a request and returns for how long its next attempt is paid for.
func (p *fixture) nextPaid(t *testing.T, r *slatewindv1.Reservation) uint32 {
	use, reply := p.reserve(t.Context(), r)
	assert.Assert(t, reply.GetGranted() != nil, "%v", reply)
	reply, err := request(use, "a")
	assert.NilError(t, err)
	return max(reply.GetHead().GetNextPaidMs(), reply.GetFailure().GetNextPaidMs())
}

// TestServerPaysForNextAttempt checks after which results a process pays for the next attempt at a request, and that it does
// not pay for more than its share.
func TestServerPaysForNextAttempt(t *testing.T) {
	tests := map[string]struct {
		mode        standin.StampedMode
		reservation func(r *slatewindv1.Reservation)
		// inUse reports that the server is not set aside.
		inUse bool
		pays  bool
	}{
		"an answer":                          {standin.StampedOK, func(r *slatewindv1.Reservation) { r.MayRepeat = true }, false, false},
		"an error":                           {standin.StampedError, func(r *slatewindv1.Reservation) { r.MayRepeat = true }, false, true},
		"an error of a server in use":        {standin.StampedError, func(r *slatewindv1.Reservation) { r.MayRepeat = true }, true, false},
		"no further attempt":                 {standin.StampedError, func(*slatewindv1.Reservation) {}, false, false},
		"an error of a single request":       {standin.StampedError, func(r *slatewindv1.Reservation) { r.MayRepeat, r.Repeatable = true, false }, false, false},
		"a reset":                            {standin.StampedReset, func(r *slatewindv1.Reservation) { r.MayRepeat = true }, false, true},
		"a rejection":                        {standin.StampedShed, func(r *slatewindv1.Reservation) { r.MayRepeat = true }, false, true},
		"a rejection of a single request":    {standin.StampedShed, func(r *slatewindv1.Reservation) { r.MayRepeat, r.Repeatable = true, false }, false, true},
		"a reset connection, single request": {standin.StampedLost, func(r *slatewindv1.Reservation) { r.MayRepeat, r.Repeatable = true, false }, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			if !test.inUse {
				p.server.SetMode(standin.StampedReset)
				p.run(reservation(), "opens the breaker")
			}
			p.server.SetMode(test.mode)
			p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 10})
			p.SetSharer(retry.Sharer{Servers: 1})
			p.SetBounds(inbound.Bounds{RetryRatio: 1, RetrySlack: 2, RetryWindow: time.Minute})
			for range 2 {
				r := reservation()
				r.First = true
				p.reserve(t.Context(), r)
			}
			r := reservation()
			r.LastResort = true
			test.reservation(r)
			assert.Equal(t, p.nextPaid(t, r) > 0, test.pays)
		})
	}
}

// TestPaidAttempt checks that an attempt for which the process beside another server has paid is granted without
// a budget here, as long as that payment holds.
func TestPaidAttempt(t *testing.T) {
	tests := map[string]struct {
		paidMs uint32
		// waits is how long the attempt waits for its slot.
		waits time.Duration
		cause inbound.Cause
	}{
		"not paid":                     {0, 0, inbound.CauseBudget},
		"paid":                         {500, 0, ""},
		"paid until it got its slot":   {500, 400 * time.Millisecond, ""},
		"paid, but it waited too long": {500, 600 * time.Millisecond, inbound.CauseBudget},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixtureWithoutServer()
				p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 1})
				p.SetBounds(inbound.Bounds{RetryWindow: time.Minute})
				if test.waits > 0 {
					ctx, release := context.WithCancel(t.Context())
					p.reserve(ctx, reservation())
					time.AfterFunc(test.waits, release)
				}
				r := reservation()
				r.Extra, r.PaidMs = true, test.paidMs
				use, reply := p.reserve(t.Context(), r)
				if reply.GetQueued() != nil {
					var err error
					reply, err = use.Recv()
					assert.NilError(t, err)
				}
				assert.Equal(t, inbound.Cause(reply.GetRefusal().GetCause()), test.cause, "%v", reply)
			})
		})
	}
}
