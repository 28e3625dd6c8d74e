package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/balance"
	"slatewind.example/slatewind/policy"
)

// Strategy is how one ingress chooses servers.
type Strategy interface {
	// Pick returns the server for an attempt, or policy.None.
	Pick(now time.Time, tried []int) int
	// Started notes an attempt and returns what ends the note.
	Started(now time.Time, i int) func()
	// Heard takes a digest that came with a reply, or by gossip.
	Heard(now time.Time, d *slatewindv1.Digest, direct bool)
	// Result takes what one attempt brought, as a caller would see it.
	Result(now time.Time, i int, ok bool)
	// Lost notes an attempt from which nothing came back.
	Lost(now time.Time, i int)
	// First notes a first attempt; Extra allows or denies a further one.
	First()
	Extra() bool
	// HedgeAfter returns when a request is overdue, or zero for never.
	HedgeAfter() time.Duration
	Tick(now time.Time)
	// Ejected returns the servers ejected since the last call.
	Ejected() []string
	// Questions names servers whose digests are wanted at once; Confirm says
	// that they came.
	Questions() []string
	Confirm(now time.Time)
	// FloorKept reports whether nothing is out below the floor.
	FloorKept() bool
}

// StrategyName names a strategy.
type StrategyName string

// Strategies that are compared.
const (
	StrategyOurs        StrategyName = "slatewind"
	StrategyRoundRobin  StrategyName = "round-robin"
	StrategyConsecutive StrategyName = "five-in-a-row"
)

func serverName(i int) string { return fmt.Sprint("s", i) }

// dataCentreOf spreads VMs over the data centres.
func dataCentreOf(p Profile, i int) string { return fmt.Sprint("dc", i%p.DataCentres) }

func newStrategy(name StrategyName, p Profile, ingress int, seed uint64, now time.Time) Strategy {
	random := rand.New(rand.NewPCG(seed, uint64(ingress)))
	switch name {
	case StrategyRoundRobin:
		return &roundRobin{next: random.IntN(p.Servers), servers: p.Servers}
	case StrategyConsecutive:
		return newConsecutive(p, random)
	}
	return newOurs(p, ingress, seed, now)
}

// ours is package policy as the daemon uses it.
type ours struct {
	service *policy.Service
	floor   int
}

func newOurs(p Profile, ingress int, seed uint64, now time.Time) *ours {
	settings := &slatewindv1.Service{
		Name: p.Name, Floor: uint32(p.Floor), Caution: p.Caution, KeyLifetime: durationpb.New(time.Minute),
	}
	zones := map[string]string{}
	for i := range p.Servers {
		vm := fmt.Sprint("vm", i)
		zones[vm] = dataCentreOf(p, i)
		settings.Servers = append(settings.Servers, &slatewindv1.Server{Name: serverName(i), Vm: vm, Slots: uint32(p.Slots)})
	}
	o := &ours{service: policy.NewService(p.Name, dataCentreOf(p, ingress), seed+uint64(ingress)<<32), floor: p.Floor}
	o.service.Update(now, settings, func(vm string) string { return zones[vm] })
	return o
}

func (o *ours) Pick(now time.Time, tried []int) int {
	return o.service.Pick(now, slatewind.KindRepeatable, tried)
}

func (o *ours) Started(now time.Time, i int) func() {
	a := o.service.Started(now, i, 0)
	return func() { o.service.Ended(a) }
}

func (o *ours) Heard(now time.Time, d *slatewindv1.Digest, direct bool) {
	o.service.ApplyDigest(now, d, direct)
}

func (o *ours) Result(time.Time, int, bool) {}

func (o *ours) Lost(now time.Time, i int) { o.service.ReplyLost(now, serverName(i)) }

func (o *ours) First() { o.service.RecordFirst() }

func (o *ours) Extra() bool { return o.service.TakeExtra() }

func (o *ours) HedgeAfter() time.Duration { return o.service.OverdueAfter(0) }

func (o *ours) Tick(now time.Time) { o.service.Tick(now) }

func (o *ours) Ejected() []string {
	var ejected []string
	for _, d := range o.service.TakeDecisions() {
		if d.Kind == slatewind.DecisionEject {
			ejected = append(ejected, d.Server)
		}
	}
	return ejected
}

