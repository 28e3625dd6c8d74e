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

// Strategy is the method by which one ingress picks servers. The model calls it from
// a single goroutine.
type Strategy interface {
	// Pick returns the index of the server for an attempt, or policy.None. tried
	// lists the servers of earlier attempts.
	Pick(now time.Time, tried []int) int
	// Started records the start of an attempt; the returned function records its end.
	Started(now time.Time, i int) func()
	// ApplyDigest applies a received digest; direct means that it came with a reply,
	// not by gossip.
	ApplyDigest(now time.Time, d *slatewindv1.Digest, direct bool)
	// RecordResult records the result of an attempt as a caller would observe it.
	RecordResult(now time.Time, i int, ok bool)
	// ReplyLost records an attempt that received no reply.
	ReplyLost(now time.Time, i int)
	// RecordFirst records a first attempt; TakeExtra reports whether an extra attempt
	// is within the budget, and takes it from there.
	RecordFirst()
	TakeExtra() bool
	// HedgeAfter returns the time after which a request is overdue, or zero for never.
	HedgeAfter() time.Duration
	Tick(now time.Time)
	// TakeEjected returns the servers ejected since the last call.
	TakeEjected() []string
	// TakeRefreshRequests returns servers whose digests have to be fetched
	// immediately; Confirm is called after they arrived.
	TakeRefreshRequests() []string
	Confirm(now time.Time)
	// FloorKept reports that no server that could serve is out of service while
	// capacity is below the floor.
	FloorKept() bool
}

// StrategyName is the name of a strategy in reports.
type StrategyName string

// Strategies that are compared.
const (
	StrategySlatewind   StrategyName = "slatewind"
	StrategyRoundRobin  StrategyName = "round-robin"
	StrategyConsecutive StrategyName = "five-in-a-row"
)

func serverName(i int) string { return fmt.Sprint("s", i) }

// dataCentreOf assigns VM i to a data centre, round-robin.
func dataCentreOf(p Profile, i int) string { return fmt.Sprint("dc", i%p.DataCentres) }

func newStrategy(name StrategyName, p Profile, ingress int, seed uint64, now time.Time) Strategy {
	random := rand.New(rand.NewPCG(seed, uint64(ingress)))
	switch name {
	case StrategyRoundRobin:
		return &roundRobin{next: random.IntN(p.Servers), servers: p.Servers}
	case StrategyConsecutive:
		return newConsecutive(p, random)
	}
	return newSlatewindStrategy(p, ingress, seed, now)
}

// slatewindStrategy uses package policy as the daemon does.
type slatewindStrategy struct {
	service *policy.Service
	floor   int
}

func newSlatewindStrategy(p Profile, ingress int, seed uint64, now time.Time) *slatewindStrategy {
	settings := &slatewindv1.Service{
		Name: p.Name, Floor: uint32(p.Floor), Caution: p.Caution, KeyLifetime: durationpb.New(time.Minute),
	}
	zones := map[string]string{}
	for i := range p.Servers {
		vm := fmt.Sprint("vm", i)
		zones[vm] = dataCentreOf(p, i)
		settings.Servers = append(settings.Servers, &slatewindv1.Server{Name: serverName(i), Vm: vm, Slots: uint32(p.Slots)})
	}
	s := &slatewindStrategy{service: policy.NewService(p.Name, dataCentreOf(p, ingress), seed+uint64(ingress)<<32), floor: p.Floor}
	s.service.Update(now, settings, func(vm string) string { return zones[vm] })
	return s
}

func (s *slatewindStrategy) Pick(now time.Time, tried []int) int {
	return s.service.Pick(now, slatewind.KindRepeatable, tried)
}

func (s *slatewindStrategy) Started(now time.Time, i int) func() {
	a := s.service.Started(now, i, 0)
	return func() { s.service.Ended(a) }
}

func (s *slatewindStrategy) ApplyDigest(now time.Time, d *slatewindv1.Digest, direct bool) {
	s.service.ApplyDigest(now, d, direct)
}

func (s *slatewindStrategy) RecordResult(time.Time, int, bool) {}

