package daemon_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// awaitLog waits until the log of the process contains a text.
func (p *nodeProcess) awaitLog(text string) {
	p.t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if strings.Contains(p.log.String(), text) {
			return
		}
	}
	p.t.Fatalf("no line with %q in the log:\n%s", text, p.log)
}

// TestEndIsLogged checks that a process that ends by itself logs why, and what it used.
func TestEndIsLogged(t *testing.T) {
	// The memory of the program that starts the process must not count.
	held := bytes.Repeat([]byte("h"), 2*nodeMemory)
	defer runtime.KeepAlive(held)
	p := newNodeProcess(t)
	p.writeSettings(p.settingsText() + fmt.Sprintf("limits: {memory_mib: %d}\n", nodeMemory>>20))
	p.start(nil)
	p.awaitReady()
	assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, p.awaitEnd(), "exit status 0")
	p.awaitLog(`msg="process ends" status=0 signal=terminated cause=stopped memory=`)
	p.awaitLog(fmt.Sprintf("memory_limit=%d descriptors=", nodeMemory))
	_, after, _ := strings.Cut(p.log.String(), "peak_memory=")
	var peak int64
	_, err := fmt.Sscan(after, &peak)
	assert.NilError(t, err)
	assert.Assert(t, peak > 0 && peak < nodeMemory, "%d bytes, of this process alone", peak)
}

// TestClosedLog checks that a process goes on, and stops in order, after the reader of its log has closed it.
func TestClosedLog(t *testing.T) {
	p := newNodeProcess(t)
	p.serve(http.HandlerFunc(answerStamped))
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	p.start(func(command *exec.Cmd) { command.Stdout, command.Stderr = writer, writer })
	assert.NilError(t, writer.Close())
	p.awaitReady()
	assert.NilError(t, reader.Close())
	for range 10 {
		// A request without a route leaves a line in the log.
		status, _ := p.get("/none/")
		assert.Equal(t, status, http.StatusNotFound)
	}
	time.Sleep(100 * time.Millisecond)
	status, _ := p.get("/look/x")
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, p.awaitEnd(), "exit status 0")
}

// shortGrace keeps the stops of tests short.
const shortGrace = 500 * time.Millisecond

// TestStopDuringStart checks that a process that is told to stop while it starts ends in order.
func TestStopDuringStart(t *testing.T) {
	const step, last = 3 * time.Millisecond, 30 * time.Millisecond
	for wait := time.Duration(0); wait <= last; wait += step {
		p := newNodeProcess(t)
		p.grace = shortGrace
		p.awaitSettingsRead()
		time.Sleep(wait)
		assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
		assert.Equal(t, p.awaitEnd(), "exit status 0", "%s after the start", wait)
	}
}

// TestRepeatedStop checks that a process that is told to stop again and again, to its end, ends in order.
func TestRepeatedStop(t *testing.T) {
	const runs, interval = 10, 50 * time.Microsecond
	for range runs {
		p := newNodeProcess(t)
		p.grace = shortGrace
		p.writeSettings(p.settingsText())
		p.start(nil)
		p.awaitReady()
		for p.running() {
			_ = p.command.Process.Signal(syscall.SIGTERM)
			time.Sleep(interval)
		}
		assert.Equal(t, p.awaitEnd(), "exit status 0")
	}
}

// TestAddressInUseAtStart checks that a process whose address is still held by another program waits for it, and says so,
// and that a signal ends the wait in order.
func TestAddressInUseAtStart(t *testing.T) {
	tests := map[string]struct {
		port int
		stop bool
	}{
		"callers":           {port: portCallers},
		"ready":             {port: portReady},
		"peers":             {port: portPeers},
		"admin":             {port: portAdmin},
		"stopped meanwhile": {port: portCallers, stop: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			holder, err := net.Listen("tcp", p.address(test.port))
			assert.NilError(t, err)
			defer func() { _ = holder.Close() }()
			p.start(nil)
			p.awaitLog(`msg="waiting for a listener's address"`)
			if test.stop {
				assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
				assert.Equal(t, p.awaitEnd(), "exit status 0")
				return
			}
			assert.NilError(t, holder.Close())
			p.awaitReady()
		})
	}
}

