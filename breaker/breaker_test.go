package breaker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/breaker"
)

// step is one event at a server: a request starts or ends, or time passes.
type step struct {
	after time.Duration
	start string
	// expected is how long the sender expects the request to take.
	expected time.Duration
	end      string
	result   breaker.Result
	// pause and resume name a request whose nested call begins or ends, unread and read one whose
	// answer arrives or is read.
	pause, resume, unread, read string
}

const ms = time.Millisecond

func run(steps []step) (*breaker.Breaker, time.Time) {
	b := breaker.New()
	now := time.Unix(1000, 0)
	for _, s := range steps {
		now = now.Add(s.after)
		if s.start != "" {
			b.Grant(now, s.start, "route", s.expected)
			b.Start(now, s.start)
		}
		if s.end != "" {
			b.End(now, s.end, s.result)
		}
		if s.pause != "" {
			b.Pause(now, s.pause)
		}
		if s.resume != "" {
			b.Resume(now, s.resume)
		}
		if s.unread != "" {
			b.SetUnread(now, s.unread, true)
		}
		if s.read != "" {
			b.SetUnread(now, s.read, false)
		}
		b.Tick(now)
	}
	return b, now
}

// served returns the steps of n consecutive requests that succeed, each after took.
func served(n int, took time.Duration) []step {
	var steps []step
	for i := range n {
		id := fmt.Sprint("served-", i)
		steps = append(steps, step{start: id}, step{after: took, end: id, result: breaker.ResultOK})
	}
	return steps
}

