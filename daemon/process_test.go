package daemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/admin"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/internal/standin"
)

// These tests start real slatewindd processes on loopback, with the stand-ins in the
// test's own process, and wait for events instead of fixed times.

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "slatewindd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "slatewindd")
	build := exec.Command("go", "build", "-o", program, "../cmd/slatewindd")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// eventTimeout bounds every wait for an event. It is far above the times of a passing run.
const eventTimeout = 30 * time.Second

// process is a slatewindd on a VM with one server.
type process struct {
	vm, ingress, peer, admin string
	server                   *standin.Server
	serverAddress            string
	command                  *exec.Cmd
}

// mesh is a small fleet of processes with a stand-in for the platform.
type mesh struct {
	t         *testing.T
	platform  *standin.Platform
	processes []*process
	url       string
}

// nextVM numbers the VMs of all tests of this run.
var nextVM atomic.Int32

// newIP returns a loopback IP that no other VM of this test run uses, nor one of a concurrent
// run. The ports on it are fixed: a port that was found free and released could be taken by
// another program before the process listens on it.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, nextVM.Add(1))
}

func newMesh(t *testing.T, count int, median time.Duration) *mesh {
	t.Helper()
	m := &mesh{t: t, platform: standin.NewPlatform()}
	web := httptest.NewServer(m.platform.Handler())
	m.url = web.URL
	t.Cleanup(web.Close)
	for i := range count {
		ip := newIP()
		p := &process{vm: fmt.Sprint("vm-", i), ingress: ip + ":8080", peer: ip + ":8090", admin: ip + ":8091"}
		p.server = standin.NewServer(fmt.Sprint("kassa-", i), 40, median, 0)
		listener := httptest.NewServer(p.server.Handler())
		t.Cleanup(func() {
			listener.CloseClientConnections()
			listener.Close()
		})
		p.serverAddress = strings.TrimPrefix(listener.URL, "http://")
		m.processes = append(m.processes, p)
		m.platform.SetVM(slatewind.VM{Name: p.vm, DataCentre: "dc", PeerAddress: p.peer, State: slatewind.VMLive})
	}
	m.platform.Publish([]byte(m.settings(0)))
	for _, p := range m.processes {
		m.start(p)
	}
	for _, p := range m.processes {
		m.await("ready", func() bool { return status(p.admin, "/ready") == http.StatusOK })
	}
	m.awaitKnown()
	return m
}

func (m *mesh) settings(floor int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "services:\n  - name: kassa\n    floor: %d\n    slots: 40\n    servers:\n", floor)
	for i, p := range m.processes {
		fmt.Fprintf(&b, "      - {name: kassa-%d, vm: %s, address: \"%s\"}\n", i, p.vm, p.serverAddress)
	}
	b.WriteString("routes:\n  - {name: price, path_prefix: /prices, service: kassa, kind: repeatable, timeout: 4s}\n")
	b.WriteString("  - {name: payment, path_prefix: /payments, service: kassa, kind: once, timeout: 4s, max_body_bytes: 100}\n")
	return b.String()
}

func (m *mesh) start(p *process) {
	m.t.Helper()
	file := filepath.Join(m.t.TempDir(), p.vm+".yaml")
	text := fmt.Sprintf("vm: %s\ndata_centre: dc\ningress_address: %s\npeer_address: %s\nadmin_address: %s\nplatform_url: %s\nseed_peers: [\"%s\"]\n",
		p.vm, p.ingress, p.peer, p.admin, m.url, m.processes[0].peer)
	assert.NilError(m.t, os.WriteFile(file, []byte(text), 0o600))
	log := &bytes.Buffer{}
	command := exec.Command(program, "--settings", file, "--verbose")
	command.Stdout, command.Stderr = log, log
	p.command = command
	assert.NilError(m.t, command.Start())
	m.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if m.t.Failed() {
			m.t.Logf("%s:\n%s", p.vm, log.String())
		}
	})
}

