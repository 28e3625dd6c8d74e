package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind"
	_ "slatewind.example/slatewind/internal/seeded"
	"slatewind.example/slatewind/member"
)

var begin = time.Unix(1_700_000_000, 0)

func entry(vm string, incarnation, serial uint64, state slatewind.VMState) member.Entry {
	return member.Entry{
		VM: vm, DataCentre: "dc", PeerAddress: vm, Incarnation: incarnation, Serial: serial, State: state, Source: slatewind.SourceGossip,
	}
}

func newTable() *member.Table {
	return member.NewTable(begin, member.Entry{VM: "self", DataCentre: "dc", PeerAddress: "self", Incarnation: 1})
}

// TestMergeInAnyOrder: entries that processes publish about themselves lead to the same
// table in any order, and an older entry does not bring back a process that has left.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) member.Entry {
			serial := uint64(rapid.IntRange(1, 2).Draw(t, "serial"))
			state := slatewind.VMLive
			if serial == 2 {
				state = slatewind.VMLeaving
			}
			vm := fmt.Sprint("vm-", rapid.IntRange(0, 2).Draw(t, "vm"))
			return entry(vm, uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), serial, state)
		}), 1, 12).Draw(t, "news")
		one, two := newTable(), newTable()
		for _, e := range updates {
			one.Merge(begin, e)
		}
		for _, e := range rapid.Permutation(updates).Draw(t, "other order") {
			two.Merge(begin, e)
		}
		for _, e := range one.All() {
			other, _ := two.Find(e.VM)
			assert.Equal(t, e.Incarnation, other.Incarnation)
			assert.Equal(t, e.Serial, other.Serial)
			assert.Equal(t, e.State, other.State)
		}
	})
}

// TestListLags: the platform's list adds VMs and marks them as leaving, but does not
// revert the state that a process published itself.
func TestListLags(t *testing.T) {
	table := newTable()
	listed := func(state slatewind.VMState) []slatewind.VM {
		return []slatewind.VM{{Name: "vm-1", DataCentre: "dc", PeerAddress: "vm-1", State: state}}
	}
	table.MergeList(begin, listed(slatewind.VMLive))
	table.Merge(begin, entry("vm-1", 5, 2, slatewind.VMLeaving))
	table.MergeList(begin, listed(slatewind.VMLive))
	e, _ := table.Find("vm-1")
	assert.Equal(t, e.State, slatewind.VMLeaving)

	table.Merge(begin, entry("vm-1", 6, 1, slatewind.VMLive))
	table.MergeList(begin, listed(slatewind.VMLeaving))
	e, _ = table.Find("vm-1")
	assert.Equal(t, e.State, slatewind.VMLeaving)

	table.MergeList(begin.Add(time.Minute), nil)
	_, known := table.Find("vm-1")
	assert.Assert(t, known, "a VM that is missing in the list must be kept for a while")
	table.MergeList(begin.Add(time.Hour), nil)
	_, known = table.Find("vm-1")
	assert.Assert(t, !known)
}

// TestSelfLeavesByTheList: the list shows the process's own VM as leaving.
func TestSelfLeavesByTheList(t *testing.T) {
	table := newTable()
	table.MergeList(begin, []slatewind.VM{{Name: "self", State: slatewind.VMLeaving}})
	assert.Equal(t, table.Self().State, slatewind.VMLeaving)
	assert.Equal(t, table.Self().Serial, uint64(2))
}

// TestReadersAreFew: all processes of a data centre have distinct ranks, a process that is
// gone gives way to the next, and only the first ranks may read the platform.
func TestReadersAreFew(t *testing.T) {
	names := []string{"self", "vm-1", "vm-2", "vm-3", "vm-4"}
	ranks := func(gone string) []int {
		var all []int
		for _, self := range names {
			if self == gone {
				continue
			}
			table := member.NewTable(begin, entry(self, 1, 1, slatewind.VMLive))
			for _, other := range names {
				table.Merge(begin, entry(other, 1, 1, slatewind.VMLive))
			}
			for range 3 {
				table.CallEnded(begin, gone, false)
			}
			all = append(all, table.ReaderRank())
		}
		return all
	}
	seen := map[int]bool{}
	for _, rank := range ranks("") {
		assert.Assert(t, !seen[rank])
		seen[rank] = true
	}
	seen = map[int]bool{}
	for _, rank := range ranks("vm-2") {
		seen[rank] = true
	}
	assert.Assert(t, seen[0] && seen[1] && len(seen) == 4)

	assert.Assert(t, member.MayRead(1, 0) && !member.MayRead(2, 0))
	assert.Assert(t, member.MayRead(2, 11*time.Second) && !member.MayRead(5, 11*time.Second))
	assert.Assert(t, member.MayRead(5, time.Hour) && !member.MayRead(6, time.Hour))
}

// TestRespondingPeersFirst: in a network partition with only one reachable peer, that peer
// is selected.
func TestRespondingPeersFirst(t *testing.T) {
	table := newTable()
	for i := range 10 {
		vm := fmt.Sprint("vm-", i)
		table.Merge(begin, entry(vm, 1, 1, slatewind.VMLive))
		if i > 0 {
			table.CallEnded(begin, vm, false)
		}
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		assert.Equal(t, table.Peers(r, 2)[0].VM, "vm-0")
	}
}
