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
	// olderSettingsTime is how long the store shows older settings: several times as long as settings
	// take to spread.
	olderSettingsTime = 2500 * time.Millisecond
	// rejectTime is how long all servers reject all requests: several times as long as it
	// takes to use up the retry budget with one extra attempt per request.
	rejectTime = 2 * time.Second
	// quietTime is how long a leaving server must receive no request before all processes are
	// taken to know that it leaves.
	quietTime = 2 * time.Second
	// longServiceTime is the service time of the servers while a process stops. It is ten times the
	// usual one, so that requests are in progress during the stop.
	longServiceTime = 300 * time.Millisecond
)

// calm checks the promises that have a time bound, one after the other, under load and without
// faults.
func (f *fleet) calm(ctx context.Context) error {
	f.store.SetMode(standin.PlatformOK)
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	for _, check := range []func(context.Context){f.checkSettings, f.checkOlderSettings, f.exhaustBudget, f.checkLeaving} {
		if ctx.Err() == nil {
			check(ctx)
		}
	}
	return f.checkStop(ctx)
}

// checkOlderSettings makes the store return the settings before the newest while the processes are cut
// off from each other. The probes detect a process that takes them. The processes have to be cut
// off because one that can fetch from its peers would have the newest settings again within
// milliseconds, between two probes.
func (f *fleet) checkOlderSettings(ctx context.Context) {
	f.setPeerLinks(linkDropsAll)
	f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()-1))
	sleep(ctx, olderSettingsTime)
	f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()))
	f.setPeerLinks(linkOpen)
}

// setPeerLinks sets the mode of all links between processes and resets their connections.
func (f *fleet) setPeerLinks(mode linkMode) {
	for _, n := range f.nodes {
		n.peerProxy.set(mode)
		n.peerProxy.resetAll()
	}
}

// exhaustBudget makes all servers reject all requests, so that each request may be retried.
// verifyBudget checks the arrivals at the end of the run.
func (f *fleet) exhaustBudget(ctx context.Context) {
	f.setServers(standin.StampedShed)
	sleep(ctx, rejectTime)
	f.setServers(standin.StampedOK)
}

// setServers sets the mode of all servers.
func (f *fleet) setServers(mode standin.StampedMode) {
	for _, n := range f.nodes {
		n.server.SetMode(mode)
	}
}

// checkSettings publishes settings and waits until they are in force in all processes.
func (f *fleet) checkSettings(ctx context.Context) {
	f.awaitSettings(ctx, f.publish())
}

// awaitSettings waits until settings are in force in all processes.
func (f *fleet) awaitSettings(ctx context.Context, version uint64) {
	end := time.Now().Add(f.options.Timeout)
	client := newCaller()
	defer client.CloseIdleConnections()
	for _, n := range f.nodes {
		known := func() bool {
			status, _ := f.send(client, n.number, versionPath(version), newID())
			return status == http.StatusOK
		}
		if isOverdue(ctx, time.Until(end), known) {
			f.record.addBreach(PromiseSettings, "node %d does not have version %d of the settings in force after %s", n.number, version, f.options.Timeout)
		}
	}
}

// checkLeaving marks a server's entry in the store as leaving.
func (f *fleet) checkLeaving(ctx context.Context) {
	leaver := f.nodes[len(f.nodes)-1]
	f.putEntry(leaver.number, true)
	f.awaitLeaving(ctx, leaver)
}

// awaitLeaving waits until a leaving server receives no requests any more, and records the time
// from which it must not receive any.
func (f *fleet) awaitLeaving(ctx context.Context, leaver *node) {
	arrivals, since := leaver.server.Arrivals(), time.Now()
	quiet := func() bool {
		if now := leaver.server.Arrivals(); now != arrivals {
			arrivals, since = now, time.Now()
		}
		return time.Since(since) >= quietTime
	}
	if isOverdue(ctx, f.options.Timeout, quiet) {
		f.record.addBreach(PromiseLeaving, "server %d still receives requests %s after its entry was marked as leaving", leaver.number, f.options.Timeout)
		return
	}
	f.record.addLeaving(departure{Server: leaver.number, Known: time.Now()})
}

// checkStop sends SIGTERM to a process under load and waits until it has exited.
func (f *fleet) checkStop(ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	n := f.nodes[0]
	p := n.current()
	f.slowServers(ctx)
	f.stopping.Store(true)
	p.signal(syscall.SIGTERM)
	if isOverdue(ctx, f.options.Timeout, p.hasEnded) {
		return Error.New("node %d has not exited %s after SIGTERM", n.number, f.options.Timeout)
	}
	return nil
}

// slowServers increases the service time of the servers, so that every caller has a request in
// progress when the stop begins.
func (f *fleet) slowServers(ctx context.Context) {
	for _, n := range f.nodes {
		n.server.SetDelay(longServiceTime)
	}
	sleep(ctx, longServiceTime)
}
