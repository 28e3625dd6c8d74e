package link_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/link"
)

// blackholeProxy is a TCP proxy for one address. After silence, the connections that are
// open drop all data for good, while new ones work.
type blackholeProxy struct {
	net.Listener
	to string
	// bytesPerSecond, if not 0, is the rate at which each direction of a connection forwards data.
	bytesPerSecond int

	mu   sync.Mutex
	open []*proxiedConn
	// frozen delays all data while it is locked, on new connections too.
	frozen sync.RWMutex
}

// proxiedConn is the state of a connection.
type proxiedConn struct {
	silent atomic.Bool
	// held delays all data of the connection while it is locked.
	held sync.RWMutex
}

// newBlackholeProxy starts a proxy for an address.
func newBlackholeProxy(t *testing.T, to string) *blackholeProxy {
	t.Helper()
	return newSlowProxy(t, to, 0)
}

// newSlowProxy is newBlackholeProxy with a rate (blackholeProxy.bytesPerSecond).
func newSlowProxy(t *testing.T, to string, bytesPerSecond int) *blackholeProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &blackholeProxy{Listener: listener, to: to, bytesPerSecond: bytesPerSecond}
	t.Cleanup(func() { _ = listener.Close() })
	go s.serve()
	return s
}

func (s *blackholeProxy) serve() {
	for {
		from, err := s.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", s.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		conn := &proxiedConn{}
		s.mu.Lock()
		s.open = append(s.open, conn)
		s.mu.Unlock()
		go s.forward(from, to, conn)
		go s.forward(to, from, conn)
	}
}

// forward copies data until its source is closed.
func (s *blackholeProxy) forward(from, to net.Conn, conn *proxiedConn) {
	if s.bytesPerSecond > 0 {
		to = throttledConn{to, s.bytesPerSecond}
	}
	_, _ = io.Copy(droppingWriter{to, conn, &s.frozen}, from)
	_ = to.Close()
}

// throttledConn forwards data at a limited rate.
type throttledConn struct {
	net.Conn
	bytesPerSecond int
}

// Write implements io.Writer.
func (c throttledConn) Write(b []byte) (written int, err error) {
	began := time.Now()
	for part := range slices.Chunk(b, c.bytesPerSecond/100) {
		// By the time since the start, so that a busy machine does not lower the rate.
		time.Sleep(time.Until(began.Add(time.Duration(written+len(part)) * time.Second / time.Duration(c.bytesPerSecond))))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// droppingWriter drops what is written once the connection is silent.
type droppingWriter struct {
	io.Writer
	conn   *proxiedConn
	frozen *sync.RWMutex
}

// Write implements io.Writer.
func (u droppingWriter) Write(b []byte) (int, error) {
	u.frozen.RLock()
	defer u.frozen.RUnlock()
	u.conn.held.RLock()
	defer u.conn.held.RUnlock()
	if u.conn.silent.Load() {
		return len(b), nil
	}
	return u.Writer.Write(b)
}

// silence makes all open connections drop their data from now on.
func (s *blackholeProxy) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.open {
		conn.silent.Store(true)
	}
}

// hold delays the data of all open connections, not that of new ones.
func (s *blackholeProxy) hold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.open {
		conn.held.Lock()
		time.AfterFunc(d, conn.held.Unlock)
	}
}

// count returns how many connections were made.
func (s *blackholeProxy) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// serveWaiting serves reservations without ever answering them, and signals each on came.
func serveWaiting(t *testing.T) (address string, came chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	came = make(chan struct{}, 10)
	server := grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSlotsServer(server, link.SlotsServer{Serve: func(stream link.UseStream) error {
		came <- struct{}{}
		<-stream.Context().Done()
		return nil
	}})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), came
}

// reserve opens a reservation and returns the channel that gets its error.
func reserve(t *testing.T, pool *link.Pool, address string, came <-chan struct{}) <-chan error {
	t.Helper()
	use, err := pool.Use(t.Context(), address, false)
	assert.NilError(t, err)
	assert.NilError(t, use.Send(&slatewindv1.UseRequest{}))
	<-came
	ended := make(chan error, 1)
	go func() {
		_, err := use.Recv()
		ended <- err
	}()
	return ended
}

// TestSilentConnection: a call in progress on a connection that drops all data fails
// within 1.5 s, and the next call uses a new connection.
func TestSilentConnection(t *testing.T) {
	address, came := serveWaiting(t)
	proxy := newBlackholeProxy(t, address)
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	ended := reserve(t, pool, proxy.Addr().String(), came)
	proxy.silence()
	began := time.Now()
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("call on a dead connection still in progress after 5 s")
	}
	took := time.Since(began)
	assert.Assert(t, took < 1500*time.Millisecond, took)
	reserve(t, pool, proxy.Addr().String(), came)
	// The dead one, the one that checks whether the peer responds, and the next.
	assert.Equal(t, proxy.count(), 3)
}

