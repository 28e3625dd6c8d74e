package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/platform"
)

const (
	// otherService is a second service of runs that reuse addresses, otherPath the path prefix of its
	// requests.
	otherService = "ledger"
	otherPath    = "/book/"
	// reuses is the number of rounds in which two addresses each go to other servers.
	reuses = 3
	// reuseAfter is how long after the end of a server its address goes to another one; expiry is
	// how long after it its entry expires, at most.
	reuseAfter = 2 * time.Second
	expiry     = 4500 * time.Millisecond
	// firstEntryTime is how long after its start a server writes its first entry, at most.
	firstEntryTime = 1500 * time.Millisecond
	// lateEntryTime is how long the entry of an ended server that was written late stays.
	lateEntryTime = time.Second
)

// occupant is a server at the address of a node.
type occupant struct {
	*standin.Stamped
	name, service string
}

// occupy makes a server the one that runs at the node's address; nil means none.
func (n *node) occupy(o *occupant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.occupant = o
	if o != nil {
		n.service = o.service
		n.occupants = append(n.occupants, o)
	}
}

// occupantNow returns the server that runs at the node's address, or nil.
func (n *node) occupantNow() *occupant {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.occupant
}

// allOccupants returns all servers that have run at the node's address.
func (n *node) allOccupants() []*occupant {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.occupants)
}

// serveRequest passes a request to the server that runs at the node's address. If none does, the connection is
// closed.
func (f *fleet) serveRequest(n *node, w http.ResponseWriter, r *http.Request) {
	o := n.occupantNow()
	if o == nil {
		panic(http.ErrAbortHandler)
	}
	names := platform.Servers()
	expected, id := r.Header.Get(names.Expect), r.Header.Get(names.RequestID)
	wanted := service
	if strings.HasPrefix(r.RequestURI, otherPath) {
		wanted = otherService
	}
	if (expected == "" || expected == o.name) && wanted != o.service {
		f.record.addBreach(PromiseReuse, "server %s of %s was asked to run request %s of %s, addressed to %q", o.name, o.service, id, wanted, expected)
	}
	o.ServeHTTP(w, r)
}

// checkReuse lets servers crash and gives their addresses to servers of the same or another service, while
// the processes beside them go on, and stop and start with the settings of the new server later.
func (f *fleet) checkReuse(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.publishReuse()
	f.replace(ctx, random, f.nodes[0], otherService)
	pressing, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for _, n := range f.nodes {
		work.Go(func() { f.pressPath(pressing, n, otherPath) })
	}
	for range reuses {
		if ctx.Err() != nil {
			break
		}
		f.reuseTwo(ctx, random)
	}
	stop()
	work.Wait()
	if ctx.Err() != nil {
		return nil
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	f.checkOccupantsUsed(ctx)
	return nil
}

// reuseTwo replaces the servers of two nodes at once. The first two nodes keep one server of each service.
func (f *fleet) reuseTwo(ctx context.Context, random *rand.Rand) {
	var work sync.WaitGroup
	for _, i := range random.Perm(len(f.nodes) - 2)[:2] {
		own := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
		next := pick(random, service, otherService)
		work.Go(func() { f.replace(ctx, own, f.nodes[2+i], next) })
	}
	work.Wait()
}

// replace ends the server of a node and starts one of a service in its place. The process beside it is stopped
// at some moment and started again with the settings of the new server.
func (f *fleet) replace(ctx context.Context, random *rand.Rand, n *node, next string) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	before := n.occupantNow()
	expires, starts, entry, stops := upTo(expiry), reuseAfter+upTo(time.Second), upTo(firstEntryTime), upTo(expiry)
	late := random.IntN(2) == 0
	n.occupy(nil)
	n.crasher.Crash()
	var work sync.WaitGroup
	work.Go(func() {
		sleep(ctx, expires)
		f.store.Delete(platform.ServersPrefix + before.name)
		if late {
			sleep(ctx, starts)
			f.putOccupant(n, before)
			sleep(ctx, lateEntryTime)
			f.store.Delete(platform.ServersPrefix + before.name)
		}
	})
	work.Go(func() {
		sleep(ctx, starts)
		o := f.newOccupant(n, next)
		n.occupy(o)
		sleep(ctx, entry)
		f.putOccupant(n, o)
	})
	sleep(ctx, max(stops, starts))
	f.endAndRestart(n, syscall.SIGTERM)()
	work.Wait()
}

// newOccupant returns a new server of a service for a node.
func (f *fleet) newOccupant(n *node, service string) *occupant {
	n.mu.Lock()
	name := fmt.Sprintf("%s-%d", serverName(n.number), len(n.occupants))
	n.mu.Unlock()
	server := standin.NewStamped(name, platform.Servers())
	server.SetDelay(serviceTime)
	return &occupant{Stamped: server, name: name, service: service}
}

// putOccupant writes the entry of a server of a node.
func (f *fleet) putOccupant(n *node, o *occupant) {
	value, err := platform.EncodeServer(slatewind.ServerEntry{
		Service: o.service, Address: f.serverAddress(n.number), DataCentre: f.dataCentreOf(n.number), Slots: serverSlots,
	})
	if err != nil {
		panic(err) // Only a bug in this package causes an error.
	}
	f.store.Put(platform.ServersPrefix+o.name, value)
}

// publishReuse publishes settings with the second service.
func (f *fleet) publishReuse() {
	settings := settingsOf(f.version.Add(1))
	route := newRoute(otherPath, slatewind.KindSingle)
	route.Service = otherService
	settings.Fleet.Routes = append(settings.Fleet.Routes, route)
	settings.Fleet.Services = append(settings.Fleet.Services, newService(otherService))
	f.store.Put(platform.ConfigKey, encode(settings, nil))
}

// checkOccupantsUsed checks that every server at a reused address gets requests, under the load of callers of
// both services.
func (f *fleet) checkOccupantsUsed(ctx context.Context) {
	pressing, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	for _, n := range f.nodes {
		work.Go(func() { f.pressPath(pressing, n, otherPath) })
		work.Go(func() { f.pressPath(pressing, n, singlePath) })
	}
	for _, n := range f.nodes {
		o := n.occupantNow()
		before := len(o.Runs())
		if isOverdue(ctx, f.options.Timeout, func() bool { return len(o.Runs()) > before }) {
			f.record.addBreach(PromiseReuse, "server %s of %s at a reused address runs no request", o.name, o.service)
		}
	}
	stop()
	work.Wait()
}