// TestBreaker checks the state of a breaker after a series of results, and which kinds of requests it
// admits then.
func TestBreaker(t *testing.T) {
	broken := []step{{start: "broken"}, {after: ms, end: "broken", result: breaker.ResultBroken}}
	tests := map[string]struct {
		steps []step
		state breaker.State
		// trial, careful and lastResort report whether such requests are admitted.
		trial, careful, lastResort bool
	}{
		"all succeed":                       {served(5, 100*ms), breaker.StateClosed, true, true, true},
		"one reset opens it":                {broken, breaker.StateOpen, false, false, true},
		"no trial before the pause":         {append(broken, step{after: 390 * ms}), breaker.StateOpen, false, false, true},
		"a trial after a pause":             {append(broken, step{after: 410 * ms}), breaker.StateOpen, true, false, true},
		"one error answer does not open it": {[]step{{start: "a"}, {after: ms, end: "a", result: breaker.ResultError}}, breaker.StateClosed, true, true, true},
		"two consecutive error answers":     {[]step{{start: "a"}, {after: ms, end: "a", result: breaker.ResultError}, {start: "b"}, {after: ms, end: "b", result: breaker.ResultError}}, breaker.StateOpen, false, false, true},
		"rejections never open it": {
			[]step{{start: "a"}, {end: "a", result: breaker.ResultShed}, {start: "b"}, {end: "b", result: breaker.ResultShed}, {start: "c"}, {end: "c", result: breaker.ResultShed}},
			breaker.StateClosed, true, true, true,
		},
		"one success is not enough": {append(broken, step{after: 410 * ms, start: "t"}, step{after: 50 * ms, end: "t", result: breaker.ResultOK}), breaker.StateHalfOpen, true, false, true},
		"two successful trials close it": {
			append(broken, step{after: 410 * ms, start: "t"}, step{after: 50 * ms, end: "t", result: breaker.ResultOK}, step{start: "u"}, step{after: 50 * ms, end: "u", result: breaker.ResultOK}),
			breaker.StateClosed, true, true, true,
		},
		"successes of requests from before the opening do not count": {
			[]step{
				{start: "old-1"},
				{start: "old-2"},
				{after: 50 * ms, start: "x"},
				{after: ms, end: "x", result: breaker.ResultBroken},
				{after: 50 * ms, end: "old-1", result: breaker.ResultOK},
				{end: "old-2", result: breaker.ResultOK},
			},
			breaker.StateOpen, false, false, true,
		},
		"a request whose caller disconnected": {[]step{{start: "a"}, {after: ms, end: "a", result: breaker.ResultNone}}, breaker.StateClosed, true, true, true},
		"requests that hang": {
			append(served(5, 100*ms), step{start: "a"}, step{start: "b"}, step{after: 400 * ms}),
			breaker.StateOpen, false, false, true,
		},
		"requests that hang before any answer, without an expected duration": {
			[]step{{start: "a"}, {start: "b"}, {after: 400 * ms}}, breaker.StateClosed, true, true, true,
		},
		"requests that hang before any answer": {
			[]step{{start: "a", expected: 100 * ms}, {start: "b", expected: 100 * ms}, {after: 400 * ms}},
			breaker.StateOpen, false, false, true,
		},
		"requests that take longer than expected, but not longer than the mean here": {
			append(served(5, 100*ms), step{start: "a", expected: 20 * ms}, step{start: "b", expected: 20 * ms}, step{after: 90 * ms}),
			breaker.StateClosed, true, false, true,
		},
		"requests that wait for nested calls": {
			append(served(5, 100*ms), step{start: "a"}, step{start: "b"}, step{pause: "a"}, step{pause: "b"}, step{after: 400 * ms}),
			breaker.StateClosed, true, true, true,
		},
		"one that hangs while others are answered": {
			append(append(served(5, 100*ms), step{start: "a"}), served(3, 50*ms)...),
			breaker.StateClosed, true, true, true,
		},
		"one that has run for longer than the mean": {
			append(served(5, 100*ms), step{start: "a"}, step{after: 120 * ms}),
			breaker.StateClosed, true, false, true,
		},
		"one that has run for nearly four times the mean": {
			append(served(5, 100*ms), step{start: "a"}, step{after: 380 * ms}),
			breaker.StateClosed, true, false, false,
		},
		"many that have run for longer than the mean": {
			append(served(5, 100*ms), step{start: "a"}, step{start: "b"}, step{start: "c"}, step{start: "d"}, step{after: 180 * ms}),
			breaker.StateOpen, false, false, true,
		},
		"requests that hang after their nested calls": {
			append(served(5, 100*ms), step{start: "a"}, step{start: "b"}, step{pause: "a"}, step{pause: "b"},
				step{after: 400 * ms, resume: "a"}, step{resume: "b"}, step{after: 400 * ms}),
			breaker.StateOpen, false, false, true,
		},
		"unread answers": {
			append(served(5, 100*ms), step{start: "a"}, step{start: "b"}, step{after: 120 * ms, unread: "a"}, step{unread: "b"}, step{after: 400 * ms}),
			breaker.StateClosed, true, true, true,
		},
		"an unread answer while another request runs": {
			append(served(5, 100*ms), step{start: "a"}, step{start: "b"}, step{after: 120 * ms, unread: "a"}, step{after: 50 * ms}),
			breaker.StateClosed, true, true, true,
		},
		"answers that hang after their first bytes were read": {
			append(served(5, 100*ms), step{start: "a"}, step{start: "b"}, step{after: 120 * ms, unread: "a"}, step{unread: "b"},
				step{after: 10 * ms, read: "a"}, step{read: "b"}, step{after: 400 * ms}),
			breaker.StateOpen, false, false, true,
		},
		"an answer that is read late by the sidecar": {
			append(served(5, 100*ms), step{start: "a"}, step{after: 120 * ms, unread: "a"}, step{after: 400 * ms, end: "a", result: breaker.ResultOK}),
			breaker.StateClosed, true, true, true,
		},
		"nearly all fail": {
			append(broken,
				step{after: 410 * ms, start: "t"}, step{after: ms, end: "t", result: breaker.ResultBroken},
				step{after: 610 * ms, start: "u"}, step{after: ms, end: "u", result: breaker.ResultBroken},
				step{after: 910 * ms, start: "v"}, step{after: ms, end: "v", result: breaker.ResultBroken}),
			breaker.StateOpen, false, false, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, now := run(test.steps)
			assert.Equal(t, b.State(), test.state)
			assert.Equal(t, b.Allow(now, breaker.Constraints{}), test.trial, "trial")
			assert.Equal(t, b.Allow(now, breaker.Constraints{Careful: true, MaxSuspicion: 1}), test.careful, "careful")
			assert.Equal(t, b.Allow(now, breaker.Constraints{Careful: true, LastResort: true}), test.lastResort, "last resort")
			assert.Equal(t, b.Allow(now, breaker.Constraints{LastResort: true}), true, "repeatable last resort")
		})
	}
}

