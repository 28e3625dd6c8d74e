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

// serviceTime is how long a server takes to run a request.
const serviceTime = 30 * time.Millisecond

// node is one process with its server and the proxies of its links.
type node struct {
	number int
	server *standin.Stamped
	// crasher stands in for the operating system process of the server, stutterer for what sends its answers.
	crasher   *standin.Crasher
	stutterer *standin.Stutterer
	// peerProxy is in front of the peer port of the process, storeProxy in front of the store.
	peerProxy, storeProxy *proxy
	// starts counts the starts of the process.
	starts atomic.Int64

	// mu guards the fields below.
	mu      sync.Mutex
	process *process
	// occupant is the server that runs at the node's address, nil if none does; occupants holds all that
	// have run there. service is the service of the newest.
	occupant  *occupant
	occupants []*occupant
	service   string
	// closeLog makes the reader of the log of the next process close it, settingsDelay its settings file incomplete for this
	// time.
	closeLog      bool
	settingsDelay time.Duration
}

// current returns the process that runs or was the last to run.
func (n *node) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// newNode starts the server and the proxies of a node. If one of them does not start, it closes
// those that did.
func (f *fleet) newNode(i int) (*node, error) {
	n := &node{number: i, server: standin.NewStamped(serverName(i), platform.Servers())}
	n.server.SetDelay(serviceTime)
	n.occupy(&occupant{n.server, serverName(i), service})
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

// serve starts the listener of a node's server.
func (f *fleet) serve(n *node) error {
	n.stutterer = standin.NewStutterer(f.recordArrivals(n), platform.Servers().RequestID)
	crasher, err := standin.NewCrasher(f.serverAddress(n.number), n.stutterer, isDeadly, serverDowntime)
	if err != nil {
		return Error.Wrap(err)
	}
	n.crasher = crasher
	return nil
}

// startProxies starts the proxies in front of a node's peer port and of the store.
func (f *fleet) startProxies(n *node) (err error) {
	peers, store := f.address(ownBase, n.number, portPeers), strings.TrimPrefix(f.storeWeb.URL, "http://")
	if n.peerProxy, err = newProxy(f.address(linkBase, n.number, portPeers), peers); err != nil {
		return err
	}
	n.storeProxy, err = newProxy(f.address(storeBase, n.number, portStore), store)
	return err
}

// serverName returns the name of a server in the store.
func serverName(i int) string { return fmt.Sprintf(serverNameFormat, i) }

const serverNameFormat = "server-%d"

// recordArrivals records each request before passing it on to the server. Requests that share their id are left out, since
// they would count as extra attempts.
func (f *fleet) recordArrivals(n *node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.record.addHeaderBreaches(r.Header.Get(platform.Servers().RequestID), r.Header)
		if r.RequestURI != sameIDPath {
			f.record.addArrival(arrival{ID: r.Header.Get(platform.Servers().RequestID), Server: n.number, At: time.Now()})
		}
		f.serveRequest(n, w, r)
	})
}

// relaunch starts a node's process again unless another one has been started since ended exited:
// faults overlap, and two of them may have ended the same process.
func (f *fleet) relaunch(n *node, ended *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != ended {
		return
	}
	if err := f.launch(n); err != nil {
		f.record.addFailure(err)
	}
}

// reload makes a node's process reload its settings file. Until a process has installed its
// handler, SIGHUP would end it, and nothing would start it again, so processes that are not
// ready are skipped.
func (f *fleet) reload(n *node) {
	if p := n.current(); f.isReady(n) {
		p.signal(syscall.SIGHUP)
	}
}

// settingsFile returns the path of a node's settings file.
func (f *fleet) settingsFile(n *node) string {
	return filepath.Join(f.dir, fmt.Sprintf("node-%d.yaml", n.number))
}

// launch starts a node's process. The caller holds n.mu, unless no other goroutine has access to
// the node yet.
func (f *fleet) launch(n *node) error {
	file := f.settingsFile(n)
	if err := f.writeSettings(n, file); err != nil {
		return err
	}
	p, err := f.startLogged(n, file)
	if err != nil {
		return err
	}
	f.limitDescriptors(p)
	n.process = p
	n.starts.Add(1)
	go f.checkEnd(n, p)
	return nil
}

// writeSettings writes a node's settings file; if n.settingsDelay is set, the second half of it is written later.
func (f *fleet) writeSettings(n *node, file string) error {
	text := f.processSettings(n.number, n.service)
	first := text
	if n.settingsDelay > 0 {
		first = text[:len(text)/2]
		time.AfterFunc(n.settingsDelay, func() { f.record.addFailure(os.WriteFile(file, []byte(text), 0o600)) })
		n.settingsDelay = 0
	}
	if err := os.WriteFile(file, []byte(first), 0o600); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// startLogged starts a node's process with its log; if n.closeLog is set, the reader of the log closes it.
func (f *fleet) startLogged(n *node, file string) (*process, error) {
	if n.closeLog {
		n.closeLog = false
		return startWithClosedLog(f.options.Program, file)
	}
	return startProcess(f.options.Program, file, filepath.Join(f.dir, fmt.Sprintf("node-%d.log", n.number)))
}

// checkEnd checks how a process ends.
func (f *fleet) checkEnd(n *node, p *process) {
	<-p.ended
	if p.unexpectedEnd() {
		f.record.addBreach(PromiseRuns, "the process of node %d ended: %s", n.number, p.end())
	}
}

// close ends a node's process, server and proxies, as far as they were started.
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
		// Requests still in progress there are of no interest any more.
		n.crasher.Close()
	}
}
