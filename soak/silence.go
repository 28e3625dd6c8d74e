package soak

import (
	"context"
	"time"
)

const (
	// silenceTimeout is how soon after the first loss the process that opened a silent
	// connection must have closed it. This should take less than a second; the rest allows for a
	// busy machine.
	silenceTimeout = 3 * time.Second
	// silenceServiceTime is the service time of the servers in this part, so that requests are in
	// progress.
	silenceServiceTime = 100 * time.Millisecond
)

// peerProxy and storeProxy return the proxies of a node.
func peerProxy(n *node) *proxy  { return n.peerProxy }
func storeProxy(n *node) *proxy { return n.storeProxy }

// checkSilence makes all open connections through one kind of proxy drop everything under load,
// while new connections work. It waits until the processes that opened them have had time to use
// them and have closed those that dropped data.
func (f *fleet) checkSilence(ctx context.Context, promise Promise, proxyOf func(*node) *proxy) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	var silent []*proxiedConn
	for _, n := range f.nodes {
		n.server.SetDelay(silenceServiceTime)
		silent = append(silent, proxyOf(n).silence()...)
	}
	sleep(ctx, silenceTimeout)
	await(ctx, f.options.Timeout, func() bool {
		// A run that ends at the first breach need not wait any longer; other runs measure the
		// total time for the report.
		tooLong := f.options.StopOn == promise && longestSilence(silent) > silenceTimeout
		return tooLong || countKept(silent) == 0
	})
	if longest := longestSilence(silent); longest > silenceTimeout {
		f.record.addBreach(promise, "of %d silent connections, one was kept open for %s after its first loss; %d are still open",
			len(silent), longest.Round(time.Millisecond), countKept(silent))
	}
	return nil
}

// countKept returns the number of connections that dropped data and are still open.
func countKept(silent []*proxiedConn) (kept int) {
	for _, c := range silent {
		if lost, ended := c.silentFor(); lost > 0 && !ended {
			kept++
		}
	}
	return kept
}

// longestSilence returns the longest time for which a connection was kept open after it dropped
// data.
func longestSilence(silent []*proxiedConn) (longest time.Duration) {
	for _, c := range silent {
		lost, _ := c.silentFor()
		longest = max(longest, lost)
	}
	return longest
}