// TestTrialsThatHang checks that further trials are admitted while trials hang or wait for nested
// calls that hang: the server may recover long before the deadlines of these.
func TestTrialsThatHang(t *testing.T) {
	halfOpen := append(served(5, 100*ms), step{start: "x"}, step{after: ms, end: "x", result: breaker.ResultBroken},
		step{after: 410 * ms, start: "t"}, step{after: 50 * ms, end: "t", result: breaker.ResultOK})
	tests := map[string]struct {
		steps []step
		trial bool
	}{
		"three that have just started": {append(halfOpen, step{start: "a"}, step{start: "b"}, step{start: "c"}, step{after: 200 * ms}), false},
		"three that hang":              {append(halfOpen, step{start: "a"}, step{start: "b"}, step{start: "c"}, step{after: 1500 * ms}), true},
		"three that wait for nested calls": {
			append(halfOpen, step{start: "a", pause: "a"}, step{start: "b", pause: "b"}, step{start: "c", pause: "c"}, step{after: 1500 * ms}), true,
		},
		"three that resume after nested calls": {
			append(halfOpen, step{start: "a", pause: "a"}, step{start: "b", pause: "b"}, step{start: "c", pause: "c"},
				step{after: 100 * ms, resume: "a"}, step{resume: "b"}, step{resume: "c"}, step{after: 100 * ms}), false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, now := run(test.steps)
			assert.Equal(t, b.Allow(now, breaker.Constraints{}), test.trial)
		})
	}
}

// TestDoubtful checks whether a server is doubtful after a series of results.
func TestDoubtful(t *testing.T) {
	failed := slices.Clip(append(served(5, 100*ms), step{start: "x"}, step{after: ms, end: "x", result: breaker.ResultError}))
	tests := map[string]struct {
		steps []step
		want  bool
	}{
		"only successes":             {served(5, 100*ms), false},
		"an error":                   {failed, true},
		"an error and a success":     {append(failed, served(1, 100*ms)...), true},
		"an error, two successes":    {append(failed, served(2, 100*ms)...), false},
		"an error a while ago":       {append(failed, step{after: 1900 * ms}), true},
		"an error long ago":          {append(failed, step{after: 2000 * ms}), false},
		"a rejection":                {append(served(5, 100*ms), step{start: "x"}, step{after: ms, end: "x", result: breaker.ResultShed}), false},
		"errors that open it":        {append(failed, step{start: "y"}, step{after: ms, end: "y", result: breaker.ResultError}), false},
		"an answer that took long":   {append(served(5, 100*ms), served(1, 900*ms)...), false},
		"an error of an old request": {append(failed, step{start: "z"}, step{after: 5000 * ms, end: "z", result: breaker.ResultNone}), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, now := run(test.steps)
			assert.Equal(t, b.Doubtful(now), test.want)
		})
	}
}

