package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/discovery"
	"slatewind.example/slatewind/gossip"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/member"
	"slatewind.example/slatewind/platform"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/timer"
)

const (
	dataCentres = 3
	// messageDelay is how long a message takes.
	messageDelay = 2 * time.Millisecond
)

// cluster is a set of real Gossip instances on a simulated network that can lose messages.
type cluster struct {
	t     testing.TB
	ctx   context.Context
	loss  float64
	fake  fakePlatform
	mu    sync.Mutex
	nodes map[string]*node
	cut   func(from, to string) bool
}

// node is one process with its gossip and settings.
type node struct {
	cluster *cluster
	address string
	gossip  *gossip.Gossip
	store   *config.Store
	// leaving counts calls of SelfLeaving.
	leaving int
	// suspects holds the records about requests during which servers crashed.
	suspects *quarantine.Table
}

func newCluster(t testing.TB) *cluster {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		// Calls in progress end before the synctest bubble does.
		time.Sleep(time.Second)
		synctest.Wait()
	})
	return &cluster{t: t, ctx: ctx, nodes: map[string]*node{}, cut: func(string, string) bool { return false }}
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func zone(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

// add starts a process; seeds are addresses of processes that it knows.
func (c *cluster) add(i int, seeds ...string) *node {
	n := &node{cluster: c, address: vmName(i), suspects: quarantine.NewTable(nil, nil)}
	j := history.New(64, nil)
	n.store = config.NewStore(j)
	self := member.Entry{VM: vmName(i), DataCentre: zone(i), PeerAddress: n.address, Incarnation: uint64(time.Now().UnixMilli()) << 24}
	n.gossip = gossip.New(self, seeds, n.store, j, n)
	c.mu.Lock()
	c.nodes[n.address] = n
	c.mu.Unlock()
	n.gossip.Start(c.ctx, timer.New(), n)
	return n
}

func (c *cluster) addAll(count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = c.add(i, vmName(0))
		c.fake.vms = append(c.fake.vms, slatewind.VM{Name: vmName(i), DataCentre: zone(i), PeerAddress: vmName(i), State: slatewind.VMLive})
	}
	for _, n := range nodes {
		n.gossip.Listed(time.Now(), c.fake.vms)
	}
	return nodes
}

// deliver sends one message over the network and reports whether it arrived.
func (c *cluster) deliver(ctx context.Context, from, to string) bool {
	c.mu.Lock()
	lost := c.cut(from, to) || rand.Float64() < c.loss
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return false
	}
	time.Sleep(messageDelay)
	return ctx.Err() == nil
}

func (c *cluster) setCut(cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// callTo calls another node.
func callTo[Q, R any](ctx context.Context, n *node, address string, request Q, serve func(*gossip.Gossip, context.Context, Q) (R, error)) (R, error) {
	var none R
	n.cluster.mu.Lock()
	to := n.cluster.nodes[address]
	n.cluster.mu.Unlock()
	if to == nil {
		return none, fmt.Errorf("connection to %s refused", address)
	}
	if !n.cluster.deliver(ctx, n.address, address) {
		return none, context.DeadlineExceeded
	}
	reply, err := serve(to.gossip, ctx, request)
	if !n.cluster.deliver(ctx, address, n.address) {
		return none, context.DeadlineExceeded
	}
	return reply, err
}

// Sync implements gossip.Peers.
func (n *node) Sync(ctx context.Context, address string, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error) {
	return callTo(ctx, n, address, request, (*gossip.Gossip).Sync)
}

// Fetch implements gossip.Peers.
func (n *node) Fetch(ctx context.Context, address string, request *slatewindv1.FetchRequest) (*slatewindv1.FetchReply, error) {
	return callTo(ctx, n, address, request, (*gossip.Gossip).Fetch)
}

// Of the following methods of gossip.Events, only SelfLeaving has an effect in these tests.

func (n *node) SettingsChanged(time.Time, *config.Snapshot)      {}
func (n *node) MembersChanged(time.Time)                         {}
func (n *node) DigestsReceived(time.Time, []*slatewindv1.Digest) {}
func (n *node) SelfLeaving(time.Time)                            { n.leaving++ }
func (n *node) Digests(bool) []*slatewindv1.Digest               { return nil }

// Suspects implements Events.
func (n *node) Suspects(time.Time) []*slatewindv1.Suspect {
	return link.SuspectsOf(n.suspects.Records(time.Now()))
}

// SuspectsReceived implements Events.
func (n *node) SuspectsReceived(now time.Time, suspects []*slatewindv1.Suspect) {
	n.suspects.Merge(now, link.RecordsOf(suspects))
}

// TestSuspectsAreSent: suspects passed to SendSuspects are sent with the exchange, even if
// the process itself has no records.
func TestSuspectsAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.addAll(2)
		time.Sleep(2 * time.Second)
		nodes[0].gossip.SendSuspects([]string{vmName(1)}, link.SuspectsOf([]quarantine.Record{{
			Digest: quarantine.Digest{2}, Events: []quarantine.Event{{ID: 1, Kind: quarantine.KindCrash}},
		}}))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(nodes[1].suspects.Views(time.Now())), 1)
	})
}

