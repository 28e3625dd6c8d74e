package once_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/attempt"
	_ "slatewind.example/slatewind/internal/seeded"
	"slatewind.example/slatewind/once"
)

// The settings have one of two server lists; the second has server 3 in place of
// server 0. The servers in both lists keep their order as candidates, as with
// rendezvous hashing; the position of the changed server is drawn.
var (
	beforeChange = [][]int{{0, 1, 2}, {1, 0, 2}, {1, 2, 0}}
	afterChange  = [][]int{{3, 1, 2}, {1, 3, 2}, {1, 2, 3}}
)

const (
	sidecars   = 4
	keyOfTest  = "key"
	storeBound = 4
)

// sidecar is one sidecar of the model: the real records and attempts, and the
// attempts in progress at its server.
type sidecar struct {
	process  uint64
	view     int
	records  *once.Store
	attempts *attempt.Table
	running  []*flight
}

// flight is one attempt that was sent, and may be delivered and run.
type flight struct {
	id          string
	to          int
	incarnation uint64
	request     once.Request
	caller      *caller
	delivered   bool
}

// caller is one caller's attempt at an ingress, with its chain.
type caller struct {
	view     int
	chain    *once.Chain
	waiting  *flight
	attempts []string
	outcome  slatewind.Outcome
}

// world models callers, a lossy network and sidecars around the real Store, Chain
// and attempt.Table.
type world struct {
	now      time.Time
	created  time.Time
	sides    [sidecars]*sidecar
	callers  []*caller
	flights  []*flight
	serial   int
	numbered bool
	// views holds the candidates under the settings before and after the change.
	views [2][]int
	// ran counts runs at servers, by attempt.
	ran map[string]int
}

func newWorld(numbered bool, before, after int) *world {
	w := &world{now: time.Unix(1_000_000, 0), numbered: numbered, ran: map[string]int{}}
	w.views = [2][]int{beforeChange[before], afterChange[after]}
	for i := range w.sides {
		w.sides[i] = &sidecar{}
		w.restart(i)
	}
	w.now = w.now.Add(time.Hour)
	w.created = w.now
	return w
}

func owners(view int) uint64 { return uint64(view + 1) }

func (w *world) restart(i int) {
	s := w.sides[i]
	s.process++
	s.records = once.NewStore(w.now, storeBound, 0)
	s.records.SetOwners(w.now, "service", owners(s.view))
	s.attempts = attempt.NewTable(w.now, s.process<<24|1, 0)
	s.running = nil
}

func (w *world) request(c *caller, to int, claim slatewind.Claim, id string) once.Request {
	return once.Request{
		ID:          once.ID{Service: "service", Server: fmt.Sprint(to), Key: keyOfTest},
		Fingerprint: 1,
		Claim:       claim,
		KeyBorn:     w.created,
		Home:        to == w.views[c.view][0],
		Owners:      owners(c.view),
		Attempt:     id,
	}
}

// call begins a caller's next attempt at an ingress with the given settings.
func (w *world) call(view int) {
	claim := slatewind.ClaimUnnumbered
	if w.numbered {
		claim = slatewind.ClaimRetry
		if len(w.callers) == 0 {
			claim = slatewind.ClaimFirst
		}
	}
	w.callers = append(w.callers, &caller{view: view, chain: once.NewChain(claim, len(w.views[view]))})
}

// step executes the next step of an ingress for a caller.
func (w *world) step(c *caller, written bool, lost func() string) {
	step := c.chain.Step()
	switch step.Kind {
	case once.StepFinal:
		c.outcome = step.Outcome
	case once.StepSeal:
		c.chain.Sealed(w.sealAll(c, lost), 0)
	case once.StepRun:
		if !written {
			c.chain.Ran(once.RanNotWritten, "")
			return
		}
		w.serial++
		to := w.views[c.view][step.Candidate]
		f := &flight{id: fmt.Sprint("a", w.serial), to: to, incarnation: w.sides[to].attempts.Incarnation(), caller: c}
		f.request = w.request(c, to, step.Claim, f.id)
		c.attempts = append(c.attempts, f.id)
		c.waiting = f
		w.flights = append(w.flights, f)
	}
}

