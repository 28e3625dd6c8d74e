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
	// minFaultGap and maxFaultGap bound the time between the starts of two faults. Faults last
	// longer than that, so that they overlap.
	minFaultGap = 50 * time.Millisecond
	maxFaultGap = 600 * time.Millisecond
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 200 * time.Millisecond
	maxFaultTime = 2500 * time.Millisecond
)

// fault injects a fault and returns the function that ends it.
type fault func(f *fleet, random *rand.Rand) (repair func())

// faults are drawn with equal probability; one that is listed n times is n times as likely.
var faults = []fault{
	linkFault, linkFault, linkResetFault, linkSilenceFault, storeLinkFault, storeLinkSilenceFault, storeFault, storeOlderSettings, storeCompactFault, storeRestoreFault,
	serverFault, serverFault, serverFault, pauseFault, killFault, stopFault, settingsFault, reloadFault,
}

// serverFaults are the failure modes of servers if Options.ServerFaults is empty.
var serverFaults = []standin.StampedMode{
	standin.StampedReset, standin.StampedLost, standin.StampedError,
	standin.StampedShed, standin.StampedHang, standin.StampedCut,
}

// faults returns the faults that a run draws from.
func (f *fleet) faults() []fault {
	if len(f.options.ServerFaults) > 0 {
		return []fault{serverFault}
	}
	return faults
}

// pick returns a random element of from.
func pick[T any](random *rand.Rand, from ...T) T { return from[random.IntN(len(from))] }

// randomDuration returns a random duration from lowest (inclusive) to highest (exclusive).
func randomDuration(random *rand.Rand, lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(random.Int64N(int64(highest-lowest)))
}

// storm injects the faults of the run.
func (f *fleet) storm(ctx context.Context, random *rand.Rand, length time.Duration) error {
	return f.injectFaults(ctx, random, f.faults(), length)
}

// injectFaults injects overlapping faults, drawn from a list, for a given time and returns once all of them have been
// ended.
func (f *fleet) injectFaults(ctx context.Context, random *rand.Rand, from []fault, length time.Duration) error {
	var repairs sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		repair := pick(random, from...)(f, random)
		lasts := randomDuration(random, minFaultTime, maxFaultTime)
		repairs.Go(func() {
			sleep(ctx, lasts)
			repair()
		})
		sleep(ctx, randomDuration(random, minFaultGap, maxFaultGap))
	}
	repairs.Wait()
	return nil
}

// randomNode returns a random node.
func (f *fleet) randomNode(random *rand.Rand) *node { return pick(random, f.nodes...) }

// linkFault delays or drops the traffic between a process and its peers.
func linkFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	n.peerProxy.set(pick(random, linkDelayed, linkDropsAll, linkDropsInbound, linkDropsOutbound))
	return func() { n.peerProxy.set(linkOpen) }
}

// linkResetFault resets all connections from peers to a process.
func linkResetFault(f *fleet, random *rand.Rand) func() {
	f.randomNode(random).peerProxy.resetAll()
	return func() {}
}

// linkSilenceFault makes the open connections from peers to a process drop everything; new
// connections work.
func linkSilenceFault(f *fleet, random *rand.Rand) func() {
	p := f.randomNode(random).peerProxy
	p.silence()
	return p.resetSilent
}

// storeLinkSilenceFault makes the open connections from a process to the store drop everything; new
// connections work.
func storeLinkSilenceFault(f *fleet, random *rand.Rand) func() {
	p := f.randomNode(random).storeProxy
	p.silence()
	return p.resetSilent
}

// storeLinkFault delays or drops the traffic between a process and the store.
func storeLinkFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	n.storeProxy.set(pick(random, linkDelayed, linkDropsAll, linkDropsOutbound))
	return func() { n.storeProxy.set(linkOpen) }
}

// storeFault makes the store fail, slow down or return stale data for all processes.
func storeFault(f *fleet, random *rand.Rand) func() {
	f.store.SetMode(pick(random, standin.PlatformDown, standin.PlatformBusy, standin.PlatformSlow, standin.PlatformStale))
	return func() { f.store.SetMode(standin.PlatformOK) }
}

// storeOlderSettings makes the store return settings that are older than the newest.
func storeOlderSettings(f *fleet, _ *rand.Rand) func() {
	if older := f.version.Load() - 1; older > 0 {
		f.store.Put(platform.ConfigKey, encodeVersion(older))
	}
	return func() { f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load())) }
}

// storeCompactFault makes the store compact its history.
func storeCompactFault(f *fleet, _ *rand.Rand) func() {
	f.store.Compact()
	return func() {}
}

// storeRestoreFault takes a copy of the store and restores it later; then servers and operators
// write their entries again.
func storeRestoreFault(f *fleet, _ *rand.Rand) func() {
	snapshot := f.store.Copy()
	return func() {
		f.store.Restore(snapshot)
		f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()))
		for _, n := range f.nodes {
			f.putEntry(n.number, false)
		}
	}
}

// serverFault puts a server into a failure mode.
func serverFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	modes := f.options.ServerFaults
	if len(modes) == 0 {
		modes = serverFaults
	}
	n.server.SetMode(pick(random, modes...))
	return func() { n.server.SetMode(standin.StampedOK) }
}

// pauseFault suspends a process, which then continues with outdated state.
func pauseFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	p := n.current()
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

// killFault kills a process and starts it again.
func killFault(f *fleet, random *rand.Rand) func() {
	return f.endAndRestart(f.randomNode(random), syscall.SIGKILL)
}

// stopFault sends SIGTERM to a process and starts it again once it has exited.
func stopFault(f *fleet, random *rand.Rand) func() {
	return f.endAndRestart(f.randomNode(random), syscall.SIGTERM)
}

// endAndRestart sends a signal that ends a process. The returned function waits for its exit and
// starts it again; a process that is still there after the timeout, for example because it is
// paused, is killed.
func (f *fleet) endAndRestart(n *node, sig syscall.Signal) func() {
	p := n.current()
	p.signal(sig)
	return func() {
		if !p.endsWithin(f.options.Timeout) {
			p.kill()
		}
		f.relaunch(n, p)
	}
}

// settingsFault publishes a new version of the settings.
func settingsFault(f *fleet, _ *rand.Rand) func() {
	f.publish()
	return func() {}
}

// reloadFault makes a process reload its settings file.
func reloadFault(f *fleet, random *rand.Rand) func() {
	f.reload(f.randomNode(random))
	return func() {}
}
