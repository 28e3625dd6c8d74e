package outbound

import (
	"math/rand/v2"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/retry"
)

// shard is the state of one service, under its own lock.
type shard struct {
	mu     sync.Mutex
	choice *choice.Service
	budget *retry.Budget
	// sizes holds for each route how many bytes a request and its answer have in
	// the mean.
	sizes map[string]float64
}

// update gives the choice among the service's servers to f under its lock.
func (sh *shard) update(f func(c *choice.Service)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f(sh.choice)
}

const (
	// sizeWeight is the weight of the newest size in a route's mean.
	sizeWeight = 0.1
	// maxSizes bounds the routes whose sizes are kept; beyond, all are learned
	// anew, so that routes that are gone do not stay for ever.
	maxSizes = 4096
)

// learnSize adds the size of a request and its answer to its route's mean. The
// lock is held.
func (sh *shard) learnSize(route string, bytes int) {
	mean, known := sh.sizes[route]
	if !known {
		mean = float64(bytes)
		if len(sh.sizes) >= maxSizes {
			clear(sh.sizes)
		}
	}
	sh.sizes[route] = mean + sizeWeight*(float64(bytes)-mean)
}

// order returns the servers that may get a request, cheapest first.
func (sh *shard) order(now time.Time, rq *request, ask breaker.Ask) []choice.Candidate {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	// Before the first answer only the request's own size is known.
	bytes := max(sh.sizes[rq.route.GetName()], float64(len(rq.body)))
	return sh.choice.Order(now, choice.Want{Ask: ask, Bytes: bytes})
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

// newBudget returns the budget of extra attempts of a process that has just
// begun. It has little to spend: the process before it on the same VM may have
// spent its share a moment ago.
func (o *Outbound) newBudget() *retry.Budget {
	return retry.NewBudget(budgetShare*o.bounds.RetryRatio, leastBurst)
}

// burst returns a process's share of the fleet's slack. Each of so many servers
// has its own process.
func (o *Outbound) burst(servers int) float64 {
	share := budgetShare * o.bounds.RetrySlack / float64(max(servers, 1))
	return min(max(share, leastBurst), mostBurst)
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
	sh = &shard{choice: choice.NewService(o.self.DataCentre, rand.Uint64()), budget: o.newBudget(), sizes: map[string]float64{}}
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
		// One server runs at an address: a new one says that the older ended.
		o.Remove(older)
	}
	if known && before != entry.Service {
		o.remove(before, entry.Name)
	}
	sh := o.shard(entry.Service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.choice.Put(now, entry)
	sh.budget.SetBurst(o.burst(fleet))
}

// Remove forgets a server whose entry is gone.
func (o *Outbound) Remove(name string) {
	o.mu.Lock()
	service, known := o.services[name]
	delete(o.services, name)
	for address, at := range o.places {
		if at == name {
			delete(o.places, address)
		}
	}
	o.mu.Unlock()
	if known {
		o.remove(service, name)
	}
}

// remove takes a server out of the choice of its service.
func (o *Outbound) remove(service, name string) {
	o.shard(service).update(func(c *choice.Service) { c.Remove(name) })
}

// Servers returns how many servers are known.
func (o *Outbound) Servers() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.services)
}
