package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/timer"
)

// TestSuspendedServer checks that an attempt sent before the VM was suspended is
// refused after it, even if it arrives before the first tick.
func TestSuspendedServer(t *testing.T) {
	tests := map[string]struct {
		suspended time.Duration
		admitted  bool
	}{
		"not at all":      {0, true},
		"for a moment":    {200 * time.Millisecond, true},
		"for two seconds": {2 * time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var suspended time.Duration
			ls := newLocalServer(time.Now(), "svc", &slatewindv1.Server{Name: "s-1", Slots: 1}, 7, 100)
			ls.clock = timer.Clock{Suspension: func() time.Duration { return suspended }}
			ls.tick(time.Now())
			suspended = test.suspended
			refusal := ls.admit(time.Now(), "a", ls.attempts.Incarnation())
			assert.Equal(t, refusal == "", test.admitted, "%v", refusal)
		})
	}
}
