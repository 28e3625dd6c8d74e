package daemon

import (
	"context"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/ratelimit"
)

// limitsOf returns a function that looks up a workspace's limit in the settings in force.
// Before any settings are in force it returns a limit without a rate.
func limitsOf(store *config.Store) func(workspace string) slatewind.WorkspaceLimit {
	return func(workspace string) slatewind.WorkspaceLimit {
		snapshot := store.Current()
		if snapshot == nil {
			return slatewind.WorkspaceLimit{Workspace: workspace}
		}
		return snapshot.LimitOf(snapshot.Workspaces.Named(workspace))
	}
}

// processPeers takes rate-limit tokens from the other processes of the VM list, which it
// identifies by their peer addresses.
type processPeers struct{ pool *link.Pool }

// Take implements ratelimit.Peers.
func (p processPeers) Take(ctx context.Context, address string, q ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	return p.pool.Take(ctx, address, q)
}

// NotRunning implements ratelimit.Peers.
func (processPeers) NotRunning(err error) bool { return link.NotRunning(err) }

// updateLimiterPeers passes the current members to the limiter.
func (p *Process) updateLimiterPeers(now time.Time) {
	for _, m := range p.gossip.Members() {
		if m.Live() && m.PeerAddress != "" {
			p.limiter.Put(now, m.VM, m.PeerAddress)
			continue
		}
		p.limiter.Remove(now, m.VM)
	}
}