// TestQuietConnection: a call that waits long for its response on a working connection is
// not ended.
func TestQuietConnection(t *testing.T) {
	address, came := serveWaiting(t)
	proxy := newBlackholeProxy(t, address)
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	ended := reserve(t, pool, proxy.Addr().String(), came)
	select {
	case err := <-ended:
		t.Fatal(err)
	case <-time.After(2 * time.Second):
	}
	assert.Equal(t, proxy.count(), 1)
}

// TestLargeMessagesOnSlowLink: a large message in either direction does not make a connection count as
// dead while the message is on its way.
func TestLargeMessagesOnSlowLink(t *testing.T) {
	const size = 400_000
	tests := map[string]struct{ request, reply []byte }{
		"a request": {request: make([]byte, size)},
		"a reply":   {reply: make([]byte, size)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := grpc.NewServer(link.ServerOptions()...)
			slatewindv1.RegisterSlotsServer(server, link.SlotsServer{Serve: func(stream link.UseStream) error {
				request, err := stream.Recv()
				if err != nil || len(request.GetChunk()) != len(test.request) {
					return fmt.Errorf("received %d bytes: %w", len(request.GetChunk()), err)
				}
				return stream.Send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Chunk{Chunk: test.reply}})
			}})
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(server.Stop)
			proxy := newSlowProxy(t, listener.Addr().String(), size/2)
			pool := link.NewPool(nil)
			t.Cleanup(func() { _ = pool.Close() })
			use, err := pool.Use(t.Context(), proxy.Addr().String(), false)
			assert.NilError(t, err)
			assert.NilError(t, use.Send(&slatewindv1.UseRequest{Part: &slatewindv1.UseRequest_Chunk{Chunk: test.request}}))
			reply, err := use.Recv()
			assert.NilError(t, err)
			assert.Equal(t, len(reply.GetChunk()), len(test.reply))
		})
	}
}

// TestSilentConnectionOfShortCalls: calls whose timeout is shorter than the detection of a
// dead connection do not delay the detection.
func TestSilentConnectionOfShortCalls(t *testing.T) {
	address, came := serveWaiting(t)
	proxy := newBlackholeProxy(t, address)
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	first, end := context.WithCancel(t.Context())
	use, err := pool.Use(first, proxy.Addr().String(), false)
	assert.NilError(t, err)
	assert.NilError(t, use.Send(&slatewindv1.UseRequest{}))
	<-came
	proxy.silence()
	end()
	for began := time.Now(); proxy.count() == 1; {
		assert.Assert(t, time.Since(began) < 1500*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		use, err := pool.Use(ctx, proxy.Addr().String(), false)
		if err == nil {
			_, err = use.Recv()
		}
		assert.Assert(t, err != nil)
		cancel()
	}
}

// TestFrozenPeerKeepsItsCalls: a peer that is suspended for two seconds still answers the
// calls in progress. It looks like a dead connection, but does not respond on new connections
// either; closing its connection would lose answers that are ready when it resumes.
func TestFrozenPeerKeepsItsCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	came, answer := make(chan struct{}), make(chan struct{})
	server := grpc.NewServer(link.ServerOptions()...)
	slatewindv1.RegisterSlotsServer(server, link.SlotsServer{Serve: func(stream link.UseStream) error {
		close(came)
		<-answer
		return stream.Send(&slatewindv1.UseReply{Part: &slatewindv1.UseReply_Queued{Queued: &slatewindv1.SlotState{}}})
	}})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	proxy := newBlackholeProxy(t, listener.Addr().String())
	pool := link.NewPool(nil)
	defer func() { _ = pool.Close() }()
	use, err := pool.Use(t.Context(), proxy.Addr().String(), false)
	assert.NilError(t, err)
	assert.NilError(t, use.Send(&slatewindv1.UseRequest{}))
	<-came
	proxy.frozen.Lock()
	close(answer)
	time.AfterFunc(2*time.Second, proxy.frozen.Unlock)
	reply, err := use.Recv()
	assert.NilError(t, err)
	assert.Assert(t, reply.GetQueued() != nil)
}

// TestLateConnectionKeepsItsCalls guards against a connection that is closed, with all calls in progress, because its peer
// responded late once, as on a busy machine.
func TestLateConnectionKeepsItsCalls(t *testing.T) {
	t.Parallel()
	address, came := serveWaiting(t)
	proxy := newBlackholeProxy(t, address)
	pool := link.NewPool(nil)
	t.Cleanup(func() { _ = pool.Close() })
	ended := reserve(t, pool, proxy.Addr().String(), came)
	proxy.hold(800 * time.Millisecond)
	select {
	case err := <-ended:
		t.Fatal(err)
	case <-time.After(2 * time.Second):
	}
}
