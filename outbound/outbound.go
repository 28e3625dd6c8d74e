// Package outbound takes the requests that begin on this VM, chooses a server
// for each, and answers.
//
// A request is sent in two steps: a reservation at the process beside a server,
// and, once a slot is granted, the request itself. Reservations that are
// refused, or not answered, cost a round trip and prove that nothing ran, so the
// next server is asked at once; where all are full, the request waits at a few
// of them and takes the first slot. Only what happens after the request was
// sent differs by kind: a repeatable request may go to another server, within
// the fleet's budget of extra attempts; a single one only with a proof that it
// did not run.
package outbound

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/retry"
)

// Error is the class of errors of this package.
var Error = errs.Class("outbound")

// Opener begins reservations at the process beside a server.
type Opener interface {
	Open(ctx context.Context, server slatewind.ServerEntry) (link.Use, error)
}

// Meter counts what became of requests.
type Meter interface {
	Request(route string, outcome slatewind.Outcome, took time.Duration)
	Extra(service, why string)
}

// Bounds holds the operators' bounds that an ingress keeps.
type Bounds struct {
	// RetryRatio is how many extra attempts the fleet may make for each first.
	RetryRatio float64
	// RetrySlack is how many more the fleet may make in a window.
	RetrySlack int
}

// Self says where an ingress stands.
type Self struct {
	DataCentre string
	// Service is that of the VM, by which its requests are known to servers.
	Service string
}

// shard is the state of one service, under its own lock.
type shard struct {
	mu     sync.Mutex
	choice *choice.Service
	budget *retry.Budget
}

// update gives the choice among the service's servers to f under its lock.
func (sh *shard) update(f func(c *choice.Service)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f(sh.choice)
}

// Outbound is the host of an ingress's decisions.
type Outbound struct {
	self    Self
	bounds  Bounds
	dialect slatewind.CallerDialect
	store   *config.Store
	journal slatewind.Journal
	links   Opener
	meter   Meter

	mu     sync.RWMutex
	shards map[string]*shard
	// services says to which service each known server belongs, places which
	// server stands at an address.
	services map[string]string
	places   map[string]string

	splitMu sync.Mutex
	splits  map[string]*splitter

	leaving  atomic.Bool
	inFlight atomic.Int64
	// lastArrival is when the newest request came, in nanoseconds since 1970.
	lastArrival atomic.Int64
}

// New returns an ingress that knows no servers yet.
func New(self Self, bounds Bounds, dialect slatewind.CallerDialect, store *config.Store, journal slatewind.Journal, links Opener, meter Meter) *Outbound {
	return &Outbound{
		self: self, bounds: bounds, dialect: dialect, store: store, journal: journal, links: links, meter: meter,
		shards: map[string]*shard{}, services: map[string]string{}, places: map[string]string{}, splits: map[string]*splitter{},
	}
}

const (
	// budgetShare is the share of the fleet's budget that processes spend. What
	// servers receive is counted over windows that slide, so that a process
	// must stay below what it earns.
	budgetShare = 0.75
	// leastBurst and mostBurst bound the extra attempts that one process may
	// make in a row.
	leastBurst = 1.0
	mostBurst  = 6.0
)

func (o *Outbound) newBudget(servers int) *retry.Budget {
	burst := budgetShare * float64(o.bounds.RetrySlack) / float64(max(servers, 1))
	return retry.NewBudget(budgetShare*o.bounds.RetryRatio, min(max(burst, leastBurst), mostBurst))
}

