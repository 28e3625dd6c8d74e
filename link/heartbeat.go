package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// Times of heartbeats. The library's own keepalive pings are ten seconds apart at
// least, which is far too long for a call that waits on a connection gone silent.
const (
	// quietTime is how long nothing may come on a connection with calls in progress
	// before a heartbeat is sent.
	quietTime = 350 * time.Millisecond
	// beatTime bounds the wait for the answer of a heartbeat.
	beatTime = 300 * time.Millisecond
	// leastWait is the least time between two looks at a connection.
	leastWait = 10 * time.Millisecond
)

// monitor ends the connection to one peer where calls are in progress on it and
// nothing comes any more, not even answers of heartbeats. Only calls make it work: a
// connection without any has no heartbeats.
//
// A peer that does not answer on a new connection either is frozen or dark. It keeps its
// connection, since it may thaw and still send the answers that it has.
type monitor struct {
	address string
	conn    *grpc.ClientConn
	// heard is when something last came, in nanoseconds.
	heard atomic.Int64

	mu sync.Mutex
	// calls is how many calls are in progress, and began when the last one began, in
	// nanoseconds.
	calls int
	began int64
	// watched says that a goroutine watches the connection.
	watched bool
	current net.Conn
	// failed is why the newest connect failed, nil where it did not.
	failed error
}

// dial makes the connection that the monitor may end.
func (m *monitor) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed = err
	if err != nil {
		return nil, err
	}
	m.heard.Store(time.Now().UnixNano())
	m.current = conn
	return conn, nil
}

// dialError returns why the newest connect failed, or nil where it did not.
func (m *monitor) dialError() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed
}

// beatKey is the context key of heartbeats' calls, which are not counted.
type beatKey struct{}

// isBeat reports whether a call is a heartbeat.
func isBeat(ctx context.Context) bool { return ctx.Value(beatKey{}) != nil }

// hear notes what comes for calls and for heartbeats.
func (m *monitor) hear(event stats.RPCStats) {
	switch event.(type) {
	case *stats.InHeader, *stats.InPayload, *stats.InTrailer:
		m.heard.Store(time.Now().UnixNano())
	}
}

// note counts calls in progress.
func (m *monitor) note(event stats.RPCStats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch event.(type) {
	case *stats.Begin:
		m.calls++
		m.began = time.Now().UnixNano()
		if !m.watched {
			m.watched = true
			go m.watch()
		}
	case *stats.End:
		m.calls--
	}
}

// watch ends the connection when it has gone silent, until no call needs it.
func (m *monitor) watch() {
	for !m.isDone() {
		time.Sleep(max(quietTime-m.quiet(), leastWait))
		silent := m.connection()
		if m.quiet() >= quietTime && !m.answers() && m.answersElsewhere() {
			m.cut(silent)
		}
	}
}

// isDone reports whether no call is in progress and something has come since the last
// one began. A call that ended without that may have been given up for the very reason
// that the connection is silent.
func (m *monitor) isDone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	done := m.calls == 0 && m.heard.Load() >= m.began
	m.watched = !done
	return done
}

// quiet returns for how long nothing has come.
func (m *monitor) quiet() time.Duration {
	return time.Since(time.Unix(0, m.heard.Load()))
}

// answers sends a heartbeat and reports whether anything came meanwhile. A peer that
// serves no checks of its health says so, which does as well.
func (m *monitor) answers() bool {
	sent := time.Now().UnixNano()
	return isAnswer(beat(m.conn)) || m.heard.Load() > sent
}

// answersElsewhere reports whether the peer answers a heartbeat on a new connection.
func (m *monitor) answersElsewhere() bool {
	conn, err := grpc.NewClient("passthrough:///"+m.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig())
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return isAnswer(beat(conn))
}

// isAnswer reports whether what came of a heartbeat is an answer of the peer.
func isAnswer(err error) bool {
	code := status.Code(err)
	return code == codes.OK || code == codes.Unimplemented
}

// beat asks a peer for a sign of life.
func beat(conn *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), beatKey{}, true), beatTime)
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

// cut ends a silent connection, unless another has been made since; calls in progress
// fail, the next ones make a new one.
func (m *monitor) cut(silent net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if silent == nil || m.current != silent {
		return
	}
	_ = silent.Close()
	// What comes next is another connection's.
	m.heard.Store(time.Now().UnixNano())
}
