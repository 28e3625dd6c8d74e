package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

const (
	// leastGap and mostGap bound the time between the begins of two faults; they
	// last longer, so that they overlap.
	leastGap = 50 * time.Millisecond
	mostGap  = 600 * time.Millisecond
	// leastFault and mostFault bound how long a fault lasts.
	leastFault = 200 * time.Millisecond
	mostFault  = 2500 * time.Millisecond
)

// fault is something that goes wrong for a while: begin returns what mends it.
type fault func(f *fleet, random *rand.Rand) (mend func())

// faults are drawn with equal chances.
var faults = []fault{
	linkFault, linkFault, linkReset, storeLinkFault, storeFault, storeBehind, storeCompact,
	serverFault, serverFault, serverFault, pause, killAgain, stopAgain, newSettings, reload,
}

// between returns a random time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// storm lets faults come and go for a while; in the end all are mended.
func (f *fleet) storm(ctx context.Context, random *rand.Rand, length time.Duration) {
	var mending sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		mend := faults[random.IntN(len(faults))](f, random)
		lasts := between(random, leastFault, mostFault)
		mending.Go(func() {
			time.Sleep(lasts)
			mend()
		})
		time.Sleep(between(random, leastGap, mostGap))
	}
	mending.Wait()
}

func (f *fleet) draw(random *rand.Rand) *node { return f.nodes[random.IntN(len(f.nodes))] }

// linkFault makes the way to a process bad.
func linkFault(f *fleet, random *rand.Rand) func() {
	n := f.draw(random)
	n.link.set([]Way{WayDelayed, WaySilent, WayDeaf, WayMute}[random.IntN(4)])
	return func() { n.link.set(WayOpen) }
}

// linkReset resets all connections to a process.
func linkReset(f *fleet, random *rand.Rand) func() {
	f.draw(random).link.resetAll()
	return func() {}
}

// storeLinkFault cuts a process off from the store, or delays what it hears.
func storeLinkFault(f *fleet, random *rand.Rand) func() {
	n := f.draw(random)
	n.store.set([]Way{WayDelayed, WaySilent, WayMute}[random.IntN(3)])
	return func() { n.store.set(WayOpen) }
}

// storeFault makes the store bad for all.
func storeFault(f *fleet, random *rand.Rand) func() {
	f.store.SetMode([]standin.PlatformMode{standin.PlatformDown, standin.PlatformBusy, standin.PlatformSlow, standin.PlatformStale}[random.IntN(4)])
	return func() { f.store.SetMode(standin.PlatformOK) }
}

// storeBehind has the store show settings that are older than the newest.
func storeBehind(f *fleet, _ *rand.Rand) func() {
	if older := f.version.Load() - 1; older > 0 {
		f.store.Put(platform.ConfigKey, encodeVersion(older))
	}
	return func() { f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load())) }
}

// storeCompact has the store forget its history.
func storeCompact(f *fleet, _ *rand.Rand) func() {
	f.store.Compact()
	return func() {}
}

// serverFault makes a server sick.
func serverFault(f *fleet, random *rand.Rand) func() {
	n := f.draw(random)
	n.server.SetMode([]standin.StampedMode{
		standin.StampedReset, standin.StampedLost, standin.StampedError, standin.StampedShed, standin.StampedHang, standin.StampedCut,
	}[random.IntN(6)])
	return func() { n.server.SetMode(standin.StampedOK) }
}

