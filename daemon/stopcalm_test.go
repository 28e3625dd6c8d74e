package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

// calmRequest is a request of a calmCaller and what became of it. Times are from the signal to stop.
type calmRequest struct {
	id string
	// behind reports that it was sent behind another request on its connection.
	behind bool
	// status is 0 if there was no whole answer.
	status      int
	sent, ended time.Duration
}

// calmCaller keeps sending requests on kept connections.
type calmCaller struct {
	address, name string
	// paths are those of the requests that are sent at once; slowly reports that half of a body is sent, and the rest
	// bodyPause later.
	paths    []string
	slowly   bool
	began    time.Time
	requests []calmRequest
}

const (
	bodyPause = 400 * time.Millisecond
	calmPause = 30 * time.Millisecond
)

// send sends requests on connections of its own until over is closed.
func (c *calmCaller) send(over <-chan struct{}) {
	for {
		if conn, err := net.Dial("tcp", c.address); err == nil {
			reader := bufio.NewReader(conn)
			for c.exchange(conn, reader) {
				time.Sleep(calmPause)
			}
			_ = conn.Close()
		}
		select {
		case <-over:
			return
		case <-time.After(calmPause):
		}
	}
}

// exchange sends requests at once and reads their answers. It returns false if the connection is not kept.
func (c *calmCaller) exchange(conn net.Conn, reader *bufio.Reader) (kept bool) {
	const body = "body"
	names := platform.Callers()
	var text strings.Builder
	first := len(c.requests)
	for i, path := range c.paths {
		id := fmt.Sprintf("%s-%d", c.name, len(c.requests))
		c.requests = append(c.requests, calmRequest{id: id, behind: i > 0})
		_, _ = fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 8000\r\nContent-Length: %d\r\n\r\n%s",
			path, names.RequestID, id, names.Deadline, len(body), body)
	}
	all, held := text.String(), ""
	if c.slowly {
		all, held = all[:len(all)-len(body)/2], all[len(all)-len(body)/2:]
	}
	_, err := io.WriteString(conn, all)
	if err == nil && c.slowly {
		time.Sleep(bodyPause)
		_, err = io.WriteString(conn, held)
	}
	sent := time.Since(c.began)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	kept = err == nil
	for i := range c.requests[first:] {
		r := &c.requests[first+i]
		r.sent = sent
		if kept {
			r.status, kept = readStatus(reader)
		}
		r.ended = time.Since(c.began)
	}
	return kept
}

// readStatus reads an answer and returns its status, or 0 if it is not whole.
func readStatus(from *bufio.Reader) (status int, kept bool) {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false
	}
	return response.StatusCode, !response.Close
}

// decisions returns what the nodes decided about a request.
func (f *nodes) decisions(id string) (all []slatewind.Decision) {
	for _, node := range f.nodes {
		all = append(all, node.history.Find(history.Filter{Request: id})...)
	}
	return all
}

// TestStopInCalm has callers send over the whole grace period of a node, nothing else being wrong, and checks that each request
// that ran has its server's answer, unless the server was still at work on it in the last sixth of the grace period and it was
// sent within 3 s of the signal, and that one that did not run is refused, or ends at once with its connection.
func TestStopInCalm(t *testing.T) {
	const (
		grace       = 6 * time.Second
		exemptSent  = 3 * time.Second
		exemptFrom  = grace * 5 / 6
		atOnce      = time.Second
		callers     = 16
		beforeStart = 400 * time.Millisecond
	)
	tests := map[string]struct {
		delays []time.Duration
		// sheds is the number of servers that reject each request after their delay, so that it is sent to another one.
		sheds int
	}{
		"all kinds of servers": {[]time.Duration{900 * time.Millisecond, 1800 * time.Millisecond, 3 * time.Second}, 0},
		"slow servers":         {[]time.Duration{3 * time.Second, 3 * time.Second}, 0},
		"second attempts":      {[]time.Duration{900 * time.Millisecond, 900 * time.Millisecond, 1800 * time.Millisecond}, 1},
	}
	kinds := [][]string{{"/pay/1"}, {"/look/1"}, {"/pay/1", "/look/1"}, {"/look/1", "/pay/1", "/pay/1"}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newNodes(t, len(test.delays))
			for i, server := range f.servers {
				server.SetDelay(test.delays[i])
				if i < test.sheds {
					server.SetMode(standin.StampedShed)
				}
			}
			f.nodes[0].settings.Bounds.Grace = durationpb.New(grace)
			over, began := make(chan struct{}), time.Now().Add(beforeStart)
			all := make([]*calmCaller, callers)
			var work sync.WaitGroup
			for i := range all {
				all[i] = &calmCaller{address: f.address(0, 8000), name: fmt.Sprint("id-", i), paths: kinds[i%len(kinds)], slowly: i/len(kinds)%2 == 1, began: began}
				work.Go(func() { all[i].send(over) })
			}
			time.Sleep(time.Until(began))
			assert.NilError(t, f.nodes[0].Stop(context.Background()))
			took := time.Since(began)
			close(over)
			work.Wait()
			served, exempt := 0, 0
			for _, c := range all {
				for _, r := range c.requests {
					ran := f.runs(r.id)
					switch {
					case r.status == http.StatusOK:
						served++
					case ran > 0 && r.sent <= exemptSent && r.ended >= exemptFrom:
						exempt++
					case ran > 0:
						t.Errorf("%+v ran %d times: %+v", r, ran, f.decisions(r.id))
					case r.status == 0:
						assert.Check(t, r.behind || r.ended-r.sent < atOnce, "%+v", r)
					default:
						assert.Check(t, r.status == http.StatusServiceUnavailable, "%+v", r)
					}
				}
			}
			t.Logf("%d served, %d exempt, the stop took %s", served, exempt, took.Round(time.Millisecond))
			assert.Assert(t, took < grace, "the stop took %s", took)
			assert.Assert(t, served > 0)
		})
	}
}