// shard returns the state of a service, made where it does not exist yet.
func (o *Outbound) shard(service string) *shard {
	o.mu.RLock()
	sh := o.shards[service]
	o.mu.RUnlock()
	if sh != nil {
		return sh
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if sh := o.shards[service]; sh != nil {
		return sh
	}
	sh = &shard{choice: choice.NewService(o.self.DataCentre, rand.Uint64()), budget: o.newBudget(len(o.services))}
	o.shards[service] = sh
	return sh
}

// Put notes a new or changed server.
func (o *Outbound) Put(now time.Time, entry slatewind.ServerEntry) {
	o.mu.Lock()
	before, known := o.services[entry.Name]
	o.services[entry.Name] = entry.Service
	older, taken := o.places[entry.Address]
	o.places[entry.Address] = entry.Name
	fleet := len(o.services)
	o.mu.Unlock()
	if taken && older != entry.Name && !known {
		// One server stands at an address: a new one says that the older ended.
		o.Remove(older)
	}
	if known && before != entry.Service {
		o.remove(before, entry.Name)
	}
	sh := o.shard(entry.Service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.choice.Put(now, entry)
	if !known {
		sh.budget = o.newBudget(fleet)
	}
}

// Remove forgets a server whose entry is gone.
func (o *Outbound) Remove(name string) {
	o.mu.Lock()
	service, known := o.services[name]
	delete(o.services, name)
	o.mu.Unlock()
	if known {
		o.remove(service, name)
	}
}

func (o *Outbound) remove(service, name string) {
	o.shard(service).update(func(c *choice.Service) { c.Remove(name) })
}

// Servers returns how many servers are known.
func (o *Outbound) Servers() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.services)
}

// Leave begins the drain: callers are told to go elsewhere with their next
// connection, and requests in flight end in peace.
func (o *Outbound) Leave() {
	o.leaving.Store(true)
}

// InFlight returns how many callers wait for an answer.
func (o *Outbound) InFlight() int {
	return int(o.inFlight.Load())
}

// QuietFor returns how long no request has come.
func (o *Outbound) QuietFor(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, o.lastArrival.Load()))
}

// splitter divides the requests of a route among services by their weights:
// each request goes to the service that is furthest behind its share.
type splitter struct {
	sent  map[string]float64
	total float64
}

// split returns the service for the next request of a route.
func (o *Outbound) split(rq *request) string {
	splits := rq.route.GetSplits()
	if len(splits) == 0 {
		return rq.route.GetService()
	}
	sum := 0.0
	for _, part := range splits {
		sum += float64(part.GetWeight())
	}
	key := fmt.Sprintf("%s@%d", rq.route.GetName(), rq.snapshot.Version.Revision)
	o.splitMu.Lock()
	defer o.splitMu.Unlock()
	sp := o.splits[key]
	if sp == nil {
		// A route's shares begin anew with each version; old ones go.
		sp = &splitter{sent: map[string]float64{}}
		for old := range o.splits {
			if strings.HasPrefix(old, rq.route.GetName()+"@") {
				delete(o.splits, old)
			}
		}
		o.splits[key] = sp
		// Ingresses that all began with the same part would overload it.
		sp.sent[splits[rand.IntN(len(splits))].GetService()] = rand.Float64()
	}
	sp.total++
	best, furthest := "", 0.0
	for _, part := range splits {
		behind := sp.total*float64(part.GetWeight())/max(sum, 1) - sp.sent[part.GetService()]
		if best == "" || behind > furthest {
			best, furthest = part.GetService(), behind
		}
	}
	sp.sent[best]++
	return best
}

// ServiceView is one service in a state dump.
type ServiceView struct {
	Name    string        `json:"name"`
	Servers []choice.View `json:"servers"`
}

// View is the ingress's part of a state dump.
type View struct {
	InFlight int           `json:"in_flight"`
	Leaving  bool          `json:"leaving"`
	Services []ServiceView `json:"services"`
}

// View returns the ingress's part of a state dump.
func (o *Outbound) View(now time.Time) View {
	v := View{InFlight: o.InFlight(), Leaving: o.leaving.Load()}
	o.mu.RLock()
	defer o.mu.RUnlock()
	for name, sh := range o.shards {
		sh.update(func(c *choice.Service) {
			v.Services = append(v.Services, ServiceView{Name: name, Servers: c.Views(now)})
		})
	}
	return v
}

// HostOf returns the host of a host:port address without its port, or the
// address itself where it has none.
func HostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
