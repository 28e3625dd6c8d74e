package outbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/timer"
)

// TestSuspendedRequest checks that time during which the VM was suspended counts against a request's
// deadline, since its caller kept waiting.
func TestSuspendedRequest(t *testing.T) {
	suspended := time.Minute
	now := time.Now()
	rq := &request{
		deadline: now.Add(2 * time.Second), suspended: time.Minute,
		clock: timer.Clock{Suspension: func() time.Duration { return suspended }},
	}
	assert.Equal(t, rq.remaining(now), 2*time.Second)
	suspended += 1500 * time.Millisecond
	assert.Equal(t, rq.remaining(now), 500*time.Millisecond)
	suspended += time.Second
	assert.Assert(t, rq.remaining(now) < 0)
}