// await waits until an event has happened.
func (m *mesh) await(what string, happened func() bool) {
	m.t.Helper()
	deadline := time.Now().Add(eventTimeout)
	for !happened() {
		if time.Now().After(deadline) {
			m.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitKnown waits until each process knows the incarnations of all others, by contact or
// gossip.
func (m *mesh) awaitKnown() {
	m.t.Helper()
	for _, p := range m.processes {
		m.await("members known at "+p.vm, func() bool {
			known := 0
			for _, e := range m.state(p).Members {
				if e.Incarnation != 0 {
					known++
				}
			}
			return known == len(m.processes)
		})
	}
}

func (m *mesh) state(p *process) admin.State {
	var s admin.State
	response, err := http.Get("http://" + p.admin + "/state")
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

func status(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// started returns the number of requests that the servers have started.
func (m *mesh) started() int {
	n := 0
	for _, p := range m.processes {
		n += p.server.Total()
	}
	return n
}

// result is the response to a caller.
type result struct {
	outcome slatewind.Outcome
	header  http.Header
	status  int
	body    string
	err     error
}

func send(p *process, method, path, key string, attempt int) result {
	return sendBody(p, method, path, key, attempt, "")
}

// sendBody is send with a body.
func sendBody(p *process, method, path, key string, attempt int, body string) result {
	r, err := http.NewRequest(method, "http://"+p.ingress+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	r.Header.Set(standin.HeaderNonce, key)
	if attempt > 0 {
		r.Header.Set(ingress.HeaderKey, key)
		r.Header.Set(ingress.HeaderAttempt, fmt.Sprint(attempt))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	got := result{outcome: slatewind.Outcome(response.Header.Get(ingress.HeaderOutcome)), header: response.Header, status: response.StatusCode, body: string(answer), err: err}
	if got.outcome == "" && err == nil {
		got.outcome = slatewind.OutcomeAnswer
	}
	return got
}

// whole reports whether a caller got the complete answer to its own request.
func (r result) whole(nonce string) bool {
	return r.err == nil && r.status == http.StatusOK && strings.Contains(r.body, " nonce="+nonce+" ") && strings.HasSuffix(r.body, "end\n")
}

// startCallers sends requests, half of them through each of two processes, and returns once all
// are at the servers. The returned function waits for the answers and checks that all are whole.
func (m *mesh) startCallers() (awaitAnswers func()) {
	m.t.Helper()
	const each = 10
	answers := make([]result, 2*each)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = send(m.processes[i%2], http.MethodGet, "/prices/1", fmt.Sprint("n", i), 0) })
	}
	m.await("all requests at the servers", func() bool { return m.started() == len(answers) })
	return func() {
		m.t.Helper()
		group.Wait()
		for i, a := range answers {
			assert.Assert(m.t, a.whole(fmt.Sprint("n", i)), "caller %d: %+v", i, a)
		}
	}
}

// TestPlannedStopCutsOffNothing checks that a process that gets SIGTERM while callers wait for
// answers through its ingress and its sidecar delivers all of them whole and exits with code 0.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	m := newMesh(t, 2, 300*time.Millisecond)
	awaitAnswers := m.startCallers()
	stopping := m.processes[0]
	assert.NilError(t, stopping.command.Process.Signal(syscall.SIGTERM))
	awaitAnswers()
	assert.NilError(t, stopping.command.Wait())
	assert.Assert(t, send(m.processes[1], http.MethodGet, "/prices/1", "after", 0).whole("after"))
}

// TestServerDrainCutsOffNothing checks that a server that reports that it is draining gets no new
// work, and that its requests in flight are answered whole.
func TestServerDrainCutsOffNothing(t *testing.T) {
	m := newMesh(t, 2, 200*time.Millisecond)
	awaitAnswers := m.startCallers()
	draining := m.processes[0]
	draining.server.SetDraining(true)
	awaitAnswers()
	for _, p := range m.processes {
		m.await("the drain known at "+p.vm, func() bool {
			for _, server := range m.state(p).Ingress.Services[0].Servers {
				if server.Name == "kassa-0" {
					return server.Leaving
				}
			}
			return false
		})
	}
	before := draining.server.Total()
	for i := range 20 {
		assert.Assert(t, send(m.processes[i%2], http.MethodGet, "/prices/1", "later", 0).whole("later"))
	}
	assert.Equal(t, draining.server.Total(), before)
}

// payment is a request of kind once with the results of all its attempts.
type payment struct {
	key     string
	results []result
}

// pay sends payments, each with numbered retries through other ingresses, and calls
// injectFault once half of them are at the servers. Then it compares the callers' results with
// the executions at the servers.
func (m *mesh) pay(count int, injectFault func()) {
	m.t.Helper()
	payments := make([]payment, count)
	var group sync.WaitGroup
	for i := range payments {
		payments[i].key = fmt.Sprint("payment-", i)
		group.Go(func() {
			for attempt := 1; attempt <= 3; attempt++ {
				r := send(m.processes[(i+attempt)%len(m.processes)], http.MethodPost, "/payments", payments[i].key, attempt)
				payments[i].results = append(payments[i].results, r)
				if r.outcome == slatewind.OutcomeAnswer {
					return
				}
			}
		})
	}
	m.await("half of the payments at the servers", func() bool { return m.started() >= count/2 })
	injectFault()
	group.Wait()
	m.compare(payments)
}

func (m *mesh) compare(payments []payment) {
	m.t.Helper()
	runs := map[string]int{}
	for _, p := range m.processes {
		for key, n := range p.server.Runs() {
			runs[key] += n
		}
	}
	answered := 0
	for _, p := range payments {
		assert.Assert(m.t, runs[p.key] <= 1, "%s ran %d times", p.key, runs[p.key])
		allNotRun := true
		for _, r := range p.results {
			allNotRun = allNotRun && r.outcome == slatewind.OutcomeNotRun
			if r.outcome == slatewind.OutcomeAnswer {
				answered++
				assert.Assert(m.t, r.whole(p.key), "%s got %q", p.key, r.body)
				assert.Equal(m.t, runs[p.key], 1, p.key)
			}
			if r.outcome == slatewind.OutcomeNotRun {
				assert.Assert(m.t, r.header.Get("Retry-After") != "")
			}
		}
		assert.Assert(m.t, !allNotRun || runs[p.key] == 0, "%s ran although every attempt got the outcome not-run", p.key)
	}
	m.t.Logf("%d of %d payments answered", answered, len(payments))
	assert.Assert(m.t, answered > 0)
}

// TestKilledProcessDoublesNothing kills a process while payments run and starts it again, with
// empty memory. No payment may run twice.
func TestKilledProcessDoublesNothing(t *testing.T) {
	m := newMesh(t, 3, 50*time.Millisecond)
	m.pay(60, func() {
		killed := m.processes[1]
		assert.NilError(t, killed.command.Process.Kill())
		_ = killed.command.Wait()
		m.start(killed)
	})
}

// TestPausedProcessDoublesNothing pauses a process for longer than the timeout of payments and
// resumes it with requests in its buffers. No payment may run twice.
func TestPausedProcessDoublesNothing(t *testing.T) {
	m := newMesh(t, 3, 50*time.Millisecond)
	m.pay(60, func() {
		paused := m.processes[1].command.Process
		assert.NilError(t, paused.Signal(syscall.SIGSTOP))
		time.Sleep(5 * time.Second)
		assert.NilError(t, paused.Signal(syscall.SIGCONT))
	})
}

// TestDroppedAnswersDoubleNothing has a server run payments and close the connection instead of
// answering. No payment may run twice.
func TestDroppedAnswersDoubleNothing(t *testing.T) {
	m := newMesh(t, 3, 20*time.Millisecond)
	m.processes[0].server.SetFault(standin.FaultDropAnswer, 1)
	m.pay(60, func() {})
}

// TestSettingsInForceEverywhere checks with real processes that valid settings come into force
// everywhere, that settings with findings do not, and that a process that starts while the
// platform is down gets the settings in force from its peers.
func TestSettingsInForceEverywhere(t *testing.T) {
	m := newMesh(t, 3, time.Millisecond)
	inForce := func(revision uint64) func() bool {
		return func() bool {
			for _, p := range m.processes {
				if m.state(p).Settings.Revision != revision {
					return false
				}
			}
			return true
		}
	}
	good := m.platform.Publish([]byte(m.settings(1)))
	m.await("the good revision everywhere", inForce(good))
	m.platform.Publish([]byte(m.settings(99)))
	m.await("the findings of the bad revision in a journal", func() bool {
		for _, p := range m.processes {
			if strings.Contains(journalOf(p), "floor 99 is above the number of servers, 3") {
				return true
			}
		}
		return false
	})
	assert.Assert(t, inForce(good)())
	m.platform.SetMode(standin.PlatformDown)
	restarted := m.processes[2]
	assert.NilError(t, restarted.command.Process.Kill())
	_ = restarted.command.Wait()
	m.start(restarted)
	m.await("the good revision at the new process, from its peers", inForce(good))
	assert.Assert(t, send(restarted, http.MethodGet, "/prices/1", "n", 0).whole("n"))
}

func journalOf(p *process) string {
	response, err := http.Get("http://" + p.admin + "/journal")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// TestBadInput checks that invalid requests are refused with the outcome not-run and the matching
// status, and that none reaches a server.
func TestBadInput(t *testing.T) {
	m := newMesh(t, 1, time.Millisecond)
	tests := map[string]struct {
		method, path, body string
		header             http.Header
		status             int
	}{
		"unknown route":     {method: "GET", path: "/nowhere", status: http.StatusNotFound},
		"body over limit":   {method: "POST", path: "/payments", body: strings.Repeat("x", 101), status: http.StatusRequestEntityTooLarge},
		"key too long":      {method: "POST", path: "/payments", header: http.Header{ingress.HeaderKey: {strings.Repeat("k", 256)}}, status: http.StatusBadRequest},
		"key with tab":      {method: "POST", path: "/payments", header: http.Header{ingress.HeaderKey: {"a\tb"}}, status: http.StatusBadRequest},
		"empty key":         {method: "POST", path: "/payments", header: http.Header{ingress.HeaderKey: {""}}, status: http.StatusBadRequest},
		"two keys":          {method: "POST", path: "/payments", header: http.Header{ingress.HeaderKey: {"a", "b"}}, status: http.StatusBadRequest},
		"attempt 0":         {method: "POST", path: "/payments", header: http.Header{ingress.HeaderAttempt: {"0"}}, status: http.StatusBadRequest},
		"attempt x":         {method: "POST", path: "/payments", header: http.Header{ingress.HeaderAttempt: {"x"}}, status: http.StatusBadRequest},
		"retry without key": {method: "POST", path: "/payments", header: http.Header{ingress.HeaderAttempt: {"2"}}, status: http.StatusBadRequest},
		"long customer":     {method: "GET", path: "/prices", header: http.Header{ingress.HeaderCustomer: {strings.Repeat("c", 256)}}, status: http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequest(tt.method, "http://"+m.processes[0].ingress+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			r.Header = tt.header
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, tt.status)
			assert.Equal(t, response.Header.Get(ingress.HeaderOutcome), string(slatewind.OutcomeNotRun))
		})
	}
	assert.Equal(t, m.started(), 0)
}

// TestFileMissedAfterRestore checks that a file that a store acknowledges after it was restored from
// a backup comes into force, and that the older file of the backup does not.
func TestFileMissedAfterRestore(t *testing.T) {
	m := newMesh(t, 3, time.Millisecond)
	inForce := func(floor int) func() bool {
		return func() bool {
			for _, p := range m.processes {
				if floors := m.state(p).Ingress.Services; len(floors) != 1 || int(floors[0].Floor) != floor {
					return false
				}
			}
			return true
		}
	}
	backup := m.platform.Copy()
	for range 5 {
		m.platform.Publish([]byte(m.settings(1)))
	}
	m.platform.Publish([]byte(m.settings(2)))
	m.await("the file that the restored store lacks", inForce(2))
	m.platform.Restore(backup)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		assert.Assert(t, inForce(2)(), "the file of the backup is in force")
	}
	m.platform.Publish([]byte(m.settings(3)))
	m.await("the file of the restored store", inForce(3))
}
