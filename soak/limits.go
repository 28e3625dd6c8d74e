package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

const (
	// limitsTime is how long processes are brought near their limits.
	limitsTime = 10 * time.Second
	// processMemory is the memory of a process in the settings, in MiB, and processDescriptors the number of descriptors that
	// it is left.
	processMemory      = 184
	processDescriptors = 300
	// heldConnections is the number of connections that a caller opens and keeps.
	heldConnections = 400
	// largeHeads is the number of request heads of largeHeadBytes that are sent at once.
	largeHeads     = 60
	largeHeadBytes = 1 << 20
	// largeBodyBytes is the size of a large body.
	largeBodyBytes = 40 << 20
	// largeEntries is the number of entries, each as large as the store takes, that another writer leaves.
	largeEntries = 12
	// maxSettingsDelay is how long the settings of a process that starts are incomplete, at most.
	maxSettingsDelay = 500 * time.Millisecond
	// logClosedAfter is how long after the start of a process the reader of its log closes it.
	logClosedAfter = 300 * time.Millisecond
)

// limitFaults bring processes near their limits, or surround them with what no page allows.
var limitFaults = []fault{
	endlessServerFault, endlessServerFault, oddEntryFault, largeEntriesFault, connectionsFault, headsFault, bodyFault,
	closedLogFault, addressFault, halfSettingsFault, signalsFault, killFault, stopFault, serverFault, storeFault,
}

// limitsText returns the limits of a process as its settings state them.
func (f *fleet) limitsText() string {
	if !f.includes(PartLimits) {
		return fmt.Sprintf("answer_bytes: %d", answerLimit)
	}
	return fmt.Sprintf("memory_mib: %d, descriptors: %d", processMemory, processDescriptors)
}

// limitDescriptors leaves a process the descriptors that its settings state.
func (f *fleet) limitDescriptors(p *process) {
	if f.includes(PartLimits) {
		// The process may have exited already.
		_ = unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: processDescriptors, Max: processDescriptors}, nil)
	}
}

// checkLimits brings processes near their limits while servers, callers, the store and their surroundings misbehave. None may end
// by itself or exceed its memory, and all must serve afterwards.
func (f *fleet) checkLimits(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.publishUploads()
	measuring, stop := context.WithCancel(ctx)
	defer stop()
	go f.watchMemory(measuring)
	err := f.injectFaults(ctx, random, limitFaults, limitsTime)
	if err != nil || ctx.Err() != nil {
		return err
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	for _, n := range f.nodes {
		f.checkServes(ctx, n)
	}
	return nil
}

// watchMemory checks the memory of all processes until ctx ends.
func (f *fleet) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range f.nodes {
			if used := n.current().peakMemory(); used > processMemory<<20 {
				f.record.addBreach(PromiseMemory, "the process of node %d used %d MiB, its limit is %d", n.number, used>>20, processMemory)
			}
		}
		sleep(ctx, pollInterval)
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes, or 0 if it has exited.
func (p *process) peakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil || p.hasEnded() {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// checkServes checks that a process serves a caller within the timeout.
func (f *fleet) checkServes(ctx context.Context, n *node) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(f.options.Timeout); ctx.Err() == nil; sleep(ctx, pollInterval) {
		if status, _ := f.send(client, n.number, repeatablePath, newID()); status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			f.record.addBreach(PromiseRuns, "node %d serves no caller %s after the faults", n.number, f.options.Timeout)
			return
		}
	}
}

// endlessServerFault makes a server send bytes without end.
func endlessServerFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	n.server.SetMode(pick(random, standin.StampedEndlessHead, standin.StampedEndlessBody, standin.StampedEndlessBytes))
	return func() { n.server.SetMode(standin.StampedOK) }
}

// oddEntryFault leaves an entry among those of the servers that names none.
func oddEntryFault(f *fleet, random *rand.Rand) func() {
	value := pick(random,
		strings.Repeat(`{"a":`, 150_000), strings.Repeat("[", 12_000), `{"Slots":1e400}`, `{"Slots":`+strings.Repeat("9", 400)+`}`,
		`{"Address":"127.0.0.1:70000"}`, "\xff\xfe\x00", `null`, "")
	key := fmt.Sprint(platform.ServersPrefix, "odd-", random.Uint64())
	f.store.Put(key, []byte(value))
	return func() { f.store.Delete(key) }
}

// largeEntriesFault leaves entries that are as large as the store takes.
func largeEntriesFault(f *fleet, random *rand.Rand) func() {
	value := []byte(`{"Zone":"` + strings.Repeat("a", 1<<20-100) + `"}`)
	prefix := fmt.Sprint(platform.ServersPrefix, "large-", random.Uint64(), "-")
	for i := range largeEntries {
		f.store.Put(fmt.Sprint(prefix, i), value)
	}
	return func() {
		for i := range largeEntries {
			f.store.Delete(fmt.Sprint(prefix, i))
		}
	}
}

// connectionsFault opens connections to a process, some of them with the beginning of a request, and keeps them.
func connectionsFault(f *fleet, random *rand.Rand) func() {
	return f.holdConnections(f.randomNode(random), heldConnections, pick(random, "", "GET "))
}

// headsFault sends large request heads to a process.
func headsFault(f *fleet, random *rand.Rand) func() {
	head := "GET " + repeatablePath + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Repeat("A: b\r\n", largeHeadBytes/6-100)
	return f.holdConnections(f.randomNode(random), largeHeads, head)
}

// holdConnections opens connections to a process and sends text on each. The returned function closes them.
func (f *fleet) holdConnections(n *node, count int, text string) func() {
	var conns []net.Conn
	for range count {
		conn, err := net.DialTimeout("tcp", f.address(ownBase, n.number, portCallers), connectTimeout)
		if err != nil {
			// The process may be stopped, or its queue of new connections full.
			break
		}
		conns = append(conns, conn)
		go func() { _, _ = io.WriteString(conn, text) }()
	}
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// bodyFault sends a large body to a process.
func bodyFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	var work sync.WaitGroup
	work.Go(func() {
		client := &http.Client{Timeout: uploadTimeout}
		defer client.CloseIdleConnections()
		f.post(client, n.number, uploadPath, newID(), strings.Repeat("l", largeBodyBytes), http.Header{})
	})
	return work.Wait
}

// closedLogFault restarts a process whose log is closed by its reader.
func closedLogFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	n.mu.Lock()
	n.closeLog = true
	n.mu.Unlock()
	return f.endAndRestart(n, syscall.SIGTERM)
}

// addressFault restarts a process while another program holds one of its addresses.
func addressFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	address := f.address(ownBase, n.number, pick(random, portCallers, portPeers, portAdmin, portReady))
	p := n.current()
	p.kill()
	holder, err := net.Listen("tcp", address)
	f.relaunch(n, p)
	return func() {
		// The process may have been started again, by another fault, before the address was held.
		if err == nil {
			_ = holder.Close()
		}
	}
}

// halfSettingsFault restarts a process while its settings are being written.
func halfSettingsFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	n.mu.Lock()
	n.settingsDelay = randomDuration(random, 0, maxSettingsDelay)
	n.mu.Unlock()
	return f.endAndRestart(n, syscall.SIGKILL)
}

// signalsFault sends signals to a process that must not end it.
func signalsFault(f *fleet, random *rand.Rand) func() {
	n := f.randomNode(random)
	f.reload(n)
	if p := n.current(); f.isReady(n) {
		p.signal(pick(random, syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGWINCH, syscall.SIGURG))
	}
	return func() {}
}
