package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/headcheck"
	"slatewind.example/slatewind/resetconn"
)

// connection is an HTTP client for one address that has one connection at a time. Only one request uses it at a time,
// so that nothing else is sent on the connection before the request's answer has been checked.
type connection struct {
	transport *http.Transport
}

func newConnection() *connection {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &connection{transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := resetconn.Dial(ctx, dialer, address)
			if err != nil {
				return nil, err
			}
			return newUploadConn(conn), nil
		},
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// use is how a request used its connection.
type use struct {
	// started reports that the server may have seen the request.
	started bool
	// reused reports that the connection has carried other requests.
	reused bool
}

// send sends a request and returns the answer, whose body has not been read yet. An answer with an invalid head is an error.
func (c *connection) send(r *http.Request) (*http.Response, use, error) {
	var started, reused atomic.Bool
	interim := interimHeads{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			started.Store(true)
			reused.Store(info.Reused)
		},
		Got1xxResponse: interim.check,
	})
	response, err := c.transport.RoundTrip(r.WithContext(ctx))
	used := use{started: started.Load(), reused: reused.Load()}
	if err != nil {
		return nil, used, Error.Wrap(err)
	}
	if err := checkHead(response); err != nil {
		return nil, used, errs.Combine(Error.Wrap(err), response.Body.Close())
	}
	return response, used, nil
}

// checkHead returns an error for the head of a final answer that the standard library takes although it is invalid.
func checkHead(response *http.Response) error {
	if !slatewind.IsFinalStatus(response.StatusCode) {
		return Error.New("the answer has status %d, which is not a final one", response.StatusCode)
	}
	return headcheck.Response(response)
}

// interimHeads checks the heads of the interim answers to a request. The transport leaves it to the caller to limit them together.
type interimHeads struct {
	// bytes is the length of the heads so far, without their reason phrases.
	bytes int
}

// check returns an error for a head that is invalid or exceeds the limit.
func (i *interimHeads) check(_ int, header textproto.MIMEHeader) error {
	i.bytes += emptyHeadBytes
	for name, values := range header {
		for _, value := range values {
			i.bytes += len(name) + len(value)
		}
	}
	if i.bytes > maxHeadBytes {
		return Error.New("the heads of interim answers exceed %d bytes", maxHeadBytes)
	}
	return headcheck.Fields(header)
}

// close closes the connection if it is idle, or when it becomes idle. The connection must not be used again.
func (c *connection) close() { c.transport.CloseIdleConnections() }

// peer is what is known of the server at one address.
type peer struct {
	// idle holds the connections that are not in use, the one used last at the end.
	idle []*connection
	// unechoed is when an answer was last read that did not echo the ID of its attempt.
	unechoed time.Time
	used     time.Time
}

// keeps reports whether connections to the server are kept for reuse.
func (p *peer) keeps(now time.Time) bool {
	return now.Sub(p.unechoed) > distrustTime
}

func (p *peer) closeIdle() {
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// pool keeps connections for reuse, by address.
type pool struct {
	mu    sync.Mutex
	peers map[string]*peer
}

func newPool() *pool { return &pool{peers: map[string]*peer{}} }

// take returns a connection to an address. kept reports that it can be kept for reuse.
func (p *pool) take(now time.Time, address string) (c *connection, kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now)
	known := p.peers[address]
	if known == nil {
		known = &peer{}
		p.peers[address] = known
	}
	known.used = now
	last := len(known.idle) - 1
	if last < 0 {
		return newConnection(), known.keeps(now)
	}
	c = known.idle[last]
	known.idle = known.idle[:last]
	return c, true
}

// forget removes the addresses that have not been used for so long that their connections are closed. The caller
// holds mu.
func (p *pool) forget(now time.Time) {
	for address, known := range p.peers {
		if now.Sub(known.used) > idleTimeout {
			known.closeIdle()
			delete(p.peers, address)
		}
	}
}

// put takes back a connection that was used for one attempt and keeps it only if the answer echoed the attempt's ID.
func (p *pool) put(now time.Time, address string, c *connection, e echo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peers[address]
	if known == nil {
		c.close()
		return
	}
	known.used = now
	if e != echoOwn {
		known.unechoed = now
		known.closeIdle()
	}
	if !known.keeps(now) || len(known.idle) == maxIdleConnections {
		c.close()
		return
	}
	known.idle = append(known.idle, c)
}

// closeIdle closes the connections that are not in use.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		known.closeIdle()
	}
}
