package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/discovery"
)

// minLeavingTime is the shortest time, over all deployments, from a server's entry that it is
// leaving until it must get no new work.
const minLeavingTime = 2 * time.Second

// TestLeavingBound checks the sum of the delays after which a request may still reach a
// leaving server. The process beside the server knows of it within discovery.MaxViewAge and
// checks each request before it looks for a connection; opening one takes at most
// backend.DialTimeout. The process where the request began has the same bound plus the delay
// to the other process: it gives back slots of servers that it knows to be leaving.
func TestLeavingBound(t *testing.T) {
	assert.Assert(t, discovery.MaxViewAge+backend.DialTimeout < minLeavingTime, "%s and %s", discovery.MaxViewAge, backend.DialTimeout)
}
