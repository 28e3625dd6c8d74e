package link_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/ratelimit"
	"slatewind.example/slatewind/recovery"
)

// servePeers serves the services that register adds, and returns their address.
func servePeers(t *testing.T, register func(server *grpc.Server)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(link.ServerOptions()...)
	register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// TestPanicEndsOnlyItsCall checks that a panic in the handler of a peer's call, or of a reservation within the process, is an
// error of that call alone.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	panics := func(link.UseStream) error { panic("handler") }
	address := servePeers(t, func(server *grpc.Server) {
		slatewindv1.RegisterSlotsServer(server, link.SlotsServer{Serve: panics})
		slatewindv1.RegisterNewsServer(server, &link.NewsServer{UpdateSince: func(slatewind.Revision, uint64, slatewind.Evacuations) slatewind.ServerUpdate { panic("handler") }})
	})
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 3 {
		use, err := pool.Use(ctx, address, false)
		assert.NilError(t, err)
		_, err = use.Recv()
		assert.Equal(t, status.Code(err), codes.Internal, "%v", err)
		_, _, err = pool.Since(ctx, address, slatewind.Revision{}, 0, slatewind.Evacuations{}, link.Observations{})
		assert.Equal(t, status.Code(errors.Unwrap(err)), codes.Internal, "%v", err)
	}
	_, err := link.LocalUse(ctx, panics).Recv()
	var p *recovery.Panic
	assert.Assert(t, errors.As(err, &p), "%v", err)
}

// TestTokenRequestOfUnknownRole checks that a request for tokens in a role that is not known is refused.
func TestTokenRequestOfUnknownRole(t *testing.T) {
	limiter := ratelimit.New(time.Now(), "host", nil, func(workspace string) slatewind.WorkspaceLimit {
		return slatewind.WorkspaceLimit{Workspace: workspace, Rate: 1, Burst: 1}
	})
	tests := map[string]codes.Code{"": codes.InvalidArgument, "owner": codes.InvalidArgument, "home": codes.OK, "stand-in": codes.OK, "successor": codes.OK}
	for role, want := range tests {
		t.Run("role "+role, func(t *testing.T) {
			_, err := link.LimitsServer{Grant: limiter.Grant}.Take(t.Context(), &slatewindv1.TakeRequest{Workspace: "w-" + role, Rate: 1, Burst: 1, Tokens: 1, Role: role})
			assert.Equal(t, status.Code(err), want, "%v", err)
		})
	}
}