// TestTrialsThatOutlastFailures checks whether a further trial is admitted while one runs, by how long it has run and how
// long the failures took that opened the breaker.
func TestTrialsThatOutlastFailures(t *testing.T) {
	open := func(took time.Duration) []step {
		return append(served(5, 2*time.Second), step{start: "x"}, step{start: "y"}, step{after: took, end: "x", result: breaker.ResultError},
			step{end: "y", result: breaker.ResultError}, step{after: 410 * ms, start: "trial"})
	}
	tests := map[string]struct {
		steps []step
		trial bool
	}{
		"a trial that has just started":             {append(open(15*ms), step{after: 200 * ms}), false},
		"a trial that runs longer than failures":    {append(open(15*ms), step{after: 260 * ms}), true},
		"failures that take long":                   {append(open(400*ms), step{after: 1100 * ms}), false},
		"a trial that outlasts these too":           {append(open(400*ms), step{after: 1300 * ms}), true},
		"three further trials that run":             {append(open(15*ms), step{after: 260 * ms, start: "a"}, step{start: "b"}, step{start: "c"}), false},
		"a trial that fails after it has outlasted": {append(open(15*ms), step{after: 260 * ms, end: "trial", result: breaker.ResultError}), false},
		"a trial that waits for a nested call":      {append(open(15*ms), step{pause: "trial"}, step{after: 200 * ms, resume: "trial"}, step{after: 100 * ms}), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, now := run(test.steps)
			assert.Equal(t, b.Allow(now, breaker.Constraints{}), test.trial)
			assert.Assert(t, !b.Allow(now, breaker.Constraints{Careful: true}), "only answers close the breaker")
		})
	}
}

// TestUnsentTrial checks that a trial whose slot is returned unused does not count, so that the next
// one is admitted at once.
func TestUnsentTrial(t *testing.T) {
	b, now := run([]step{{start: "x"}, {after: ms, end: "x", result: breaker.ResultBroken}, {after: 410 * ms}})
	for _, id := range []string{"a", "b"} {
		assert.Assert(t, b.Allow(now, breaker.Constraints{}))
		b.Grant(now, id, "route", 0)
		assert.Assert(t, !b.Allow(now, breaker.Constraints{}), "one trial at a time")
		now = now.Add(100 * ms)
		b.End(now, id, breaker.ResultNone)
	}
	assert.Assert(t, b.Allow(now, breaker.Constraints{}))
	assert.Assert(t, !b.Allow(now, breaker.Constraints{Scarce: true}))
	assert.Assert(t, b.Allow(now.Add(breaker.TrialOverdue), breaker.Constraints{Scarce: true}), "a trial has been overdue since the first")
	b.Grant(now, "c", "route", 0)
	b.End(now, "c", breaker.ResultBroken)
	assert.Assert(t, !b.Allow(now, breaker.Constraints{}), "a trial for which no connection could be opened counts as failed")
}

// TestTrialIn checks the time until a server gets its next trial.
func TestTrialIn(t *testing.T) {
	open := []step{{start: "a"}, {after: 10 * ms, end: "a", result: breaker.ResultBroken}}
	tests := map[string]struct {
		steps []step
		after time.Duration
		want  time.Duration
	}{
		"a closed breaker needs none": {steps: served(2, 10*ms)},
		"just opened":                 {steps: open, want: 400 * ms},
		"later":                       {steps: open, after: 300 * ms, want: 100 * ms},
		"a trial is due":              {steps: open, after: 400 * ms},
		"a trial runs":                {steps: append(open[:2:2], step{after: 400 * ms, start: "b"}), after: 350 * ms, want: 100 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, now := run(test.steps)
			assert.Equal(t, b.TrialIn(now.Add(test.after)), test.want)
		})
	}
}

// TestScarceTrial checks that a request that is likely to get no second attempt is a trial only if one
// is overdue.
func TestScarceTrial(t *testing.T) {
	now := time.Unix(1000, 0)
	b := breaker.New()
	for i := range 2 {
		id := fmt.Sprint("id-", i)
		b.Grant(now, id, "r", 0)
		b.Start(now, id)
		b.End(now, id, breaker.ResultError)
	}
	assert.Equal(t, b.State(), breaker.StateOpen)
	due := now.Add(b.RetryAfter(now))
	assert.Assert(t, b.Allow(due, breaker.Constraints{}))
	assert.Assert(t, !b.Allow(due, breaker.Constraints{Scarce: true}))
	assert.Assert(t, b.Allow(due.Add(breaker.TrialOverdue), breaker.Constraints{Scarce: true}))
	assert.Assert(t, !b.Allow(due.Add(breaker.TrialOverdue), breaker.Constraints{Scarce: true, Careful: true}))
}
