package soak

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

const (
	// olderTime is how long the store shows older settings, several times as long
	// as news takes to travel.
	olderTime = 2500 * time.Millisecond
	// sheddingTime is how long all servers reject everything, several times as
	// long as it takes to spend the budget with one extra attempt for each request.
	sheddingTime = 2 * time.Second
	// quietTime without a request says that all have heard of a leaving server.
	quietTime = 2 * time.Second
	// longWork is how long servers work while a process stops, ten times as long
	// as else, so that requests are in progress then.
	longWork = 300 * time.Millisecond
)

// calm checks what has a time bound, one after the other, under load and without
// any fault.
func (f *fleet) calm(ctx context.Context) error {
	f.store.SetMode(standin.PlatformOK)
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	for _, check := range []func(context.Context){f.checkSettings, f.showOlder, f.spendBudget, f.checkLeaving} {
		if ctx.Err() == nil {
			check(ctx)
		}
	}
	return f.checkStop(ctx)
}

// showOlder has the store show the settings before the newest while processes are cut off from
// each other; the probes would notice if a process took them. One that could ask others would have
// the newest again within milliseconds, between two probes.
func (f *fleet) showOlder(ctx context.Context) {
	f.setPeerLinks(linkDropsAll)
	f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()-1))
	sleep(ctx, olderTime)
	f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()))
	f.setPeerLinks(linkOpen)
}

// setPeerLinks has all links between processes behave alike, and resets their connections.
func (f *fleet) setPeerLinks(mode linkMode) {
	for _, n := range f.nodes {
		n.peerProxy.set(mode)
		n.peerProxy.resetAll()
	}
}

// spendBudget has all servers reject what comes, so that each request could be
// sent again; the arrivals are judged in the end.
func (f *fleet) spendBudget(ctx context.Context) {
	f.setServers(standin.StampedShed)
	sleep(ctx, sheddingTime)
	f.setServers(standin.StampedOK)
}

// setServers has all servers behave alike.
func (f *fleet) setServers(mode standin.StampedMode) {
	for _, n := range f.nodes {
		n.server.SetMode(mode)
	}
}

// checkSettings publishes settings and waits until all have them in force.
func (f *fleet) checkSettings(ctx context.Context) {
	f.awaitSettings(ctx, f.publish())
}

// awaitSettings waits until all processes have settings in force.
func (f *fleet) awaitSettings(ctx context.Context, version uint64) {
	end := time.Now().Add(f.options.Patience)
	client := newCaller()
	defer client.CloseIdleConnections()
	for _, n := range f.nodes {
		known := func() bool {
			status, _ := f.ask(client, n.number, versionPath(version), newID())
			return status == http.StatusOK
		}
		if isOverdue(ctx, time.Until(end), known) {
			f.record.noteBreach(PromiseSettings, "node %d does not know version %d after %s", n.number, version, f.options.Patience)
		}
	}
}

// checkLeaving takes a server out of the store, by its own word.
func (f *fleet) checkLeaving(ctx context.Context) {
	leaver := f.nodes[len(f.nodes)-1]
	f.putEntry(leaver.number, true)
	f.awaitLeaving(ctx, leaver)
}

// awaitLeaving waits until a server that leaves gets nothing. It must get nothing from then on.
func (f *fleet) awaitLeaving(ctx context.Context, leaver *node) {
	arrivals, since := leaver.server.Arrivals(), time.Now()
	quiet := func() bool {
		if now := leaver.server.Arrivals(); now != arrivals {
			arrivals, since = now, time.Now()
		}
		return time.Since(since) >= quietTime
	}
	if isOverdue(ctx, f.options.Patience, quiet) {
		f.record.noteBreach(PromiseLeaving, "server %d still gets requests %s after its entry said that it leaves", leaver.number, f.options.Patience)
		return
	}
	f.record.noteLeaving(departure{Server: leaver.number, Known: time.Now()})
}

// checkStop tells a process to stop while callers use it until it is gone.
func (f *fleet) checkStop(ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	n := f.nodes[0]
	p := n.current()
	f.lengthenWork(ctx)
	f.stopping.Store(true)
	p.signal(syscall.SIGTERM)
	if isOverdue(ctx, f.options.Patience, p.hasEnded) {
		return Error.New("node %d does not stop in %s", n.number, f.options.Patience)
	}
	return nil
}

// lengthenWork has servers take longer, so that every caller has a request in
// hand when the stop comes.
func (f *fleet) lengthenWork(ctx context.Context) {
	for _, n := range f.nodes {
		n.server.SetDelay(longWork)
	}
	sleep(ctx, longWork)
}
