package inbound_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/retry"
)

// TestFirstAttemptsEarnBudget: requests and calls of servers credit the budget of extra attempts when
// they arrive at the first server that is asked, before any of them is sent to it. Calls of runs that are
// extra arrivals, requests for other services and requests that asked another server first credit nothing.
func TestFirstAttemptsEarnBudget(t *testing.T) {
	const many = 8
	tests := map[string]struct {
		slots int
		come  func(r *slatewindv1.Reservation)
		earn  bool
	}{
		"requests that got a slot":                 {2 * many, func(r *slatewindv1.Reservation) { r.First = true }, true},
		"requests that wait for one":               {1, func(r *slatewindv1.Reservation) { r.First = true }, true},
		"requests that are refused":                {1, func(r *slatewindv1.Reservation) { r.First, r.PatienceMs = true, 0 }, true},
		"requests that asked another server first": {2 * many, func(*slatewindv1.Reservation) {}, false},
		"calls of servers":                         {2 * many, func(r *slatewindv1.Reservation) { r.First, r.Begun = true, true }, true},
		"calls of extra runs":                      {2 * many, func(r *slatewindv1.Reservation) { r.First, r.Begun, r.Repeat = true, true, true }, false},
		"requests for another service":             {2 * many, func(r *slatewindv1.Reservation) { r.First, r.Service = true, "another" }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixtureWithoutServer()
			p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: test.slots})
			// A process cannot use the slack until its first window has passed.
			p.SetBounds(inbound.Bounds{RetryRatio: bounds.RetryRatio, RetryWindow: time.Hour})
			for range many {
				r := reservation()
				test.come(r)
				p.reserve(t.Context(), r)
			}
			extra := reservation()
			extra.Extra = true
			_, reply := p.reserve(t.Context(), extra)
			assert.Equal(t, inbound.Cause(reply.GetRefusal().GetCause()) != inbound.CauseBudget, test.earn, reply)
		})
	}
}

// TestShareOfSlack: if the slack has fewer attempts than the service has servers, only the
// servers with a share of it keep what they earned. On the others it lapses after a while.
func TestShareOfSlack(t *testing.T) {
	tests := map[string]struct {
		sharer  retry.Sharer
		slack   float64
		granted bool
	}{
		"no server is known":            {retry.Sharer{}, 100, false},
		"the only server":               {retry.Sharer{Servers: 1}, 2, true},
		"a server with a share":         {retry.Sharer{Servers: 3}, 2, true},
		"a server without a share":      {retry.Sharer{Servers: 3, Rank: 1}, 2, false},
		"one attempt, the first server": {retry.Sharer{Servers: 3}, 1, true},
		"one attempt, the last server":  {retry.Sharer{Servers: 3, Rank: 2}, 1, false},
		"no slack":                      {retry.Sharer{Servers: 3}, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixtureWithoutServer()
				p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 20})
				p.SetSharer(test.sharer)
				p.SetBounds(inbound.Bounds{RetryRatio: 0.2, RetrySlack: test.slack, RetryWindow: 8 * time.Second})
				for range 8 {
					r := reservation()
					r.First = true
					p.reserve(t.Context(), r)
				}
				time.Sleep(2 * time.Second)
				extra := reservation()
				extra.Extra = true
				_, reply := p.reserve(t.Context(), extra)
				assert.Equal(t, reply.GetGranted() != nil, test.granted, reply)
			})
		})
	}
}

// TestCallsOfExtraRunsKeepLimit: calls that are made by runs which were themselves extra arrivals count
// against the limit of the service that they call, together with its own extra attempts. They may use all of
// it, extra attempts only their share.
func TestCallsOfExtraRunsKeepLimit(t *testing.T) {
	const (
		slack, firsts, many = 20, 20, 60
		limit               = slack + 0.2*firsts
	)
	call := func(r *slatewindv1.Reservation) { r.Begun, r.Repeat = true, true }
	extra := func(r *slatewindv1.Reservation) { r.Extra = true }
	tests := map[string]struct {
		come []func(r *slatewindv1.Reservation)
		// least is the smallest number that must be granted.
		least int
	}{
		"calls of extra runs":                   {[]func(r *slatewindv1.Reservation){call}, slack},
		"extra attempts":                        {[]func(r *slatewindv1.Reservation){extra}, slack * 8 / 10},
		"both in turn":                          {[]func(r *slatewindv1.Reservation){call, extra}, slack},
		"extra attempts of calls of extra runs": {[]func(r *slatewindv1.Reservation){func(r *slatewindv1.Reservation) { call(r); extra(r) }}, slack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixtureWithoutServer()
				p.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "svc", Slots: 2 * many})
				p.SetSharer(retry.Sharer{Servers: 1})
				p.SetBounds(inbound.Bounds{RetryRatio: 0.2, RetrySlack: slack, RetryWindow: 10 * time.Second})
				time.Sleep(10 * time.Second)
				for range firsts {
					r := reservation()
					r.First = true
					p.reserve(t.Context(), r)
				}
				granted := 0
				for i := range many {
					r := reservation()
					test.come[i%len(test.come)](r)
					if _, reply := p.reserve(t.Context(), r); reply.GetGranted() != nil {
						granted++
					}
				}
				assert.Check(t, granted <= limit, "%d granted of at most %.0f", granted, float64(limit))
				assert.Check(t, granted >= test.least, "%d granted", granted)
			})
		})
	}
}
