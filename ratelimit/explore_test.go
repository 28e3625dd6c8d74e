package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/explore"
)

// The exploration covers one process with requests (the consumer) and two that allocate the tokens
// of a workspace, with the real Consumer and Allocator. Messages are lost, duplicated and delayed;
// an allocating process restarts; the home moves from the first to the second, which the processes
// learn at any time and in any order. Time passes in whole ticks.

const (
	exploredTick     = 300 * time.Millisecond
	exploredTicks    = 1
	exploredRequests = 5
	exploredBurst    = 2
	// exploredMessages is the maximum number of messages in flight.
	exploredMessages = 2
	// exploredFaults is the maximum number of faults: restarts, moves and duplicated messages.
	exploredFaults = 1
)

// exploredLimit is the limit of the workspace. No tokens accrue during the exploration, so that the
// number of allowed requests is exact.
var exploredLimit = slatewind.WorkspaceLimit{Workspace: "w", Rate: 1e-9, Burst: exploredBurst, Version: 1}

// message is a token request on its way to an allocator, or the reply on its way back.
type message struct {
	to      int
	role    Role
	isReply bool
	reply   TokenReply
	// attempt distinguishes the token requests of a request, so that a late reply is recognised.
	attempt int
}

// explored is a state of the exploration.
type explored struct {
	tick       int
	allocators [2]*Allocator
	// home is the allocator that ranks first; consumerHome and allocatorHomes are the home as known to the consumer
	// and to the allocators.
	home, consumerHome int
	allocatorHomes     [2]int
	consumer           Consumer
	messages           []message
	// attempt is the number of the open token request, 0 if there is none; second means that it was
	// sent to the second allocator.
	attempt, last int
	second        bool
	sent, allowed int
	faults, moves int
	restarts      int
}

func (s *explored) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s.tick) * exploredTick)
}

func (s *explored) clone() *explored {
	c := *s
	c.messages = append([]message(nil), s.messages...)
	for i, l := range s.allocators {
		c.allocators[i] = &Allocator{accounts: map[string]*account{}, since: l.since, swept: l.swept}
		for name, a := range l.accounts {
			copied, bucket := *a, *a.bucket
			copied.bucket = &bucket
			c.allocators[i].accounts[name] = &copied
		}
	}
	if s.consumer.isolated != nil {
		isolated := *s.consumer.isolated
		c.consumer.isolated = &isolated
	}
	return &c
}

// key distinguishes states that may continue differently.
func (out safeguards) key(s *explored) string {
	text := fmt.Sprintf("%d %d %d %v %t %t %d %d %d %d|", s.tick, s.home, s.consumerHome, s.allocatorHomes, s.attempt > 0, s.second, s.sent, s.allowed, s.faults, s.restarts)
	for _, m := range s.messages {
		if m.isReply && m.attempt != s.attempt && !out.lateReplies {
			continue
		}
		// Only whether the attempt is the open one matters.
		text += fmt.Sprintf("%d %s %t %d %t,", m.to, m.role, m.isReply, m.reply.Tokens, m.attempt == s.attempt)
	}
	for _, l := range s.allocators {
		text += fmt.Sprint("|", l.since.UnixMilli())
		if a := l.accounts["w"]; a != nil {
			text += fmt.Sprintf(" %s %.2f %d %d", a.role, a.bucket.level, a.bucket.at.UnixMilli(), a.used.UnixMilli())
		}
	}
	sp := s.consumer
	return text + fmt.Sprintf("|%d %d %d %t", sp.held, sp.expires.UnixMilli(), sp.refusedUntil.UnixMilli(), sp.isolated != nil)
}

// safeguards are the safeguards that an exploration leaves out.
type safeguards struct {
	// lateReplies: late replies are accepted; trustRole: an allocator accepts the role stated in a
	// token request; fullStart: processes start with a full bucket; fullShare: the second allocator
	// grants as much as the home.
	lateReplies, trustRole, fullStart, fullShare bool
}

// next calls step with each possible next state.
func (out safeguards) next(s *explored, step func(string, *explored)) {
	if s.attempt == 0 && s.sent < exploredRequests {
		c := s.clone()
		c.request()
		step("a request", c)
	}
	for i := range s.messages {
		c := s.clone()
		m := c.messages[i]
		c.messages = append(c.messages[:i], c.messages[i+1:]...)
		if m.isReply && m.attempt != s.attempt && !out.lateReplies {
			continue // No effect. A message that is never delivered is lost.
		}
		if s.faults < exploredFaults {
			duplicated := s.clone()
			duplicated.faults++
			out.deliver(duplicated, m)
			step(fmt.Sprint("delivered twice: ", m), duplicated)
		}
		out.deliver(c, m)
		step(fmt.Sprint("delivered: ", m), c)
	}
	if s.attempt > 0 {
		c := s.clone()
		c.timeOut()
		step("token request timed out", c)
	}
	if s.tick < exploredTicks {
		c := s.clone()
		c.tick++
		step("time passes", c)
	}
	out.faultSteps(s, step)
}

