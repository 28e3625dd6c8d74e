package outbound_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/bodylimit"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/outbound"
	"slatewind.example/slatewind/platform"
)

var (
	crossingRounds = flag.Int("outbound.rounds", 12, "how many rounds of requests each caller of TestAnswersDoNotCross sends")
	crossingSeed   = flag.Uint64("outbound.seed", 1, "the seed of TestAnswersDoNotCross")
)

// crossed is what the server does with a request, which the request's path states.
type crossed string

const (
	crossedOK      crossed = "ok"
	crossedChunks  crossed = "chunks"
	crossedEmpty   crossed = "empty"
	crossedSame    crossed = "same"
	crossedMissing crossed = "missing"
	crossedError   crossed = "error"
	crossedCut     crossed = "cut"
	// crossedLost is an answer that is lost by the first server.
	crossedLost crossed = "lost"
	// crossedLate is an answer that is late at the first server, so that the request is hedged.
	crossedLate crossed = "late"
)

var crossedStatus = map[crossed]int{
	crossedOK: http.StatusOK, crossedChunks: http.StatusOK, crossedLost: http.StatusOK, crossedLate: http.StatusOK, crossedCut: http.StatusOK,
	crossedEmpty: http.StatusNoContent, crossedSame: http.StatusNotModified, crossedMissing: http.StatusNotFound, crossedError: http.StatusInternalServerError,
}

// bodyOf returns a body of the given length in which every part names the request.
func bodyOf(id string, length int) []byte {
	return bytes.Repeat([]byte(id+" "), length/(len(id)+1)+1)[:length]
}

// crossingServer answers each request with a body that names it.
type crossingServer struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first reports whether the request arrives for the first time at any server.
func (s *crossingServer) first(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.seen[id]
	s.seen[id] = true
	return !seen
}

