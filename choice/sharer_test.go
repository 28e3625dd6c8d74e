package choice_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/retry"
)

// TestSharer checks that each rank is held by one server of a service, in whatever order they
// were added, that an unknown server has none, and that a removal moves others by at most one.
func TestSharer(t *testing.T) {
	const servers = 20
	entry := func(i int) slatewind.ServerEntry {
		return slatewind.ServerEntry{Name: fmt.Sprint("s-", i), Service: "svc", Address: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	one, other := choice.NewService(choice.Place{DataCentre: "dc"}, 1), choice.NewService(choice.Place{DataCentre: "elsewhere"}, 2)
	for i := range servers {
		one.Put(time.Now(), entry(i))
		other.Put(time.Now(), entry(servers-1-i))
	}
	ranks := map[int]int{}
	for i := range servers {
		sharer := one.Sharer(entry(i).Address)
		assert.Equal(t, sharer.Servers, servers)
		assert.Equal(t, other.Sharer(entry(i).Address), sharer)
		ranks[sharer.Rank]++
	}
	assert.Equal(t, len(ranks), servers)
	assert.Equal(t, one.Sharer("10.0.1.1:1"), retry.Sharer{})
	one.Remove("s-7")
	for i := range servers {
		before, after := other.Sharer(entry(i).Address), one.Sharer(entry(i).Address)
		assert.Assert(t, i == 7 || after.Servers == servers-1 && before.Rank-after.Rank <= 1 && after.Rank <= before.Rank, "%v, %v", before, after)
	}
}
