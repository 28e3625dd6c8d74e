package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

const (
	// callersPerNode is the number of callers per process; each keeps one connection.
	callersPerNode = 3
	// minPause and maxPause bound the pause between two requests of a caller.
	minPause = 10 * time.Millisecond
	maxPause = 60 * time.Millisecond
	// requestTimeout is the deadline that a caller sends with a request and the timeout of the
	// routes. clientTimeout is how long its HTTP client waits: far longer, so that the fleet
	// ends a request and not its caller.
	requestTimeout = 2 * time.Second
	clientTimeout  = 6 * time.Second
	// singleShare is the share of single requests.
	singleShare = 0.6
)

// callers are the goroutines that send requests until stop is called.
type callers struct {
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// startCallers starts the callers of each process and the probe of its settings.
func (f *fleet) startCallers(ctx context.Context, random *rand.Rand) *callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &callers{cancel: cancel}
	for _, n := range f.nodes {
		for i := range callersPerNode {
			// Each caller has its own random source, so that the order in which callers run does
			// not change what they send.
			own := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
			c.work.Go(func() { f.runCaller(ctx, n, own) })
		}
		c.work.Go(func() { f.probe(ctx, n) })
	}
	return c
}

// stop ends the callers once their requests in progress have ended.
func (c *callers) stop() {
	c.cancel()
	c.work.Wait()
}

// newID returns a random request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newCaller returns a client that keeps one connection open.
func newCaller() *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

// runCaller sends requests to a process, one after the other, over a kept-alive connection.
func (f *fleet) runCaller(ctx context.Context, n *node, random *rand.Rand) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		kind, path := slatewind.KindRepeatable, repeatablePath
		if random.Float64() < singleShare {
			kind, path = slatewind.KindSingle, pick(random, singlePaths...)
		}
		id := fmt.Sprintf("%016x", random.Uint64())
		s := sentRequest{ID: id, Kind: kind, Node: n.number, At: time.Now()}
		stopping := f.stopping.Load()
		s.Status, s.Own = f.send(client, n.number, path, id)
		s.Ended = time.Now()
		s.Stopping = stopping || f.stopping.Load()
		f.record.addSent(s)
		time.Sleep(minPause + time.Duration(random.Int64N(int64(maxPause-minPause))))
	}
}

// send sends one request. The status is 0 if no complete answer was received; own reports
// whether the answer was given by a server to this request.
func (f *fleet) send(client *http.Client, to int, path, id string) (status int, own bool) {
	return f.sendWithHeader(client, to, path, id, http.Header{})
}

// sendWithHeader is send with additional header fields.
func (f *fleet) sendWithHeader(client *http.Client, to int, path, id string, header http.Header) (status int, own bool) {
	status, answerHeader, text := f.post(client, to, path, id, id, header)
	return status, status != 0 && isOwn(answerHeader, text, path, id, id)
}

// post sends a request with a body. The status is 0 if no complete answer was received.
func (f *fleet) post(client *http.Client, to int, path, id, body string, header http.Header) (status int, answerHeader http.Header, answer string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(ownBase, to, portCallers)+path, strings.NewReader(body))
	if err != nil {
		panic(err) // Only an invalid address or path in this package causes an error.
	}
	r.Host = host
	r.Header = header
	r.Header.Set(platform.Callers().RequestID, id)
	if r.Header.Get(platform.Callers().Deadline) == "" {
		r.Header.Set(platform.Callers().Deadline, fmt.Sprint(requestTimeout.Milliseconds()))
	}
	// The cause of an error is not needed: the caller has no complete answer.
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}
	f.recordStatement(to, response.Header)
	f.checkAnswer(response, string(text), path, id, body)
	return response.StatusCode, response.Header, string(text)
}

// isOwn reports whether an answer was given by a server to this request: it is stamped by the
// server that it names and repeats the path and the body, and its header the request id.
func isOwn(header http.Header, text, path, id, body string) bool {
	server, rest, _ := strings.Cut(text, " ")
	return header.Get(platform.Servers().Stamp) == server+"-stamp" &&
		header.Get(platform.Servers().RequestID) == id && rest == path+" "+body
}