// TestSuspectsSpread: records about the crash of a server reach the VMs given to
// SendSuspects at once, and all others with the next rounds.
func TestSuspectsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.addAll(12)
		time.Sleep(2 * time.Second)
		nodes[0].suspects.ServerCrashed(time.Now(), quarantine.Crash{ID: 1, Digests: []quarantine.Digest{{1}}})
		nodes[0].gossip.SendSuspects([]string{vmName(1), vmName(2)}, nil)
		time.Sleep(50 * time.Millisecond)
		for _, n := range nodes[1:3] {
			assert.Equal(t, len(n.suspects.Views(time.Now())), 1)
		}
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			assert.Equal(t, len(n.suspects.Views(time.Now())), 1, n.address)
		}
	})
}

// fakePlatform counts calls and can be unavailable or stale.
type fakePlatform struct {
	mu    sync.Mutex
	file  slatewind.SettingsFile
	vms   []slatewind.VM
	down  bool
	calls int
}

func (p *fakePlatform) enter() (slatewind.SettingsFile, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return slatewind.SettingsFile{}, fmt.Errorf("platform is unavailable")
	}
	return p.file, nil
}

// Watch implements slatewind.ConfigSource.
func (p *fakePlatform) Watch(ctx context.Context, after slatewind.Revision) (slatewind.SettingsFile, error) {
	file, err := p.enter()
	for waited := time.Duration(0); err == nil && !after.IsZero() && !file.Revision.After(after) && waited < platform.WatchTime; waited += time.Second / 4 {
		select {
		case <-ctx.Done():
			return file, ctx.Err()
		case <-time.After(time.Second / 4):
		}
		p.mu.Lock()
		file = p.file
		p.mu.Unlock()
	}
	return file, err
}

// List implements slatewind.VMSource.
func (p *fakePlatform) List(context.Context) ([]slatewind.VM, error) {
	_, err := p.enter()
	return p.vms, err
}

// PlatformCall implements discovery.CallMeter.
func (p *fakePlatform) PlatformCall(string, error) {}

func (p *fakePlatform) set(change func(*fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func settings(floor int) []byte {
	return fmt.Appendf(nil, `
services:
  - {name: kassa, floor: %d, slots: 1, servers: [{name: kassa-1, vm: vm-0, address: "127.0.0.1:1"}]}
routes:
  - {name: price, path_prefix: /, service: kassa, kind: repeatable}
`, floor)
}

// timeToAll waits until every node has a revision and returns how long it took.
func timeToAll(t testing.TB, nodes []*node, revision uint64) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		missing := 0
		for _, n := range nodes {
			if n.store.Version().Revision != revision {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began)
		}
		if time.Since(began) > time.Minute {
			t.Fatalf("%d of %d nodes lack revision %d after a minute", missing, len(nodes), revision)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// inForceWithin is the required time limit for new settings to be in force everywhere.
const inForceWithin = 4 * time.Second

// TestSettingsReachEveryNode: after one process gets a new revision, all nodes have it within
// four seconds, with lost messages, and when that process can call only two others.
func TestSettingsReachEveryNode(t *testing.T) {
	tests := map[string]struct {
		nodes int
		loss  float64
		cut   func(from, to string) bool
	}{
		"4 nodes":              {nodes: 4},
		"40 nodes, 1 % lost":   {nodes: 40, loss: 0.01},
		"40 nodes, 3 % lost":   {nodes: 40, loss: 0.03},
		"200 nodes, 1 % lost":  {nodes: 200, loss: 0.01},
		"12 nodes, two linked": {nodes: 12, cut: func(from, to string) bool { return from == vmName(0) && to != vmName(1) && to != vmName(2) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				nodes := c.addAll(tt.nodes)
				nodes[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 1}, settings(0))
				timeToAll(t, nodes, 1)
				c.mu.Lock()
				c.loss = tt.loss
				if tt.cut != nil {
					c.cut = tt.cut
				}
				c.mu.Unlock()
				nodes[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 2}, settings(1))
				took := timeToAll(t, nodes, 2)
				t.Logf("revision 2 on %d nodes after %s", tt.nodes, took)
				assert.Assert(t, took < inForceWithin)
			})
		})
	}
}

