// Package link carries messages between the processes by gRPC.
//
// Two things matter here beyond plain calls. Whether a request was ever written
// towards a peer is known exactly, from the moment the transport takes its
// header; if not, the request is proved not to have run. And a reply counts
// only if it belongs to the attempt, has its stated length and its checksum.
//
// A connection that goes silent while calls wait on it is ended within a second
// (monitor).
//
// Reservations of slots, and what they carry, go over one stream each (Use);
// what the platform published goes from process to process by Since.
package link

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"slatewind.example/slatewind/api/slatewindv1"
)

// Error is the class of errors of this package.
var Error = errs.Class("link")

// Typed errors of a run.
var (
	// ErrCrossed: the reply belongs to another attempt.
	ErrCrossed = Error.New("reply belongs to another attempt")
	// ErrBroken: the reply ended early, or its length or checksum is wrong.
	ErrBroken = Error.New("reply is not whole")
)

// MaxHeld is how many bytes of an answer are held until it is whole. Longer
// answers are passed on while they come and are cut short visibly on failure.
const MaxHeld = 1 << 20

// ChunkBytes is the size of the parts in which the bodies of a reservation's
// request and answer travel.
const ChunkBytes = 64 << 10

// MaxMessage bounds one message between processes.
const MaxMessage = 8 << 20

// Times of a connection. An idle one is closed, so that a process keeps
// connections only to peers that it works with.
const (
	idleTimeout      = 5 * time.Minute
	connectTimeout   = 1 * time.Second
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	maxReconnect     = 1 * time.Second
	// resetTime bounds the wait for a connection to be tried anew.
	resetTime = 50 * time.Millisecond
)

// Windows of a stream and of a connection, in bytes: how much may be on its way
// unread. They are fixed, since the library else measures them by pings, one for
// each burst of data. A held answer fits into a stream's.
const (
	streamWindow = MaxHeld
	connWindow   = 4 * MaxHeld
)

// Bounds of the server's side of a connection.
const (
	// maxStreams bounds the calls in progress on one connection of a peer.
	maxStreams = 1000
	// minPing is the shortest interval of peers' keepalive pings.
	minPing = 5 * time.Second
)

// ServerOptions returns the options of the gRPC server that peers call.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(connWindow),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}),
	}
}

// Reply is what came back for an attempt.
type Reply struct {
	Head *slatewindv1.RunHead
	Body []byte
	// Digest is the sidecar's word about the server, without its name; nil where
	// the answer was too long to hold.
	Digest *slatewindv1.Digest
	// Rest reads what follows Body where the answer was too long to hold. It
	// returns io.EOF only after a whole answer.
	Rest func() ([]byte, error)
}

// Pool keeps one connection to each peer.
type Pool struct {
	traffic TrafficMeter

	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn
	monitors map[string]*monitor
}

// NewPool returns an empty pool that counts the bytes of its calls.
func NewPool(traffic TrafficMeter) *Pool {
	return &Pool{traffic: traffic, conns: map[string]*grpc.ClientConn{}, monitors: map[string]*monitor{}}
}

// Close closes all connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var group errs.Group
	for address, conn := range p.conns {
		group.Add(conn.Close())
		delete(p.conns, address)
	}
	return group.Err()
}

// Len returns the number of peers with a connection.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Prepare makes the connection to a peer known, without connecting yet.
func (p *Pool) Prepare(address string) {
	_, _ = p.conn(address)
}

func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	monitor := &monitor{address: address}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithContextDialer(monitor.dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connWindow),
		grpc.WithStatsHandler(writeWatcher{p.traffic, monitor}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnect},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	monitor.conn = conn
	p.conns[address], p.monitors[address] = conn, monitor
	return conn, nil
}

// writtenKey is the context key of the flag that writeWatcher sets.
type writtenKey struct{}

// writeWatcher notes when the header of a call is handed to the transport, counts its
// bytes, and tells the monitor of its begin and end.
type writeWatcher struct {
	traffic TrafficMeter
	monitor *monitor
}

func (writeWatcher) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (w writeWatcher) HandleRPC(ctx context.Context, s stats.RPCStats) {
	w.monitor.hear(s)
	if isBeat(ctx) {
		return
	}
	w.monitor.note(s)
	w.traffic.count(ctx, s)
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if written, ok := ctx.Value(writtenKey{}).(*atomic.Bool); ok {
		written.Store(true)
	}
}

func (writeWatcher) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (writeWatcher) HandleConn(context.Context, stats.ConnStats) {}

