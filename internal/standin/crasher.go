package standin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// crashWork is how long a server works on a deadly request before it crashes.
	crashWork = 20 * time.Millisecond
	// crasherHeaderTime is the time limit for reading the header of a request.
	crasherHeaderTime = time.Second
)

// Crasher is a stand-in for a server process that crashes while it runs certain (deadly)
// requests. A crash closes its listener and all its connections; the server starts again at the
// same address after a delay.
type Crasher struct {
	address      string
	handler      http.Handler
	deadly       func(*http.Request) bool
	restartAfter time.Duration

	// mu guards the fields below, and address, which start sets.
	mu  sync.Mutex
	web *http.Server
	// listener is the listener of web. It is closed separately, since web knows it only once
	// Serve has begun.
	listener net.Listener
	// repaired is set once the server no longer crashes on deadly requests.
	repaired bool
	// crashes holds the times at which deadly requests began to run.
	crashes []time.Time
	closed  bool
}

// NewCrasher starts a server at an address. The server crashes on requests for which deadly
// returns true and restarts after a delay; handler answers all other requests.
func NewCrasher(address string, handler http.Handler, deadly func(*http.Request) bool, restartAfter time.Duration) (*Crasher, error) {
	c := &Crasher{address: address, handler: handler, deadly: deadly, restartAfter: restartAfter}
	if err := c.start(); err != nil {
		return nil, err
	}
	return c, nil
}

// start starts the server at its address, unless it is running or closed for good.
func (c *Crasher) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.web != nil {
		return nil
	}
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.address = listener.Addr().String()
	web := &http.Server{Handler: c, ReadHeaderTimeout: crasherHeaderTime}
	c.web, c.listener = web, listener
	go func() { _ = web.Serve(listener) }()
	return nil
}

// Address returns the address (IP:port) of the server.
func (c *Crasher) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// ServeHTTP implements http.Handler.
func (c *Crasher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.crashesOn(r) {
		c.handler.ServeHTTP(w, r)
		return
	}
	time.Sleep(crashWork)
	c.Crash()
}

// crashesOn reports whether a request crashes the server, and records the time if so.
func (c *Crasher) crashesOn(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.repaired || !c.deadly(r) {
		return false
	}
	c.crashes = append(c.crashes, time.Now())
	return true
}

// Repair makes the server answer deadly requests like all others from now on.
func (c *Crasher) Repair() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repaired = true
}

// Crash closes the listener and all connections. The server starts again after its delay,
// unless it was closed for good.
func (c *Crasher) Crash() {
	c.mu.Lock()
	web, listener := c.web, c.listener
	c.web = nil
	closed := c.closed
	c.mu.Unlock()
	if web == nil {
		return
	}
	_ = web.Close()
	_ = listener.Close()
	if !closed {
		time.AfterFunc(c.restartAfter, func() { _ = c.start() })
	}
}

// Close stops the server for good.
func (c *Crasher) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Crash()
}

// Crashes returns the times at which deadly requests began to run.
func (c *Crasher) Crashes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.crashes...)
}
