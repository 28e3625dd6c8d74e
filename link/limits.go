package link

import (
	"context"
	"errors"
	"syscall"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/ratelimit"
)

// Take asks the process at an IP:port address for tokens of a workspace.
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
		Tokens: int(reply.GetTokens()), Level: reply.GetLevel(), Role: roleOf(reply.GetRole()),
		Next: time.Duration(reply.GetNextNanos()), Turn: time.Duration(reply.GetTurnNanos()),
	}, nil
}

// roleWord is a role's word in replies.
func roleWord(role ratelimit.Role) string {
	if role == ratelimit.RoleHome {
		return ""
	}
	return string(role)
}

// roleOf returns the role of a word in replies.
func roleOf(word string) ratelimit.Role {
	if word == "" {
		return ratelimit.RoleHome
	}
	return ratelimit.Role(word)
}

// NotRunning reports whether an error of a call proves that no process listens at the peer's
// address.
func NotRunning(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dialError returns why the newest connect to a peer failed, or nil where it did not.
func (p *Pool) dialError(address string) error {
	p.mu.Lock()
	m := p.monitors[address]
	p.mu.Unlock()
	if m == nil {
		return nil
	}
	return m.dialError()
}

// redial has the library connect to a peer anew at once where it waits with that: whoever asks
// here waits by itself before it asks again.
func (p *Pool) redial(address string) {
	if conn, err := p.conn(address); err == nil {
		conn.ResetConnectBackoff()
	}
}

// LimitsServer gives tokens of workspaces to other processes.
type LimitsServer struct {
	slatewindv1.UnimplementedRateLimitsServer
	// Give answers a question.
	Give func(now time.Time, q ratelimit.TokenRequest) ratelimit.TokenReply
}

// Take implements the generated interface.
func (s LimitsServer) Take(_ context.Context, request *slatewindv1.TakeRequest) (*slatewindv1.TakeReply, error) {
	answer := s.Give(time.Now(), ratelimit.TokenRequest{
		Limit: slatewind.WorkspaceLimit{
			Workspace: request.GetWorkspace(), Rate: request.GetRate(), Burst: request.GetBurst(), Version: request.GetVersion(),
		},
		Tokens: int(request.GetTokens()), Role: ratelimit.Role(request.GetRole()),
	})
	return &slatewindv1.TakeReply{
		Tokens: uint32(answer.Tokens), Level: answer.Level, NextNanos: int64(answer.Next), TurnNanos: int64(answer.Turn),
		Role: roleWord(answer.Role),
	}, nil
}
