package usage_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/usage"
)

// TestGuard checks when memory counts as short.
func TestGuard(t *testing.T) {
	const mib = 1 << 20
	tests := map[string]struct {
		limit, memory int64
		inFlight      int
		short         bool
	}{
		"no limit":             {limit: 0, memory: 1000 * mib},
		"half":                 {limit: 100 * mib, memory: 50 * mib, inFlight: 50},
		"above":                {limit: 100 * mib, memory: 91 * mib, short: true},
		"requests that follow": {limit: 100 * mib, memory: 50 * mib, inFlight: 1000, short: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := usage.NewGuard(test.limit, func() int64 { return test.memory })
			assert.Equal(t, g.Short(test.inFlight), test.short)
		})
	}
	assert.Assert(t, !(*usage.Guard)(nil).Short(1000))
}

// TestGuardReadsAgain checks that a shortage ends with its cause, and that the memory is not read at each call.
func TestGuardReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, calls = 100, 1000
		memory, reads := int64(limit), 0
		g := usage.NewGuard(limit, func() int64 { reads++; return memory })
		for range calls {
			assert.Assert(t, g.Short(0))
		}
		assert.Equal(t, reads, 1)
		memory = 0
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, !g.Short(0))
	})
}
