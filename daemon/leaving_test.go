package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/backend"
	"slatewind.example/slatewind/discovery"
)

// leastLeavingTime is the least time, of all deployments, from a server's word that
// it leaves until it must get no new work.
const leastLeavingTime = 2 * time.Second

// TestLeavingBound adds up how late a request may reach a server that leaves. The
// process beside it learns of it within discovery.MaxViewAge and checks each request
// before it looks for a connection; to open one takes at most backend.DialTimeout.
// That is as true of the process where the request began, which gives back slots
// of servers that it knows to leave, but for the way to the other process.
func TestLeavingBound(t *testing.T) {
	assert.Assert(t, discovery.MaxViewAge+backend.DialTimeout < leastLeavingTime, "%s and %s", discovery.MaxViewAge, backend.DialTimeout)
}
