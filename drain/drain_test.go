package drain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind/drain"
	_ "slatewind.example/slatewind/internal/seeded"
)

var began = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestAdmit: the requests that a shutdown with a grace period of six seconds accepts.
func TestAdmit(t *testing.T) {
	schedule := drain.Schedule{Began: began, Grace: 6 * time.Second}
	const long = time.Minute
	tests := map[string]struct {
		after time.Duration
		// remaining is the time until the request's deadline.
		request   drain.Request
		remaining time.Duration
		taken     bool
		// bounded is the time until the deadline that it is given, if that is less than
		// remaining.
		bounded time.Duration
	}{
		"a quick request at once":                {after: 0, request: drain.Request{Expected: time.Second}, remaining: long, taken: true},
		"one that can't be finished":             {after: 0, request: drain.Request{Expected: 5100 * time.Millisecond}, remaining: long},
		"one that can just be finished":          {after: 2 * time.Second, request: drain.Request{Expected: 3 * time.Second}, remaining: long, taken: true},
		"one that arrives too late for that":     {after: 2100 * time.Millisecond, request: drain.Request{Expected: 3 * time.Second}, remaining: long},
		"a quick request after the notice":       {after: 2200 * time.Millisecond, request: drain.Request{Expected: time.Millisecond}, remaining: time.Second},
		"a call after the notice":                {after: 2900 * time.Millisecond, request: drain.Request{Call: true, Expected: time.Second}, remaining: long, taken: true},
		"a late call, short of time":             {after: 3100 * time.Millisecond, request: drain.Request{Call: true, Expected: time.Second}, remaining: 1500 * time.Millisecond, taken: true},
		"a late call with time to spare":         {after: 3110 * time.Millisecond, request: drain.Request{Call: true, Expected: time.Second}, remaining: long, taken: true, bounded: 1800 * time.Millisecond},
		"a late call that takes too long":        {after: 3100 * time.Millisecond, request: drain.Request{Call: true, Expected: 2 * time.Second}, remaining: long},
		"a call when those who wait get answers": {after: 5200 * time.Millisecond, request: drain.Request{Call: true}, remaining: long},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := began.Add(test.after)
			test.request.Deadline = now.Add(test.remaining)
			deadline, taken := schedule.Admit(now, test.request)
			assert.Equal(t, taken, test.taken)
			if want := test.bounded; taken && want > 0 {
				assert.Equal(t, deadline, now.Add(want))
			} else if taken {
				assert.Equal(t, deadline, test.request.Deadline)
			}
		})
	}
}

// mayAbandon is the time from SIGTERM during which the operators allow a process to accept requests
// that it may abandon in the last sixth of the grace period.
const mayAbandon = 3 * time.Second

// job is one request in a simulated shutdown, with its result.
type job struct {
	drain.Request
	// arrives is relative to SIGTERM; searches is the duration of the search for a server, works
	// the service time.
	arrives, searches, works time.Duration

	sent, ended time.Time
	refused     bool
	// abandoned reports that the shutdown sent a final reply while a server was still working on
	// it.
	abandoned bool
}

// simulate simulates a request during a shutdown, in the same steps as the processes.
func (j *job) simulate(c drain.Schedule) {
	now := began.Add(j.arrives)
	if j.arrives >= 0 {
		deadline, taken := c.Admit(now, j.Request)
		if !taken {
			j.refused = true
			return
		}
		j.Deadline = deadline
	}
	now = now.Add(j.searches)
	if now.After(began) && !c.MayStart(now, j.Expected) || now.After(j.Deadline) {
		j.refused = true
		return
	}
	j.sent = now
	// A server ends a request at the deadline that it is given.
	j.ended = now.Add(j.works)
	if j.ended.After(j.Deadline) {
		j.ended = j.Deadline
	}
	if j.ended.After(c.WorkEnds()) {
		j.ended, j.abandoned = c.WorkEnds(), true
	}
}

