package daemon

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

const (
	// noticeTime is how long a stopping node goes on taking requests: the
	// platform asks each second whether it is ready and sends callers elsewhere
	// after two answers that it is not.
	noticeTime = 2200 * time.Millisecond
	// quietTime without a new request says that callers have gone elsewhere.
	quietTime = 400 * time.Millisecond
	// graceMargin is how long before the platform ends the process by force a
	// stop ends its wait for work in hand.
	graceMargin = 500 * time.Millisecond
	// defaultGrace is the time from the request to stop until the end by force
	// where the bounds do not state it.
	defaultGrace = 6 * time.Second
)

// Stop drains the node: it is unready at once, gives out no more slots, serves
// callers until they have gone elsewhere, and finishes what is in hand.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.outbound.Leave()
	n.inbound.Stop(time.Now())
	n.waitUntilQuiet(ctx)
	ending, cancel := context.WithTimeout(ctx, drainNotice)
	defer cancel()
	n.callers.SetKeepAlivesEnabled(false)
	err := n.callers.Shutdown(ending)
	n.peers.Stop()
	n.cancel()
	n.inbound.Close()
	n.logger.Info("stopped", "vm", n.settings.GetVm())
	return errs.Combine(err, n.ready.Close(), n.admin.Close(), n.pool.Close())
}

// waitUntilQuiet waits until nothing is in hand and no caller comes any more.
func (n *Node) waitUntilQuiet(ctx context.Context) {
	grace := n.settings.GetBounds().GetGrace().AsDuration()
	if grace <= 0 {
		grace = defaultGrace
	}
	began := time.Now()
	for time.Since(began) < grace-graceMargin && ctx.Err() == nil {
		now := time.Now()
		idle := n.outbound.InFlight() == 0 && n.inbound.InUse() == 0
		if idle && now.Sub(began) >= noticeTime && n.outbound.QuietFor(now) >= quietTime {
			return
		}
		time.Sleep(drainPoll)
	}
	n.logger.Warn("stopping with work in hand", "running", n.inbound.InUse(), "callers", n.outbound.InFlight())
}
