package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// Ports of a nodeProcess on its own IP.
const (
	portCallers = 8000
	portPeers   = 8001
	portAdmin   = 8002
	portReady   = 8003
	portServer  = 9000
)

// maxAnswerBytes is how much of an answer send returns, in bytes; the rest is read and discarded.
const maxAnswerBytes = 8 << 20

// nodeMemory is the memory in bytes that the settings of a nodeProcess give it, that of the smallest
// deployments.
const nodeMemory = 284 << 20

// nodeProcess is a slatewindd beside one server that the store lists, as an operating system process
// of its own.
type nodeProcess struct {
	t        *testing.T
	ip       string
	store    *standin.Platform
	storeURL string
	settings string
	// grace is the time that a stop may take, in the settings.
	grace   time.Duration
	command *exec.Cmd
	log     *syncBuffer
	// ended is closed when the process has exited.
	ended chan struct{}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newNodeProcess prepares a process, with settings, store and the entry of its server. Nothing listens at
// the server's address yet, and the process has not started.
func newNodeProcess(t *testing.T) *nodeProcess {
	t.Helper()
	p := &nodeProcess{t: t, ip: newIP(), store: standin.NewPlatform(), log: &syncBuffer{}, grace: 6 * time.Second}
	web := httptest.NewServer(p.store.Handler())
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	p.storeURL = web.URL
	p.publish()
	p.store.PutServer(p.entry("s-0"))
	p.settings = filepath.Join(t.TempDir(), "node.yaml")
	p.writeSettings(p.settingsText())
	return p
}

func (p *nodeProcess) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// entry returns the entry of the server beside the process.
func (p *nodeProcess) entry(name string) slatewind.ServerEntry {
	return slatewind.ServerEntry{Name: name, Service: "svc", Address: p.address(portServer), DataCentre: "dc", Slots: 4}
}

// publish publishes settings with a route for single requests and one for repeatable ones.
func (p *nodeProcess) publish() {
	route := func(name string, kind slatewind.Kind) *slatewindv1.Route {
		return &slatewindv1.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: string(kind), Service: "svc", Attempts: 2,
			Timeout: durationpb.New(8 * time.Second), Objective: durationpb.New(4 * time.Second),
		}
	}
	value, err := platform.EncodeConfig(slatewind.PublishedSettings{Version: 1, Fleet: &slatewindv1.Fleet{
		Services:     []*slatewindv1.Service{{Name: "svc"}},
		Routes:       []*slatewindv1.Route{route("pay", slatewind.KindSingle), route("look", slatewind.KindRepeatable)},
		CallerLimits: &slatewindv1.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20},
	}}, nil)
	assert.NilError(p.t, err)
	p.store.Put(platform.ConfigKey, value)
}

// settingsText returns the text of the settings file.
func (p *nodeProcess) settingsText() string {
	return fmt.Sprintf(`vm: vm-0
data_centre: dc
ingress_address: %s
peer_address: %s
admin_address: %s
ready_address: %s
local_server: {service: svc, address: "%s"}
store: {address: "%s"}
bounds: {grace: %s, retry_ratio: 0.2, retry_slack: 50}
`, p.address(portCallers), p.address(portPeers), p.address(portAdmin), p.address(portReady), p.address(portServer), strings.TrimPrefix(p.storeURL, "http://"), p.grace)
}

func (p *nodeProcess) writeSettings(text string) {
	assert.NilError(p.t, os.WriteFile(p.settings, []byte(text), 0o600))
}

// start starts the process with its output in p.log, unless configure changes that.
func (p *nodeProcess) start(configure func(*exec.Cmd)) {
	p.t.Helper()
	command := exec.Command(program, "--settings", p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	if configure != nil {
		configure(command)
	}
	assert.NilError(p.t, command.Start())
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
		if p.t.Failed() {
			p.t.Logf("log:\n%s", p.log)
		}
	})
}

// running reports whether the process has not exited.
func (p *nodeProcess) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// awaitEnd waits for the exit of the process and returns how it ended.
func (p *nodeProcess) awaitEnd() string {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(eventTimeout):
		p.t.Fatalf("the process does not end")
	}
	return p.command.ProcessState.String()
}

// awaitSettingsRead replaces the settings file by a named pipe, starts the process and returns once it reads the
// settings.
func (p *nodeProcess) awaitSettingsRead() {
	p.t.Helper()
	text := p.settingsText()
	assert.NilError(p.t, os.Remove(p.settings))
	assert.NilError(p.t, syscall.Mkfifo(p.settings, 0o600))
	p.start(nil)
	pipe, err := os.OpenFile(p.settings, os.O_WRONLY, 0)
	assert.NilError(p.t, err)
	_, err = pipe.WriteString(text)
	assert.NilError(p.t, err)
	assert.NilError(p.t, pipe.Close())
}

// procStatus returns the first word of a field of the process's status in /proc, or "".
func (p *nodeProcess) procStatus(field string) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, field); found {
			return strings.Fields(value)[0]
		}
	}
	return ""
}

// awaitReady waits until the process answers its readiness check.
func (p *nodeProcess) awaitReady() {
	p.t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if !p.running() {
			p.t.Fatalf("the process ended: %s\n%s", p.command.ProcessState, p.log)
		}
		if status(p.address(portReady), platform.ReadyPath) == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("the process does not become ready\n%s", p.log)
}

// serve lets handler answer at the address of the server.
func (p *nodeProcess) serve(handler http.Handler) {
	p.t.Helper()
	listener, err := net.Listen("tcp", p.address(portServer))
	assert.NilError(p.t, err)
	web := &http.Server{Handler: handler, ReadHeaderTimeout: eventTimeout}
	go func() { _ = web.Serve(listener) }()
	p.t.Cleanup(func() { _ = web.Close() })
}

// get sends a request without a body and returns its status, or 0 if there was no whole answer.
func (p *nodeProcess) get(path string) (status int, body string) {
	return p.send(http.MethodGet, path, nil)
}

// send sends a request and returns the status and the body of the answer, or 0 if there was no whole
// answer.
func (p *nodeProcess) send(method, path string, body io.Reader) (status int, answer string) {
	return p.sendWithin(eventTimeout, "r-"+strconv.FormatInt(time.Now().UnixNano(), 36), method, path, body)
}

// sendWithin is send with a deadline that the process is told, and the ID of the request.
func (p *nodeProcess) sendWithin(deadline time.Duration, id, method, path string, body io.Reader) (status int, answer string) {
	r, err := http.NewRequest(method, "http://"+p.address(portCallers)+path, body)
	assert.NilError(p.t, err)
	r.Host = "h.example"
	r.Header.Set(platform.Callers().RequestID, id)
	r.Header.Set(platform.Callers().Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventTimeout}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// peakMemory returns the largest resident set of the process so far, in bytes.
func (p *nodeProcess) peakMemory() int64 {
	kilobytes, _ := strconv.ParseInt(p.procStatus("VmHWM:"), 10, 64)
	return kilobytes << 10
}

// answerStamped answers as a server does, with the length of the request's body.
func answerStamped(w http.ResponseWriter, r *http.Request) {
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	names := platform.Servers()
	w.Header().Set(names.Stamp, "stamp")
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	_, _ = fmt.Fprint(w, length)
}
