package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

const (
	// warmupRate is the number of requests a second that a server bears after a start, and
	// warmupTime for how long.
	warmupRate = 8
	warmupTime = 3 * time.Second
	// restarts is the number of servers that restart, one after the other.
	restarts = 4
	// warmupCallers is the number of callers of each process that send without a pause.
	warmupCallers = 6
)

// Bound that the users require for a server that warms up: in any second it may receive
// warmupOverage times its rate, and warmupSlack requests more.
const (
	warmupOverage = 1.5
	warmupSlack   = 8
)

// checkWarmup lets servers crash and restart under their names, under load and while processes are
// killed and paused. No server may receive more requests than it bears while it warms up.
func (f *fleet) checkWarmup(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.publishWarmup()
	sleep(ctx, settingsTimeout)
	flooding, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for _, n := range f.nodes {
		for range warmupCallers {
			work.Go(func() { f.press(flooding, n) })
		}
	}
	client := newCaller()
	defer client.CloseIdleConnections()
	for range restarts {
		// Each request that crashes a server is another one, so that none is quarantined.
		f.post(client, random.IntN(len(f.nodes)), repeatablePath+newID()+"/"+deadlyName, newID(), deadlyName, http.Header{})
		f.disturbProcesses(ctx, random, serverDowntime+warmupTime)
	}
	stop()
	work.Wait()
	return nil
}

// publishWarmup publishes settings that limit the requests to a server that warms up.
func (f *fleet) publishWarmup() {
	settings := settingsOf(f.version.Add(1))
	settings.Fleet.Services[0].WarmupTime = durationpb.New(warmupTime)
	settings.Fleet.Services[0].WarmupRate = warmupRate
	f.store.Put(platform.ConfigKey, encode(settings, nil))
}

// press sends single requests to a process without a pause until ctx ends.
func (f *fleet) press(ctx context.Context, n *node) { f.pressPath(ctx, n, singlePath) }

// pressPath is press with requests to a path of single requests.
func (f *fleet) pressPath(ctx context.Context, n *node, path string) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		s := sentRequest{ID: newID(), Kind: slatewind.KindSingle, Node: n.number, At: time.Now()}
		s.Status, s.Own = f.send(client, n.number, path, s.ID)
		s.Ended = time.Now()
		f.record.addSent(s)
	}
}

// restart is a start of a server after a crash.
type restart struct {
	Server int
	At     time.Time
}

// restartedServers returns the starts of all servers after crashes, if the run checks them.
func (f *fleet) restartedServers() (list []restart) {
	if !f.includes(PartWarmup) {
		return nil
	}
	for _, n := range f.nodes {
		for _, at := range n.crasher.Crashes() {
			list = append(list, restart{n.number, at.Add(serverDowntime)})
		}
	}
	return list
}

// verifyWarmup checks every second that ends with an arrival at a server that warms up, and returns
// the first breach of each start only.
func verifyWarmup(restarts []restart, arrivals []arrival) (breaches []Breach) {
	for _, r := range restarts {
		var times []time.Time
		for _, a := range arrivals {
			if a.Server == r.Server && within(a.At, r.At, r.At.Add(warmupTime)) {
				times = append(times, a.At)
			}
		}
		for _, end := range times {
			if n := countWithin(times, end.Add(-time.Second), end); float64(n) > warmupRate*warmupOverage+warmupSlack {
				detail := fmt.Sprintf("server %d received %d requests in a second, %s after its start", r.Server, n, end.Sub(r.At))
				breaches = append(breaches, Breach{PromiseWarmup, detail})
				break
			}
		}
	}
	return breaches
}
