package ratelimit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/timer"
)

// grantingPeers grant five tokens per token request and count the requests.
type grantingPeers struct{ asked int }

// Take implements Peers.
func (p *grantingPeers) Take(context.Context, string, TokenRequest) (TokenReply, error) {
	p.asked++
	return TokenReply{Tokens: 5, Level: 100, Role: RoleHome}, nil
}

// NotRunning implements Peers.
func (*grantingPeers) NotRunning(error) bool { return false }

// TestSuspendedTokens checks that prefetched tokens expire while the VM is suspended.
func TestSuspendedTokens(t *testing.T) {
	var suspended time.Duration
	peers := &grantingPeers{}
	l := New(time.Now(), "self", peers, func(string) slatewind.WorkspaceLimit { return slatewind.WorkspaceLimit{} })
	l.clock = timer.Clock{Suspension: func() time.Duration { return suspended }}
	l.Put(time.Now(), "s-1", "home")
	limit := slatewind.WorkspaceLimit{Workspace: "w", Rate: 100, Burst: 100, Version: 1}
	for range 3 {
		assert.Assert(t, l.Admit(t.Context(), limit).Allowed)
	}
	assert.Equal(t, peers.asked, 1, "the other tokens were prefetched")
	suspended += 2 * time.Second
	assert.Assert(t, l.Admit(t.Context(), limit).Allowed)
	assert.Equal(t, peers.asked, 2)
}
