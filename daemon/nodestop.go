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
	// defaultGrace is the time from the request to stop until the end by force
	// where the bounds do not state it.
	defaultGrace = 6 * time.Second
	// closeTime bounds how long a stop waits for the last bytes to peers.
	closeTime = 200 * time.Millisecond
)

// Stop drains the node: it is unready at once, and what it takes and when it ends follows
// its course (package drain). What is not finished in time is answered as it stands.
func (n *Node) Stop(ctx context.Context) error {
	course := drain.Schedule{Began: time.Now(), Grace: n.grace()}
	n.stopping.Store(true)
	n.outbound.Drain(course)
	n.inbound.Drain(course, n.outbound.HasCallers)
	n.waitUntilOver(ctx, course)
	n.outbound.End()
	n.callers.SetKeepAlivesEnabled(false)
	n.closeCallers(ctx, course)
	n.waitForPeers(ctx, course)
	stopPeers(n.peers, min(closeTime, time.Until(course.Ends())))
	n.cancel()
	n.inbound.Close()
	n.logger.Info("stopped", "vm", n.settings.GetVm(), "took", time.Since(course.Began).Round(time.Millisecond))
	return errs.Combine(n.callers.Close(), n.ready.Close(), n.admin.Close(), n.pool.Close())
}

// grace returns the time that the platform gives a stop.
func (n *Node) grace() time.Duration {
	if grace := n.living.Load().GetBounds().GetGrace().AsDuration(); grace > 0 {
		return grace
	}
	return defaultGrace
}

// waitUntilOver waits until the course is over.
func (n *Node) waitUntilOver(ctx context.Context, course drain.Schedule) {
	for ctx.Err() == nil {
		// What comes after this moment is decided about by a later one.
		now := time.Now()
		idle := n.outbound.InFlight() == 0 && n.inbound.InFlight() == 0
		if course.Over(now, idle) {
			break
		}
		time.Sleep(drainPoll)
	}
	if n.outbound.InFlight() > 0 || n.inbound.InFlight() > 0 {
		n.logger.Warn("stopping with work in hand", "running", n.inbound.InUse(), "callers", n.outbound.InFlight())
	}
}

// closeCallers closes the callers' connections: at once those that are idle or have sent
// nothing yet, those that wait for an answer once they have it, and all when the course ends.
func (n *Node) closeCallers(ctx context.Context, course drain.Schedule) {
	ending, cancel := context.WithDeadline(ctx, course.Ends())
	defer cancel()
	n.silent.closeAll()
	if err := n.callers.Shutdown(ending); err != nil {
		n.logger.Warn("callers cut off by the stop", "callers", n.outbound.InFlight(), "cause", err)
	}
}

// waitForPeers waits until the requests of other processes have run, as long as the course
// lasts: to their callers this stop is none.
func (n *Node) waitForPeers(ctx context.Context, course drain.Schedule) {
	for n.inbound.InFlight() > 0 && ctx.Err() == nil && time.Now().Before(course.Ends().Add(-drainPoll)) {
		time.Sleep(drainPoll)
	}
}

// silentConns holds the callers' connections on which nothing came yet. The library waits
// five seconds for them when it shuts down.
type silentConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
	// closing says that no more are kept.
	closing bool
}

// note keeps a connection as long as nothing came on it, as http.Server.ConnState has it.
func (s *silentConns) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(s.conns, conn)
	case s.closing:
		_ = conn.Close()
	default:
		s.conns[conn] = true
	}
}

// closeAll closes them all, and those that still come.
func (s *silentConns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// stopPeers closes the connections of peers, with some time for answers that are on their
// way.
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