// pause stops a process's clock for a while; it wakes with an old view.
func pause(f *fleet, random *rand.Rand) func() {
	n := f.draw(random)
	p := n.current()
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

// killAgain kills a process; it starts again.
func killAgain(f *fleet, random *rand.Rand) func() {
	return f.endAgain(f.draw(random), syscall.SIGKILL)
}

// stopAgain tells a process to stop; it starts again.
func stopAgain(f *fleet, random *rand.Rand) func() {
	return f.endAgain(f.draw(random), syscall.SIGTERM)
}

// endAgain sends a signal that ends a process. Mending waits for the end, which
// a paused process reaches only by force, and starts it again.
func (f *fleet) endAgain(n *node, how syscall.Signal) func() {
	p := n.current()
	p.signal(how)
	return func() {
		select {
		case <-p.ended:
		case <-time.After(f.options.Patience):
			p.kill()
		}
		f.relaunch(n, p)
	}
}

// newSettings publishes a new version.
func newSettings(f *fleet, _ *rand.Rand) func() {
	f.publish()
	return func() {}
}

// reload tells a process that its settings file has changed.
func reload(f *fleet, random *rand.Rand) func() {
	f.draw(random).current().signal(syscall.SIGHUP)
	return func() {}
}

// calm checks what has a time bound, one after the other, under load and without
// any fault.
func (f *fleet) calm(ctx context.Context) error {
	f.store.SetMode(standin.PlatformOK)
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.checkSettings(ctx)
	f.showOlder()
	f.spendBudget()
	f.checkLeaving(ctx)
	return f.checkStop(ctx)
}

// olderTime is how long the store shows older settings, several times as long as
// news takes to travel.
const olderTime = 2500 * time.Millisecond

// showOlder has the store show the settings before the newest; the probes would
// notice if a process took them.
func (f *fleet) showOlder() {
	f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()-1))
	time.Sleep(olderTime)
	f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()))
}

// sheddingTime is how long all servers reject everything, several times as long
// as it takes to spend the budget with one extra attempt for each request.
const sheddingTime = 2 * time.Second

// spendBudget has all servers reject what comes, so that each request could be
// sent again; the arrivals are judged in the end.
func (f *fleet) spendBudget() {
	f.setServers(standin.StampedShed)
	time.Sleep(sheddingTime)
	f.setServers(standin.StampedOK)
}

func (f *fleet) setServers(mode standin.StampedMode) {
	for _, n := range f.nodes {
		n.server.SetMode(mode)
	}
}

// checkSettings publishes settings and waits until all have them in force.
func (f *fleet) checkSettings(ctx context.Context) {
	version := f.publish()
	end := time.Now().Add(f.options.Patience)
	client := newCaller()
	defer client.CloseIdleConnections()
	for _, n := range f.nodes {
		if !await(ctx, time.Until(end), func() bool {
			status, _ := f.ask(client, n.number, versionPath(version), newID())
			return status != 0 && status != http.StatusNotFound
		}) {
			f.record.noteBreach(PromiseSettings, "node %d does not know version %d after %s", n.number, version, f.options.Patience)
		}
	}
}

// quietTime without a request says that all have heard of a leaving server.
const quietTime = 2 * time.Second

// checkLeaving takes a server out of the store, by its own word.
func (f *fleet) checkLeaving(ctx context.Context) {
	leaver := f.nodes[len(f.nodes)-1]
	f.enter(leaver.number, true)
	arrivals, since := leaver.server.Arrivals(), time.Now()
	if !await(ctx, f.options.Patience, func() bool {
		if now := leaver.server.Arrivals(); now != arrivals {
			arrivals, since = now, time.Now()
		}
		return time.Since(since) >= quietTime
	}) {
		f.record.noteBreach(PromiseLeaving, "server %d still gets requests %s after its entry said that it leaves", leaver.number, f.options.Patience)
		return
	}
	f.record.noteLeaving(Leaving{Server: leaver.number, Known: time.Now()})
}

// longWork is how long servers work while a process stops.
const longWork = 300 * time.Millisecond

// checkStop tells a process to stop while callers use it until it is gone.
func (f *fleet) checkStop(ctx context.Context) error {
	n := f.nodes[0]
	p := n.current()
	// With longer work every caller has a request in hand when the stop comes.
	for _, other := range f.nodes {
		other.server.SetDelay(longWork)
	}
	time.Sleep(longWork)
	f.stopping.Store(true)
	p.signal(syscall.SIGTERM)
	if !await(ctx, f.options.Patience, func() bool {
		select {
		case <-p.ended:
			return true
		default:
			return false
		}
	}) {
		return Error.New("node %d does not stop in %s", n.number, f.options.Patience)
	}
	return nil
}
