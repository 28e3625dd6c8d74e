package link

import (
	"context"
	"errors"
	"syscall"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/ratelimit"
)

// Take requests tokens of a workspace from the process at an IP:port address. If the call
// fails, the error also wraps that of the newest attempt to connect.
func (p *Pool) Take(ctx context.Context, address string, q ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	request := &slatewindv1.TakeRequest{
		Workspace: q.Limit.Workspace, Rate: q.Limit.Rate, Burst: q.Limit.Burst, Version: q.Limit.Version,
		Tokens: uint32(q.Tokens), Role: string(q.Role),
	}
	reply, err := call(ctx, p, address, request, slatewindv1.NewRateLimitsClient, slatewindv1.RateLimitsClient.Take)
	if err != nil {
		err = errors.Join(err, p.dialError(address))
		p.redial(address)
		return ratelimit.TokenReply{}, err
	}
	return ratelimit.TokenReply{
		Tokens: int(reply.GetTokens()), Level: reply.GetLevel(), Role: decodeRole(reply.GetRole()),
		Next: time.Duration(reply.GetNextNanos()), Turn: time.Duration(reply.GetTurnNanos()),
	}, nil
}

// encodeRole returns the form of a role in replies, in which the home is the empty string.
func encodeRole(role ratelimit.Role) string {
	if role == ratelimit.RoleHome {
		return ""
	}
	return string(role)
}

// decodeRole returns the role of its form in replies.
func decodeRole(encoded string) ratelimit.Role {
	if encoded == "" {
		return ratelimit.RoleHome
	}
	return ratelimit.Role(encoded)
}

// NotRunning reports whether an error of a call proves that no process listens at the peer's
// address, since the connection was refused.
func NotRunning(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dialError returns the error of the newest attempt to connect to a peer, or nil if it
// succeeded.
func (p *Pool) dialError(address string) error {
	p.mu.Lock()
	m := p.monitors[address]
	p.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.dialError()
}

// redial ends the reconnect backoff of gRPC for a peer, since callers of Take have their own
// backoff.
func (p *Pool) redial(address string) {
	if conn, err := p.conn(address); err == nil {
		conn.ResetConnectBackoff()
	}
}

// LimitsServer serves requests of other processes for tokens of workspaces.
type LimitsServer struct {
	slatewindv1.UnimplementedRateLimitsServer
	// Grant grants tokens.
	Grant func(now time.Time, q ratelimit.TokenRequest) ratelimit.TokenReply
}

// Take implements the generated interface.
func (s LimitsServer) Take(_ context.Context, request *slatewindv1.TakeRequest) (*slatewindv1.TakeReply, error) {
	role := ratelimit.Role(request.GetRole())
	if !role.Known() {
		return nil, status.Errorf(codes.InvalidArgument, "role: unknown role %q", request.GetRole())
	}
	reply := s.Grant(time.Now(), ratelimit.TokenRequest{
		Limit: slatewind.WorkspaceLimit{
			Workspace: request.GetWorkspace(), Rate: request.GetRate(), Burst: request.GetBurst(), Version: request.GetVersion(),
		},
		Tokens: int(request.GetTokens()), Role: role,
	})
	return &slatewindv1.TakeReply{
		Tokens: uint32(reply.Tokens), Level: reply.Level, NextNanos: int64(reply.Next), TurnNanos: int64(reply.Turn),
		Role: encodeRole(reply.Role),
	}, nil
}