// TestSettingsWrittenDuringStart checks that a process whose settings file is missing or half written waits until it has
// been written, and that one whose settings stay invalid ends with their findings.
func TestSettingsWrittenDuringStart(t *testing.T) {
	const delay = 300 * time.Millisecond
	tests := map[string]struct {
		before   func(p *nodeProcess, text string)
		complete bool
	}{
		"missing":         {func(p *nodeProcess, _ string) { assert.NilError(p.t, os.Remove(p.settings)) }, true},
		"empty":           {func(p *nodeProcess, _ string) { p.writeSettings("") }, true},
		"half":            {func(p *nodeProcess, text string) { p.writeSettings(text[:len(text)/2]) }, true},
		"half, for good":  {func(p *nodeProcess, text string) { p.writeSettings(text[:len(text)/2]) }, false},
		"wrong, for good": {func(p *nodeProcess, text string) { p.writeSettings(text + "no_such_key: 1\n") }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			text := p.settingsText()
			test.before(p, text)
			p.start(nil)
			if !test.complete {
				assert.Equal(t, p.awaitEnd(), "exit status 1")
				p.awaitLog(`msg="process ends" status=1 signal=none cause="` + p.settings)
				return
			}
			time.Sleep(delay)
			p.writeSettings(text)
			p.awaitReady()
		})
	}
}

// TestServerBytesWithoutEnd checks that a process keeps within its memory, and answers, while its server sends bytes without
// end.
func TestServerBytesWithoutEnd(t *testing.T) {
	const deadline, maxTime = 2 * time.Second, 5 * time.Second
	foreign := "HTTP/1.1 200 OK\r\n" + platform.Servers().Stamp + ": s\r\n"
	head := foreign + platform.Servers().RequestID + ": id\r\n"
	long := strings.Repeat("a", 1<<16)
	tests := map[string]struct{ first, part string }{
		"no answer":       {"", long},
		"status line":     {"HTTP/1.1 200 ", long},
		"field":           {"HTTP/1.1 200 OK\r\nA: ", long},
		"fields":          {"HTTP/1.1 200 OK\r\n", strings.Repeat("Aaaaaaa: b\r\n", 4000)},
		"chunk extension": {head + "Transfer-Encoding: chunked\r\n\r\n5;", long},
		"trailers":        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("Aaaaaaa: b\r\n", 4000)},
		"body":            {head + "\r\n", long},
		"chunked body":    {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + long + "\r\n"},
		"foreign body":    {foreign + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + long + "\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			server, err := standin.NewEndless(p.address(portServer), test.first, standin.Same(test.part))
			assert.NilError(t, err)
			defer server.Close()
			p.start(nil)
			p.awaitReady()
			began := time.Now()
			// The deadline ends an answer whose body has no end.
			status, _ := p.sendWithin(deadline, "id", http.MethodGet, "/pay/x", nil)
			assert.Assert(t, status == 0 || status >= http.StatusInternalServerError, status)
			assert.Assert(t, time.Since(began) < maxTime, "took %s", time.Since(began))
			assert.Assert(t, p.running())
			assert.Assert(t, p.peakMemory() < nodeMemory/2, "%d bytes", p.peakMemory())
		})
	}
}

// smallMemory is the memory in MiB of the smallest VMs.
const smallMemory = 184

// startSmall starts the process with the memory of the smallest VMs.
func (p *nodeProcess) startSmall() {
	p.writeSettings(p.settingsText() + fmt.Sprintf("limits: {memory_mib: %d}\n", smallMemory))
	p.start(nil)
	p.awaitReady()
}

// assertMemory checks that the process runs and has kept within the memory of startSmall.
func (p *nodeProcess) assertMemory() {
	p.t.Helper()
	assert.Assert(p.t, p.running())
	assert.Assert(p.t, p.peakMemory() < smallMemory<<20, "%d MB", p.peakMemory()>>20)
}