// ServeHTTP implements http.Handler.
func (s *crossingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := platform.Servers()
	id := r.Header.Get(names.RequestID)
	_, _ = io.Copy(io.Discard, r.Body)
	parts := strings.Split(r.URL.Path, "/")
	how, first := crossed(parts[2]), s.first(id)
	length, _ := strconv.Atoi(parts[3])
	switch {
	case how == crossedLost && first:
		panic(http.ErrAbortHandler)
	case how == crossedLate && first:
		time.Sleep(600 * time.Millisecond)
	}
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Stamp, "stamp-"+id)
	status := crossedStatus[how]
	if how != crossedChunks && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", parts[3])
	}
	w.WriteHeader(status)
	body := bodyOf(id, length)
	if how == crossedCut {
		_, _ = w.Write(body[:length/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// crossingCaller sends requests, several at once on one connection, and checks that each answer is its own.
type crossingCaller struct {
	t       *testing.T
	name    string
	address string
	rand    *rand.Rand
	whole   *atomic.Int64
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
}

// crossingRequest is a request of a crossingCaller.
type crossingRequest struct {
	id, method string
	how        crossed
	length     int
}

// draw returns a request. One of single is never sent twice.
func (c *crossingCaller) draw() (r crossingRequest, path string) {
	all := []crossed{crossedOK, crossedOK, crossedChunks, crossedChunks, crossedEmpty, crossedSame, crossedMissing, crossedError, crossedCut, crossedLost, crossedLate}
	lengths := []int{0, 1, 5, 2047, 2048, 2049, 4096, link.ChunkBytes, link.ChunkBytes + 1, 300_000, link.MaxBufferedBytes + 1, 2 * link.MaxBufferedBytes}
	c.sent++
	r = crossingRequest{id: fmt.Sprintf("%s-%d", c.name, c.sent), method: http.MethodGet, how: all[c.rand.IntN(len(all))], length: lengths[c.rand.IntN(len(lengths))]}
	prefix := "look"
	switch c.rand.IntN(6) {
	case 0:
		r.method = http.MethodHead
	case 1:
		r.method, prefix = http.MethodPost, "pay"
	}
	return r, fmt.Sprintf("/%s/%s/%d", prefix, r.how, r.length)
}

// round sends up to three requests at once and reads their answers. An answer that ends early ends the connection.
func (c *crossingCaller) round() {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if !assert.Check(c.t, err) {
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var requests []crossingRequest
	var text strings.Builder
	for range 1 + c.rand.IntN(3) {
		r, path := c.draw()
		requests = append(requests, r)
		body := strings.Repeat("b", c.rand.IntN(90))
		_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 1500\r\nContent-Length: %d\r\n\r\n%s",
			r.method, path, platform.Callers().RequestID, r.id, platform.Callers().Deadline, len(body), body)
	}
	_, err := io.WriteString(c.conn, text.String())
	leaves := c.rand.IntN(8) == 0
	for _, r := range requests {
		if err == nil {
			err = c.read(r, leaves)
		}
	}
	if err != nil || leaves {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// read reads the answer to a request and checks that nothing in it is of another one.
func (c *crossingCaller) read(r crossingRequest, leaves bool) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	names := platform.Servers()
	assert.Check(c.t, response.Header.Get(names.RequestID) == r.id, "%v got an answer to %q", r, response.Header.Get(names.RequestID))
	stamp := response.Header.Get(names.Stamp)
	assert.Check(c.t, stamp == "" || stamp == "stamp-"+r.id, "%v got an answer with %q", r, stamp)
	assert.Check(c.t, stamp == "" || response.StatusCode == crossedStatus[r.how], "%v got status %d", r, response.StatusCode)
	assert.Check(c.t, stamp != "" || response.StatusCode >= http.StatusBadRequest, "%v got status %d", r, response.StatusCode)
	if leaves {
		return io.ErrClosedPipe
	}
	if c.rand.IntN(4) == 0 {
		time.Sleep(time.Duration(c.rand.IntN(100)) * time.Millisecond)
	}
	body, err := io.ReadAll(response.Body)
	if stamp != "" {
		c.check(r, response, body, err == nil)
	}
	if err == nil && response.Close {
		err = io.EOF
	}
	return err
}

// check checks the body of a server's answer.
func (c *crossingCaller) check(r crossingRequest, response *http.Response, body []byte, whole bool) {
	want := bodyOf(r.id, r.length)
	if r.method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		want = nil
	}
	assert.Check(c.t, bytes.HasPrefix(want, body), "%v got bytes that are not its own", r)
	if !whole {
		return
	}
	c.whole.Add(1)
	assert.Check(c.t, len(body) == len(want), "%v got %d bytes as if they were all", r, len(body))
}

// TestAnswersDoNotCross guards against bytes of one caller's answer that reach another caller, or another request of the same
// one: response writers, deadlines and buffers that are used after their request has ended.
func TestAnswersDoNotCross(t *testing.T) {
	const callers, held, unread = 24, 1 << 20, 256 << 10
	for name, connected := range map[string]bool{"beside the servers": false, "between processes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			memory := outbound.Memory{Buffers: bodylimit.NewBudget(held), Answers: bodylimit.NewAnswers(unread)}
			m := newMeshWith(t, inbound.Bounds{RetryRatio: 1, RetrySlack: 10_000, RetryWindow: shortWindow}, memory)
			time.Sleep(shortWindow)
			server := &crossingServer{seen: map[string]bool{}}
			for _, name := range []string{"a", "b", "c", "d"} {
				m.addServer(t, name, "svc", server)
			}
			if connected {
				m.connect(t)
			}
			var whole atomic.Int64
			var work sync.WaitGroup
			for i := range callers {
				c := &crossingCaller{
					t: t, name: fmt.Sprintf("caller-%d", i), address: strings.TrimPrefix(m.callers.URL, "http://"),
					rand: rand.New(rand.NewPCG(*crossingSeed, uint64(i))), whole: &whole,
				}
				work.Go(func() {
					for range *crossingRounds {
						c.round()
					}
					if c.conn != nil {
						_ = c.conn.Close()
					}
				})
			}
			work.Wait()
			t.Logf("%d answers were whole, %d were cut for memory", whole.Load(), m.View(time.Now()).Memory.Answers.Cut)
			assert.Assert(t, whole.Load() > int64(callers**crossingRounds/4), "only %d answers were whole", whole.Load())
		})
	}
}
