package usage_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/usage"
)

// TestReadCountsWhatIsHeld checks that memory and descriptors that the process takes are counted.
func TestReadCountsWhatIsHeld(t *testing.T) {
	const bytes, files = 64 << 20, 20
	limits := usage.Limits{MemoryBytes: 1 << 30, Descriptors: 1024}
	before := usage.Read(limits)
	held := make([]byte, bytes)
	for i := range held {
		held[i] = 1
	}
	for range files {
		file, err := os.Open(os.DevNull)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = file.Close() })
	}
	after := usage.Read(limits)
	assert.Assert(t, after.MemoryBytes-before.MemoryBytes > bytes/2, "%+v, before %+v", after, before)
	assert.Assert(t, after.PeakBytes >= bytes, "%+v", after)
	assert.Equal(t, after.Descriptors-before.Descriptors, files)
	assert.Equal(t, after.MemoryLimitBytes, limits.MemoryBytes)
	assert.Equal(t, after.DescriptorLimit, limits.Descriptors)
	assert.Equal(t, held[bytes-1], byte(1))
}

// TestLimitsOf checks where the limits come from.
func TestLimitsOf(t *testing.T) {
	tests := map[string]struct {
		limits *slatewindv1.Limits
		check  func(t *testing.T, got usage.Limits)
	}{
		"settings": {&slatewindv1.Limits{MemoryMib: 284, Descriptors: 4100}, func(t *testing.T, got usage.Limits) {
			assert.Equal(t, got, usage.Limits{MemoryBytes: 284 << 20, Descriptors: 4100})
		}},
		"operating system": {nil, func(t *testing.T, got usage.Limits) {
			assert.Equal(t, got.MemoryBytes, int64(0))
			assert.Assert(t, got.Descriptors > 0)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.check(t, usage.LimitsOf(&slatewindv1.Process{Limits: test.limits}))
		})
	}
}
