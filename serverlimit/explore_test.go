package serverlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/explore"
)

// The exploration covers one server, the process beside it with the real Limiter, and two ingresses
// that always have requests. In every tick the server answers the requests of the tick before. The
// server changes its limit; answers are delayed and rejected; the process beside the server and the
// ingresses restart; ingresses are cut off. Time passes in whole ticks.

const (
	exploredTick  = 500 * time.Millisecond
	exploredTicks = 14
	// exploredSlots is the number of requests that the server runs at once, and so in a tick.
	exploredSlots = 4
	ingresses     = 2
	// exploredEvents is the maximum number of events besides the passing of time.
	exploredEvents = 3
)

// The operators' bound: from contactTicks after the server first stated a limit, it gets in any
// windowTicks at most overage times what the limit allows and slack more, from the ingresses that
// had received such an answer at least toldTicks before.
const (
	contactTicks = 6
	windowTicks  = 8
	toldTicks    = 1
	overage      = 1.5
	slack        = 5
)

// exploredLimits are the limits that the server may state.
var exploredLimits = []slatewind.ServerLimit{{}, perSecond(0.5), perSecond(2)}

// safeguards are the safeguards that an exploration leaves out.
type safeguards struct {
	// noMemory: ingresses do not tell what they remember; anyAnswer: a rejection ends a limit; full:
	// a bucket starts with a burst.
	noMemory, anyAnswer, full bool
}

// explored is a state of the exploration.
type explored struct {
	tick, events int
	limit        slatewind.ServerLimit
	limiter      Limiter
	// remembered is the limit that each ingress remembers, toldSince the tick in which it first
	// received an answer with a limit, -1 before.
	remembered [ingresses]slatewind.ServerLimit
	toldSince  [ingresses]int
	// cut is the number of ticks for which an ingress is still cut off.
	cut [ingresses]int
	// running counts the requests in progress by ingress; delayed counts those whose answers are
	// delayed by another tick, with the limit that they state.
	running, delayed [ingresses]int
	delayedLimit     slatewind.ServerLimit
	// firstStated is the tick in which the server first stated a limit, -1 before.
	firstStated int
	// counted holds, for each tick, the requests that count, and allowed what the limit allowed.
	counted [exploredTicks + 1]int
	allowed [exploredTicks + 1]float64
}

func (s *explored) now() time.Time { return start.Add(time.Duration(s.tick) * exploredTick) }

// clone returns a copy that shares nothing with s.
func (s *explored) clone() *explored {
	c := *s
	if s.limiter.bucket != nil {
		bucket := *s.limiter.bucket
		c.limiter.bucket = &bucket
	}
	return &c
}

// key distinguishes states that may continue differently.
func (s *explored) key() string {
	bucket := -1.0
	if s.limiter.bucket != nil {
		copied := *s.limiter.bucket
		bucket = copied.Level(s.now())
	}
	return fmt.Sprint(s.tick, s.events, s.limit, s.limiter.limit, s.limiter.answered, s.limiter.stated.UnixMilli(), bucket, s.remembered, s.toldSince,
		s.cut, s.running, s.delayed, s.delayedLimit, s.firstStated, s.counted, s.allowed)
}

// next calls step with each possible next state.
func (out safeguards) next(s *explored, step func(string, *explored)) {
	if s.tick == exploredTicks {
		return
	}
	event := func(name string, change func(c *explored)) {
		c := s.clone()
		if name != "" {
			c.events++
		}
		rejecting, delaying := name == "rejections", name == "delayed answers"
		if change != nil {
			change(c)
		}
		out.pass(c, rejecting, delaying)
		step(fmt.Sprint("tick ", c.tick, " ", name), c)
	}
	event("", nil)
	if s.events == exploredEvents {
		return
	}
	for _, limit := range exploredLimits {
		if limit != s.limit {
			event(fmt.Sprint("limit ", limit), func(c *explored) { c.limit = limit })
		}
	}
	event("rejections", nil)
	event("delayed answers", nil)
	event("the process beside the server restarts", func(c *explored) {
		// It ends with the requests in progress, whose ingresses get no answer.
		c.limiter, c.running, c.delayed = Limiter{}, [ingresses]int{}, [ingresses]int{}
	})
	for i := range ingresses {
		event(fmt.Sprint("restart of ingress ", i), func(c *explored) {
			c.remembered[i], c.toldSince[i] = slatewind.ServerLimit{}, -1
		})
		event(fmt.Sprint("cut of ingress ", i), func(c *explored) { c.cut[i] = 2 })
	}
}

