package once_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/once"
)

// none is the loss of nothing.
func none() string { return "" }

// sent has a caller's chain take its next step, which must send an attempt.
func sent(t *testing.T, w *world, c *caller, lost func() string) *flight {
	t.Helper()
	for range 3 {
		w.step(c, true, lost)
		if c.waiting != nil {
			return c.waiting
		}
	}
	t.Fatalf("no attempt was sent, outcome %q", c.outcome)
	return nil
}

func total(w *world) int {
	n := 0
	for _, runs := range w.ran {
		n += runs
	}
	return n
}

// TestJoiningRetryNeverRuns: a retry that came to join a running first attempt
// finds it refused meanwhile. The first attempt may go on to a candidate that
// the retry could not seal, so the retry must not run.
func TestJoiningRetryNeverRuns(t *testing.T) {
	w := newWorld(true, 0, 0)
	w.call(0)
	first := w.callers[0]
	atHome := sent(t, w, first, none)
	w.deliver(atHome)

	w.call(0)
	retry := w.callers[1]
	answers := []string{"", "question", ""}
	joining := sent(t, w, retry, func() string {
		lost := answers[0]
		answers = answers[1:]
		return lost
	})

	w.serve(w.sides[0], atHome, "refuse")
	handedOver := sent(t, w, first, none)
	w.deliver(handedOver)
	w.serve(w.sides[1], handedOver, "answer")

	w.deliver(joining)
	for _, f := range w.sides[0].running {
		w.serve(w.sides[0], f, "answer")
	}
	assert.Equal(t, total(w), 1)
}

// TestSealIsNoProof: a retry seals every candidate and finds nothing, for the
// home lost its memory after a run. A second retry must not take the first
// one's seals for a proof that nothing ran.
func TestSealIsNoProof(t *testing.T) {
	w := newWorld(true, 0, 0)
	w.call(0)
	atHome := sent(t, w, w.callers[0], none)
	w.deliver(atHome)
	w.serve(w.sides[0], atHome, "lose")
	w.restart(0)
	w.now = w.now.Add(time.Minute)
	for n := 1; n <= 2; n++ {
		w.call(0)
		retry := w.callers[n]
		w.step(retry, true, none)
		w.step(retry, true, none)
		assert.Equal(t, retry.outcome, slatewind.OutcomeUnknown)
	}
	assert.Equal(t, total(w), 1)
}

// TestLateMessageDoesNotMakeAKeyYounger: an attempt without a number waits on
// its way, and the home restarted after it had run the request.
func TestLateMessageDoesNotMakeAKeyYounger(t *testing.T) {
	w := newWorld(false, 0, 0)
	w.call(0)
	w.call(0)
	run := sent(t, w, w.callers[0], none)
	w.deliver(run)
	w.serve(w.sides[0], run, "lose")
	w.restart(0)
	late := sent(t, w, w.callers[1], none)
	w.now = w.now.Add(time.Minute)
	w.deliver(late)
	assert.Equal(t, len(w.sides[0].running), 0)
}

func TestKeyBorn(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	const lifetime = 10 * time.Minute
	tests := map[string]struct {
		key  string
		born time.Time
	}{
		"opaque":             {key: "order-17", born: now.Add(-lifetime - once.ClockSkew)},
		"uuidv7":             {key: "018bcfe5-67e1-7000-8000-000000000000", born: time.UnixMilli(0x018bcfe567e1).Add(-once.ClockSkew)},
		"uuidv4":             {key: "018bcfe5-67e1-4000-8000-000000000000", born: now.Add(-lifetime - once.ClockSkew)},
		"uuidv7 from beyond": {key: "ffffffff-ffff-7000-8000-000000000000", born: now.Add(-lifetime - once.ClockSkew)},
		"no hex":             {key: "018bcfe5-67e1-7zzz-8000-000000000000", born: now.Add(-lifetime - once.ClockSkew)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, once.KeyBorn(now, tt.key, lifetime).Equal(tt.born))
		})
	}
}

