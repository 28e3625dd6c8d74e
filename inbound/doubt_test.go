package inbound_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
)

// TestDoubtfulServer checks who is refused by a server that has just answered one request with an error.
func TestDoubtfulServer(t *testing.T) {
	tests := map[string]struct {
		reservation func(r *slatewindv1.Reservation)
		// busy is the number of slots in use, successes the number of good answers since the error.
		busy, successes int
		refused         bool
	}{
		"repeatable":                        {func(*slatewindv1.Reservation) {}, 0, 0, false},
		"cannot be repeated":                {func(r *slatewindv1.Reservation) { r.Careful = true }, 0, 0, true},
		"cannot be repeated, one success":   {func(r *slatewindv1.Reservation) { r.Careful = true }, 0, 1, true},
		"cannot be repeated, two successes": {func(r *slatewindv1.Reservation) { r.Careful = true }, 0, 2, false},
		"no other server is free":           {func(r *slatewindv1.Reservation) { r.Careful, r.LastResort = true, true }, 0, 0, false},
		"it has to wait anyway":             {func(r *slatewindv1.Reservation) { r.Careful = true }, slots, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			p.server.SetMode(standin.StampedError)
			p.run(reservation(), "failed")
			p.server.SetMode(standin.StampedOK)
			for range test.successes {
				p.run(reservation(), "served")
			}
			for range test.busy {
				p.reserve(t.Context(), reservation())
			}
			assert.Equal(t, p.View().Breaker, breaker.StateClosed)
			r := reservation()
			test.reservation(r)
			r.PatienceMs = 5
			_, reply := p.reserve(t.Context(), r)
			assert.Equal(t, inbound.Cause(reply.GetRefusal().GetCause()) == inbound.CauseUnhealthy, test.refused, "%v", reply)
		})
	}
}