// pass lets a tick pass: answers arrive, and the ingresses send as many requests as are admitted.
func (out safeguards) pass(s *explored, rejecting, delaying bool) {
	s.tick++
	if delaying {
		s.delayed, s.delayedLimit = s.running, s.limit
	} else {
		out.answer(s, s.running, s.limit, rejecting, s.now().Add(-exploredTick))
		out.answer(s, s.delayed, s.delayedLimit, false, s.now().Add(-2*exploredTick))
		s.delayed = [ingresses]int{}
	}
	s.running = [ingresses]int{}
	if s.firstStated < 0 && s.limit.Stated {
		s.firstStated = s.tick
	}
	for sent := 0; sent < exploredSlots; {
		before := sent
		for i := range ingresses {
			if sent < exploredSlots && s.cut[i] == 0 && out.send(s, i) {
				sent++
			}
		}
		if sent == before {
			break
		}
	}
	for i := range s.cut {
		s.cut[i] = max(s.cut[i]-1, 0)
	}
	s.allowed[s.tick] = overage * s.limit.PerSecond * exploredTick.Seconds()
	if !s.limit.Stated {
		s.allowed[s.tick] = exploredSlots
	}
}

// answer delivers the answers to requests that were sent at the given time.
func (out safeguards) answer(s *explored, requests [ingresses]int, limit slatewind.ServerLimit, rejecting bool, sent time.Time) {
	for i, n := range requests {
		if n == 0 {
			continue
		}
		switch {
		case rejecting && out.anyAnswer:
			s.limiter.Answered(s.now(), sent, slatewind.ServerLimit{})
		case rejecting:
			s.limiter.Failed(s.now(), sent, slatewind.ServerLimit{})
		default:
			out.stated(s, s.limiter.Answered(s.now(), sent, limit))
		}
		if s.cut[i] > 0 || rejecting {
			continue
		}
		s.remembered[i] = s.limiter.Limit()
		if limit.Stated && s.toldSince[i] < 0 {
			s.toldSince[i] = s.tick
		}
	}
}

// stated fills the bucket of a changed limit if the safeguard against that is left out.
func (out safeguards) stated(s *explored, changed bool) {
	if out.full && changed && s.limiter.bucket != nil {
		limit := s.limiter.Limit().PerSecond
		s.limiter.bucket.Set(s.now(), limit, 20)
		s.limiter.bucket.Put(s.now(), 20)
	}
}

// send sends a request of an ingress, if it is admitted.
func (out safeguards) send(s *explored, i int) bool {
	if !out.noMemory {
		out.stated(s, s.limiter.Told(s.now(), s.remembered[i]))
	}
	if s.limiter.Wait(s.now()) > 0 {
		return false
	}
	s.limiter.Take(s.now())
	s.running[i]++
	if s.toldSince[i] >= 0 && s.tick-s.toldSince[i] >= toldTicks {
		s.counted[s.tick]++
	}
	return true
}

// check returns an error if the newest window has more requests than are allowed.
func (s *explored) check() error {
	from := s.tick - windowTicks + 1
	if s.firstStated < 0 || from < s.firstStated+contactTicks {
		from = s.firstStated + contactTicks
	}
	if s.firstStated < 0 || from > s.tick {
		return nil
	}
	counted, allowed := 0, float64(slack)
	for tick := from; tick <= s.tick; tick++ {
		counted += s.counted[tick]
		allowed += s.allowed[tick]
	}
	if float64(counted) > allowed {
		return fmt.Errorf("%d requests in ticks %d to %d, %.1f allowed", counted, from, s.tick, allowed)
	}
	return nil
}

func (out safeguards) explore() explore.Result {
	begin := &explored{toldSince: [ingresses]int{-1, -1}, firstStated: -1}
	return explore.Model[*explored, string]{
		Start: begin, Key: (*explored).key, Next: out.next, Check: (*explored).check, MaxStates: 2_000_000,
	}.Run()
}

// TestServerLimitInAllOrders explores all orders of events and requires that the bound holds.
func TestServerLimitInAllOrders(t *testing.T) {
	result := safeguards{}.explore()
	assert.NilError(t, result.Err, result)
	t.Log(result.States, "states")
}

// TestServerLimitWithoutSafeguard requires that the exploration finds the bound broken without each
// of the safeguards.
func TestServerLimitWithoutSafeguard(t *testing.T) {
	tests := map[string]safeguards{
		"ingresses tell nothing":          {noMemory: true},
		"rejections end the limit":        {anyAnswer: true},
		"a new limit starts with a burst": {full: true},
	}
	for name, out := range tests {
		t.Run(name, func(t *testing.T) {
			result := out.explore()
			assert.Assert(t, result.Err != nil)
			t.Log(result)
		})
	}
}
