package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// serverWork is how long a server works on a request.
const serverWork = 30 * time.Millisecond

// node is one process with its server and its links.
type node struct {
	number int
	server *standin.Stamped
	// crasher is the server's process.
	crasher *standin.Crasher
	// peerProxy is before the process's peer port, storeProxy before the store.
	peerProxy, storeProxy *proxy
	// life counts the starts of the process.
	life atomic.Int64

	mu      sync.Mutex
	process *process
}

// current returns the process that runs now or ran last.
func (n *node) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// newNode starts the server and the proxies of a node, or nothing.
func (f *fleet) newNode(i int) (*node, error) {
	n := &node{number: i, server: standin.NewStamped(serverName(i), platform.Servers())}
	n.server.SetDelay(serverWork)
	err := f.serve(n)
	if err == nil {
		err = f.startProxies(n)
	}
	if err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// serve has a node's server listen.
func (f *fleet) serve(n *node) error {
	crasher, err := standin.NewCrasher(f.address(linkBase, n.number, portServer), f.watched(n.number, n.server), isDeadly, serverAway)
	if err != nil {
		return Error.Wrap(err)
	}
	n.crasher = crasher
	return nil
}

// startProxies starts the proxies before a node's peer port and the store.
func (f *fleet) startProxies(n *node) (err error) {
	peers, store := f.address(ownBase, n.number, portPeers), strings.TrimPrefix(f.storeWeb.URL, "http://")
	if n.peerProxy, err = newProxy(f.address(linkBase, n.number, portPeers), peers); err != nil {
		return err
	}
	n.storeProxy, err = newProxy(f.address(storeBase, n.number, portStore), store)
	return err
}

// serverName returns the name under which a server stands in the store.
func serverName(i int) string { return fmt.Sprint("server-", i) }

// watched writes down what comes to a server before the server sees it.
func (f *fleet) watched(i int, server http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.record.noteHeaders(r.Header.Get(platform.Servers().RequestID), r.Header)
		f.record.noteArrival(arrival{ID: r.Header.Get(platform.Servers().RequestID), Server: i, At: time.Now()})
		server.ServeHTTP(w, r)
	})
}

// relaunch starts a node's process again where it is still the one that ended:
// faults overlap, and two may have ended the same one.
func (f *fleet) relaunch(n *node, ended *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != ended {
		return
	}
	if err := f.launch(n); err != nil {
		f.record.noteFailure(err)
	}
}

// reload tells a node's process that its settings file has changed. Until a process
// catches signals this one would end it, as any program, and nobody would start it
// again: one that is not ready is left alone.
func (f *fleet) reload(n *node) {
	if p := n.current(); f.isReady(n) {
		p.signal(syscall.SIGHUP)
	}
}

// settingsFile returns the path of a node's settings file.
func (f *fleet) settingsFile(n *node) string {
	return filepath.Join(f.dir, fmt.Sprintf("node-%d.yaml", n.number))
}

// launch starts a node's process. The node's lock is held, or nobody else knows
// the node yet.
func (f *fleet) launch(n *node) error {
	file := f.settingsFile(n)
	if err := os.WriteFile(file, []byte(f.processSettings(n.number)), 0o600); err != nil {
		return Error.Wrap(err)
	}
	p, err := startProcess(f.options.Program, file, filepath.Join(f.dir, fmt.Sprintf("node-%d.log", n.number)))
	if err != nil {
		return err
	}
	n.process = p
	n.life.Add(1)
	return nil
}

// close ends a node's process, its server and its proxies, as far as they started.
func (n *node) close() {
	if p := n.current(); p != nil {
		p.kill()
	}
	for _, p := range []*proxy{n.peerProxy, n.storeProxy} {
		if p != nil {
			p.close()
		}
	}
	if n.crasher != nil {
		// What is still in progress there interests nobody any more.
		n.crasher.Close()
	}
}
