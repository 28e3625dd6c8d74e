package inbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/admission"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/quarantine"
)

// TestProcessPause: time during which this process did not run is not counted as the
// server's, whose answers may have been waiting unread. Time during which the process ran and the
// server did not answer is counted.
func TestProcessPause(t *testing.T) {
	const work, silence = 400 * time.Millisecond, 2 * time.Second
	tests := map[string]struct {
		paused bool
		// resume is the first activity of the process after the silence.
		resume func(t *testing.T, in *Inbound, now time.Time)
		want   breaker.State
	}{
		"silent while the process ran": {false, tickOnly, breaker.StateOpen},
		"paused, then a tick":          {true, tickOnly, breaker.StateClosed},
		"paused, then a reservation":   {true, reservationFirst, breaker.StateClosed},
		"paused, then answers":         {true, answerFirst, breaker.StateClosed},
		"paused, then a call":          {true, callFirst, breaker.StateClosed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := New(Server{Service: "s"}, Bounds{}, history.New(0, nil), quarantine.NewTable(nil, nil), Memory{})
			resumed := time.Now()
			now := resumed.Add(-silence)
			in.tick(now)
			for _, id := range []string{"a", "b", "c", "d"} {
				in.breaker.Grant(now, id, "route", work)
				in.breaker.Start(now, id)
				in.parents[id] = &parent{item: id}
			}
			for !test.paused && now.Before(resumed) {
				now = now.Add(tickInterval)
				in.tick(now)
			}
			test.resume(t, in, resumed)
			assert.Equal(t, in.breaker.State(), test.want)
		})
	}
}

func tickOnly(_ *testing.T, in *Inbound, now time.Time) { in.tick(now) }

// reservationFirst makes a reservation for a request that must not be repeated and tolerates as
// much suspicion as a busy healthy server shows.
func reservationFirst(t *testing.T, in *Inbound, now time.Time) {
	t.Helper()
	_, refusal, _ := in.offer(now, &slatewindv1.Reservation{
		Service: "s", Careful: true, BearableTenths: 10, RemainingMs: 1000, PatienceMs: 1000,
	})
	assert.Assert(t, refusal == nil, "refused: %v", refusal)
	in.tick(now)
}

// answerFirst completes the requests whose answers were waiting unread.
func answerFirst(_ *testing.T, in *Inbound, now time.Time) {
	for _, id := range []string{"a", "b", "c"} {
		u := &use{in: in, item: admission.Item{ID: id}, granted: now}
		u.endRun(breaker.ResultOK, "")
	}
	in.tick(now)
}

// callFirst begins a nested call of one of the server's requests.
func callFirst(t *testing.T, in *Inbound, now time.Time) {
	t.Helper()
	_, known := in.NestedCall("a.1")
	assert.Assert(t, known)
	in.tick(now)
}

// TestAnswersReadLate: the breaker does not open because of answers that have arrived and that
// this process, being slow, has not read yet.
func TestAnswersReadLate(t *testing.T) {
	const work = 100 * time.Millisecond
	tests := map[string]struct {
		come bool
		want breaker.State
	}{
		"answers that have come": {true, breaker.StateClosed},
		"answers that have not":  {false, breaker.StateOpen},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			in := New(Server{Service: "s"}, Bounds{}, history.New(0, nil), quarantine.NewTable(nil, nil), Memory{})
			began := time.Now()
			for _, id := range []string{"a", "b"} {
				in.breaker.Grant(began, id, "route", work)
				in.beginServerTime(id, func() bool { return test.come })
			}
			for now := began; now.Before(began.Add(10 * work)); now = now.Add(tickInterval) {
				in.tick(now)
			}
			assert.Equal(t, in.breaker.State(), test.want)
		})
	}
}
