package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"

	"slatewind.example/slatewind/drain"
)

const (
	// defaultGrace is the time from the signal to stop until the process is killed, if
	// the setting bounds.grace is missing.
	defaultGrace = 6 * time.Second
	// peerCloseTimeout bounds how long a stop waits for replies to peers to be written.
	peerCloseTimeout = 200 * time.Millisecond
)

// Stop drains the node. The node is unready at once; which work it still takes and when it
// ends is decided by drain.Schedule. Requests that are not finished in time are answered with
// their state at that moment.
func (n *Node) Stop(ctx context.Context) error {
	schedule := drain.Schedule{Began: time.Now(), Grace: n.grace()}
	n.stopping.Store(true)
	n.outbound.Drain(schedule)
	n.inbound.Drain(schedule, n.outbound.HasCallers)
	end := time.AfterFunc(time.Until(schedule.PeersEnd()), n.inbound.End)
	defer end.Stop()
	n.waitUntilOver(ctx, schedule)
	n.outbound.End()
	n.callers.SetKeepAlivesEnabled(false)
	n.closeCallers(ctx, schedule)
	n.waitForPeers(ctx, schedule)
	stopPeers(n.peers, min(peerCloseTimeout, time.Until(schedule.Ends())))
	n.cancel()
	n.inbound.Close()
	n.logger.Info("stopped", "vm", n.settings.GetVm(), "took", time.Since(schedule.Began).Round(time.Millisecond))
	return errs.Combine(n.callers.Close(), n.ready.Close(), n.admin.Close(), n.pool.Close())
}

// grace returns the time from the signal to stop until the platform kills the process.
func (n *Node) grace() time.Duration {
	if grace := n.reloadable.Load().GetBounds().GetGrace().AsDuration(); grace > 0 {
		return grace
	}
	return defaultGrace
}

// waitUntilOver waits until the schedule is over.
func (n *Node) waitUntilOver(ctx context.Context, schedule drain.Schedule) {
	for ctx.Err() == nil {
		// now is read before the work is counted, so that a request that arrives in between is
		// admitted or refused at a later time than now.
		now := time.Now()
		idle := n.outbound.InFlight() == 0 && n.inbound.InFlight() == 0
		if schedule.Over(now, idle) {
			break
		}
		time.Sleep(drainPoll)
	}
	if n.outbound.InFlight() > 0 || n.inbound.InFlight() > 0 {
		n.logger.Warn("stopping with work in hand", "running", n.inbound.InUse(), "callers", n.outbound.InFlight())
	}
}

// closeCallers closes the callers' connections: at once those that are idle or have sent
// nothing yet, those that wait for an answer after the answer, and all when the schedule ends.
func (n *Node) closeCallers(ctx context.Context, schedule drain.Schedule) {
	ending, cancel := context.WithDeadline(ctx, schedule.Ends())
	defer cancel()
	n.unused.closeAll()
	if err := n.callers.Shutdown(ending); err != nil {
		n.logger.Warn("callers cut off by the stop", "callers", n.outbound.InFlight(), "cause", err)
	}
	n.conns.AwaitClosed(ending)
}

// waitForPeers waits until the requests of other processes have finished, at most until the
// end of the schedule. Their callers must not notice that this process stops.
func (n *Node) waitForPeers(ctx context.Context, schedule drain.Schedule) {
	for n.inbound.InFlight() > 0 && ctx.Err() == nil && time.Now().Before(schedule.Ends().Add(-drainPoll)) {
		time.Sleep(drainPoll)
	}
}

// unusedConns holds the callers' connections on which nothing was received yet.
// http.Server.Shutdown waits five seconds for them.
type unusedConns struct {
	// mu guards the fields below.
	mu    sync.Mutex
	conns map[net.Conn]bool
	// closing says that new connections are closed at once.
	closing bool
}

// track is the http.Server.ConnState hook: it holds a connection as long as nothing was received
// on it.
func (u *unusedConns) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(u.conns, conn)
	case u.closing:
		_ = conn.Close()
	default:
		u.conns[conn] = true
	}
}

// closeAll closes all unused connections, and those that are opened later.
func (u *unusedConns) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closing = true
	for conn := range u.conns {
		_ = conn.Close()
	}
}

// stopPeers closes the connections of peers: gracefully for at most wait, then by force.
func stopPeers(peers *grpc.Server, wait time.Duration) {
	stopped := make(chan struct{})
	go func() {
		peers.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(wait):
		peers.Stop()
	}
}