// TestSchedule: whatever requests arrive during a shutdown, none that was sent to a server is
// abandoned before the last sixth of the grace period, nor at all if it arrived later than the
// operators allow for. The process exits by itself, as soon as it is idle after callers had time
// to notice the shutdown.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, low, high time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(t, name))
		}
		c := drain.Schedule{Began: began, Grace: span("grace", 2*time.Second, 20*time.Second)}
		last := began
		for range rapid.IntRange(0, 20).Draw(t, "jobs") {
			j := &job{
				arrives: span("arrives", -c.Grace, c.Grace), searches: span("searches", 0, 2*time.Second),
				works: span("works", 5*time.Millisecond, 3*c.Grace),
			}
			j.Call = rapid.Bool().Draw(t, "call")
			// The expected service time is independent of the actual one.
			j.Expected = span("expected", 0, c.Grace)
			j.Deadline = began.Add(j.arrives + span("time", 5*time.Millisecond, 3*c.Grace))
			j.simulate(c)
			if j.refused {
				continue
			}
			if j.abandoned {
				if j.ended.Sub(began) < c.Grace*5/6 {
					t.Fatalf("abandoned after %s of %s", j.ended.Sub(began), c.Grace)
				}
				if j.arrives > mayAbandon {
					t.Fatalf("arrived after %s of %s and was abandoned", j.arrives, c.Grace)
				}
			}
			if j.ended.After(last) {
				last = j.ended
			}
		}
		end := began
		for ; !c.Over(end, !end.Before(last)); end = end.Add(20 * time.Millisecond) {
		}
		if took := end.Sub(began); took >= c.Grace*93/100 || took < 0 {
			t.Fatalf("the shutdown took %s of %s", took, c.Grace)
		}
		if idle := maxTime(last, c.AdmissionEnds()); end.Sub(idle) > 20*time.Millisecond {
			t.Fatalf("the process was idle %s before its end", end.Sub(idle))
		}
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestRetryAfter: refused callers get the time after which the successor process is likely to be
// ready.
func TestRetryAfter(t *testing.T) {
	schedule := drain.Schedule{Began: began, Grace: 6 * time.Second}
	tests := map[string]struct {
		after, back time.Duration
	}{
		"while it is open":            {time.Second, 2500 * time.Millisecond},
		"while it closes":             {3 * time.Second, 1300 * time.Millisecond},
		"no longer than for the wait": {5 * time.Second, 960 * time.Millisecond},
		"after the wait":              {5500 * time.Millisecond, 800 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, schedule.RetryAfter(began.Add(test.after)), test.back)
		})
	}
}

// TestGrantsSlot: the server beside the process gets requests until admission closes, and
// afterwards while requests from before the close delay the exit.
func TestGrantsSlot(t *testing.T) {
	schedule := drain.Schedule{Began: began, Grace: 6 * time.Second}
	const mean = 400 * time.Millisecond
	// usual is the expected service time of a request at most servers.
	const usual = 3 * mean / 2
	tests := map[string]struct {
		after    time.Duration
		expected time.Duration
		held     int
		gives    bool
	}{
		"while it is open":                       {2199 * time.Millisecond, usual, 0, true},
		"with nothing from before":               {4 * time.Second, usual, 0, false},
		"with the usual work in hand":            {2900 * time.Millisecond, usual, 1, false},
		"while something takes long":             {3 * time.Second, usual, 1, true},
		"while something takes longer":           {3900 * time.Millisecond, usual, 1, false},
		"when that has ended, once more":         {3500 * time.Millisecond, usual, 0, false},
		"to a request that ends before the rest": {2200 * time.Millisecond, mean, 1, true},
		"while much is in hand":                  {2200 * time.Millisecond, usual, 3, true},
		"to one that takes longer than that":     {2200 * time.Millisecond, 2 * mean, 3, false},
		"to a short one late":                    {4200 * time.Millisecond, mean, 3, true},
		"to a short one too late":                {4201 * time.Millisecond, mean, 3, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			work := drain.Work{Held: test.held, Mean: mean}
			assert.Equal(t, schedule.GrantsSlot(began.Add(test.after), test.expected, work), test.gives)
		})
	}
}
