package daemon

import (
	"context"

	"slatewind.example/slatewind"
)

// nodePeers asks other nodes for what the store publishes. They are known by the
// addresses of their servers.
type nodePeers struct{ node *Node }

// Since implements discovery.Peers.
func (p nodePeers) Since(ctx context.Context, address string, after, version uint64) (slatewind.Publication, error) {
	peer, err := p.node.peerOf(address)
	if err != nil {
		return slatewind.Publication{}, err
	}
	return p.node.pool.Since(ctx, peer, after, version)
}

// Settings implements discovery.SettingsPeers.
func (p nodePeers) Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error) {
	peer, err := p.node.peerOf(address)
	if err != nil {
		return nil, err
	}
	return p.node.pool.Settings(ctx, peer, version)
}

// since answers another node that has the given version of the settings.
func (n *Node) since(after, version uint64) slatewind.Publication {
	n.feed.Heard(version, "")
	p := n.watcher.Since(after)
	p.Version = n.feed.Version()
	return p
}
