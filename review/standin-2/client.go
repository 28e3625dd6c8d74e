package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// text describes an answer for the record.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer (status %d, %d bytes): %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes", a.status, a.header.Get("X-Server-Stamp"), len(a.body))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request as the pages show it. Further fields may be given.
func head(method, target, host, id string, deadline time.Duration, more ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	for _, field := range more {
		text += field + "\r\n"
	}
	return text + "\r\n"
}

// send sends a request on a new connection and reads its answer.
func send(address, method, head string, body []byte, patience time.Duration) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(patience))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	a := receive(bufio.NewReader(conn), method)
	a.took = time.Since(began)
	return a
}

// receive reads one answer.
func receive(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}
