package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/platform"
)

const (
	// settleTime is how long after a failure of the store the time bounds do not apply.
	settleTime = 3 * time.Second
	// propagationTime is the shortest time, over all deployments, within which a change must be
	// known everywhere.
	propagationTime = 2 * time.Second
	// lostChanges is the number of changes that the restored store lacks.
	lostChanges = 20
)

// restore restores the store from a backup that lacks the newest changes, after every node has seen
// all of them.
func (f *nodes) restore() {
	f.t.Helper()
	backup := f.store.Copy()
	for i := range lostChanges {
		f.enter(i%len(f.servers), false)
	}
	f.publish(f.nodes[0].store.Version().Revision + 1)
	f.awaitRevision(f.store.Revision().Number)
	f.awaitVersion(f.nodes[0].store.Version().Revision)
	f.store.Restore(backup)
	time.Sleep(settleTime)
}

// behind returns the nodes whose settings in force are older than a version.
func (f *nodes) behind(version uint64) (list []int) {
	for i, n := range f.nodes {
		if n.store.Version().Revision < version {
			list = append(list, i)
		}
	}
	return list
}

// TestSettingsMissedAfterRestore checks that settings that a restored store acknowledges are in force
// everywhere in time.
func TestSettingsMissedAfterRestore(t *testing.T) {
	f := newNodes(t, 4)
	f.restore()
	version := f.nodes[0].store.Version().Revision + 1
	f.publish(version)
	time.Sleep(propagationTime)
	assert.Equal(t, len(f.behind(version)), 0, "%v have older settings", f.behind(version))
}

// TestLeavingMissedAfterRestore checks that a server that writes to a restored store that it is
// leaving gets no requests.
func TestLeavingMissedAfterRestore(t *testing.T) {
	f := newNodes(t, 4)
	f.restore()
	leaving := f.follower()
	f.enter(leaving, true)
	time.Sleep(propagationTime)
	assert.Equal(t, len(f.using(leaving)), 0, "%v would send requests there", f.using(leaving))
	assert.Assert(t, f.nodes[leaving].inbound.View().Leaving != "")
}

// using returns the nodes that would send requests to a server.
func (f *nodes) using(server int) (list []int) {
	name := fmt.Sprint("s-", server)
	for i, n := range f.nodes {
		for _, service := range n.outbound.View(time.Now()).Services {
			if slices.ContainsFunc(service.Servers, func(s choice.View) bool { return s.Name == name && !s.Leaving }) {
				list = append(list, i)
			}
		}
	}
	return list
}

// follower returns a node that does not read the store.
func (f *nodes) follower() int {
	f.t.Helper()
	return slices.IndexFunc(f.nodes, func(n *Node) bool { return !n.source.IsReader() })
}

// TestLeavingForgottenByRestore checks that a leaving server gets no requests although the backup has
// an entry from before it was leaving.
func TestLeavingForgottenByRestore(t *testing.T) {
	f := newNodes(t, 4)
	backup := f.store.Copy()
	f.enter(0, true)
	f.awaitRevision(f.store.Revision().Number)
	f.store.Restore(backup)
	f.throughout(settleTime, func() {
		assert.Equal(t, len(f.using(0)), 0, "%v would send requests there", f.using(0))
		assert.Assert(t, f.nodes[0].inbound.View().Leaving != "")
	})
}

// throughout repeats a check for the given time.
func (f *nodes) throughout(length time.Duration, check func()) {
	const pause = 25 * time.Millisecond
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		check()
	}
}

// TestServerLostByRestore checks that a server that started after the backup was taken keeps getting
// requests until it writes its entry again.
func TestServerLostByRestore(t *testing.T) {
	f := newNodes(t, 3)
	f.store.Delete(platform.ServersPrefix + "s-0")
	f.awaitRevision(f.store.Revision().Number)
	backup := f.store.Copy()
	for range lostChanges {
		f.enter(0, false)
	}
	f.awaitRevision(f.store.Revision().Number)
	f.store.Restore(backup)
	time.AfterFunc(writeAgainTime, func() { f.enter(0, false) })
	f.throughout(settleTime, func() { assert.Equal(t, len(f.using(0)), len(f.nodes), "%v use it", f.using(0)) })
}

// writeAgainTime is how long after the restore a server writes its entry again.
const writeAgainTime = 1200 * time.Millisecond

// TestRemovedServerBroughtBackByRestore checks that a removed server gets no requests although the
// backup has its entry.
func TestRemovedServerBroughtBackByRestore(t *testing.T) {
	f := newNodes(t, 3)
	backup := f.store.Copy()
	f.store.Delete(platform.ServersPrefix + "s-0")
	f.awaitRevision(f.store.Revision().Number)
	f.store.Restore(backup)
	f.throughout(settleTime, func() { assert.Equal(t, len(f.using(0)), 0, "%v would send requests there", f.using(0)) })
}

// TestOlderSettingsOfCopy checks that the older settings of the backup do not come into force.
func TestOlderSettingsOfCopy(t *testing.T) {
	f := newNodes(t, 3)
	backup := f.store.Copy()
	f.publish(5)
	f.awaitVersion(5)
	f.store.Restore(backup)
	time.Sleep(settleTime)
	f.awaitVersion(5)
}

// TestReaderStartsWithSettingsOfCopy checks that a process that starts as a reader of the store for
// others gets the newest settings although the backup has older ones.
func TestReaderStartsWithSettingsOfCopy(t *testing.T) {
	f := newNodes(t, 3)
	backup := f.store.Copy()
	f.publish(5)
	f.awaitVersion(5)
	reader := f.reader()
	f.end(f.nodes[reader])
	f.store.Restore(backup)
	f.nodes[reader] = f.start(reader)
	time.Sleep(settleTime)
	assert.Equal(t, len(f.behind(5)), 0, "%v have older settings", f.behind(5))
}

// reader returns a node that reads the store.
func (f *nodes) reader() int {
	f.t.Helper()
	return slices.IndexFunc(f.nodes, func(n *Node) bool { return n.source.IsReader() })
}
