package once_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/once"
)

// none loses no message.
func none() string { return "" }

// sent executes the steps of a caller's chain until an attempt is sent and returns
// the attempt.
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

// TestJoiningRetryNeverRuns guards against a second run by a retry that was sent
// to join a running first attempt and finds it refused. The first attempt may be
// handed over to a candidate at which the retry could not seal the key, so the
// retry must not run.
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

// TestSealIsNoProof guards against taking seals for a proof that nothing ran. The
// home lost its records after a run, so a retry finds no record and seals the key
// at every candidate. A second retry finds these seals and must not run.
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

// TestLateMessageDoesNotMakeAKeyYounger checks that an attempt without a number,
// delayed in transit, does not run if the home restarted after it had run the
// request: the age of the key is taken when the ingress receives it.
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
		"opaque":                   {key: "order-17", born: now.Add(-lifetime - once.ClockSkew)},
		"uuidv7":                   {key: "018bcfe5-67e1-7000-8000-000000000000", born: time.UnixMilli(0x018bcfe567e1).Add(-once.ClockSkew)},
		"uuidv4":                   {key: "018bcfe5-67e1-4000-8000-000000000000", born: now.Add(-lifetime - once.ClockSkew)},
		"uuidv7 in the far future": {key: "ffffffff-ffff-7000-8000-000000000000", born: now.Add(-lifetime - once.ClockSkew)},
		"no hex":                   {key: "018bcfe5-67e1-7zzz-8000-000000000000", born: now.Add(-lifetime - once.ClockSkew)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, once.KeyBorn(now, tt.key, lifetime).Equal(tt.born))
		})
	}
}

// TestCancelUnderAnotherViewIsNoProof checks that a cancellation under other
// settings is no proof for a retry. An ingress with old settings cancels its first
// attempt at a sidecar with new settings and hands over to a server that only the
// old settings contain; a retry under the new settings must not run.
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

// TestEvictionMovesTheCover checks that a request does not run again after its
// record was evicted to make room for another.
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

// TestMemoryIsBounded checks that a full store never evicts running records,
// deletes answers before records, and refuses requests for which it has no room.
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

// TestRetriesLeaveRoomForNewRequests guards against retries filling the store: each
// retry whose first attempt is forgotten seals its key, and new requests must
// still find room.
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
		// If the key could not be sealed, the reply must not serve as a proof.
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