// TestCancelUnderAnotherViewIsNoProof: an ingress with old settings cancels its
// first attempt at a sidecar with new ones and hands over to a server that only
// the old settings have. The cancellation must not count as a proof under the
// new settings.
func TestCancelUnderAnotherViewIsNoProof(t *testing.T) {
	const before, after = 2, 2
	w := newWorld(true, before, after)
	for _, i := range []int{1, 2, 3} {
		w.sides[i].view = 1
		w.sides[i].records.SetOwners(w.now, "service", owners(1))
	}
	w.now = w.now.Add(time.Minute)
	w.call(0)
	first := w.callers[0]
	sent(t, w, first, none)
	w.giveUp(first, true)
	w.deliver(sent(t, w, first, none))
	removed := sent(t, w, first, none)
	w.deliver(removed)
	w.serve(w.sides[0], removed, "lose")

	w.now = w.now.Add(time.Minute)
	w.call(1)
	retry := w.callers[1]
	w.step(retry, true, none)
	w.step(retry, true, none)
	assert.Equal(t, retry.outcome, slatewind.OutcomeUnknown)
}

// TestEvictionMovesTheCover: a record makes room for another; the key that it
// stood for must not run again.
func TestEvictionMovesTheCover(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := once.NewStore(now, 1, 0)
	s.SetOwners(now, "service", 1)
	born := now.Add(time.Minute)
	request := func(key string, claim slatewind.Claim) once.Request {
		return once.Request{ID: once.ID{Service: "service", Key: key}, Claim: claim, KeyBorn: born, Home: true, Owners: 1}
	}
	now = now.Add(2 * time.Minute)
	payment := request("payment", slatewind.ClaimUnnumbered)
	assert.Equal(t, s.Begin(now, payment).Action, once.ActionRun)
	s.Finish(now, payment.ID, &slatewind.Answer{Status: 200})
	assert.Equal(t, s.Begin(now, payment).Action, once.ActionReplay)
	assert.Equal(t, s.Begin(now, request("other", slatewind.ClaimFirst)).Action, once.ActionRun)
	assert.Equal(t, s.Begin(now, payment).Action, once.ActionUnknown)
}

// TestMemoryIsBounded: at the bounds of a store what runs is never forgotten,
// answers go before records, and a request that finds no room is refused.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := once.NewStore(now, 10, 100)
	s.SetOwners(now, "service", 1)
	first := func(key int) once.Request {
		return once.Request{ID: once.ID{Service: "service", Key: fmt.Sprint(key)}, Claim: slatewind.ClaimFirst, Owners: 1}
	}
	for i := range 10 {
		assert.Equal(t, s.Begin(now, first(i)).Action, once.ActionRun)
	}
	assert.Equal(t, s.Begin(now, first(10)).Action, once.ActionRefuse)
	for i := range 10 {
		s.Finish(now, first(i).ID, &slatewind.Answer{Status: 200, Body: make([]byte, 30)})
	}
	records, bytes := s.Len()
	assert.Equal(t, records, 10)
	assert.Assert(t, bytes <= 100)
	assert.Equal(t, s.Begin(now, first(0)).Action, once.ActionUnknown)
	assert.Equal(t, s.Begin(now, first(9)).Action, once.ActionReplay)
}

// TestRetriesLeaveRoomForNewRequests: retries whose first attempts are forgotten
// seal key after key; new requests must still find room.
func TestRetriesLeaveRoomForNewRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := once.NewStore(now, 20, 0)
	s.SetOwners(now, "service", 1)
	request := func(key string, claim slatewind.Claim) once.Request {
		return once.Request{ID: once.ID{Service: "service", Key: key}, Claim: claim, Owners: 1, Attempt: key}
	}
	now = now.Add(time.Hour)
	for i := range 100 {
		reply := s.Seal(now, request(fmt.Sprint("retry-", i), slatewind.ClaimRetry))
		assert.Equal(t, reply.State, slatewind.RecordNone)
		// Where nothing could be sealed the reply must prove nothing.
		assert.Equal(t, reply.CoverAge == 0, i >= 5)
		cancelled := request(fmt.Sprint("cancelled-", i), slatewind.ClaimFirst)
		assert.Equal(t, s.Cancelled(now, cancelled), slatewind.CancelNotStarted)
	}
	for i := range 10 {
		first := request(fmt.Sprint("first-", i), slatewind.ClaimFirst)
		assert.Equal(t, s.Begin(now, first).Action, once.ActionRun)
		s.Revoke(now, first.ID, first.Claim)
	}
	records, _ := s.Len()
	assert.Assert(t, records <= 20)
	assert.Equal(t, s.Begin(now, request("another", slatewind.ClaimFirst)).Action, once.ActionRun)
}
