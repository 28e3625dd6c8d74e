package outbound

import (
	"math/rand/v2"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/occupant"
	"slatewind.example/slatewind/retry"
)

// shard is the state of one service. mu guards all fields.
type shard struct {
	mu     sync.Mutex
	choice *choice.Service
	// lastDenied is the time at which an extra attempt was last denied.
	lastDenied time.Time
	// lastDetailed is the time of the last survey that listed the assumed state of each server.
	lastDetailed time.Time
	// means holds the averages by route.
	means map[string]routeMeans
}

// update calls f with the service's server selection, with the lock held.
func (sh *shard) update(f func(c *choice.Service)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f(sh.choice)
}

// acceptsWork reports whether a server accepts new requests, as far as this process knows.
func (sh *shard) acceptsWork(server string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.choice.Takes(server)
}

// evacuated reports whether all servers of the service are evacuated (choice.Service.Evacuated).
func (sh *shard) evacuated() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.choice.Evacuated()
}

const (
	// trialPauseAfterDenial is how long after a denied extra attempt a first attempt is used as a
	// trial of an unhealthy server only if that trial is overdue: if the trial fails, the request
	// might not be allowed another attempt.
	trialPauseAfterDenial = 500 * time.Millisecond
	// scarceAfterDenial is how long after a denied extra attempt such attempts count as scarce.
	scarceAfterDenial = 2 * time.Second
)

// recordDenial records that an extra attempt was denied.
func (sh *shard) recordDenial(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.lastDenied = now
}

// deniedWithin reports whether an extra attempt was denied within the last window, so that another
// one is likely to be denied too.
func (sh *shard) deniedWithin(now time.Time, window time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return now.Sub(sh.lastDenied) < window
}

// order returns the servers that may receive a request, in ascending order of cost.
func (sh *shard) order(now time.Time, rq *request, opts attemptOptions) []choice.Candidate {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.choice.Order(now, sh.choiceRequest(rq, opts))
}

// excluded reports whether a server must no longer be asked.
func (sh *shard) excluded(now time.Time, rq *request, opts attemptOptions, server string) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.choice.Skipped(now, server, sh.choiceRequest(rq, opts))
}

// detailInterval is the minimum time between two surveys of a service that list the assumed state of
// each server, since these are long.
const detailInterval = time.Second

// survey counts the servers that a search asked and those that it did not ask, by reason.
func (sh *shard) survey(now time.Time, rq *request, opts attemptOptions, asked map[string]bool) choice.Survey {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	detail := now.Sub(sh.lastDetailed) >= detailInterval
	if detail {
		sh.lastDetailed = now
	}
	return sh.choice.Survey(now, sh.choiceRequest(rq, opts), asked, opts.tried, detail)
}

// choiceRequest returns the properties of a request that affect the selection. The caller must hold
// sh.mu.
func (sh *shard) choiceRequest(rq *request, opts attemptOptions) choice.Request {
	// Until the route has averages, only the size of the request itself is known.
	bytes := max(sh.means[rq.route.GetName()].bytes, float64(len(rq.body)))
	return choice.Request{Constraints: opts.constraints, Extra: rq.isExtraArrival(opts) && !opts.paid, Bytes: bytes}
}

// shard returns the state of a service, and creates it if it does not exist.
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
	sh = &shard{choice: choice.NewService(o.self.Place, rand.Uint64()), means: map[string]routeMeans{}}
	o.shards[service] = sh
	return sh
}

// Put adds or updates a server. Of the servers whose entries state the same address only one is used
// (package occupant).
func (o *Outbound) Put(now time.Time, entry slatewind.ServerEntry) {
	o.mu.Lock()
	change := o.occupants.Put(entry)
	o.mu.Unlock()
	o.apply(now, change)
}

// Remove removes a server whose entry is gone.
func (o *Outbound) Remove(name string) {
	o.mu.Lock()
	change := o.occupants.Remove(name)
	o.mu.Unlock()
	o.apply(time.Now(), change)
}

// apply applies a change of the servers in use to the selections of their services.
func (o *Outbound) apply(now time.Time, change occupant.Change) {
	for _, entry := range change.Ended {
		o.shard(entry.Service).update(func(c *choice.Service) { c.Remove(entry.ID()) })
	}
	for _, entry := range change.Used {
		o.shard(entry.Service).update(func(c *choice.Service) { c.Put(now, entry) })
	}
}

// Servers returns the number of known servers.
func (o *Outbound) Servers() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.occupants.Len()
}

// Addresses returns the addresses of the known servers of a service.
func (o *Outbound) Addresses(service string) (addresses []string) {
	o.shard(service).update(func(c *choice.Service) { addresses = c.Addresses() })
	return addresses
}

// Sharer returns the position of the server at an address among the servers that share the limit on
// extra attempts of a service.
func (o *Outbound) Sharer(service, address string) (sharer retry.Sharer) {
	o.shard(service).update(func(c *choice.Service) { sharer = c.Sharer(address) })
	return sharer
}
