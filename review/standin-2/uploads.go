package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMiB is the memory of a machine, as on the sheets of the users' first deployments.
	memoryMiB = 284
	// uploadBytes is the size of a body, far below the 64 MiB that the configuration allows, answerBytes that of its answer.
	uploadBytes = 12 << 20
	answerBytes = 400 << 10
	// uploaders is the number of requesters on each of uploadMachines machines.
	uploaders      = 80
	uploadMachines = 2
	// uploadEnds is how often a process has to end by itself on each of these machines for the rule to be broken.
	uploadEnds = 3
	// uploadTime is how long the requesters begin uploads, uploadWork how long a server works on one.
	uploadTime = 75 * time.Second
	uploadWork = 50 * time.Millisecond
	// uploadBudget is the time budget of a request and the timeout of its route.
	uploadBudget = 10 * time.Second
	// A slow reader reads slowBytes of its answer every slowInterval, without a longer pause: some eight seconds for one.
	slowBytes    = 5 << 10
	slowInterval = 100 * time.Millisecond
	// memoryInterval is how often the platform looks at the memory of a process, restartDelay how long it waits before it
	// starts one again.
	memoryInterval = 5 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// uploadCounts counts the uploads by their ends.
type uploadCounts struct{ whole, refused, lost atomic.Int64 }

// uploads checks Fault: on two machines processes end by themselves three times with no disturbance there, memory over the
// limit included. The disruption is that requesters read the answers to their uploads slowly. Without it they read at once.
func uploads(f *fleet, trouble bool) (string, error) {
	const host, service, machines = "library.example", "holds", 3
	f.memoryMiB = memoryMiB
	for machine := range machines {
		if err := f.store.listen(machine, f.at(machine, f.ports.store)); err != nil {
			return "", err
		}
	}
	f.configure(7, fields{"r-scan": route(host, "/scan/", "unsafe", service, uploadBudget, 1500*time.Millisecond)}, fields{service: serviceOf()})
	receipt := bytes.Repeat([]byte("p"), answerBytes)
	works := func(s *server, conn net.Conn, r *request) error {
		time.Sleep(uploadWork)
		return s.plain(conn, r, receipt)
	}
	for machine := range machines {
		if _, err := f.addServer(machine, service, 5, works); err != nil {
			return "", err
		}
		if err := f.startNode(machine, service); err != nil {
			return "", err
		}
	}
	for machine := range machines {
		if err := f.awaitReady(machine); err != nil {
			return "", err
		}
	}
	watch := &memoryWatch{fleet: f, service: service, over: make([]int, machines), peak: make([]int64, machines), ended: make(chan struct{})}
	var watching, uploading sync.WaitGroup
	for machine := range machines {
		watching.Go(func() { watch.run(machine) })
	}
	counts := &uploadCounts{}
	body := bytes.Repeat([]byte("x"), uploadBytes)
	until := time.Now().Add(uploadTime)
	for n := range uploaders * uploadMachines {
		machine := n % uploadMachines
		uploading.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			for time.Now().Before(until) && !watch.broken() {
				if !f.ready(machine) {
					time.Sleep(500 * time.Millisecond)
					continue
				}
				time.Sleep(upload(f, machine, host, body, trouble, counts))
			}
		})
	}
	uploading.Wait()
	close(watch.ended)
	watching.Wait()
	summary := fmt.Sprintf("answered whole %d, refused or failed %d, without a whole answer %d; peak memory %v KiB of %d",
		counts.whole.Load(), counts.refused.Load(), counts.lost.Load(), watch.peak, memoryMiB<<10)
	f.record.add("uploads: %s", summary)
	if counts.whole.Load()+counts.refused.Load()+counts.lost.Load() == 0 {
		return "", fmt.Errorf("no upload was sent")
	}
	if watch.broken() {
		return fmt.Sprintf("Fault: processes ended over their memory %v times on the machines; uploads: %s", watch.over, summary), nil
	}
	return "", nil
}

// upload sends one upload and reads its answer, slowly if slow is set. It returns how long the requester is told to wait.
func upload(f *fleet, machine int, host string, body []byte, slow bool, counts *uploadCounts) (wait time.Duration) {
	id := newID()
	f.record.add("upload %s of %d bytes sent to machine %d: POST /scan/1", id, len(body), machine)
	conn, err := net.DialTimeout("tcp", f.outbound(machine), time.Second)
	if err != nil {
		f.record.add("upload %s: %v", id, err)
		return restartDelay
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	reader := io.Reader(conn)
	if slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 * slowBytes)
		reader = &slowReader{conn, slowBytes, slowInterval}
	}
	text := head("POST", "/scan/1", host, id, uploadBudget, fmt.Sprintf("Content-Length: %d", len(body)))
	_, err = io.WriteString(conn, text)
	if err == nil {
		_, err = conn.Write(body)
	}
	if err != nil {
		f.record.add("upload %s was not sent whole: %v", id, err)
		return time.Second
	}
	a := receive(bufio.NewReaderSize(reader, slowBytes), "POST")
	f.record.add("upload %s gets %s", id, a.text())
	switch {
	case a.err != nil:
		counts.lost.Add(1)
	case a.status == http.StatusOK:
		counts.whole.Add(1)
	default:
		counts.refused.Add(1)
	}
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// slowReader reads a little at a time, with a pause before each.
type slowReader struct {
	net.Conn
	part  int
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(s.pause)
	return s.Conn.Read(b[:min(len(b), s.part)])
}

// memoryWatch is the platform's limit on the memory of processes: it kills one that is over it and starts it again.
type memoryWatch struct {
	fleet   *fleet
	service string
	ended   chan struct{}

	mu sync.Mutex
	// over counts the ends by machine, peak holds the largest memory seen, in KiB.
	over []int
	peak []int64
}

// broken reports whether processes have ended often enough on enough machines.
func (w *memoryWatch) broken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := 0
	for _, n := range w.over {
		if n >= uploadEnds {
			machines++
		}
	}
	return machines >= uploadMachines
}

// run watches the process of a machine until ended is closed.
func (w *memoryWatch) run(machine int) {
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(memoryInterval):
		}
		n := w.fleet.node(machine)
		used := residentKiB(n.command.Process.Pid)
		w.mu.Lock()
		w.peak[machine] = max(w.peak[machine], used)
		over := used > memoryMiB<<10
		if over {
			w.over[machine]++
		}
		w.mu.Unlock()
		if !over {
			continue
		}
		w.fleet.record.add("the process of machine %d has %d KiB of memory, its limit is %d KiB: the platform kills it", machine, used, memoryMiB<<10)
		_ = n.command.Process.Signal(syscall.SIGKILL)
		<-n.ended
		time.Sleep(restartDelay)
		if err := w.fleet.startNode(machine, w.service); err != nil {
			w.fleet.record.add("the process of machine %d did not start: %v", machine, err)
			return
		}
	}
}

// residentKiB returns the resident memory of a process, or 0 if it has ended.
func residentKiB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kib
		}
	}
	return 0
}