// TestLargeBodiesKeepMemory checks that bodies of nearly the largest size, one after the other and at once, do not take a
// process over its memory.
func TestLargeBodiesKeepMemory(t *testing.T) {
	const size, inSeries, atOnce = 60 << 20, 6, 6
	text := bytes.Repeat([]byte("b"), size)
	tests := map[string]func() io.Reader{
		"length":  func() io.Reader { return bytes.NewReader(text) },
		"chunked": func() io.Reader { return io.MultiReader(bytes.NewReader(text)) },
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			p.serve(http.HandlerFunc(answerStamped))
			p.startSmall()
			for range inSeries {
				status, answer := p.send(http.MethodPost, "/pay/x", body())
				assert.Equal(t, status, http.StatusOK, answer)
				assert.Equal(t, answer, strconv.Itoa(size))
			}
			p.assertMemory()
			var work sync.WaitGroup
			for range atOnce {
				work.Go(func() {
					// A process that has no memory for a body may end the connection before it has read it.
					status, answer := p.send(http.MethodPost, "/pay/x", body())
					assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable || status == 0, "%d %s", status, answer)
				})
			}
			work.Wait()
			p.assertMemory()
		})
	}
}

// TestManyAnswersKeepMemory checks that large answers at once do not take a process over its memory, and that those that appear
// complete are.
func TestManyAnswersKeepMemory(t *testing.T) {
	const size, callers, slots = 1000 << 10, 1000, 1000
	p := newNodeProcess(t)
	entry := p.entry("s-0")
	entry.Slots = slots
	p.store.PutServer(entry)
	body := bytes.Repeat([]byte("a"), size)
	var arrived sync.WaitGroup
	p.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.Servers().Stamp, "stamp")
		w.Header().Set(platform.Servers().RequestID, r.Header.Get(platform.Servers().RequestID))
		_, _ = w.Write(body)
	}))
	p.startSmall()
	var served atomic.Int64
	for range callers {
		arrived.Go(func() {
			status, answer := p.send(http.MethodGet, "/look/x", nil)
			if status == http.StatusOK {
				assert.Check(t, len(answer) == size, "%d bytes", len(answer))
				served.Add(1)
			}
		})
	}
	arrived.Wait()
	p.assertMemory()
	assert.Assert(t, served.Load() > 0)
	t.Logf("%d of %d served, peak %d MB", served.Load(), callers, p.peakMemory()>>20)
}

// TestEntriesOfAnotherWriter checks that a process goes on following the servers, and keeps within its memory, whatever another
// writer leaves among their entries.
func TestEntriesOfAnotherWriter(t *testing.T) {
	// Together they are too large for one response.
	const large = 12
	p := newNodeProcess(t)
	p.serve(http.HandlerFunc(answerStamped))
	p.startSmall()
	odd := map[string]string{
		"nested":   strings.Repeat(`{"a":`, 150_000),
		"number":   `{"Slots":` + strings.Repeat("9", 400) + `}`,
		"exponent": `{"Slots":1e400}`,
		"port":     `{"Address":"` + p.ip + `:70000"}`,
		"bytes":    "\xff\xfe\x00",
	}
	for name, value := range odd {
		p.store.Put(platform.ServersPrefix+name, []byte(value))
	}
	value := []byte(`{"Zone":"` + strings.Repeat("a", 1<<20-100) + `"}`)
	for i := range large {
		p.store.Put(fmt.Sprint(platform.ServersPrefix, "large-", i), value)
	}
	p.awaitRevision(p.store.Revision())
	p.store.PutServer(p.entry("s-1"))
	p.awaitRevision(p.store.Revision())
	status, answer := p.get("/look/x")
	assert.Equal(t, status, http.StatusOK, answer)
	p.assertMemory()
}

