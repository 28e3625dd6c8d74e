package outbound

import (
	"maps"
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
	// denied is when an extra attempt was last denied.
	denied time.Time
	// detailed is when a survey last said what is believed of each server.
	detailed time.Time
	// samples holds the means of each route.
	samples map[string]sample
}

// update gives the choice among the service's servers to f under its lock.
func (sh *shard) update(f func(c *choice.Service)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f(sh.choice)
}

// takes reports whether a server takes new work, as far as is known here.
func (sh *shard) takes(server string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.choice.Takes(server)
}

const (
	// denyMemory is how long after a denied extra attempt a first attempt is made a trial
	// of a sick server only where one is overdue, since it may not be repeated.
	denyMemory = 500 * time.Millisecond
	// scarceMemory is how long after it extra attempts are taken to be scarce.
	scarceMemory = 2 * time.Second
)

// deny notes that an extra attempt was denied.
func (sh *shard) deny(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.denied = now
}

// deniedWithin reports whether an extra attempt was denied so lately that others are
// likely to be.
func (sh *shard) deniedWithin(now time.Time, memory time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return now.Sub(sh.denied) < memory
}

// order returns the servers that may get a request, cheapest first.
func (sh *shard) order(now time.Time, rq *request, to aim) []choice.Candidate {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.choice.Order(now, sh.want(rq, to))
}

// passedOver reports whether a server is not to be asked any more.
func (sh *shard) passedOver(now time.Time, rq *request, to aim, server string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.choice.PassedOver(now, server, sh.want(rq, to))
}

// detailPause is the least time between two surveys of a service that say what is believed
// of each server: they are long.
const detailPause = time.Second

// survey counts the servers that a search asked and those that it did not.
func (sh *shard) survey(now time.Time, rq *request, to aim, asked map[string]bool) choice.Survey {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	detail := now.Sub(sh.detailed) >= detailPause
	if detail {
		sh.detailed = now
	}
	return sh.choice.Survey(now, sh.want(rq, to), asked, to.tried, detail)
}

// want says what the request is like. The lock is held.
func (sh *shard) want(rq *request, to aim) choice.Want {
	// Before the first answer only the request's own size is known.
	bytes := max(sh.samples[rq.route.GetName()].bytes, float64(len(rq.body)))
	return choice.Want{Ask: to.ask, Extra: to.extra, Bytes: bytes}
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
	sh = &shard{choice: choice.NewService(o.self.DataCentre, rand.Uint64()), samples: map[string]sample{}}
	o.shards[service] = sh
	return sh
}

// home is the service of a server, and which start of it is known.
type home struct {
	service string
	start   int64
}

// Put notes a new or changed server.
func (o *Outbound) Put(now time.Time, entry slatewind.ServerEntry) {
	o.mu.Lock()
	before, known := o.servers[entry.Name]
	other, taken := o.places[entry.Address]
	taken = taken && other != entry.Name
	if taken && o.servers[other].start > entry.Start {
		o.mu.Unlock()
		// A server that started later runs there. This one counts once that is gone: the
		// clocks of VMs differ.
		o.Remove(entry.Name)
		o.mu.Lock()
		o.overtaken[entry.Address] = entry
		o.mu.Unlock()
		return
	}
	o.servers[entry.Name] = home{entry.Service, entry.Start}
	o.places[entry.Address] = entry.Name
	o.mu.Unlock()
	if taken && !known {
		// One server runs at an address: a new one says that the older ended.
		o.Remove(other)
	}
	if known && before.service != entry.Service {
		o.remove(before, entry.Name)
	}
	o.shard(entry.Service).update(func(c *choice.Service) { c.Put(now, entry) })
}

// Remove forgets a server whose entry is gone.
func (o *Outbound) Remove(name string) {
	o.mu.Lock()
	home, known := o.servers[name]
	delete(o.servers, name)
	maps.DeleteFunc(o.overtaken, func(_ string, entry slatewind.ServerEntry) bool { return entry.Name == name })
	var next []slatewind.ServerEntry
	for address, at := range o.places {
		if at != name {
			continue
		}
		delete(o.places, address)
		if entry, waits := o.overtaken[address]; waits {
			delete(o.overtaken, address)
			next = append(next, entry)
		}
	}
	o.mu.Unlock()
	if known {
		o.remove(home, name)
	}
	for _, entry := range next {
		o.Put(time.Now(), entry)
	}
}

// remove takes a server out of the choice of its service.
func (o *Outbound) remove(from home, name string) {
	id := slatewind.ServerID(name, from.start)
	o.shard(from.service).update(func(c *choice.Service) { c.Remove(id) })
}

// Servers returns how many servers are known.
func (o *Outbound) Servers() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.servers)
}

// Addresses returns those of the known servers of a service.
func (o *Outbound) Addresses(service string) (addresses []string) {
	o.shard(service).update(func(c *choice.Service) { addresses = c.Addresses() })
	return addresses
}

// Sharer returns the place of the server at an address among those that share the bound on
// extra attempts of a service.
func (o *Outbound) Sharer(service, address string) (sharer retry.Sharer) {
	o.shard(service).update(func(c *choice.Service) { sharer = c.Sharer(address) })
	return sharer
}
