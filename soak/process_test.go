package soak

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/platform"
)

// idle is a program that installs no signal handlers.
const idle = "#!/bin/sh\nwhile :; do sleep 0.1; done\n"

// newIdleFleet returns a fleet with one node whose process does nothing.
func newIdleFleet(t *testing.T) *fleet {
	t.Helper()
	// Under nohup this process ignores SIGHUP, and its child processes would inherit that; a
	// signal handler is not inherited.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangUps) })
	program := filepath.Join(t.TempDir(), "idle")
	assert.NilError(t, os.WriteFile(program, []byte(idle), 0o700))
	f, err := newFleet(Options{Program: program, Nodes: 2, Timeout: 5 * time.Second})
	assert.NilError(t, err)
	t.Cleanup(func() { f.close(false) })
	n, err := f.newNode(0)
	assert.NilError(t, err)
	f.nodes = []*node{n}
	assert.NilError(t, f.launch(n))
	return f
}

// TestReloadSkipsProcessNotReady checks that SIGHUP is not sent to a process that is not ready:
// it may not have installed its handler yet, and the signal would end it with nothing to start
// it again.
func TestReloadSkipsProcessNotReady(t *testing.T) {
	f := newIdleFleet(t)
	p := f.nodes[0].current()
	f.reload(f.nodes[0])
	assert.Assert(t, !p.endsWithin(500*time.Millisecond))

	listener, err := net.Listen("tcp", f.address(ownBase, 0, portReady))
	assert.NilError(t, err)
	ready := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
		}
	})}
	defer func() { _ = ready.Close() }()
	go func() { _ = ready.Serve(listener) }()
	f.reload(f.nodes[0])
	assert.Assert(t, p.endsWithin(f.options.Timeout))
}

// TestAwaitReadyReportsProcessExit checks that awaitReady does not wait for a process that has
// exited, and that its error states how the process exited.
func TestAwaitReadyReportsProcessExit(t *testing.T) {
	f := newIdleFleet(t)
	f.nodes[0].current().kill()
	began := time.Now()
	err := f.awaitReady(t.Context())
	assert.ErrorContains(t, err, "node 0 has ended (signal: killed)")
	assert.Assert(t, time.Since(began) < readyTimeout, time.Since(began))
}
