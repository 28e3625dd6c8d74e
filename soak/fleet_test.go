package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestClaimNetwork checks that concurrent fleets get different loopback networks, even if their
// searches start at the same network, as those of two operating system processes may.
func TestClaimNetwork(t *testing.T) {
	taken := map[string]bool{}
	for range 5 {
		fleets.Store(0)
		network, claim, err := claimNetwork()
		assert.NilError(t, err)
		defer func() { _ = claim.Close() }()
		assert.Assert(t, !taken[network], network)
		taken[network] = true
	}
}
