package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// readers is the number of requesters that read an answer of readBytes, readPart of it every readInterval without a longer
	// pause. One takes some eight seconds.
	readers      = 6
	readBytes    = 1020 << 10
	readPart     = 12 << 10
	readInterval = 100 * time.Millisecond
	// readBuffer is the size of the kernel's buffer for what a requester has not read.
	readBuffer = 2 * readPart
	// readBefore is how long before the signal the requests are sent, readBudget their time budget and the route's timeout.
	readBefore = 200 * time.Millisecond
	readBudget = 20 * time.Second
	// contactMs is ContactMs of the rules, stopCounts how long after a SIGTERM the rule counts.
	contactMs  = 3 * time.Second
	stopCounts = grace + time.Second
)

// stopReaders checks LOST: after a SIGTERM to the machine that took a request, no connection ends without a complete answer. The
// servers have answered long before. The disruption is the SIGTERM while requesters read their answers slowly.
func stopReaders(f *fleet, trouble bool) (string, error) {
	const host, service, machines = "ledger.example", "records", 3
	f.memoryMiB, f.drainMs, f.configMs, f.budgetSlack = 536, 2500, 2500, 182
	for machine := range machines {
		if err := f.store.listen(machine, f.at(machine, f.ports.store)); err != nil {
			return "", err
		}
	}
	f.configure(7, fields{"r-list": route(host, "/list/", "safe", service, readBudget, 2*time.Second)}, fields{service: serviceOf()})
	page := bytes.Repeat([]byte("0123456789abcde\n"), readBytes/16)
	var worked sync.Map
	serve := func(s *server, conn net.Conn, r *request) error {
		err := s.plain(conn, r, page)
		f.record.add("server %s has sent its whole answer to %s: error %v", s.id, r.id(), err)
		worked.Store(r.id(), err == nil)
		return err
	}
	for machine := range machines {
		if _, err := f.addServer(machine, service, 4, serve); err != nil {
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
	// The machine is in touch, without any disturbance, for longer than ContactMs before the requests.
	time.Sleep(contactMs + 500*time.Millisecond)
	var reading sync.WaitGroup
	var mu sync.Mutex
	whole, lost := 0, 0
	var stopped time.Time
	for range readers {
		reading.Go(func() {
			id, a := readSlowly(f, host)
			sent, _ := worked.Load(id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err == nil && a.status == http.StatusOK && bytes.Equal(a.body, page):
				whole++
			case sent == true && !stopped.IsZero():
				lost++
			}
		})
	}
	time.Sleep(readBefore)
	if trouble {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		f.signal(0, syscall.SIGTERM)
	}
	reading.Wait()
	if whole+lost < readers {
		return "", fmt.Errorf("%d of %d requests were answered otherwise", readers-whole-lost, readers)
	}
	if trouble {
		// The connections ended with the process at the latest.
		if took := f.node(0).endedAt.Sub(stopped); took <= 0 || took > stopCounts {
			return "", fmt.Errorf("the process ended %s after the SIGTERM", took)
		}
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d answers, which the servers had sent before the SIGTERM, ended before they were complete; time budget and timeout were %s", lost, readers, readBudget), nil
	}
	return "", nil
}

// readSlowly sends a request to machine 0 and reads its answer slowly.
func readSlowly(f *fleet, host string) (id string, a answer) {
	id = newID()
	conn, err := net.DialTimeout("tcp", f.outbound(0), time.Second)
	if err != nil {
		return id, answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(readBuffer)
	f.record.add("request %s sent to machine 0: GET /list/1", id)
	began := time.Now()
	if _, err := conn.Write([]byte(head("GET", "/list/1", host, id, readBudget))); err != nil {
		return id, answer{err: err}
	}
	a = receive(bufio.NewReaderSize(&slowReader{conn, readPart, readInterval}, readPart), "GET")
	f.record.add("request %s after %s gets %s", id, time.Since(began).Round(time.Millisecond), a.text())
	return id, a
}
