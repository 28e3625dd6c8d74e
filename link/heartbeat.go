package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// Timing of heartbeats. They exist besides the keepalive pings of gRPC since those are at
// least ten seconds apart, which is too long for a call that waits on a dead connection.
const (
	// idleThreshold is how long a connection with calls in progress may receive nothing
	// before a heartbeat is sent.
	idleThreshold = 350 * time.Millisecond
	// heartbeatTimeout limits the wait for the response to a heartbeat.
	heartbeatTimeout = 300 * time.Millisecond
	// minCheckInterval is the minimum time between two checks of a connection.
	minCheckInterval = 10 * time.Millisecond
	// minSendRate is the rate in bytes per second at which a slow link still transfers what is
	// sent; maxTransit is the longest time that sent data is assumed to be in transit. A response
	// to a heartbeat cannot arrive earlier.
	minSendRate = 128 << 10
	maxTransit  = 5 * time.Second
)

// monitor closes the connection to one peer when calls are in progress on it and nothing is
// received any more, not even responses to heartbeats, although the peer responds on a new
// connection. Only calls start heartbeats; a connection without calls has none.
//
// A peer that does not respond on a new connection is either suspended or unreachable. Its
// connection is kept, since the peer may resume and still send the responses that are ready.
type monitor struct {
	address string
	conn    *grpc.ClientConn
	// lastReceived is when anything last arrived from the peer, and inTransitUntil is until when
	// data sent to it may be in transit, both in Unix nanoseconds.
	lastReceived, inTransitUntil atomic.Int64

	mu sync.Mutex
	// calls is the number of calls in progress, guarded by mu like the fields below.
	// lastStart is when the newest call started, in Unix nanoseconds.
	calls     int
	lastStart int64
	// watched reports whether a goroutine runs watch.
	watched bool
	// current is the newest connection, or nil before the first.
	current net.Conn
	// connectErr is the error of the newest attempt to connect, or nil if it succeeded.
	connectErr error
}

// dial connects to the peer and records the connection, so that the monitor can close it.
func (m *monitor) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: setUserTimeout}
	conn, err := m.monitored(dialer.DialContext(ctx, "tcp", address))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connectErr = err
	if err != nil {
		return nil, err
	}
	m.lastReceived.Store(time.Now().UnixNano())
	m.inTransitUntil.Store(0)
	m.current = conn
	return conn, nil
}

// setUserTimeout makes the kernel close a connection whose data is not acknowledged for
// keepaliveTimeout. gRPC does so only for connections that it dials itself.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(keepaliveTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// recordSent extends the time for which sent data may be in transit.
func (m *monitor) recordSent(bytes int) {
	now := time.Now().UnixNano()
	transit := int64(bytes) * int64(time.Second) / minSendRate
	m.inTransitUntil.Store(min(max(m.inTransitUntil.Load(), now)+transit, now+int64(maxTransit)))
}

// inTransit returns how much longer sent data may be in transit.
func (m *monitor) inTransit() time.Duration {
	return time.Until(time.Unix(0, m.inTransitUntil.Load()))
}

// dialError returns the error of the newest attempt to connect, or nil if it succeeded.
func (m *monitor) dialError() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connectErr
}

// heartbeatKey is the context key that marks heartbeats, which do not count as calls.
type heartbeatKey struct{}

// isHeartbeat reports whether a call is a heartbeat.
func isHeartbeat(ctx context.Context) bool { return ctx.Value(heartbeatKey{}) != nil }

// countCall counts the calls in progress and starts watch with the first.
func (m *monitor) countCall(event stats.RPCStats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch event.(type) {
	case *stats.Begin:
		m.calls++
		m.lastStart = time.Now().UnixNano()
		if !m.watched {
			m.watched = true
			go m.watch()
		}
	case *stats.End:
		m.calls--
	}
}

// watch closes the connection when it is dead. It returns when isDone reports true.
func (m *monitor) watch() {
	for !m.isDone() {
		time.Sleep(max(idleThreshold-m.idleTime(), m.inTransit(), minCheckInterval))
		dead := m.connection()
		if m.idleTime() >= idleThreshold && m.inTransit() <= 0 && !m.responds() && m.respondsOnNewConn() {
			m.closeIfDead(dead)
		}
	}
}

// closeIfDead closes a connection on which the peer does not respond after it has responded on a new one. Before that, it may
// have been slow.
func (m *monitor) closeIfDead(conn net.Conn) {
	if !m.responds() {
		m.closeConn(conn)
	}
}

// isDone reports whether no call is in progress and something was received since the newest
// call started. If nothing was, the call may have timed out because the connection is dead,
// so watching goes on.
func (m *monitor) isDone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	done := m.calls == 0 && m.lastReceived.Load() >= m.lastStart
	m.watched = !done
	return done
}

// idleTime returns the time since anything was received.
func (m *monitor) idleTime() time.Duration {
	return time.Since(time.Unix(0, m.lastReceived.Load()))
}

// responds sends a heartbeat and reports whether anything was received meanwhile. A peer
// without the health service returns Unimplemented, which counts as a response.
func (m *monitor) responds() bool {
	sent := time.Now().UnixNano()
	return isResponse(heartbeat(m.conn)) || m.lastReceived.Load() > sent
}

// respondsOnNewConn reports whether the peer responds to a heartbeat on a new connection.
func (m *monitor) respondsOnNewConn() bool {
	conn, err := grpc.NewClient("passthrough:///"+m.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig())
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return isResponse(heartbeat(conn))
}

// isResponse reports whether the result of a heartbeat is a response of the peer.
func isResponse(err error) bool {
	code := status.Code(err)
	return code == codes.OK || code == codes.Unimplemented
}

// heartbeat calls the health service of a peer.
func heartbeat(conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), heartbeatKey{}, true), heartbeatTimeout)
	defer cancel()
	_, err := grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	return err
}

// connection returns the newest connection, or nil before the first.
func (m *monitor) connection() net.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// closeConn closes a dead connection, unless a newer one has been made since. Calls in
// progress on it fail; the next call makes a new connection.
func (m *monitor) closeConn(dead net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if dead == nil || m.current != dead {
		return
	}
	_ = dead.Close()
	// The next connection starts with a full idleThreshold.
	m.lastReceived.Store(time.Now().UnixNano())
}