func (w *world) sealAll(c *caller, lost func() string) []once.SealReply {
	var replies []once.SealReply
	for _, to := range w.views[c.view] {
		what := lost()
		reply := once.SealReply{Unreachable: true}
		if what != "question" {
			reply = w.sides[to].records.Seal(w.now, w.request(c, to, slatewind.ClaimRetry, ""))
		}
		if what != "" {
			reply = once.SealReply{Unreachable: true}
		}
		replies = append(replies, reply)
	}
	return replies
}

// deliver delivers an attempt to its sidecar.
func (w *world) deliver(f *flight) {
	f.delivered = true
	s := w.sides[f.to]
	if s.attempts.Admit(f.id, f.incarnation) != attempt.Admitted {
		w.reply(f, once.RanCancelled)
		return
	}
	switch s.records.Begin(w.now, f.request).Action {
	case once.ActionRun:
		s.running = append(s.running, f)
		return
	case once.ActionReplay:
		w.reply(f, once.RanAnswer)
	case once.ActionRefuse:
		w.reply(f, once.RanCancelled)
	case once.ActionMismatch:
		w.reply(f, once.RanMismatch)
	default:
		w.reply(f, once.RanUnknown)
	}
	s.attempts.Refuse(f.id)
}

// serve ends an attempt in progress at a sidecar: refused for lack of a slot, or
// run by the server with or without an answer.
func (w *world) serve(s *sidecar, f *flight, what string) {
	for i, other := range s.running {
		if other == f {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	if what == "refuse" || !s.attempts.Start(f.id) {
		s.attempts.Refuse(f.id)
		if s.records.RunningFor(f.request.ID, f.id) {
			s.records.Revoke(w.now, f.request.ID, f.request.Claim)
		}
		w.reply(f, once.RanRefused)
		return
	}
	w.ran[f.id]++
	s.attempts.End(f.id)
	if what == "lose" {
		s.records.MarkLost(w.now, f.request.ID)
		w.reply(f, once.RanUnknown)
		return
	}
	s.records.Finish(w.now, f.request.ID, &slatewind.Answer{Status: 200})
	w.reply(f, once.RanAnswer)
}

// reply passes a result to the ingress if it still waits for this attempt.
func (w *world) reply(f *flight, ran once.Ran) {
	if f.caller.waiting == f {
		f.caller.waiting = nil
		f.caller.chain.Ran(ran, "")
	}
}

// giveUp lets an ingress cancel the attempt for which it waits; received reports
// whether the reply to the cancellation arrives.
func (w *world) giveUp(c *caller, received bool) {
	f := c.waiting
	s := w.sides[f.to]
	c.waiting = nil
	state := s.attempts.Cancel(f.id, f.incarnation)
	if state == slatewind.CancelNotStarted {
		if s.records.RunningFor(f.request.ID, f.id) {
			s.records.Revoke(w.now, f.request.ID, f.request.Claim)
		}
		state = s.records.Cancelled(w.now, f.request)
	}
	if received && state == slatewind.CancelNotStarted {
		c.chain.Ran(once.RanCancelled, "")
		return
	}
	c.chain.Ran(once.RanUnknown, "")
}

// crowd adds the record of another request to a store.
func (w *world) crowd(s *sidecar) {
	w.serial++
	id := once.ID{Service: "service", Key: fmt.Sprint("other", w.serial)}
	verdict := s.records.Begin(w.now, once.Request{ID: id, Claim: slatewind.ClaimFirst, Owners: owners(s.view)})
	if verdict.Action == once.ActionRun {
		s.records.Finish(w.now, id, &slatewind.Answer{})
	}
}

func (w *world) check(t *rapid.T) {
	total := 0
	for _, n := range w.ran {
		total += n
	}
	assert.Assert(t, total <= 1, "the request ran %d times: %v", total, w.ran)
	for i, c := range w.callers {
		if c.outcome != slatewind.OutcomeNotRun {
			continue
		}
		for _, id := range c.attempts {
			assert.Assert(t, w.ran[id] == 0, "caller %d was answered not-run and its attempt %s ran", i, id)
		}
	}
}

// pick draws one of the elements for which fits is true; it skips the action if
// there is none.
func pick[T any](t *rapid.T, all []T, fits func(T) bool) T {
	var fitting []T
	for _, x := range all {
		if fits(x) {
			fitting = append(fitting, x)
		}
	}
	if len(fitting) == 0 {
		t.Skip("nothing fits")
	}
	return fitting[rapid.IntRange(0, len(fitting)-1).Draw(t, "which")]
}

func (w *world) actions(changeOwners bool) map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"call": func(t *rapid.T) {
			if len(w.callers) >= 5 {
				t.Skip("enough callers")
			}
			view := 0
			if changeOwners {
				view = rapid.IntRange(0, 1).Draw(t, "view")
			}
			w.call(view)
		},
		"call again": func(t *rapid.T) {
			for _, c := range w.callers {
				if c.outcome == "" {
					t.Skip("the caller still waits")
				}
			}
			if len(w.callers) >= 5 {
				t.Skip("enough callers")
			}
			w.call(0)
		},
		"step": func(t *rapid.T) {
			c := pick(t, w.callers, func(c *caller) bool { return c.waiting == nil && c.outcome == "" })
			// Usually an ingress executes its steps at once; sometimes it is slow
			// between them.
			steps := rapid.SampledFrom([]int{9, 9, 9, 1}).Draw(t, "steps")
			for ; steps > 0 && c.waiting == nil && c.outcome == ""; steps-- {
				w.step(c, rapid.IntRange(0, 5).Draw(t, "unwritten") > 0, func() string {
					return rapid.SampledFrom([]string{"", "", "", "", "", "", "question", "reply"}).Draw(t, "lost")
				})
			}
		},
		"deliver": func(t *rapid.T) {
			w.deliver(pick(t, w.flights, func(f *flight) bool { return !f.delivered }))
		},
		"serve": func(t *rapid.T) {
			s := pick(t, w.sides[:], func(s *sidecar) bool { return len(s.running) > 0 })
			f := pick(t, s.running, func(*flight) bool { return true })
			w.serve(s, f, rapid.SampledFrom([]string{"answer", "lose", "refuse"}).Draw(t, "what"))
		},
		"give up": func(t *rapid.T) {
			c := pick(t, w.callers, func(c *caller) bool { return c.waiting != nil })
			w.giveUp(c, rapid.Bool().Draw(t, "heard"))
		},
		"restart": func(t *rapid.T) {
			w.restart(rapid.IntRange(0, sidecars-1).Draw(t, "sidecar"))
		},
		"pause": func(t *rapid.T) {
			w.sides[rapid.IntRange(0, sidecars-1).Draw(t, "sidecar")].attempts.Wake(w.now)
		},
		"crowd": func(t *rapid.T) {
			w.crowd(w.sides[rapid.IntRange(0, sidecars-1).Draw(t, "sidecar")])
		},
		"time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 60, 200, 600}).Draw(t, "seconds")) * time.Second)
			for _, s := range w.sides {
				s.attempts.Rotate(w.now)
			}
		},
		"": w.check,
	}
	if changeOwners {
		actions["adopt"] = func(t *rapid.T) {
			s := pick(t, w.sides[:], func(s *sidecar) bool { return s.view == 0 })
			s.view = 1
			s.records.SetOwners(w.now, "service", owners(1))
		}
	}
	return actions
}

// TestNumberedAttemptsRunAtMostOnce checks numbered attempts for one key under
// lost, delayed and reordered messages, restarts, pauses, evictions and two
// versions of the settings in force at the same time, in random order.
func TestNumberedAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.IntRange(0, len(beforeChange)-1).Draw(t, "before")
		after := rapid.IntRange(0, len(afterChange)-1).Draw(t, "after")
		t.Repeat(newWorld(true, before, after).actions(true))
	})
}

// TestUnnumberedAttemptsRunAtMostOnce does the same for attempts without a number,
// under one version of the settings.
func TestUnnumberedAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newWorld(false, 0, 0).actions(false))
	})
}