// Run sends an attempt to the sidecar at address. written is false only if
// nothing was ever sent towards it.
func (p *Pool) Run(ctx context.Context, address string, request *slatewindv1.RunRequest) (reply *Reply, written bool, err error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, false, err
	}
	reply, written, err = run(ctx, conn, request)
	if err == nil || written || ctx.Err() != nil {
		return reply, written, err
	}
	// The library fails calls by the memory of an earlier refusal. Whoever calls
	// here waits by itself before it tries a peer again (package policy), so the
	// connection is tried anew for each call.
	conn.ResetConnectBackoff()
	waiting, cancel := context.WithTimeout(ctx, resetTime)
	defer cancel()
	conn.WaitForStateChange(waiting, connectivity.TransientFailure)
	return run(ctx, conn, request)
}

func run(ctx context.Context, conn *grpc.ClientConn, request *slatewindv1.RunRequest) (reply *Reply, written bool, err error) {
	var flag atomic.Bool
	ctx = context.WithValue(ctx, writtenKey{}, &flag)
	stream, err := slatewindv1.NewSidecarClient(conn).Run(ctx, request)
	if err != nil {
		return nil, flag.Load(), Error.Wrap(err)
	}
	reply, err = ReadReply(request.GetAttemptId(), stream.Recv)
	return reply, flag.Load(), err
}

// ReadReply puts the parts of a reply together and checks that they belong to
// the attempt and are whole.
func ReadReply(attemptID string, receive func() (*slatewindv1.RunReply, error)) (*Reply, error) {
	part, err := receive()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	head := part.GetHead()
	if head == nil {
		return nil, ErrBroken
	}
	if head.GetAttemptId() != attemptID {
		return nil, ErrCrossed
	}
	r := &reader{attemptID: attemptID, receive: receive, sum: xxhash.New()}
	reply := &Reply{Head: head}
	for len(reply.Body) <= MaxHeld {
		chunk, err := r.next()
		if errors.Is(err, io.EOF) {
			reply.Digest = r.digest
			return reply, nil
		}
		if err != nil {
			return nil, err
		}
		reply.Body = append(reply.Body, chunk...)
	}
	reply.Rest = r.next
	return reply, nil
}

// reader reads the chunks of one reply.
type reader struct {
	attemptID string
	receive   func() (*slatewindv1.RunReply, error)
	sum       *xxhash.Digest
	length    int64
	digest    *slatewindv1.Digest
}

// next returns a chunk, or io.EOF after the last of a whole reply.
func (r *reader) next() ([]byte, error) {
	part, err := r.receive()
	if err != nil {
		return nil, errs.Combine(ErrBroken, err)
	}
	if end := part.GetEnd(); end != nil {
		return nil, r.verify(end)
	}
	chunk := part.GetChunk()
	if chunk == nil {
		return nil, ErrBroken
	}
	_, _ = r.sum.Write(chunk)
	r.length += int64(len(chunk))
	return chunk, nil
}

func (r *reader) verify(end *slatewindv1.RunEnd) error {
	if end.GetAttemptId() != r.attemptID {
		return ErrCrossed
	}
	if end.GetLength() != r.length || end.GetChecksum() != r.sum.Sum64() {
		return ErrBroken
	}
	r.digest = end.GetDigest()
	return io.EOF
}

// Cancel asks the sidecar at address not to start an attempt.
func (p *Pool) Cancel(ctx context.Context, address string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	return call(ctx, p, address, request, slatewindv1.NewSidecarClient, slatewindv1.SidecarClient.Cancel)
}

// Seal asks the sidecar at address what became of a once-request.
func (p *Pool) Seal(ctx context.Context, address string, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	return call(ctx, p, address, request, slatewindv1.NewSidecarClient, slatewindv1.SidecarClient.Seal)
}

// Sync exchanges news with the process at address.
func (p *Pool) Sync(ctx context.Context, address string, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error) {
	return call(ctx, p, address, request, slatewindv1.NewPeerClient, slatewindv1.PeerClient.Sync)
}

// Fetch gets chunks of settings from the process at address.
func (p *Pool) Fetch(ctx context.Context, address string, request *slatewindv1.FetchRequest) (*slatewindv1.FetchReply, error) {
	return call(ctx, p, address, request, slatewindv1.NewPeerClient, slatewindv1.PeerClient.Fetch)
}

// call makes one unary call over the pool's connection to address.
func call[C, Q, R any](
	ctx context.Context, p *Pool, address string, request Q,
	client func(grpc.ClientConnInterface) C,
	method func(C, context.Context, Q, ...grpc.CallOption) (R, error),
) (R, error) {
	var none R
	conn, err := p.conn(address)
	if err != nil {
		return none, err
	}
	reply, err := method(client(conn), ctx, request)
	if err != nil {
		return none, Error.Wrap(err)
	}
	return reply, nil
}
