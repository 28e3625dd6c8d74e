package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

const (
	// maxStoreDowntime bounds how long the store may be down before a restore.
	maxStoreDowntime = time.Second
	// rewriteTime is how long after a restore servers and operators may take to write their
	// entries again.
	rewriteTime = 2 * time.Second
	// recoveryTime is how long after a failure of the store no time bound applies.
	recoveryTime = 3 * time.Second
)

// leaveTime is when a server leaves, relative to the restore of the store.
type leaveTime string

const (
	leavesBefore leaveTime = "before"
	// removedBefore: its entry is removed as well.
	removedBefore leaveTime = "ends before"
	leavesAfter   leaveTime = "after"
	leavesNever   leaveTime = "never"
)

// restoreCase describes one restore of the store from a copy.
type restoreCase struct {
	leaving leaveTime
	// lost is the number of changes to unrelated keys that the copy lacks.
	lost int
	// downBefore makes the store go down for a moment before the restore.
	downBefore bool
	// operatorFirst makes new settings the first write after the restore.
	operatorFirst bool
}

// restoreCases are the restores of one run, in order.
var restoreCases = []restoreCase{
	{leaving: leavesBefore, lost: 200, downBefore: true},
	{leaving: leavesAfter, lost: 200},
	{leaving: leavesNever, lost: 2, operatorFirst: true},
	{leaving: removedBefore, lost: 2, downBefore: true},
}

// checkRestores restores the store from older copies while processes are paused and cut off.
func (f *fleet) checkRestores(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	leaver := len(f.nodes)
	for _, r := range restoreCases {
		if ctx.Err() != nil {
			return nil
		}
		if r.leaving != leavesNever {
			leaver--
		}
		f.checkRestore(ctx, random, r, leaver)
	}
	return nil
}

// checkRestore restores the store from a copy once. The newest settings have to come into force,
// and a leaving server must receive no requests. Servers with the number leaver and above have
// left or are leaving.
func (f *fleet) checkRestore(ctx context.Context, random *rand.Rand, r restoreCase, leaver int) {
	snapshot := f.store.Copy()
	f.awaitSettings(ctx, f.publish())
	for range r.lost {
		f.store.Put("other", nil)
	}
	if r.leaving == leavesBefore || r.leaving == removedBefore {
		f.leave(ctx, leaver)
	}
	if r.leaving == removedBefore {
		f.endEntry(leaver)
		sleep(ctx, recoveryTime)
	}
	var disturbing sync.WaitGroup
	seed := random.Uint64()
	disturbing.Go(func() { f.disturbRestore(ctx, seed) })
	f.restore(ctx, random, r, snapshot)
	f.rewriteEntries(ctx, random, r, leaver)
	disturbing.Wait()
	sleep(ctx, recoveryTime)
	if r.leaving == leavesAfter {
		f.leave(ctx, leaver)
	}
	f.awaitSettings(ctx, f.version.Load())
	if r.leaving != leavesNever {
		f.endEntry(leaver)
	}
}

// leave marks a server as leaving and waits until it receives no requests.
func (f *fleet) leave(ctx context.Context, server int) {
	f.putEntry(server, true)
	f.awaitLeaving(ctx, f.nodes[server])
}

// restore restores the store from a copy.
func (f *fleet) restore(ctx context.Context, random *rand.Rand, r restoreCase, from standin.Copy) {
	if r.downBefore {
		f.store.SetMode(standin.PlatformDown)
		sleep(ctx, randomDuration(random, 0, maxStoreDowntime))
	}
	f.store.Restore(from)
	if r.operatorFirst {
		f.publish()
		for range r.lost {
			f.store.Put("other", nil)
		}
	}
	f.store.SetMode(standin.PlatformOK)
}

// disturbRestore pauses a process or cuts it off for a while. It kills none, since a process
// that starts knows only the content of the copy.
func (f *fleet) disturbRestore(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	repair := pick(random, pauseFault, linkFault, storeLinkFault, storeLinkSilenceFault)(f, random)
	sleep(ctx, randomDuration(random, minFaultTime, maxFaultTime))
	repair()
}

// rewriteEntries writes the settings, and the entries of all servers that have not ended, once
// more, as operators and servers do after a restore.
func (f *fleet) rewriteEntries(ctx context.Context, random *rand.Rand, r restoreCase, leaver int) {
	end := time.Now().Add(rewriteTime)
	sleep(ctx, randomDuration(random, 0, rewriteTime))
	if !r.operatorFirst {
		f.store.Put(platform.ConfigKey, encodeVersion(f.version.Load()))
	}
	for i := range leaver {
		f.putEntry(i, false)
	}
	if r.leaving == leavesBefore {
		f.putEntry(leaver, true)
	}
	sleep(ctx, time.Until(end))
}

// endEntry removes the entry of a server from the store.
func (f *fleet) endEntry(server int) {
	f.store.Delete(platform.ServersPrefix + serverName(server))
}
