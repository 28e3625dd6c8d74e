package inbound

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
)

// TestSuspendedGrant: a granted slot expires and a request's deadline approaches while the VM is
// suspended, so that nothing starts late at the server.
func TestSuspendedGrant(t *testing.T) {
	tests := map[string]struct {
		suspended time.Duration
		remaining uint32
		late      bool
	}{
		"not at all":                      {0, 5000, false},
		"for less than a grant lasts":     {800 * time.Millisecond, 5000, false},
		"for longer than a grant lasts":   {1500 * time.Millisecond, 5000, true},
		"for longer than the request has": {800 * time.Millisecond, 700, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var suspended time.Duration
			in := New(Server{Service: "s", Address: "127.0.0.1:1"}, Bounds{}, history.New(0, nil), quarantine.NewTable(nil, nil), Memory{})
			in.clock = timer.Clock{Suspension: func() time.Duration { return suspended }}
			in.Published(time.Now(), &slatewind.ServerEntry{Name: "s-1", Service: "s", Slots: 1})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			use := link.LocalUse(ctx, in.Serve)
			assert.NilError(t, use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Reservation{
				Reservation: &slatewindv1.Reservation{Service: "s", Repeatable: true, RemainingMs: test.remaining, PatienceMs: 500},
			}}))
			reply, err := use.Recv()
			assert.NilError(t, err)
			assert.Assert(t, reply.GetGranted() != nil)
			suspended = test.suspended
			assert.NilError(t, use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Request{
				Request: &slatewindv1.SlotRequest{RemainingNanos: int64(5 * time.Second), Method: "GET", Target: []byte("/"), Host: "h"},
			}}))
			reply, err = use.Recv()
			assert.NilError(t, err)
			// Nothing listens at the server's address, so a request that is sent fails.
			assert.Equal(t, reply.GetRefusal().GetCause() == string(CauseLate), test.late, "%v", reply)
			assert.Equal(t, reply.GetFailure() != nil, !test.late, "%v", reply)
		})
	}
}
