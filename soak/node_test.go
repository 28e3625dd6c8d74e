package soak

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNodeThatFailsToStart checks that a node that fails partway through its start leaves no
// open listener.
func TestNodeThatFailsToStart(t *testing.T) {
	tests := map[string]struct {
		// base and port state the address that is in use already.
		base, port int
	}{
		"its server's address is taken":        {linkBase, portServer},
		"its peer proxy's address is taken":    {linkBase, portPeers},
		"its store's proxy's address is taken": {storeBase, portStore},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, err := newFleet(Options{Nodes: 2})
			assert.NilError(t, err)
			defer f.close(false)
			taken, err := net.Listen("tcp", f.address(test.base, 0, test.port))
			assert.NilError(t, err)
			_, err = f.newNode(0)
			assert.ErrorContains(t, err, "address already in use")
			assert.NilError(t, taken.Close())
			for _, at := range []string{f.address(linkBase, 0, portServer), f.address(linkBase, 0, portPeers), f.address(storeBase, 0, portStore)} {
				listener, err := net.Listen("tcp", at)
				assert.NilError(t, err)
				assert.NilError(t, listener.Close())
			}
		})
	}
}
