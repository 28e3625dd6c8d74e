package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/internal/explore"
)

// The exploration: one process that has requests, and two that give a workspace's tokens, with
// the real Spender and Ledger. Messages are lost, come twice and come late; a process that
// gives starts anew; the home moves from the first to the second, which all hear of at any
// time, in any order. Time passes in whole ticks.

const (
	exploredTick     = 300 * time.Millisecond
	exploredTicks    = 1
	exploredRequests = 5
	exploredBurst    = 2
	// exploredMessages is how many may be on their way at once.
	exploredMessages = 2
	// exploredTrouble is how much may go wrong: restarts, moves, messages that come twice.
	exploredTrouble = 1
)

// exploredLimit is the workspace's. Nothing comes while the play lasts, so that what is let
// through is counted exactly.
var exploredLimit = slatewind.WorkspaceLimit{Workspace: "w", Rate: 1e-9, Burst: exploredBurst, Version: 1}

// message is a question on its way to a giver, or its answer on the way back.
type message struct {
	to     int
	role   Role
	answer bool
	reply  Answer
	// attempt tells the questions of a request apart, so that a late answer is known as one.
	attempt int
}

// explored is a state of the play.
type explored struct {
	tick    int
	ledgers [2]*Ledger
	// home is the giver that comes first; views are what the asker and the givers believe.
	home, asker int
	views       [2]int
	spender     Spender
	messages    []message
	// attempt numbers the open question, 0 where there is none; second says that it went to
	// the second giver.
	attempt, last  int
	second         bool
	sent, allowed  int
	trouble, moves int
	restarts       int
}

func (s *explored) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s.tick) * exploredTick)
}

func (s *explored) clone() *explored {
	c := *s
	c.messages = append([]message(nil), s.messages...)
	for i, l := range s.ledgers {
		c.ledgers[i] = &Ledger{accounts: map[string]*account{}, since: l.since, swept: l.swept}
		for name, a := range l.accounts {
			copied, bucket := *a, *a.bucket
			copied.bucket = &bucket
			c.ledgers[i].accounts[name] = &copied
		}
	}
	if s.spender.alone != nil {
		alone := *s.spender.alone
		c.spender.alone = &alone
	}
	return &c
}

// key tells states apart that differ in what may follow.
func (out safeguards) key(s *explored) string {
	text := fmt.Sprintf("%d %d %d %v %t %t %d %d %d %d|", s.tick, s.home, s.asker, s.views, s.attempt > 0, s.second, s.sent, s.allowed, s.trouble, s.restarts)
	for _, m := range s.messages {
		if m.answer && m.attempt != s.attempt && !out.lateAnswers {
			continue
		}
		// Of the attempt it matters only whether it is the open one.
		text += fmt.Sprintf("%d %s %t %d %t,", m.to, m.role, m.answer, m.reply.Tokens, m.attempt == s.attempt)
	}
	for _, l := range s.ledgers {
		text += fmt.Sprint("|", l.since.UnixMilli())
		if a := l.accounts["w"]; a != nil {
			text += fmt.Sprintf(" %s %.2f %d %d", a.role, a.bucket.level, a.bucket.at.UnixMilli(), a.used.UnixMilli())
		}
	}
	sp := s.spender
	return text + fmt.Sprintf("|%d %d %d %t", sp.held, sp.expires.UnixMilli(), sp.refused.UnixMilli(), sp.alone != nil)
}

// safeguards are what an exploration may leave out.
type safeguards struct {
	// lateAnswers are taken, homes believe whoever takes them for one, giving processes begin
	// with a full bucket, and the second gives as the home does.
	lateAnswers, believing, full, equal bool
}

// next calls step with what may follow.
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
		if m.answer && m.attempt != s.attempt && !out.lateAnswers {
			continue // It changes nothing. What never comes is lost.
		}
		if s.trouble < exploredTrouble {
			twice := s.clone()
			twice.trouble++
			out.deliver(twice, m)
			step(fmt.Sprint("comes and comes again: ", m), twice)
		}
		out.deliver(c, m)
		step(fmt.Sprint("comes: ", m), c)
	}
	if s.attempt > 0 {
		c := s.clone()
		c.timeOut()
		step("no answer in time", c)
	}
	if s.tick < exploredTicks {
		c := s.clone()
		c.tick++
		step("time passes", c)
	}
	out.troubles(s, step)
}

