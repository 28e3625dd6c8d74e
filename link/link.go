// Package link sends messages between processes over gRPC.
//
// It gives two guarantees beyond those of plain calls. It reports whether an attempt may
// have been sent to a peer: this is so from the moment the transport takes the header of
// the call, and before that moment the attempt has provably not run. And it accepts a reply
// only if its attempt ID, length and checksum are correct.
//
// A connection that receives nothing while calls are in progress is closed within a second
// if the peer responds on a new one (see monitor).
//
// Each reservation of a slot has a stream of its own, which also carries the request and
// its answer (Use). By calls of Since, processes get from each other what the platform
// published.
package link

import (
	"context"
	"errors"
	"io"
	"slices"
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

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/headcheck"
)

// Error is the class of errors of this package.
var Error = errs.Class("link")

// Errors of ReadReply. Their texts are labels of metrics.
var (
	// ErrAttemptMismatch is the error of a reply that belongs to another attempt.
	ErrAttemptMismatch = Error.New("reply belongs to another attempt")
	// ErrCorrupt is the error of a reply that ended early, has a part out of order, or has
	// a wrong length or checksum.
	ErrCorrupt = Error.New("reply is not whole")
)

// MaxBufferedBytes is how many bytes of an answer are buffered until it is complete. Longer answers
// are streamed to the caller, which sees on failure that they are truncated.
const MaxBufferedBytes = 1 << 20

// ChunkBytes is the size of the chunks in which the bodies of a reservation's request and
// answer are sent.
const ChunkBytes = 64 << 10

// MaxMessage limits the size of a message between processes, in bytes.
const MaxMessage = 8 << 20

// Timeouts of connections. Idle ones are closed, so that a process keeps connections only
// to the peers that it calls.
const (
	idleTimeout       = 5 * time.Minute
	connectTimeout    = 1 * time.Second
	keepaliveTime     = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	maxReconnectDelay = 1 * time.Second
	// reconnectWait limits how long a call waits for a new attempt to connect.
	reconnectWait = 50 * time.Millisecond
)

// Flow control windows of a stream and of a connection, in bytes. They are fixed, since gRPC
// otherwise estimates them with a ping for each burst of data. The window of a stream has
// room for a buffered answer.
const (
	streamWindow = MaxBufferedBytes
	connWindow   = 4 * MaxBufferedBytes
)

// Limits of the server side of a connection.
const (
	// maxStreams limits the calls in progress on one connection of a peer.
	maxStreams = 1000
	// minPingInterval is the shortest interval allowed for keepalive pings of peers.
	minPingInterval = 5 * time.Second
)

// ServerOptions returns the options of the gRPC server that peers call.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(recoverCall),
		grpc.StreamInterceptor(recoverStream),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(connWindow),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	}
}

// Reply is the reply to an attempt.
type Reply struct {
	Head *slatewindv1.RunHead
	Body []byte
	// Digest is the state of the server as reported by its sidecar, without the name. It is
	// nil if the answer was too long to buffer.
	Digest *slatewindv1.Digest
	// Rest reads the chunks that follow Body if the answer was too long to buffer, and is
	// nil otherwise. After a complete answer, and only then, it returns io.EOF.
	Rest func() ([]byte, error)
}

// Pool keeps one connection to each peer.
type Pool struct {
	traffic TrafficMeter

	// mu guards the fields below, whose keys are addresses.
	mu       sync.Mutex
	conns    map[string]*grpc.ClientConn
	monitors map[string]*monitor
}

// NewPool returns an empty pool that reports the bytes of its calls to traffic, which may be
// nil.
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

