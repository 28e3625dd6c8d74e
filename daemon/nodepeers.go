package daemon

import (
	"context"
	"net"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/ratelimit"
)

// nodePeers asks other nodes for what the store publishes. They are known by the
// addresses of their servers.
type nodePeers struct{ node *Node }

// Since implements discovery.Peers.
func (p nodePeers) Since(ctx context.Context, address string, after slatewind.Revision, version uint64) (slatewind.ServerUpdate, error) {
	return p.ask(ctx, address, after, version, p.node.reports.Direct(time.Now()))
}

// Exchange implements discovery.Peers.
func (p nodePeers) Exchange(ctx context.Context, address string) {
	n := p.node
	if _, err := p.ask(ctx, address, n.watcher.Revision(), n.feed.Version(), n.reports.All(time.Now())); err != nil {
		n.logger.Debug("reports not exchanged", "with", address, "cause", err)
	}
}

// ask asks another node for news and tells it of sick servers, that of the own one
// included.
func (p nodePeers) ask(ctx context.Context, address string, after slatewind.Revision, version uint64, told []*slatewindv1.ServerReport) (slatewind.ServerUpdate, error) {
	peer, err := p.node.peerOf(address)
	if err != nil {
		return slatewind.ServerUpdate{}, err
	}
	own := p.node.inbound.Report()
	news, answer, err := p.node.pool.Since(ctx, peer, after, version, link.Observations{Reports: append(told, own), Suspects: p.node.tellsSuspects()})
	p.node.takeReports(append(answer.Reports, own))
	if err == nil {
		p.node.takeSuspects(answer.Suspects)
	}
	return news, err
}

// Take implements ratelimit.Peers.
func (p nodePeers) Take(ctx context.Context, host string, q ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	peer, err := p.node.peerOf(net.JoinHostPort(host, "0"))
	if err != nil {
		return ratelimit.TokenReply{}, err
	}
	return p.node.pool.Take(ctx, peer, q)
}

// NotRunning implements ratelimit.Peers.
func (nodePeers) NotRunning(err error) bool { return link.NotRunning(err) }

// Settings implements discovery.SettingsPeers.
func (p nodePeers) Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error) {
	peer, err := p.node.peerOf(address)
	if err != nil {
		return nil, err
	}
	return p.node.pool.Settings(ctx, peer, version)
}

// since answers another node that has the given version of the settings.
func (n *Node) since(after slatewind.Revision, version uint64) slatewind.ServerUpdate {
	n.feed.ObserveVersion(version, "")
	p := n.watcher.Since(after)
	p.Version = n.feed.Version()
	return p
}

// exchange takes what another node told and returns what is known here, the report of the own
// server included.
func (n *Node) exchange(told link.Observations) link.Observations {
	n.takeReports(append(told.Reports, n.inbound.Report()))
	return link.Observations{Reports: n.reports.All(time.Now()), Suspects: n.exchangeSuspects(told.Suspects)}
}

// told takes what has just happened beside another node.
func (n *Node) told(records []quarantine.Record) { n.suspects.Merge(time.Now(), records) }

// takeReports notes what was told of sick servers.
func (n *Node) takeReports(reports []*slatewindv1.ServerReport) {
	now := time.Now()
	n.reports.AddRelayed(now, reports)
	n.outbound.ApplyReports(now, reports)
}
