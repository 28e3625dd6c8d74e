package soak

import (
	"context"
	"net/http"
	"time"

	"slatewind.example/slatewind"
)

// probeInterval is the pause between two checks of the settings in force.
const probeInterval = 100 * time.Millisecond

// probe monitors which settings a process has in force: the newest that were ever in force must
// stay so until the process exits.
type probe struct {
	fleet  *fleet
	node   *node
	client *http.Client
	// newest is the newest version seen in force since the last start of the process.
	newest uint64
	starts int64
}

// probe checks the settings of a process until ctx ends.
func (f *fleet) probe(ctx context.Context, n *node) {
	p := &probe{fleet: f, node: n, client: newCaller()}
	defer p.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if now := n.starts.Load(); now != p.starts {
			p.starts, p.newest = now, 0
		}
		for _, version := range []uint64{p.newest, f.version.Load()} {
			p.checkVersion(version)
		}
		time.Sleep(probeInterval)
	}
}

// checkVersion sends a request to the route of one version. The answer is ignored if the process
// was started again meanwhile.
func (p *probe) checkVersion(version uint64) {
	status := p.send(version)
	switch {
	case p.node.starts.Load() != p.starts:
	case status == http.StatusOK:
		p.newest = max(p.newest, version)
	case status == http.StatusNotFound && version > 0 && version <= p.newest:
		p.fleet.record.addBreach(PromiseNoOlderSettings, "node %d had version %d of the settings in force and has lost it", p.node.number, version)
	}
}

// send sends a request to the route of one version and records the result.
func (p *probe) send(version uint64) (status int) {
	s := sentRequest{ID: newID(), Kind: slatewind.KindRepeatable, Node: p.node.number, At: time.Now()}
	s.Status, s.Own = p.fleet.send(p.client, p.node.number, versionPath(version), s.ID)
	s.Ended = time.Now()
	p.fleet.record.addSent(s)
	return s.Status
}
