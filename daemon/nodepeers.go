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

// nodePeers polls other nodes for data of the store and takes rate-limit tokens from them. It
// identifies them by the addresses of their servers.
type nodePeers struct{ node *Node }

// Since implements discovery.Peers.
func (p nodePeers) Since(ctx context.Context, address string, after slatewind.Revision, version uint64) (slatewind.ServerUpdate, error) {
	return p.poll(ctx, address, after, version, p.node.reports.Direct(time.Now()))
}

// Exchange implements discovery.Peers.
func (p nodePeers) Exchange(ctx context.Context, address string) (slatewind.ServerUpdate, error) {
	n := p.node
	update, err := p.poll(ctx, address, n.watcher.Revision(), n.settingsWatcher.Version(), n.reports.All(time.Now()))
	if err != nil {
		n.logger.Debug("reports not exchanged", "with", address, "cause", err)
	}
	return update, err
}

// poll fetches the server update of another node and exchanges reports of unhealthy servers and
// quarantine records with it. The report of the local server is always sent.
func (p nodePeers) poll(ctx context.Context, address string, after slatewind.Revision, version uint64, reports []*slatewindv1.ServerReport) (slatewind.ServerUpdate, error) {
	peer, err := p.node.peerAddressOf(address)
	if err != nil {
		return slatewind.ServerUpdate{}, err
	}
	own := p.node.inbound.Report()
	update, reply, err := p.node.pool.Since(ctx, peer, after, version, p.node.settingsWatcher.EvacuationsSince(slatewind.Revision{}), link.Observations{Reports: append(reports, own), Suspects: p.node.suspectsToSend()})
	p.node.applyReports(append(reply.Reports, own))
	if err == nil {
		p.node.mergeSuspects(reply.Suspects)
	}
	return update, err
}

// Take implements ratelimit.Peers.
func (p nodePeers) Take(ctx context.Context, host string, q ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	peer, err := p.node.peerAddressOf(net.JoinHostPort(host, "0"))
	if err != nil {
		return ratelimit.TokenReply{}, err
	}
	return p.node.pool.Take(ctx, peer, q)
}

// NotRunning implements ratelimit.Peers.
func (nodePeers) NotRunning(err error) bool { return link.NotRunning(err) }

// Settings implements discovery.SettingsPeers.
func (p nodePeers) Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error) {
	peer, err := p.node.peerAddressOf(address)
	if err != nil {
		return nil, err
	}
	return p.node.pool.Settings(ctx, peer, version)
}

// since returns what changed after a revision, for another node. version is that of the other
// node's settings: a newer one than that of this node is fetched. evacuations is its list, which
// is adopted if it is newer.
func (n *Node) since(after slatewind.Revision, version uint64, evacuations slatewind.Evacuations) slatewind.ServerUpdate {
	n.settingsWatcher.ObserveVersion(version, "")
	n.settingsWatcher.ObserveEvacuations(evacuations)
	update := n.watcher.Since(after)
	update.Version = n.settingsWatcher.Version()
	update.Evacuations = n.settingsWatcher.EvacuationsSince(evacuations.Revision)
	return update
}

// exchange applies the reports and records of another node and returns those of this one, the
// report of the local server included.
func (n *Node) exchange(received link.Observations) link.Observations {
	n.applyReports(append(received.Reports, n.inbound.Report()))
	return link.Observations{Reports: n.reports.All(time.Now()), Suspects: n.exchangeSuspects(received.Suspects)}
}

// receiveRecords adds quarantine records that another node has published.
func (n *Node) receiveRecords(records []quarantine.Record) { n.suspects.Merge(time.Now(), records) }

// applyReports applies reports of unhealthy servers.
func (n *Node) applyReports(reports []*slatewindv1.ServerReport) {
	now := time.Now()
	n.reports.AddRelayed(now, reports)
	n.outbound.ApplyReports(now, reports)
}