// TestCutDataCentreCatchesUp: half of the processes are partitioned for an hour while new
// revisions are published. After the partition heals they get the newest one, and no process
// reverts to an older one.
func TestCutDataCentreCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.addAll(12)
		nodes[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 1}, settings(0))
		timeToAll(t, nodes, 1)
		inDC1 := func(address string) bool { return c.nodes[address] != nil && address[len(address)-1]%2 == 1 }
		c.setCut(func(from, to string) bool { return inDC1(from) != inDC1(to) })
		nodes[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 2}, settings(1))
		time.Sleep(time.Hour)
		nodes[2].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 3}, settings(0))
		time.Sleep(time.Second)
		assert.Equal(t, nodes[1].store.Version().Revision, uint64(1))
		c.setCut(func(string, string) bool { return false })
		// Processes that count the others as gone find them again by random retries.
		took := timeToAll(t, nodes, 3)
		t.Logf("caught up after %s", took)
	})
}

// TestNewNodeWhilePlatformIsDownOrStale: a new node gets the newest settings that its peers
// or the platform have.
func TestNewNodeWhilePlatformIsDownOrStale(t *testing.T) {
	tests := map[string]func(*fakePlatform){
		"down": func(p *fakePlatform) { p.down = true },
		"stale": func(p *fakePlatform) {
			p.file = slatewind.SettingsFile{Revision: slatewind.Revision{Number: 1}, Text: settings(0)}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				nodes := c.addAll(5)
				nodes[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 7}, settings(1))
				timeToAll(t, nodes, 7)
				c.fake.set(change)
				time.Sleep(3 * time.Hour)
				late := c.add(9, vmName(1))
				discovery.NewReader(&c.fake, &c.fake, late.gossip, &c.fake).Start(c.ctx)
				took := timeToAll(t, []*node{late}, 7)
				assert.Assert(t, took < inForceWithin)
				time.Sleep(time.Minute)
				timeToAll(t, append(nodes, late), 7)
			})
		})
	}
}

// TestFileWithFindingsStaysOut: a settings file with findings is not put in force anywhere,
// and the previous settings stay in force.
func TestFileWithFindingsStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes := c.addAll(4)
		nodes[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 1}, settings(0))
		timeToAll(t, nodes, 1)
		nodes[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 2}, settings(5))
		time.Sleep(10 * time.Second)
		timeToAll(t, nodes, 1)
	})
}

// TestPlatformCallsDoNotGrowWithTheFleet: the number of calls to the platform is limited per
// data centre, with the platform available and unavailable.
func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{4, 40, 400} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.fake.file = slatewind.SettingsFile{Revision: slatewind.Revision{Number: 1}, Text: settings(0)}
				nodes := c.addAll(count)
				for _, n := range nodes {
					discovery.NewReader(&c.fake, &c.fake, n.gossip, &c.fake).Start(c.ctx)
				}
				timeToAll(t, nodes, 1)
				time.Sleep(30 * time.Second)
				available := c.callsIn(time.Minute)
				c.fake.set(func(p *fakePlatform) { p.down = true })
				time.Sleep(2 * time.Minute)
				unavailable := c.callsIn(time.Minute)
				t.Logf("%d nodes: %d calls a minute, %d while the platform is unavailable", count, available, unavailable)
				// Each of the two readers of a data centre makes 3 watch calls and 12 list
				// calls a minute; the limit has room for one more.
				assert.Assert(t, available <= dataCentres*member.Readers*16)
				assert.Assert(t, unavailable <= dataCentres*member.MaxReaders*2*30)
			})
		})
	}
}

func (c *cluster) callsIn(d time.Duration) int {
	c.fake.set(func(p *fakePlatform) { p.calls = 0 })
	time.Sleep(d)
	c.fake.mu.Lock()
	defer c.fake.mu.Unlock()
	return c.fake.calls
}

// TestLeavingIsHeardByAll: a process announces that it is leaving, or one reader reads it in
// the platform's list. All others learn it within seconds, and so does the process itself.
func TestLeavingIsHeardByAll(t *testing.T) {
	tests := map[string]func(c *cluster, nodes []*node){
		"own announcement": func(_ *cluster, nodes []*node) { nodes[3].gossip.Leave(time.Now()) },
		"by the list": func(c *cluster, nodes []*node) {
			vms := append([]slatewind.VM(nil), c.fake.vms...)
			vms[3].State = slatewind.VMLeaving
			nodes[0].gossip.Listed(time.Now(), vms)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				nodes := c.addAll(20)
				time.Sleep(10 * time.Second)
				leave(c, nodes)
				time.Sleep(5 * time.Second)
				for _, n := range nodes {
					assert.Assert(t, n.gossip.Leaving(vmName(3)), n.address)
				}
				assert.Assert(t, name == "own announcement" || nodes[3].leaving == 1)
			})
		})
	}
}