// awaitRevision waits until the process knows the servers up to a revision of the store.
func (p *nodeProcess) awaitRevision(wanted slatewind.Revision) {
	p.t.Helper()
	var known slatewind.Revision
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if state, ok := p.state(); ok && state.Known != nil {
			if known = *state.Known; !wanted.After(known) {
				return
			}
		}
	}
	p.t.Fatalf("the process knows revision %s of %s\n%s", known, wanted, p.log)
}

// state returns the state dump of the process, if it answers.
func (p *nodeProcess) state() (state admin.State, ok bool) {
	response, err := http.Get("http://" + p.address(portAdmin) + "/state")
	if err != nil {
		return state, false
	}
	defer func() { _ = response.Body.Close() }()
	return state, json.NewDecoder(response.Body).Decode(&state) == nil
}

// TestLargeHeadsKeepMemory checks that request heads of 1 MB at once do not take a process over its memory, and that other callers
// are served meanwhile.
func TestLargeHeadsKeepMemory(t *testing.T) {
	const callers, headBytes = 400, 1 << 20
	p := newNodeProcess(t)
	p.serve(http.HandlerFunc(answerStamped))
	p.startSmall()
	head := "GET /look/x HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("A: b\r\n", headBytes/6-100)
	var work sync.WaitGroup
	for range callers {
		conn, err := net.Dial("tcp", p.address(portCallers))
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		work.Go(func() { _, _ = io.WriteString(conn, head) })
	}
	for range 10 {
		status, answer := p.get("/look/x")
		assert.Equal(t, status, http.StatusOK, answer)
	}
	work.Wait()
	p.assertMemory()
}

// TestDescriptorsRunOut checks that a process whose callers keep more connections than it has descriptors goes on, and serves each
// new caller.
func TestDescriptorsRunOut(t *testing.T) {
	const descriptors, callers = 200, 400
	p := newNodeProcess(t)
	p.serve(http.HandlerFunc(answerStamped))
	p.writeSettings(p.settingsText() + fmt.Sprintf("limits: {descriptors: %d}\n", descriptors))
	p.start(nil)
	p.awaitReady()
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	assert.NilError(t, unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	for i := range callers {
		conn, err := net.Dial("tcp", p.address(portCallers))
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, "GET /look/x HTTP/1.1\r\nHost: h.example\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "connection %d", i)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		_ = response.Body.Close()
	}
	state, ok := p.state()
	assert.Assert(t, ok)
	assert.Equal(t, state.Connections.Limit, descriptors/2)
	assert.Assert(t, state.Connections.Evicted > 0, "%+v", state.Connections)
}

// TestCallerBytesWithoutEnd checks that a process keeps within its memory, and serves others, while callers send heads and bodies
// without end.
func TestCallerBytesWithoutEnd(t *testing.T) {
	const callers = 8
	chunk := "10000\r\n" + strings.Repeat("b", 1<<16) + "\r\n"
	tests := map[string]struct{ first, part string }{
		"request line": {"GET /look/", strings.Repeat("a", 1<<16)},
		"field":        {"GET /look/x HTTP/1.1\r\nHost: h.example\r\nA: ", strings.Repeat("a", 1<<16)},
		"fields":       {"GET /look/x HTTP/1.1\r\nHost: h.example\r\n", strings.Repeat("A: b\r\n", 1<<13)},
		"body":         {"POST /pay/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"extension":    {"POST /pay/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("a", 1<<16)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newNodeProcess(t)
			p.serve(http.HandlerFunc(answerStamped))
			p.startSmall()
			var work sync.WaitGroup
			for range callers {
				conn, err := net.Dial("tcp", p.address(portCallers))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				work.Go(func() {
					_, err := io.WriteString(conn, test.first)
					for err == nil {
						_, err = io.WriteString(conn, test.part)
					}
				})
			}
			for range 5 {
				status, answer := p.get("/look/x")
				assert.Equal(t, status, http.StatusOK, answer)
			}
			// The process ends each connection.
			work.Wait()
			p.assertMemory()
		})
	}
}
