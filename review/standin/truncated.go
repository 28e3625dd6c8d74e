package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// longTarget is what requesters ask for to get a long answer, of longAnswer bytes.
	longTarget = "/browse/all"
	longAnswer = 4 << 20
	// longRounds requests come from each machine, one each longPause.
	longRounds = 14
	longPause  = 700 * time.Millisecond
	// A slow reader reads slowPart bytes each slowPause, from a small buffer.
	slowPart   = 20 << 10
	slowPause  = 50 * time.Millisecond
	slowBuffer = 16 << 10
	// longBudget is the requesters' time budget, twice the TimeoutMs of the route.
	longBudget = 4 * time.Second
)

// longBody returns the body of the long answer to a request.
func longBody(id string) string {
	return strings.Repeat(id+"\n", longAnswer/(len(id)+1))
}

// longResult is how a long answer came to an end at its requester.
type longResult struct {
	id     string
	status int
	bytes  int
	// whole reports that the answer ended without an error, as one that is complete.
	whole bool
}

// playTruncated lets requesters read long answers of safe requests slowly.
func playTruncated(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put("op/config", configPrefix("00000003", false))
	for _, service := range []string{"vitrine", "vitrine", "annonces"} {
		if err := f.add(service, serverWork); err != nil {
			return 0, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	var all []longResult
	for range longRounds {
		for _, m := range f.machines {
			wait.Go(func() {
				result := f.readLong(m, trouble)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, result)
			})
			time.Sleep(longPause)
		}
	}
	wait.Wait()
	whole, brokenOff := 0, 0
	for _, r := range all {
		switch {
		case r.status == http.StatusOK && r.whole && r.bytes != len(longBody(r.id)):
			broken++
			f.record.add("MIXED: %s got 200 and %d of %d bytes, and the end of a complete answer", r.id, r.bytes, len(longBody(r.id)))
		case r.status == http.StatusOK && r.whole:
			whole++
		default:
			brokenOff++
		}
	}
	f.record.say("of %d long answers %d came whole, %d broke off visibly, %d ended early and appeared complete", len(all), whole, brokenOff, broken)
	if !trouble && whole < len(all) {
		return 0, errors.New("an answer broke off although it was read at once")
	}
	return broken, nil
}

// readLong sends one request for a long answer from a machine and reads it, slowly if slow is set.
func (f *fleet) readLong(m *machine, slow bool) longResult {
	r := longResult{id: newID("")}
	dialer := net.Dialer{}
	transport := &http.Transport{DisableCompression: true, ReadBufferSize: slowBuffer, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(slowBuffer)
		}
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), longBudget)
	defer cancel()
	request, err := f.newRequest(ctx, m, kind{"browse-list", http.MethodGet, longTarget, longBudget}, r.id)
	if err != nil {
		panic(err)
	}
	f.record.add("%s sends %s GET %s", m.name, r.id, longTarget)
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		f.record.add("%s gets no answer: %v", r.id, err)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	part := make([]byte, slowPart)
	for {
		n, err := io.ReadFull(response.Body, part)
		r.bytes += n
		switch {
		case err == nil:
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && n > 0 && isEnd(response.Body):
			r.whole = true
			f.record.add("%s gets status %d, stamp %q, and the end after %d bytes", r.id, r.status, response.Header.Get("X-Server-Stamp"), r.bytes)
			return r
		default:
			f.record.add("%s gets status %d, broken off after %d bytes: %v", r.id, r.status, r.bytes, err)
			return r
		}
		if slow {
			time.Sleep(slowPause)
		}
	}
}

// isEnd reports whether a body has ended as that of a complete answer.
func isEnd(body io.Reader) bool {
	var one [1]byte
	_, err := body.Read(one[:])
	return errors.Is(err, io.EOF)
}
