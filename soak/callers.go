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
	// callersPerNode is how many callers keep a connection to each process.
	callersPerNode = 3
	// leastPause and mostPause bound the pause between two requests of a caller.
	leastPause = 10 * time.Millisecond
	mostPause  = 60 * time.Millisecond
	// callerTime is how long a caller waits, as it states and as the routes have
	// it; callerPatience how long it really does, far longer, so that a request is
	// ended by the fleet and not by its caller.
	callerTime     = 2 * time.Second
	callerPatience = 6 * time.Second
	// singleShare is the share of single requests.
	singleShare = 0.6
)

// callers send requests until they are stopped.
type callers struct {
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// startCallers starts the callers of each process, and a probe of its settings.
func (f *fleet) startCallers(ctx context.Context, random *rand.Rand) *callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &callers{cancel: cancel}
	for _, n := range f.nodes {
		for i := range callersPerNode {
			// Each draws from its own source, so that their order does not matter.
			own := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
			c.work.Go(func() { f.call(ctx, n, own) })
		}
		c.work.Go(func() { f.probe(ctx, n) })
	}
	return c
}

// stop lets the callers finish what they began.
func (c *callers) stop() {
	c.cancel()
	c.work.Wait()
}

// newID returns an id that no other request of this process has.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newCaller returns a client that keeps one connection open.
func newCaller() *http.Client {
	return &http.Client{Timeout: callerPatience, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

// call sends one request after the other to a process over a kept connection.
func (f *fleet) call(ctx context.Context, n *node, random *rand.Rand) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		kind, path := slatewind.KindRepeatable, repeatablePath
		if random.Float64() < singleShare {
			kind, path = slatewind.KindSingle, singlePath
		}
		id := fmt.Sprintf("%016x", random.Uint64())
		s := sentRequest{ID: id, Kind: kind, Node: n.number, At: time.Now()}
		stopping := f.stopping.Load()
		s.Status, s.Own = f.ask(client, n.number, path, id)
		s.Ended = time.Now()
		s.Stopping = stopping || f.stopping.Load()
		f.record.noteSent(s)
		time.Sleep(leastPause + time.Duration(random.Int64N(int64(mostPause-leastPause))))
	}
}

// ask sends one request. The status is zero where no whole answer came; own says
// that the answer is that of a server to this request.
func (f *fleet) ask(client *http.Client, to int, path, id string) (status int, own bool) {
	return f.askWith(client, to, path, id, http.Header{})
}

// askWith is ask with header fields besides those that every caller sends.
func (f *fleet) askWith(client *http.Client, to int, path, id string, header http.Header) (status int, own bool) {
	status, answerHeader, text := f.post(client, to, path, id, id, header)
	return status, status != 0 && isOwn(answerHeader, text, path, id)
}

// post sends a request with a body. The status is 0 where there is no whole answer.
func (f *fleet) post(client *http.Client, to int, path, id, body string, header http.Header) (status int, answerHeader http.Header, answer string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(ownBase, to, portCallers)+path, strings.NewReader(body))
	if err != nil {
		panic(err) // Only a wrong address or path in this package does that.
	}
	r.Host = host
	r.Header = header
	r.Header.Set(platform.Callers().RequestID, id)
	r.Header.Set(platform.Callers().Deadline, fmt.Sprint(callerTime.Milliseconds()))
	// What went wrong does not matter: the caller has no whole answer.
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}
	return response.StatusCode, response.Header, string(text)
}

// isOwn says whether an answer is that of a server to one request: it is signed
// by the server that it names, and repeats the path and the id.
func isOwn(header http.Header, text, path, id string) bool {
	server, rest, _ := strings.Cut(text, " ")
	return header.Get(platform.Servers().Stamp) == server+"-stamp" &&
		header.Get(platform.Servers().RequestID) == id && rest == path+" "+id
}
