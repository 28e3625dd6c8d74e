package soak

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind/internal/standin"
)

const (
	// maxNodes is the number of nodes for which the addresses of a fleet suffice.
	maxNodes = 50
	// settleTime is how long after the last request a server may still begin to run one.
	settleTime = 1500 * time.Millisecond
)

// Ports on the addresses of each node.
const (
	portCallers = 8000
	portPeers   = 8001
	portAdmin   = 8002
	portReady   = 8003
	portServer  = 9000
	portStore   = 7000
	portClaim   = 7001
)

// Last bytes of the loopback addresses of the first node: the address of the process itself, the
// address of its server and of the proxy in front of its peer port, and the address of the proxy
// through which it reaches the store. claimBase is that of the listener that reserves the
// network.
const (
	ownBase   = 1
	linkBase  = 100
	storeBase = 200
	claimBase = 254
)

// Loopback networks of fleets: from 127.192.1.x.
const (
	firstNetwork = 192
	maxNetworks  = 60 * 250
	// networkStride spreads the networks at which operating system processes start their search.
	networkStride = 97
)

// fleets counts the fleets of this operating system process.
var fleets atomic.Int32

// fleet holds all that one run starts.
type fleet struct {
	options Options
	// network is the common prefix of all addresses of the fleet. The listener claim reserves
	// it.
	network string
	claim   net.Listener
	// dir holds the settings files and the logs of the processes.
	dir string
	// store is the stand-in for the store of the platform; storeWeb serves it.
	store    *standin.Platform
	storeWeb *httptest.Server
	nodes    []*node
	record   *record
	// version is the version of the newest settings.
	version atomic.Uint64
	// stopping is set as soon as a process has received SIGTERM in the calm or in the part with
	// stops.
	stopping atomic.Bool
}

// newFleet starts the store of a fleet; start starts the rest.
func newFleet(o Options) (*fleet, error) {
	if o.Nodes < 2 || o.Nodes > maxNodes {
		return nil, Error.New("%d nodes requested; a run needs from 2 to %d", o.Nodes, maxNodes)
	}
	network, claim, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "slatewind-soak")
	if err != nil {
		return nil, errs.Combine(Error.Wrap(err), claim.Close())
	}
	f := &fleet{options: o, network: network, claim: claim, dir: dir, store: standin.NewPlatform(), record: newRecord()}
	f.storeWeb = httptest.NewServer(f.store.Handler())
	return f, nil
}

// claimNetwork returns the prefix of loopback addresses that no other fleet on the machine uses,
// and the listener that reserves them. Fleets of one operating system process start their search
// at different networks, as do different operating system processes.
func claimNetwork() (network string, claim net.Listener, err error) {
	first := os.Getpid()*networkStride + int(fleets.Add(1))
	for i := range maxNetworks {
		at := (first + i) % maxNetworks
		network = fmt.Sprintf("127.%d.%d", firstNetwork+at/250, 1+at%250)
		claim, err = net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, claimBase, portClaim))
		if err == nil {
			return network, claim, nil
		}
	}
	return "", nil, Error.New("no free loopback network for the fleet: %w", err)
}

// address returns an address of node i; base is the last byte of this address of the first node.
func (f *fleet) address(base, i, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, base+i, port)
}

// serverAddress returns the address of the server of node i. Processes reach the process beside a server at the
// server's IP address, and take the server for their own if it is their own address. In runs with long answers it is, so
// that answers also pass without a connection between processes; otherwise it is that of the proxy.
func (f *fleet) serverAddress(i int) string {
	if f.includes(PartLong) {
		return f.address(ownBase, i, portServer)
	}
	return f.address(linkBase, i, portServer)
}

// start starts the nodes and waits until all processes are ready.
func (f *fleet) start(ctx context.Context) error {
	f.publish()
	for i := range f.options.Nodes {
		n, err := f.newNode(i)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.putEntry(i, false)
	}
	for _, n := range f.nodes {
		if err := f.launch(n); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// settle waits until the servers have finished requests that their callers gave up on.
func (f *fleet) settle() {
	f.setServers(standin.StampedOK)
	time.Sleep(settleTime)
}

// runs returns how often servers have begun to run each request, by request id.
func (f *fleet) runs() map[string]int {
	runs := map[string]int{}
	for _, n := range f.nodes {
		for _, o := range n.allOccupants() {
			for id, times := range o.Runs() {
				runs[id] += times
			}
		}
	}
	return runs
}

// close ends all that was started. It removes the logs unless keepLogs is set.
func (f *fleet) close(keepLogs bool) {
	for _, n := range f.nodes {
		n.close()
	}
	f.storeWeb.CloseClientConnections()
	f.storeWeb.Close()
	// An error of closing the listener is ignored: nothing depends on it any more.
	_ = f.claim.Close()
	if !keepLogs {
		// An error is ignored: files that remain do no harm.
		_ = os.RemoveAll(f.dir)
	}
}
