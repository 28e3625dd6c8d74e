package outbound

import (
	"math/rand/v2"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/retry"
)

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

// newBudget returns the budget of extra attempts of a process in a fleet with so
// many servers, each with its own process.
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