func (s *slatewindStrategy) ReplyLost(now time.Time, i int) { s.service.ReplyLost(now, serverName(i)) }

func (s *slatewindStrategy) RecordFirst() { s.service.RecordFirst() }

func (s *slatewindStrategy) TakeExtra() bool { return s.service.TakeExtra() }

func (s *slatewindStrategy) HedgeAfter() time.Duration { return s.service.OverdueAfter(0) }

func (s *slatewindStrategy) Tick(now time.Time) { s.service.Tick(now) }

func (s *slatewindStrategy) TakeEjected() []string {
	var ejected []string
	for _, d := range s.service.TakeDecisions() {
		if d.Kind == slatewind.DecisionEject {
			ejected = append(ejected, d.Server)
		}
	}
	return ejected
}

func (s *slatewindStrategy) TakeRefreshRequests() []string { return s.service.TakeRefreshRequests() }

func (s *slatewindStrategy) Confirm(now time.Time) { s.service.Confirm(now) }

func (s *slatewindStrategy) FloorKept() bool {
	return s.service.Idle() == 0 || s.service.Capacity() >= s.floor
}

// roundRobin picks the servers in turn and ejects none.
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

func (r *roundRobin) Started(time.Time, int) func()                    { return func() {} }
func (r *roundRobin) ApplyDigest(time.Time, *slatewindv1.Digest, bool) {}
func (r *roundRobin) RecordResult(time.Time, int, bool)                {}
func (r *roundRobin) ReplyLost(time.Time, int)                         {}
func (r *roundRobin) RecordFirst()                                     {}
func (r *roundRobin) TakeExtra() bool                                  { return true }
func (r *roundRobin) HedgeAfter() time.Duration                        { return 0 }
func (r *roundRobin) Tick(time.Time)                                   {}
func (r *roundRobin) TakeEjected() []string                            { return nil }
func (r *roundRobin) TakeRefreshRequests() []string                    { return nil }
func (r *roundRobin) Confirm(time.Time)                                {}
func (r *roundRobin) FloorKept() bool                                  { return true }

// Settings of the five-in-a-row baseline; they are common defaults of proxies.
const (
	maxConsecutiveErrors = 5
	ejectionTime         = 30 * time.Second
	maxEjectedShare      = 0.5
)

// consecutive ejects a server for ejectionTime after maxConsecutiveErrors errors or
// timeouts, unless more than maxEjectedShare of the servers would be ejected. It picks
// by the power of two random choices, with the load of its own requests only.
type consecutive struct {
	random  *rand.Rand
	profile Profile
	all     []int
	// load is the number of requests in flight by server.
	load []float64
	// tried and now are the arguments of the current Pick, for Target.
	tried []int
	now   time.Time
	// errors is the number of consecutive errors by server.
	errors []int
	// until is the end of the ejection by server.
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

func (c *consecutive) ApplyDigest(time.Time, *slatewindv1.Digest, bool) {}

func (c *consecutive) RecordResult(now time.Time, i int, ok bool) {
	if ok {
		c.errors[i] = 0
		return
	}
	c.errors[i]++
	ejected := 0
	for _, until := range c.until {
		if now.Before(until) {
			ejected++
		}
	}
	if c.errors[i] >= maxConsecutiveErrors && float64(ejected+1) <= maxEjectedShare*float64(len(c.until)) {
		c.errors[i] = 0
		c.until[i] = now.Add(ejectionTime)
		c.ejected = append(c.ejected, serverName(i))
	}
}

func (c *consecutive) ReplyLost(now time.Time, i int) { c.RecordResult(now, i, false) }

func (c *consecutive) RecordFirst()                  {}
func (c *consecutive) TakeExtra() bool               { return true }
func (c *consecutive) HedgeAfter() time.Duration     { return 0 }
func (c *consecutive) Tick(time.Time)                {}
func (c *consecutive) TakeRefreshRequests() []string { return nil }
func (c *consecutive) Confirm(time.Time)             {}
func (c *consecutive) FloorKept() bool               { return true }

func (c *consecutive) TakeEjected() []string {
	ejected := c.ejected
	c.ejected = nil
	return ejected
}
