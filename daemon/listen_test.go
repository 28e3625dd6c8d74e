package daemon

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
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
				err := p.listen(context.Background())
				return p.endpoints, err
			},
			func(ctx context.Context, conn *grpc.ClientConn) error {
				_, err := slatewindv1.NewPeerClient(conn).Sync(ctx, &slatewindv1.SyncRequest{Self: &slatewindv1.Member{Vm: "vm-1"}})
				return err
			},
		},
		"node": {
			func(n *Node) ([]endpoint, error) {
				err := n.listen(context.Background())
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

// TestListenersWait checks that a start whose address is in use opens no other listener, waits until it is free, and ends
// with its context.
func TestListenersWait(t *testing.T) {
	tests := map[string]struct{ held int }{"first": {0}, "last": {2}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := make([]endpoint, 3)
			for i := range endpoints {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				endpoints[i].address = listener.Addr().String()
				if i != test.held {
					assert.NilError(t, listener.Close())
				} else {
					defer func() { _ = listener.Close() }()
					endpoints[i].listener = nil
					time.AfterFunc(3*listenRetry, func() { _ = listener.Close() })
				}
			}
			short, cancel := context.WithTimeout(context.Background(), listenRetry/2)
			defer cancel()
			assert.ErrorIs(t, openAll(short, log.New(io.Discard), endpoints), syscall.EADDRINUSE)
			for _, e := range endpoints[1:] {
				_, err := net.Dial("tcp", e.address)
				assert.ErrorIs(t, err, syscall.ECONNREFUSED, "another listener is open while the start waits")
			}
			assert.NilError(t, openAll(context.Background(), log.New(io.Discard), endpoints))
			assert.NilError(t, closeAll(endpoints))
		})
	}
}

// TestListenerErrorEndsStart checks that an address that cannot become free ends the start.
func TestListenerErrorEndsStart(t *testing.T) {
	endpoints := []endpoint{{name: "callers", address: "127.0.0.1:none"}}
	assert.ErrorContains(t, openAll(context.Background(), log.New(io.Discard), endpoints), "cannot listen on 127.0.0.1:none")
}
