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
	// workShare is the share of the grace time for which a stop waits for work in
	// hand. Servers that are still at work after five sixths of it are waited for no
	// longer by the operators' rules. Then those who wait get their answer, and by
	// endShare all connections are closed: the rest is for a busy machine, since the
	// platform ends the process by force when the grace time is over.
	workShare = 0.86
	endShare  = 0.93
	// defaultGrace is the time from the request to stop until the end by force
	// where the bounds do not state it.
	defaultGrace = 6 * time.Second
)

// Stop drains the node: it is unready at once, gives out no more slots, serves
// callers until they have gone elsewhere, and finishes what is in hand. What is not
// finished in time is answered as it stands.
func (n *Node) Stop(ctx context.Context) error {
	began, grace := time.Now(), n.grace()
	n.stopping.Store(true)
	n.outbound.Leave()
	n.inbound.Stop(began)
	n.waitUntilQuiet(ctx, began, partOf(grace, workShare))
	n.outbound.End()
	n.callers.SetKeepAlivesEnabled(false)
	ending, cancel := context.WithDeadline(ctx, began.Add(partOf(grace, endShare)))
	defer cancel()
	if err := n.callers.Shutdown(ending); err != nil {
		n.logger.Warn("callers cut off by the stop", "callers", n.outbound.InFlight(), "cause", err)
	}
	n.peers.Stop()
	n.cancel()
	n.inbound.Close()
	n.logger.Info("stopped", "vm", n.settings.GetVm(), "took", time.Since(began).Round(time.Millisecond))
	return errs.Combine(n.callers.Close(), n.ready.Close(), n.admin.Close(), n.pool.Close())
}

// grace returns the time that the platform gives a stop.
func (n *Node) grace() time.Duration {
	if grace := n.living.Load().GetBounds().GetGrace().AsDuration(); grace > 0 {
		return grace
	}
	return defaultGrace
}

// partOf returns a share of a time.
func partOf(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

// waitUntilQuiet waits until nothing is in hand and no caller comes any more, or until
// the wait is over.
func (n *Node) waitUntilQuiet(ctx context.Context, began time.Time, wait time.Duration) {
	for time.Since(began) < wait && ctx.Err() == nil {
		now := time.Now()
		idle := n.outbound.InFlight() == 0 && n.inbound.InUse() == 0
		if idle && now.Sub(began) >= noticeTime && n.outbound.QuietFor(now) >= quietTime {
			return
		}
		time.Sleep(drainPoll)
	}
	n.logger.Warn("stopping with work in hand", "running", n.inbound.InUse(), "callers", n.outbound.InFlight())
}
