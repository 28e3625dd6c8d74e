package daemon

import (
	"context"
	"io"

	"google.golang.org/grpc"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/metrics"
	"slatewind.example/slatewind/recovery"
	"slatewind.example/slatewind/sidecar"
)

// newPool returns the pool of connections to peers. The bytes sent and received are counted in m.
func newPool(m *metrics.Metrics) *link.Pool { return link.NewPool(m.Traffic) }

// localLinks calls the sidecar of this process directly, and those of other processes through
// the pool.
type localLinks struct {
	pool *link.Pool
	// ownAddress is the peer address of this process.
	ownAddress string
	sidecar    *sidecar.Sidecar
}

// Run implements ingress.Links.
func (l *localLinks) Run(ctx context.Context, address string, request *slatewindv1.RunRequest) (*link.Reply, bool, error) {
	if address != l.ownAddress {
		return l.pool.Run(ctx, address, request)
	}
	parts := make(chan *slatewindv1.RunReply, 1)
	runErr := make(chan error, 1)
	go func() {
		defer close(parts)
		runErr <- recovery.Call("local run", func() error {
			return l.sidecar.Run(ctx, request, func(part *slatewindv1.RunReply) error {
				select {
				case parts <- part:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			})
		})
	}()
	reply, err := link.ReadReply(request.GetAttemptId(), func() (*slatewindv1.RunReply, error) {
		select {
		case part, ok := <-parts:
			if ok {
				return part, nil
			}
			if err := <-runErr; err != nil {
				return nil, err
			}
			return nil, io.EOF
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	return reply, true, err
}

// Cancel implements ingress.Links.
func (l *localLinks) Cancel(ctx context.Context, address string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	if address == l.ownAddress {
		return l.sidecar.Cancel(ctx, request)
	}
	return l.pool.Cancel(ctx, address, request)
}

// Seal implements ingress.Links.
func (l *localLinks) Seal(ctx context.Context, address string, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	if address == l.ownAddress {
		return l.sidecar.Seal(ctx, request)
	}
	return l.pool.Seal(ctx, address, request)
}

// sidecarServer serves the sidecar to other processes.
type sidecarServer struct {
	slatewindv1.UnimplementedSidecarServer
	sidecar *sidecar.Sidecar
}

// Run implements slatewindv1.SidecarServer.
func (s sidecarServer) Run(request *slatewindv1.RunRequest, stream grpc.ServerStreamingServer[slatewindv1.RunReply]) error {
	return s.sidecar.Run(stream.Context(), request, stream.Send)
}

// Cancel implements slatewindv1.SidecarServer.
func (s sidecarServer) Cancel(ctx context.Context, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	return s.sidecar.Cancel(ctx, request)
}

// Seal implements slatewindv1.SidecarServer.
func (s sidecarServer) Seal(ctx context.Context, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	return s.sidecar.Seal(ctx, request)
}
