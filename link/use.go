package link

import (
	"context"
	"io"
	"math"

	"google.golang.org/grpc"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/recovery"
)

// Use is the ingress's side of one reservation. It ends with the context that it was
// opened with. A slot that it holds is then released. If no request was sent after the
// reservation, nothing has run.
type Use interface {
	Send(*slatewindv1.UseRequest) error
	// Recv returns the next part of the reply, and io.EOF after the last one.
	Recv() (*slatewindv1.UseReply, error)
}

// UseStream is the sidecar's side of one reservation.
type UseStream interface {
	Context() context.Context
	Send(*slatewindv1.UseReply) error
	Recv() (*slatewindv1.UseRequest, error)
}

// Use opens a stream for a reservation to the process at an IP:port address. far reports
// whether that process is in another data centre. The caller ends the stream by cancelling ctx.
func (p *Pool) Use(ctx context.Context, address string, far bool) (Use, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	ctx = withDistance(ctx, far)
	stream, err := slatewindv1.NewSlotsClient(conn).Use(ctx)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return stream, nil
}

// MessageBytes returns how many bytes of a body may be sent in one message: ChunkBytes, or all of them where nothing is
// copied because both sides share the memory.
func MessageBytes(use Use) int {
	if _, local := use.(*localUse); local {
		return math.MaxInt
	}
	return ChunkBytes
}

// LocalUse opens a reservation at the server beside this process. The messages are the same
// as those of Pool.Use, but go through channels. serve runs in a goroutine; after ctx ends,
// the methods of its stream fail.
func LocalUse(ctx context.Context, serve func(UseStream) error) Use {
	l := &localUse{
		ctx:      ctx,
		requests: make(chan *slatewindv1.UseRequest, 1),
		replies:  make(chan *slatewindv1.UseReply, 1),
	}
	go func() {
		defer close(l.replies)
		l.err = recovery.Call("local reservation", func() error { return serve(localStream{l}) })
	}()
	return l
}

// localUse connects both sides by channels.
type localUse struct {
	ctx      context.Context
	requests chan *slatewindv1.UseRequest
	replies  chan *slatewindv1.UseReply
	// err is the result of serve. It is set before replies is closed.
	err error
}

// Send implements Use.
func (l *localUse) Send(request *slatewindv1.UseRequest) error {
	select {
	case l.requests <- request:
		return nil
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

// Recv implements Use.
func (l *localUse) Recv() (*slatewindv1.UseReply, error) {
	select {
	case reply, ok := <-l.replies:
		if ok {
			return reply, nil
		}
		if l.err != nil {
			return nil, l.err
		}
		return nil, io.EOF
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
}

// localStream is the sidecar's side of a localUse.
type localStream struct{ *localUse }

// Context implements UseStream.
func (s localStream) Context() context.Context { return s.ctx }

// Send implements UseStream.
func (s localStream) Send(reply *slatewindv1.UseReply) error {
	select {
	case s.replies <- reply:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// Recv implements UseStream.
func (s localStream) Recv() (*slatewindv1.UseRequest, error) {
	select {
	case request := <-s.requests:
		return request, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// SlotsServer serves reservations to other processes.
type SlotsServer struct {
	slatewindv1.UnimplementedSlotsServer
	// Serve handles one reservation; the stream ends when it returns.
	Serve func(UseStream) error
}

// Use implements the generated interface.
func (s SlotsServer) Use(stream grpc.BidiStreamingServer[slatewindv1.UseRequest, slatewindv1.UseReply]) error {
	return s.Serve(stream)
}