// Len returns the number of peers that the pool knows, connected or not.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Prepare adds a peer to the pool without connecting to it.
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
		grpc.WithStatsHandler(statsHandler{p.traffic, monitor}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
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

// writtenKey is the context key of the *atomic.Bool that statsHandler sets.
type writtenKey struct{}

// statsHandler records when the header of a call is passed to the transport, counts the
// bytes of the call, and reports its start and end to the monitor.
type statsHandler struct {
	traffic TrafficMeter
	monitor *monitor
}

func (statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (w statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if isHeartbeat(ctx) {
		return
	}
	w.monitor.countCall(s)
	w.traffic.count(ctx, s)
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if written, ok := ctx.Value(writtenKey{}).(*atomic.Bool); ok {
		written.Store(true)
	}
}

func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// Run sends an attempt to the sidecar at address. written is false only if nothing of the
// attempt was passed to the transport.
func (p *Pool) Run(ctx context.Context, address string, request *slatewindv1.RunRequest) (reply *Reply, written bool, err error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, false, err
	}
	reply, written, err = run(ctx, conn, request)
	if err == nil || written || ctx.Err() != nil {
		return reply, written, err
	}
	// During its reconnect backoff, gRPC fails calls without trying to connect. Callers of
	// Run have their own backoff per peer (package policy), so each call tries to connect.
	conn.ResetConnectBackoff()
	waiting, cancel := context.WithTimeout(ctx, reconnectWait)
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

// ReadReply assembles the parts of a reply. It returns ErrAttemptMismatch if they belong to another
// attempt and ErrCorrupt if the reply is incomplete or corrupt, or its answer is none that a server can have sent.
func ReadReply(attemptID string, receive func() (*slatewindv1.RunReply, error)) (*Reply, error) {
	part, err := receive()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	head := part.GetHead()
	if head == nil {
		return nil, ErrCorrupt
	}
	if head.GetAttemptId() != attemptID {
		return nil, ErrAttemptMismatch
	}
	if !isValid(head) {
		return nil, ErrCorrupt
	}
	r := &reader{attemptID: attemptID, receive: receive, sum: xxhash.New()}
	reply := &Reply{Head: head}
	for len(reply.Body) <= MaxBufferedBytes {
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

// isValid reports whether the head of a reply has no answer, or one that a server can have sent.
func isValid(head *slatewindv1.RunHead) bool {
	if slatewind.Outcome(head.GetOutcome()) != slatewind.OutcomeAnswer {
		return true
	}
	isInvalid := func(h *slatewindv1.Header) bool { return headcheck.Name(h.GetName()) != nil }
	return slatewind.IsFinalStatus(int(head.GetStatus())) && !slices.ContainsFunc(head.GetHeaders(), isInvalid)
}

// reader reads and verifies the chunks of one reply.
type reader struct {
	attemptID string
	receive   func() (*slatewindv1.RunReply, error)
	sum       *xxhash.Digest
	length    int64
	digest    *slatewindv1.Digest
}

// next returns a chunk, or io.EOF after the last one of a complete reply.
func (r *reader) next() ([]byte, error) {
	part, err := r.receive()
	if err != nil {
		return nil, errs.Combine(ErrCorrupt, EarlyEnd(err))
	}
	if end := part.GetEnd(); end != nil {
		return nil, r.verify(end)
	}
	chunk := part.GetChunk()
	if chunk == nil {
		return nil, ErrCorrupt
	}
	_, _ = r.sum.Write(chunk)
	r.length += int64(len(chunk))
	return chunk, nil
}

// EarlyEnd returns the error of a stream that ended before a message that had to follow. The end of a
// stream shows nothing about its content, since a stream without an error ends with io.EOF too.
func EarlyEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// verify checks the end of the reply and returns io.EOF if the reply is complete.
func (r *reader) verify(end *slatewindv1.RunEnd) error {
	if end.GetAttemptId() != r.attemptID {
		return ErrAttemptMismatch
	}
	if end.GetLength() != r.length || end.GetChecksum() != r.sum.Sum64() {
		return ErrCorrupt
	}
	r.digest = end.GetDigest()
	return io.EOF
}

// Cancel asks the sidecar at address to cancel an attempt that has not started yet.
func (p *Pool) Cancel(ctx context.Context, address string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	return call(ctx, p, address, request, slatewindv1.NewSidecarClient, slatewindv1.SidecarClient.Cancel)
}

// Seal asks the sidecar at address for the state of a request of kind once. If the sidecar has
// no record of it, it refuses later runs of it.
func (p *Pool) Seal(ctx context.Context, address string, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	return call(ctx, p, address, request, slatewindv1.NewSidecarClient, slatewindv1.SidecarClient.Seal)
}

// Sync exchanges members, server digests and the settings version with the process at
// address.
func (p *Pool) Sync(ctx context.Context, address string, request *slatewindv1.SyncRequest) (*slatewindv1.SyncReply, error) {
	return call(ctx, p, address, request, slatewindv1.NewPeerClient, slatewindv1.PeerClient.Sync)
}

// Fetch gets the missing chunks of the settings from the process at address.
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
