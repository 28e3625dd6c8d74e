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
	// callerTime is how long a caller waits, as it states; callerPatience how long
	// it really does.
	callerTime     = 2 * time.Second
	callerPatience = 6 * time.Second
	// singleShare is the share of single requests.
	singleShare = 0.6
	// probePause is the pause between two looks at the settings in force.
	probePause = 100 * time.Millisecond
)

// callers send requests until they are stopped.
type callers struct {
	cancel context.CancelFunc
	work   sync.WaitGroup
}

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
		kind, path := slatewind.KindRepeatable, "/look/"
		if random.Float64() < singleShare {
			kind, path = slatewind.KindSingle, "/pay/"
		}
		id := fmt.Sprintf("%016x", random.Uint64())
		s := Sent{ID: id, Kind: kind, Node: n.number, At: time.Now()}
		stopping := f.stopping.Load()
		s.Status, s.Own = f.ask(client, n.number, path, id)
		s.Done, s.Stopping = time.Now(), stopping || f.stopping.Load()
		f.record.noteSent(s)
		time.Sleep(leastPause + time.Duration(random.Int64N(int64(mostPause-leastPause))))
	}
}

// ask sends one request. The status is zero where no whole answer came; own says
// that the answer is that of a server to this request.
func (f *fleet) ask(client *http.Client, to int, path, id string) (status int, own bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(ownBase, to, portCallers)+path, strings.NewReader(id))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(platform.Callers().RequestID, id)
	r.Header.Set(platform.Callers().Deadline, fmt.Sprint(callerTime.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false
	}
	server, rest, _ := strings.Cut(string(text), " ")
	own = response.Header.Get(platform.Servers().Stamp) == server+"-stamp" && rest == path+" "+id &&
		response.Header.Get(platform.Servers().RequestID) == id
	return response.StatusCode, own
}

// probe looks again and again which settings a process has in force: its newest
// version must never vanish while the process lives.
func (f *fleet) probe(ctx context.Context, n *node) {
	client := newCaller()
	defer client.CloseIdleConnections()
	var newest uint64
	var life int64
	for ctx.Err() == nil {
		if now := n.life.Load(); now != life {
			life, newest = now, 0
		}
		for _, version := range []uint64{newest, f.version.Load()} {
			id := newID()
			s := Sent{ID: id, Kind: slatewind.KindRepeatable, Node: n.number, At: time.Now()}
			s.Status, s.Own = f.ask(client, n.number, versionPath(version), id)
			s.Done = time.Now()
			f.record.noteSent(s)
			switch {
			case n.life.Load() != life:
			case s.Status == http.StatusOK:
				newest = max(newest, version)
			case s.Status == http.StatusNotFound && version > 0 && version <= newest:
				f.record.noteBreach(PromiseForward, "node %d had version %d in force and knows it no more", n.number, version)
			}
		}
		time.Sleep(probePause)
	}
}
