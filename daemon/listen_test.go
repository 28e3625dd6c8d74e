package daemon

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
)

// TestPeersCallDuringStart checks that a process whose listeners are open answers no call of a peer
// before its components have started.
func TestPeersCallDuringStart(t *testing.T) {
	tests := map[string]struct {
		listen func(n *Node) ([]endpoint, error)
		call   func(ctx context.Context, conn *grpc.ClientConn) error
	}{
		"process": {
			func(n *Node) ([]endpoint, error) {
				p := newProcess(settingsFile{}, n.settings, n.logger, n.metrics, n.history, n.store, n.timers, n.pool)
				err := p.listen()
				return p.endpoints, err
			},
			func(ctx context.Context, conn *grpc.ClientConn) error {
				_, err := slatewindv1.NewPeerClient(conn).Sync(ctx, &slatewindv1.SyncRequest{Self: &slatewindv1.Member{Vm: "vm-1"}})
				return err
			},
		},
		"node": {
			func(n *Node) ([]endpoint, error) {
				err := n.listen()
				return n.endpoints, err
			},
			func(ctx context.Context, conn *grpc.ClientConn) error {
				_, err := slatewindv1.NewNewsClient(conn).Since(ctx, &slatewindv1.SinceRequest{})
				return err
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNodes(t, 0).build(0)
			endpoints, err := test.listen(n)
			assert.NilError(t, err)
			defer func() { _ = closeAll(endpoints) }()
			conn, err := grpc.NewClient(n.settings.GetPeerAddress(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			assert.Equal(t, status.Code(test.call(ctx, conn)), codes.DeadlineExceeded)
		})
	}
}
