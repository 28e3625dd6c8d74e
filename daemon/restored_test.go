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
	// contactTime is how long after trouble in the store no time bound holds.
	contactTime = 3 * time.Second
	// changeTime is the least time, of all deployments, in which a change must be known
	// everywhere.
	changeTime = 2 * time.Second
	// lostChanges is how many changes a restored store lacks.
	lostChanges = 20
)

// restore has the store lose its newest changes, all of which every node has heard of.
func (f *nodes) restore() {
	f.t.Helper()
	taken := f.store.Copy()
	for i := range lostChanges {
		f.enter(i%len(f.servers), false)
	}
	f.publish(f.nodes[0].store.Version().Revision + 1)
	f.awaitHeard(f.store.Revision().Number)
	f.awaitVersion(f.nodes[0].store.Version().Revision)
	f.store.Restore(taken)
	time.Sleep(contactTime)
}

// behind returns the nodes that have older settings in force than a version.
func (f *nodes) behind(version uint64) (list []int) {
	for i, n := range f.nodes {
		if n.store.Version().Revision < version {
			list = append(list, i)
		}
	}
	return list
}

// TestSettingsMissedAfterRestore: settings that a restored store acknowledges are in force in time.
func TestSettingsMissedAfterRestore(t *testing.T) {
	f := newNodes(t, 4)
	f.restore()
	version := f.nodes[0].store.Version().Revision + 1
	f.publish(version)
	time.Sleep(changeTime)
	assert.Equal(t, len(f.behind(version)), 0, "%v have older settings", f.behind(version))
}

// TestLeavingMissedAfterRestore: a server that tells a restored store that it leaves gets no requests.
func TestLeavingMissedAfterRestore(t *testing.T) {
	f := newNodes(t, 4)
	f.restore()
	leaving := f.follower()
	f.enter(leaving, true)
	time.Sleep(changeTime)
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

// TestLeavingForgottenByRestore: a server that said that it leaves gets no requests though the copy has it as staying.
func TestLeavingForgottenByRestore(t *testing.T) {
	f := newNodes(t, 4)
	taken := f.store.Copy()
	f.enter(0, true)
	f.awaitHeard(f.store.Revision().Number)
	f.store.Restore(taken)
	f.throughout(contactTime, func() {
		assert.Equal(t, len(f.using(0)), 0, "%v would send requests there", f.using(0))
		assert.Assert(t, f.nodes[0].inbound.View().Leaving != "")
	})
}

// throughout checks again and again for a while.
func (f *nodes) throughout(length time.Duration, check func()) {
	const pause = 25 * time.Millisecond
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		check()
	}
}

// TestServerLostByRestore: a server that started after the copy was taken gets requests until it writes again.
func TestServerLostByRestore(t *testing.T) {
	f := newNodes(t, 3)
	f.store.Delete(platform.ServersPrefix + "s-0")
	f.awaitHeard(f.store.Revision().Number)
	taken := f.store.Copy()
	for range lostChanges {
		f.enter(0, false)
	}
	f.awaitHeard(f.store.Revision().Number)
	f.store.Restore(taken)
	time.AfterFunc(writeAgainTime, func() { f.enter(0, false) })
	f.throughout(contactTime, func() { assert.Equal(t, len(f.using(0)), len(f.nodes), "%v use it", f.using(0)) })
}

// writeAgainTime is how long after a store's return a server writes its entry again.
const writeAgainTime = 1200 * time.Millisecond

// TestRemovedServerBroughtBackByRestore: a server that was removed gets no requests though the copy has it.
func TestRemovedServerBroughtBackByRestore(t *testing.T) {
	f := newNodes(t, 3)
	taken := f.store.Copy()
	f.store.Delete(platform.ServersPrefix + "s-0")
	f.awaitHeard(f.store.Revision().Number)
	f.store.Restore(taken)
	f.throughout(contactTime, func() { assert.Equal(t, len(f.using(0)), 0, "%v would send requests there", f.using(0)) })
}

// TestOlderSettingsOfCopy: a copy's older settings are not put in force.
func TestOlderSettingsOfCopy(t *testing.T) {
	f := newNodes(t, 3)
	taken := f.store.Copy()
	f.publish(5)
	f.awaitVersion(5)
	f.store.Restore(taken)
	time.Sleep(contactTime)
	f.awaitVersion(5)
}

// TestReaderStartsWithSettingsOfCopy: a process that starts, and reads the store for others, has the newest settings though the copy has older ones.
func TestReaderStartsWithSettingsOfCopy(t *testing.T) {
	f := newNodes(t, 3)
	taken := f.store.Copy()
	f.publish(5)
	f.awaitVersion(5)
	reader := f.reader()
	f.end(f.nodes[reader])
	f.store.Restore(taken)
	f.nodes[reader] = f.start(reader)
	time.Sleep(contactTime)
	assert.Equal(t, len(f.behind(5)), 0, "%v have older settings", f.behind(5))
}

// reader returns a node that reads the store.
func (f *nodes) reader() int {
	f.t.Helper()
	return slices.IndexFunc(f.nodes, func(n *Node) bool { return n.source.IsReader() })
}
