package recovery_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/recovery"
)

// TestCall checks the errors of functions that return and of one that panics, and that the panic is reported.
func TestCall(t *testing.T) {
	errFailed := errors.New("failed")
	var reported []*recovery.Panic
	recovery.SetReport(func(p *recovery.Panic) { reported = append(reported, p) })
	defer recovery.SetReport(func(*recovery.Panic) {})

	assert.NilError(t, recovery.Call("nothing", func() error { return nil }))
	assert.ErrorIs(t, recovery.Call("an error", func() error { return errFailed }), errFailed)
	assert.Equal(t, len(reported), 0)

	var missing map[string]int
	err := recovery.Run("a nil map", func() { missing["a"] = 1 })
	assert.ErrorContains(t, err, "panic in a nil map: assignment to entry in nil map")
	assert.Equal(t, len(reported), 1)
	assert.Assert(t, strings.Contains(string(reported[0].Stack), "TestCall"))
}
