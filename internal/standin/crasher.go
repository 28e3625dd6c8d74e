package standin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// crashWork is how long a server works on a deadly request before it ends.
	crashWork = 20 * time.Millisecond
	// crasherHeaderTime bounds how long a server waits for the head of a request.
	crasherHeaderTime = time.Second
)

// Crasher is a server process that some requests end: nothing listens at its address then, all
// its connections are gone, and it starts again after a while.
type Crasher struct {
	address string
	handler http.Handler
	deadly  func(*http.Request) bool
	back    time.Duration

	mu  sync.Mutex
	web *http.Server
	// listener is web's; one that has only just begun does not know it yet.
	listener net.Listener
	// mended servers end under no request.
	mended bool
	// deaths are the times at which deadly requests began to run.
	deaths []time.Time
	closed bool
}

// NewCrasher starts a server at an address. It ends under deadly requests and is back after a
// time; all others go to the handler.
func NewCrasher(address string, handler http.Handler, deadly func(*http.Request) bool, back time.Duration) (*Crasher, error) {
	c := &Crasher{address: address, handler: handler, deadly: deadly, back: back}
	if err := c.start(); err != nil {
		return nil, err
	}
	return c, nil
}

// start listens at the address.
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

// Address returns where the server listens.
func (c *Crasher) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// ServeHTTP implements http.Handler.
func (c *Crasher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.dies(r) {
		c.handler.ServeHTTP(w, r)
		return
	}
	time.Sleep(crashWork)
	c.Crash()
}

// dies reports whether the server ends under a request, and counts it.
func (c *Crasher) dies(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mended || !c.deadly(r) {
		return false
	}
	c.deaths = append(c.deaths, time.Now())
	return true
}

// Mend has no request end the server any more.
func (c *Crasher) Mend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mended = true
}

// Crash ends the server, which starts again after its time.
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
		time.AfterFunc(c.back, func() { _ = c.start() })
	}
}

// Close ends the server for good.
func (c *Crasher) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Crash()
}

// Deaths returns when deadly requests began to run.
func (c *Crasher) Deaths() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.deaths...)
}