func (o *ours) Questions() []string { return o.service.TakeRefreshRequests() }

func (o *ours) Confirm(now time.Time) { o.service.Confirm(now) }

func (o *ours) FloorKept() bool {
	return o.service.Idle() == 0 || o.service.Capacity() >= o.floor
}

// roundRobin gives each server its turn and ejects nobody.
type roundRobin struct {
	next    int
	servers int
}

func (r *roundRobin) Pick(_ time.Time, tried []int) int {
	for range r.servers {
		r.next = (r.next + 1) % r.servers
		if !slices.Contains(tried, r.next) {
			return r.next
		}
	}
	return policy.None
}

func (r *roundRobin) Started(time.Time, int) func()              { return func() {} }
func (r *roundRobin) Heard(time.Time, *slatewindv1.Digest, bool) {}
func (r *roundRobin) Result(time.Time, int, bool)                {}
func (r *roundRobin) Lost(time.Time, int)                        {}
func (r *roundRobin) First()                                     {}
func (r *roundRobin) Extra() bool                                { return true }
func (r *roundRobin) HedgeAfter() time.Duration                  { return 0 }
func (r *roundRobin) Tick(time.Time)                             {}
func (r *roundRobin) Ejected() []string                          { return nil }
func (r *roundRobin) Questions() []string                        { return nil }
func (r *roundRobin) Confirm(time.Time)                          {}
func (r *roundRobin) FloorKept() bool                            { return true }

// Settings of the five-in-a-row baseline, as proxies commonly have them.
const (
	inARow      = 5
	baseOut     = 30 * time.Second
	maxOutShare = 0.5
)

// consecutive ejects a server after five errors or timeouts in a row, at most
// half of all, and chooses by two random choices on its own requests.
type consecutive struct {
	random  *rand.Rand
	profile Profile
	all     []int
	load    []float64
	tried   []int
	now     time.Time
	errors  []int
	until   []time.Time
	ejected []string
}

func newConsecutive(p Profile, random *rand.Rand) *consecutive {
	c := &consecutive{
		random: random, profile: p, load: make([]float64, p.Servers), errors: make([]int, p.Servers), until: make([]time.Time, p.Servers),
	}
	for i := range p.Servers {
		c.all = append(c.all, i)
	}
	return c
}

func (c *consecutive) Pick(now time.Time, tried []int) int {
	c.now, c.tried = now, tried
	return balance.Pick(c.random, c, c.all, nil)
}

// Target implements balance.Targets.
func (c *consecutive) Target(i int) balance.Target {
	t := balance.Target{Load: c.load[i], Slots: float64(c.profile.Slots), Weight: 1}
	if c.now.Before(c.until[i]) || slices.Contains(c.tried, i) {
		t.Weight = 0
	}
	return t
}

func (c *consecutive) Started(_ time.Time, i int) func() {
	c.load[i]++
	return func() { c.load[i]-- }
}

func (c *consecutive) Heard(time.Time, *slatewindv1.Digest, bool) {}

func (c *consecutive) Result(now time.Time, i int, ok bool) {
	if ok {
		c.errors[i] = 0
		return
	}
	c.errors[i]++
	out := 0
	for _, until := range c.until {
		if now.Before(until) {
			out++
		}
	}
	if c.errors[i] >= inARow && float64(out+1) <= maxOutShare*float64(len(c.until)) {
		c.errors[i] = 0
		c.until[i] = now.Add(baseOut)
		c.ejected = append(c.ejected, serverName(i))
	}
}

func (c *consecutive) Lost(now time.Time, i int) { c.Result(now, i, false) }

func (c *consecutive) First()                    {}
func (c *consecutive) Extra() bool               { return true }
func (c *consecutive) HedgeAfter() time.Duration { return 0 }
func (c *consecutive) Tick(time.Time)            {}
func (c *consecutive) Questions() []string       { return nil }
func (c *consecutive) Confirm(time.Time)         {}
func (c *consecutive) FloorKept() bool           { return true }

func (c *consecutive) Ejected() []string {
	ejected := c.ejected
	c.ejected = nil
	return ejected
}
