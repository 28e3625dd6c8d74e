package main

import (
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the Dakar deployment (sites/teranga-dkr.toml) that the checks use.
const (
	configTime = 2 * time.Second // ConfigMs
	reuseAfter = 2 * time.Second // ReuseAfterS
	graceTime  = 6 * time.Second // GraceS
)

// restartDelay is the time from the end of a process to its next start.
const restartDelay = 300 * time.Millisecond

// machine is one VM: its addresses, the process of the system and the server on it.
type machine struct {
	name, ip, zone string
	service        string
	server         *server
	// out reports that requesters get no new work on the machine.
	out atomic.Bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopping keeps an ended process from being started again.
	stopping bool
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root, dir       string
	command         []string
	template        string
	outbound, ready int
	app, first      int
	store           *store
	storeAddress    string
	record          *record
	runs            *runs
	machines        []*machine
}

// newFleet prepares a deployment with the commands of the deploy file and starts the store.
func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "slatewind-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: rec, store: newStore(), runs: newRuns()}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	f.command = strings.Fields(deployWord(string(deploy), "run"))
	template, err := os.ReadFile(filepath.Join(root, deployWord(string(deploy), "template")))
	if err != nil {
		return nil, err
	}
	f.template = string(template)
	if len(f.command) == 0 {
		return nil, errors.New("the deploy file names no command")
	}
	return f, f.findPorts()
}

// deployWord returns the value of a key of the deploy file.
func deployWord(text, key string) string {
	match := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindStringSubmatch(text)
	if match == nil {
		return ""
	}
	return match[1]
}

// findPorts chooses a block of loopback addresses and ports on which nothing listens, and starts
// the store there.
func (f *fleet) findPorts() error {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 1+mathrand.IntN(250), mathrand.IntN(250))
		base := 20000 + mathrand.IntN(1000)*10
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", block, base))
		if err != nil {
			continue
		}
		f.storeAddress = listener.Addr().String()
		f.outbound, f.ready, f.app, f.first = base+1, base+2, base+3, base+4
		go func() { _ = http.Serve(listener, f.store) }()
		return nil
	}
	return errors.New("no free port")
}

// ipOf returns the address of machine i.
func (f *fleet) ipOf(i int) string {
	host, _, _ := net.SplitHostPort(f.storeAddress)
	return host[:strings.LastIndexByte(host, '.')] + fmt.Sprintf(".%d", 10+i)
}

// add starts a machine with its server and its process.
func (f *fleet) add(service string, work time.Duration) error {
	i := len(f.machines)
	m := &machine{name: fmt.Sprintf("sidecar-%d", i+1), ip: f.ipOf(i), zone: []string{"zone-a", "zone-b", "zone-c"}[i%3], service: service}
	f.machines = append(f.machines, m)
	if err := f.startServer(m, work, 0); err != nil {
		return err
	}
	return f.startProcess(m)
}

// startServer starts a server of the machine's service at the machine's AppAddr.
func (f *fleet) startServer(m *machine, work, firstEntry time.Duration) error {
	m.server = &server{
		service: m.service, zone: m.zone, address: fmt.Sprintf("%s:%d", m.ip, f.app), work: work,
		store: f.store, record: f.record, runs: f.runs,
	}
	return startServer(m.server, firstEntry)
}

// settings returns the settings of a machine's process in the form of the users' pages.
func (f *fleet) settings(m *machine) map[string]any {
	text := fmt.Sprintf(`{"NodeId": %q, "Role": "node", "MachineClass": "sidecar", "Serves": ["sidecar", "control"],
"Ip": %q, "Zone": %q, "Region": "dkr", "Zones": {"zone-a": "dkr", "zone-b": "dkr", "zone-c": "dkr"},
"Listen": {"Outbound": "%s:%d", "Ready": "%s:%d"}, "PortRange": [%d, %d], "Seeds": ["%s:%d"], "Bootstrap": true,
"Limits": {"CpuShare": 0.32, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
"HeartbeatMs": 1500, "AppAddr": "%s:%d", "Service": %q,
"Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6,
"LossSlackMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
"BudgetSlack": 56, "RecoveryS": 15, "ProbesPerS": 3, "FloorShare": 0.7},
"Platform": {"Address": %q, "form": "read", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "MinTtlMs": 1000}}`,
		m.name, m.ip, m.zone, m.ip, f.outbound, m.ip, f.ready, f.first, f.first+1, f.ipOf(0), f.first+1, m.ip, f.app, m.service, f.storeAddress)
	var settings map[string]any
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		panic(err)
	}
	return settings
}

// startProcess starts the process of the system on a machine, with the settings of this moment. If
// it ends, it is started again after a short delay.
func (f *fleet) startProcess(m *machine) error {
	path := filepath.Join(f.dir, m.name+".settings")
	if err := os.WriteFile(path, []byte(render(f.template, &scope{value: f.settings(m)})), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(filepath.Join(f.root, f.command[0]), f.command[1:]...)
	process.Dir, process.Stdout, process.Stderr = f.root, log, log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SLATEWIND_CONFIG=" + path}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return log.Close()
	}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited = process, exited
	f.record.add("the process on %s starts, service %s", m.name, m.service)
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
		f.record.add("the process on %s has ended: %s", m.name, process.ProcessState)
		time.Sleep(restartDelay)
		if err := f.startProcess(m); err != nil {
			f.record.add("the process on %s cannot be started again: %v", m.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process on a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.record.add("the process on %s gets %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

// terminate sends SIGTERM to the process on a machine, and SIGKILL after the grace time.
func (f *fleet) terminate(m *machine) {
	m.mu.Lock()
	exited, process := m.exited, m.process
	m.mu.Unlock()
	f.signal(m, syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			_ = process.Process.Kill()
		}
	}()
}

// isReady asks the process on a machine whether it is ready.
func (f *fleet) isReady(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", m.ip, f.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if f.isReady(m) {
				ready++
			}
		}
		if ready == len(f.machines) {
			return nil
		}
	}
	return errors.New("the processes do not become ready")
}

// close ends all processes and servers.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.mu.Lock()
		m.stopping = true
		process, exited := m.process, m.exited
		m.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
		if m.server != nil {
			_ = m.server.http.Close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
