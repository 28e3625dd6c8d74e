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
	// mostAway is how long the store may be away before it comes back.
	mostAway = time.Second
	// writtenAgain is how long after that servers and operators may take to write again.
	writtenAgain = 2 * time.Second
	// contactTime is how long after trouble in the store no time bound holds.
	contactTime = 3 * time.Second
)

// leaving is when a server leaves, by the time at which the store comes back.
type leaving string

const (
	leavesBefore leaving = "before"
	// endsBefore: its entry is gone too.
	endsBefore  leaving = "ends before"
	leavesAfter leaving = "after"
	leavesNever leaving = "never"
)

// restoring is one return of the store from a copy.
type restoring struct {
	leaving leaving
	// lost is how many changes to other things the store lacks.
	lost int
	// noticed says that the store is away for a moment before.
	noticed bool
	// operatorFirst says that new settings are the first that the store is told after it.
	operatorFirst bool
}

// restorings are all ways in which the store comes back in one run.
var restorings = []restoring{
	{leaving: leavesBefore, lost: 200, noticed: true},
	{leaving: leavesAfter, lost: 200},
	{leaving: leavesNever, lost: 2, operatorFirst: true},
	{leaving: endsBefore, lost: 2, noticed: true},
}

// checkRestores has the store come back from copies while processes are paused and cut off.
func (f *fleet) checkRestores(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	leaver := len(f.nodes)
	for _, r := range restorings {
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

// checkRestore has the store come back from a copy once. The newest settings have to be in force,
// and a server that leaves has to get nothing. Servers from the leaver on have left or leave.
func (f *fleet) checkRestore(ctx context.Context, random *rand.Rand, r restoring, leaver int) {
	taken := f.store.Copy()
	f.awaitSettings(ctx, f.publish())
	for range r.lost {
		f.store.Put("other", nil)
	}
	if r.leaving == leavesBefore || r.leaving == endsBefore {
		f.leave(ctx, leaver)
	}
	if r.leaving == endsBefore {
		f.endEntry(leaver)
		sleep(ctx, contactTime)
	}
	var disturbing sync.WaitGroup
	seed := random.Uint64()
	disturbing.Go(func() { f.disturbRestore(ctx, seed) })
	f.restore(ctx, random, r, taken)
	f.writeAgain(ctx, random, r, leaver)
	disturbing.Wait()
	sleep(ctx, contactTime)
	if r.leaving == leavesAfter {
		f.leave(ctx, leaver)
	}
	f.awaitSettings(ctx, f.version.Load())
	if r.leaving != leavesNever {
		f.endEntry(leaver)
	}
}

// leave has a server say that it leaves and waits until it gets nothing.
func (f *fleet) leave(ctx context.Context, server int) {
	f.putEntry(server, true)
	f.awaitLeaving(ctx, f.nodes[server])
}

// restore has the store come back from a copy.
func (f *fleet) restore(ctx context.Context, random *rand.Rand, r restoring, from standin.Copy) {
	if r.noticed {
		f.store.SetMode(standin.PlatformDown)
		sleep(ctx, between(random, 0, mostAway))
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

// disturbRestore has one process be paused, or be cut off, for a while. None is killed: one that
// starts knows only what the copy says.
func (f *fleet) disturbRestore(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	mend := pick(random, pause, linkFault, storeLinkFault, storeLinkSilence)(f, random)
	sleep(ctx, between(random, leastFault, mostFault))
	mend()
}

// writeAgain has the operator and all servers that have not ended write again what they wrote.
func (f *fleet) writeAgain(ctx context.Context, random *rand.Rand, r restoring, leaver int) {
	end := time.Now().Add(writtenAgain)
	sleep(ctx, between(random, 0, writtenAgain))
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

// endEntry takes the entry of a server out of the store.
func (f *fleet) endEntry(server int) {
	f.store.Delete(platform.ServersPrefix + serverName(server))
}