// faultSteps calls step with each state that a fault or a process learning of a move leads to.
func (out safeguards) faultSteps(s *explored, step func(string, *explored)) {
	if s.faults < exploredFaults {
		for i := range s.allocators {
			c := s.clone()
			c.faults++
			c.restarts++
			c.allocators[i] = NewAllocator(c.now())
			if out.fullStart {
				c.allocators[i] = fullAllocator(c.now())
			}
			step(fmt.Sprint("allocator restarts: ", i), c)
		}
		if s.home == 0 {
			c := s.clone()
			c.faults++
			c.home = 1
			c.moves++
			step("the home moves", c)
		}
	}
	if s.consumerHome != s.home {
		c := s.clone()
		c.consumerHome = c.home
		step("the consumer learns of the move", c)
	}
	for i := range s.allocatorHomes {
		if s.allocatorHomes[i] == s.home {
			continue
		}
		c := s.clone()
		c.allocatorHomes[i] = c.home
		c.allocators[i].HostsChanged(c.now(), func(string) Role { return c.roleOf(i) })
		step(fmt.Sprint("an allocator learns of the move: ", i), c)
	}
}

// roleOf returns the role of an allocator, given the hosts it knows.
func (s *explored) roleOf(allocator int) Role {
	if s.allocatorHomes[allocator] == allocator {
		return RoleHome
	}
	return RoleStandIn
}

// request starts a request.
func (s *explored) request() {
	s.sent++
	switch s.consumer.Begin(s.now(), exploredLimit) {
	case StepAllow:
		s.allowed++
	case StepAsk:
		s.ask(s.consumerHome, RoleHome, false)
	}
}

func (s *explored) ask(to int, role Role, second bool) {
	s.last++
	s.attempt, s.second = s.last, second
	s.messages = append(s.messages, message{to: to, role: role, attempt: s.last})
	if extra := len(s.messages) - exploredMessages; extra > 0 {
		s.messages = s.messages[extra:]
	}
}

// timeOut abandons the open token request, as Limiter.ask does.
func (s *explored) timeOut() {
	if !s.second {
		s.ask(1-s.consumerHome, RoleStandIn, true)
		return
	}
	s.attempt = 0
	if s.consumer.Unanswered(s.now()) == StepAllow {
		s.allowed++
	}
}

// deliver delivers a message to its recipient.
func (out safeguards) deliver(s *explored, m message) {
	if m.isReply {
		if m.attempt != s.attempt && !out.lateReplies {
			return
		}
		s.attempt = 0
		if s.consumer.Answered(s.now(), m.reply) == StepAllow {
			s.allowed++
		}
		return
	}
	role := m.role
	if role == RoleHome && s.roleOf(m.to) != RoleHome && !out.trustRole {
		role = RoleStandIn
	}
	if out.fullShare {
		role = RoleHome
	}
	reply := s.allocators[m.to].Take(s.now(), TokenRequest{Limit: exploredLimit, Tokens: 1, Role: role})
	s.messages = append(s.messages, message{to: m.to, isReply: true, reply: reply, attempt: m.attempt})
}

// check returns an error if more requests were allowed than the burst, one token for each restarted
// process, and one for the share of a stand-in at each process that is or was the second.
func (s *explored) check() error {
	allowed := exploredBurst + s.restarts + 1 + 2*s.moves
	if s.allowed > allowed {
		return fmt.Errorf("%d requests were let through, %d are allowed", s.allowed, allowed)
	}
	return nil
}

// fullAllocator returns the allocator of a home whose bucket is full.
func fullAllocator(now time.Time) *Allocator {
	l := NewAllocator(now)
	l.accounts["w"] = &account{limit: exploredLimit, role: RoleHome, used: now, bucket: NewBucket(now, exploredLimit.Rate, exploredBurst, 1)}
	return l
}

// explore visits all orders of events.
func (out safeguards) explore() explore.Result {
	start := &explored{}
	now := start.now()
	start.allocators = [2]*Allocator{fullAllocator(now), NewAllocator(now)}
	if out.fullShare {
		start.allocators[1] = fullAllocator(now)
	}
	return explore.Model[*explored, string]{
		Start: start, Key: out.key, Check: (*explored).check, MaxStates: 700_000,
		Next: out.next,
	}.Run()
}

// TestLimitInAllOrders checks that, whatever happens to messages and whenever the home restarts or
// moves, no more requests are allowed than burst and shares permit.
func TestLimitInAllOrders(t *testing.T) {
	t.Parallel()
	result := safeguards{}.explore()
	assert.NilError(t, result.Err, "%v", result)
	t.Logf("%d states", result.States)
}

// TestLimitInAllOrdersWithoutSafeguard checks that without a safeguard the exploration finds an
// order of events that exceeds the limit.
func TestLimitInAllOrdersWithoutSafeguard(t *testing.T) {
	t.Parallel()
	tests := map[string]safeguards{
		"late replies are accepted":             {lateReplies: true},
		"a process starts with a full bucket":   {fullStart: true},
		"the second grants as much as the home": {fullShare: true},
	}
	for name, out := range tests {
		t.Run(name, func(t *testing.T) {
			result := out.explore()
			assert.ErrorContains(t, result.Err, "let through", "%v", result)
			t.Logf("%v", result)
		})
	}
}