// troubles calls step with what may go wrong.
func (out safeguards) troubles(s *explored, step func(string, *explored)) {
	if s.trouble < exploredTrouble {
		for i := range s.ledgers {
			c := s.clone()
			c.trouble++
			c.restarts++
			c.ledgers[i] = NewLedger(c.now())
			if out.full {
				c.ledgers[i] = fullLedger(c.now())
			}
			step(fmt.Sprint("giver starts anew: ", i), c)
		}
		if s.home == 0 {
			c := s.clone()
			c.trouble++
			c.home = 1
			c.moves++
			step("the home moves", c)
		}
	}
	if s.asker != s.home {
		c := s.clone()
		c.asker = c.home
		step("the asker hears of it", c)
	}
	for i := range s.views {
		if s.views[i] == s.home {
			continue
		}
		c := s.clone()
		c.views[i] = c.home
		c.ledgers[i].Moved(c.now(), func(string) Role { return c.roleOf(i) })
		step(fmt.Sprint("a giver hears of it: ", i), c)
	}
}

// roleOf returns a giver's role as it knows the hosts.
func (s *explored) roleOf(giver int) Role {
	if s.views[giver] == giver {
		return RoleHome
	}
	return RoleStandIn
}

// request begins a request.
func (s *explored) request() {
	s.sent++
	switch s.spender.Begin(s.now(), exploredLimit) {
	case StepAllow:
		s.allowed++
	case StepAsk:
		s.ask(s.asker, RoleHome, false)
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

// timeOut gives up the open question, as Limiter.ask does.
func (s *explored) timeOut() {
	if !s.second {
		s.ask(1-s.asker, RoleStandIn, true)
		return
	}
	s.attempt = 0
	if s.spender.Unanswered(s.now()) == StepAllow {
		s.allowed++
	}
}

// deliver brings a message to where it goes.
func (out safeguards) deliver(s *explored, m message) {
	if m.answer {
		if m.attempt != s.attempt && !out.lateAnswers {
			return
		}
		s.attempt = 0
		if s.spender.Answered(s.now(), m.reply) == StepAllow {
			s.allowed++
		}
		return
	}
	role := m.role
	if role == RoleHome && s.roleOf(m.to) != RoleHome && !out.believing {
		role = RoleStandIn
	}
	if out.equal {
		role = RoleHome
	}
	reply := s.ledgers[m.to].Take(s.now(), Question{Limit: exploredLimit, Tokens: 1, Role: role})
	s.messages = append(s.messages, message{to: m.to, answer: true, reply: reply, attempt: m.attempt})
}

// check returns whether more was let through than the burst, one token for each process that
// began to give anew, and one for the part of a stand-in at whoever is or was the second.
func (s *explored) check() error {
	allowed := exploredBurst + s.restarts + 1 + 2*s.moves
	if s.allowed > allowed {
		return fmt.Errorf("%d requests were let through, %d are allowed", s.allowed, allowed)
	}
	return nil
}

// fullLedger returns that of a home whose bucket is full.
func fullLedger(now time.Time) *Ledger {
	l := NewLedger(now)
	l.accounts["w"] = &account{limit: exploredLimit, role: RoleHome, used: now, bucket: NewBucket(now, exploredLimit.Rate, exploredBurst, 1)}
	return l
}

// explore plays all orders.
func (out safeguards) explore() explore.Result {
	start := &explored{}
	now := start.now()
	start.ledgers = [2]*Ledger{fullLedger(now), NewLedger(now)}
	if out.equal {
		start.ledgers[1] = fullLedger(now)
	}
	return explore.Model[*explored, string]{
		Start: start, Key: out.key, Check: (*explored).check, MaxStates: 700_000,
		Next: out.next,
	}.Run()
}

// TestLimitInAllOrders: whatever becomes of messages, and whenever the home starts anew or moves,
// no more is let through than burst and parts allow.
func TestLimitInAllOrders(t *testing.T) {
	t.Parallel()
	result := safeguards{}.explore()
	assert.NilError(t, result.Err, "%v", result)
	t.Logf("%d states", result.States)
}

// TestLimitInAllOrdersWithoutSafeguard: without a safeguard the exploration finds the order that
// breaks the limit.
func TestLimitInAllOrdersWithoutSafeguard(t *testing.T) {
	t.Parallel()
	tests := map[string]safeguards{
		"late answers are taken":               {lateAnswers: true},
		"a process that begins has all tokens": {full: true},
		"the second gives as the home does":    {equal: true},
	}
	for name, out := range tests {
		t.Run(name, func(t *testing.T) {
			result := out.explore()
			assert.ErrorContains(t, result.Err, "let through", "%v", result)
			t.Logf("%v", result)
		})
	}
}
