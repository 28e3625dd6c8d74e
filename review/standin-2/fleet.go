package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	healthPath = "/healthz"
	grace      = 6 * time.Second
)

// ports are the ports that all machines of a fleet share.
type ports struct{ app, outbound, inbound, ready, control, peer, admin, store int }

// fleet is a small deployment on loopback addresses: one address for each machine.
type fleet struct {
	root   string
	folder string
	ports  ports
	store  *store
	record *record
	// memoryMiB is the memory of each machine, the others are bounds of the deployment.
	memoryMiB, drainMs, configMs, budgetSlack int

	mu      sync.Mutex
	nodes   map[int]*node
	closers []func()
}

// node is the process of a machine.
type node struct {
	machine int
	service string
	command *exec.Cmd
	log     *os.File
	// ended is closed when the process has ended, at endedAt.
	ended   chan struct{}
	endedAt time.Time
}

func machineIP(machine int) string { return fmt.Sprintf("127.0.0.%d", 10+machine) }

func zoneOf(machine int) string { return []string{"zone-a", "zone-b", "zone-c"}[machine%3] }

func newFleet(root string, record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, store: newStore(), record: record, memoryMiB: 284, drainMs: 2000, configMs: 2000, budgetSlack: 60, nodes: map[int]*node{}}
	f.ports, err = freePorts()
	return f, err
}

// freePorts returns ports that are free at the addresses of all machines.
func freePorts() (ports, error) {
	var found []int
	for len(found) < 8 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		defer func() { _ = listener.Close() }()
		if portFree(port) {
			found = append(found, port)
		}
	}
	return ports{found[0], found[1], found[2], found[3], found[4], found[5], found[6], found[7]}, nil
}

func portFree(port int) bool {
	for machine := range 12 {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(machine), port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (f *fleet) at(machine, port int) string { return fmt.Sprintf("%s:%d", machineIP(machine), port) }

// outbound returns the address for the requests of a machine.
func (f *fleet) outbound(machine int) string { return f.at(machine, f.ports.outbound) }

// settings returns the fields that the platform fills into the template of settings.
func (f *fleet) settings(machine int, service string) fields {
	return fields{
		"NodeId": fmt.Sprintf("sidecar-%s-%d", zoneOf(machine), machine), "Zone": zoneOf(machine), "Region": "region",
		"Zones": map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"}, "Ip": machineIP(machine),
		"Listen":    map[string]string{"Inbound": f.at(machine, f.ports.inbound), "Outbound": f.outbound(machine), "Ready": f.at(machine, f.ports.ready), "Control": f.at(machine, f.ports.control)},
		"PortRange": []int{f.ports.peer, f.ports.admin}, "Seeds": []string{}, "AppAddr": f.at(machine, f.ports.app), "Service": service,
		"Limits":   fields{"CpuShare": 0.32, "Cores": 1, "MemoryMb": f.memoryMiB, "MaxFds": 4100},
		"Platform": fields{"Address": f.at(machine, f.ports.store), "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576},
		"Bounds": fields{
			"DrainMs": f.drainMs, "GraceS": int(grace.Seconds()), "ConfigMs": f.configMs, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": f.budgetSlack, "ReuseAfterS": 2,
		},
	}
}

// startNode starts the process of a machine with the command of the deploy file.
func (f *fleet) startNode(machine int, service string) error {
	deploy, err := os.ReadFile(filepath.Join(f.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	path := regexp.MustCompile(`(?m)^template = "(.*)"`).FindSubmatch(deploy)
	if run == nil || path == nil {
		return fmt.Errorf("the deploy file has no command or no template")
	}
	template, err := os.ReadFile(filepath.Join(f.root, string(path[1])))
	if err != nil {
		return err
	}
	settings := filepath.Join(f.folder, fmt.Sprintf("settings-%d", machine))
	if err := os.WriteFile(settings, []byte(fill(string(template), f.settings(machine, service))), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, fmt.Sprintf("log-%d", machine)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(string(run[1]))
	command := exec.Command(words[0], words[1:]...)
	command.Dir, command.Stdout, command.Stderr = f.root, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SLATEWIND_CONFIG=" + settings}
	if err := command.Start(); err != nil {
		return err
	}
	n := &node{machine: machine, service: service, command: command, ended: make(chan struct{}), log: log}
	go func() {
		err := command.Wait()
		n.endedAt = time.Now()
		f.record.add("the process of machine %d ended: %v", machine, err)
		_ = log.Close()
		close(n.ended)
	}()
	f.mu.Lock()
	f.nodes[machine] = n
	f.mu.Unlock()
	f.record.add("the process of machine %d (%s) starts, pid %d", machine, service, command.Process.Pid)
	return nil
}

func (f *fleet) node(machine int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[machine]
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(machine int, signal syscall.Signal) {
	f.record.add("%s to the process of machine %d", signal, machine)
	_ = f.node(machine).command.Process.Signal(signal)
}

// addServer starts a server beside the process of a machine. answer may be nil.
func (f *fleet) addServer(machine int, service string, slots int, answer func(s *server, conn net.Conn, r *request) error) (*server, error) {
	s := &server{fleet: f, machine: machine, id: "i-" + newID()[:8], service: service, address: f.at(machine, f.ports.app), slots: slots}
	if answer != nil {
		s.answer = func(conn net.Conn, r *request) error { return answer(s, conn, r) }
	}
	f.closers = append(f.closers, s.crash)
	f.record.add("server %s (%s) starts at machine %d", s.id, service, machine)
	return s, s.start()
}

// configure writes a configuration.
func (f *fleet) configure(version int, routes, services fields) {
	value, _ := json.Marshal(fields{
		"Version": fmt.Sprintf("%08x", version), "Routes": routes, "Services": services,
		"Limits": fields{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	revision := f.store.put("op/config", value)
	f.record.add("configuration %08x is acknowledged at revision %d", version, revision)
}

// route returns a route of a configuration.
func route(host, prefix, kind, service string, timeout, objective time.Duration) fields {
	return fields{
		"Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout.Milliseconds(), "TargetLatencyMs": objective.Milliseconds(),
		"Priority": 1, "Service": service, "RetryAttempts": 2,
	}
}

// serviceOf returns a service of a configuration.
func serviceOf() fields {
	return fields{"HealthPath": healthPath, "MaxConnections": 330, "Protocol": "h1", "Tls": false}
}

// ready reports whether the process of a machine answers the platform's check with 200.
func (f *fleet) ready(machine int) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.at(machine, f.ports.ready) + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the process of a machine answers the platform's check with 200.
func (f *fleet) awaitReady(machine int) error {
	for range 200 {
		if f.ready(machine) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("machine %d is not ready", machine)
}

// close ends everything that the fleet has started.
func (f *fleet) close() {
	f.mu.Lock()
	var nodes []*node
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	f.mu.Unlock()
	for _, n := range nodes {
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.ended
	}
	for _, end := range f.closers {
		end()
	}
	f.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
