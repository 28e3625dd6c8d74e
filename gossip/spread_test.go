//go:build capacity

package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"slatewind.example/slatewind"
)

// TestSpread2200: one reader reads a new revision of the settings in a fleet of the target
// size, while one message in a hundred is lost and a sixth of the fleet is partitioned.
func TestSpread2200(t *testing.T) {
	const nodes, cutOff = 2200, 6
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		all := c.addAll(nodes)
		all[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 1}, settings(0))
		timeToAll(t, all, 1)
		cut := map[string]bool{}
		var rest []*node
		for i, n := range all {
			cut[n.address] = i%cutOff == 1
			if !cut[n.address] {
				rest = append(rest, n)
			}
		}
		c.mu.Lock()
		c.loss = 0.01
		c.cut = func(from, to string) bool { return cut[from] != cut[to] }
		c.mu.Unlock()
		all[0].gossip.Offer(time.Now(), "test", slatewind.Revision{Number: 2}, settings(1))
		t.Logf("in force on %d nodes after %s", len(rest), timeToAll(t, rest, 2))
		c.setCut(func(string, string) bool { return false })
		t.Logf("in force on the %d partitioned nodes %s after the partition healed", nodes-len(rest), timeToAll(t, all, 2))
	})
}
