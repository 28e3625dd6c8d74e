package soak

import (
	"context"
	"math/rand/v2"
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

// faults are drawn with equal chances; what is listed twice comes twice as often.
var faults = []fault{
	linkFault, linkFault, linkReset, linkSilence, storeLinkFault, storeLinkSilence, storeFault, storeBehind, storeCompact, storeRestored,
	serverFault, serverFault, serverFault, pause, killAgain, stopAgain, newSettings, reloadOne,
}

// serverFaults are the ways in which servers fail, where a run does not state them.
var serverFaults = []standin.StampedMode{
	standin.StampedReset, standin.StampedLost, standin.StampedError,
	standin.StampedShed, standin.StampedHang, standin.StampedCut,
}

// faults returns the faults of a run.
func (f *fleet) faults() []fault {
	if len(f.options.ServerFaults) > 0 {
		return []fault{serverFault}
	}
	return faults
}

// pick returns one of several values.
func pick[T any](random *rand.Rand, from ...T) T { return from[random.IntN(len(from))] }

// between returns a random time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// storm lets faults come and go for a while; in the end all are mended.
func (f *fleet) storm(ctx context.Context, random *rand.Rand, length time.Duration) error {
	var mending sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		mend := pick(random, f.faults()...)(f, random)
		lasts := between(random, leastFault, mostFault)
		mending.Go(func() {
			sleep(ctx, lasts)
			mend()
		})
		sleep(ctx, between(random, leastGap, mostGap))
	}
	mending.Wait()
	return nil
}

// draw returns a random node.
func (f *fleet) draw(random *rand.Rand) *node { return pick(random, f.nodes...) }

// linkFault delays or loses what goes between a process and its peers.
func linkFault(f *fleet, random *rand.Rand) func() {
	n := f.draw(random)
	n.peerProxy.set(pick(random, linkDelayed, linkDropsAll, linkDropsInbound, linkDropsOutbound))
	return func() { n.peerProxy.set(linkOpen) }
}

// linkReset resets all connections of peers to a process.
func linkReset(f *fleet, random *rand.Rand) func() {
	f.draw(random).peerProxy.resetAll()
	return func() {}
}

// linkSilence has the connections of peers to a process go silent; new ones work.
func linkSilence(f *fleet, random *rand.Rand) func() {
	p := f.draw(random).peerProxy
	p.silence()
	return p.resetSilent
}

// storeLinkSilence has the connections of a process to the store go silent; new ones
// work.
func storeLinkSilence(f *fleet, random *rand.Rand) func() {
	p := f.draw(random).storeProxy
	p.silence()
	return p.resetSilent
}

// storeLinkFault delays or loses what goes between a process and the store.
func storeLinkFault(f *fleet, random *rand.Rand) func() {
	n := f.draw(random)
	n.storeProxy.set(pick(random, linkDelayed, linkDropsAll, linkDropsOutbound))
	return func() { n.storeProxy.set(linkOpen) }
}

// storeFault makes the store bad for all.
func storeFault(f *fleet, random *rand.Rand) func() {
	f.store.SetMode(pick(random, standin.PlatformDown, standin.PlatformBusy, standin.PlatformSlow, standin.PlatformStale))
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

// storeRestored has the store come back from a copy that is taken now; servers and operators
// write again what they wrote.
func storeRestored(f *fleet, _ *rand.Rand) func() {
	taken := f.store.Copy()
	return func() {
		f.store.Restore(taken)
		f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()))
		for _, n := range f.nodes {
			f.putEntry(n.number, false)
		}
	}
}

// serverFault makes a server sick.
func serverFault(f *fleet, random *rand.Rand) func() {
	n := f.draw(random)
	modes := f.options.ServerFaults
	if len(modes) == 0 {
		modes = serverFaults
	}
	n.server.SetMode(pick(random, modes...))
	return func() { n.server.SetMode(standin.StampedOK) }
}

// pause suspends a process for a while; it goes on with an old view.
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
		if !p.endsWithin(f.options.Patience) {
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

// reloadOne tells a process that its settings file has changed.
func reloadOne(f *fleet, random *rand.Rand) func() {
	f.reload(f.draw(random))
	return func() {}
}
