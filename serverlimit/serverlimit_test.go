package serverlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

var start = time.Unix(1000, 0)

func perSecond(rate float64) slatewind.ServerLimit {
	return slatewind.ServerLimit{Stated: true, PerSecond: rate}
}

// at returns a time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLimitInForce checks which limit is in force after a series of statements.
func TestLimitInForce(t *testing.T) {
	none := slatewind.ServerLimit{}
	tests := map[string]struct {
		states func(l *Limiter)
		want   slatewind.ServerLimit
	}{
		"nothing is known": {func(*Limiter) {}, none},
		"an answer states it": {func(l *Limiter) {
			l.Answered(at(100), at(0), perSecond(2))
		}, perSecond(2)},
		"a later answer states none": {func(l *Limiter) {
			l.Answered(at(100), at(0), perSecond(2))
			l.Answered(at(300), at(200), none)
		}, none},
		"an answer to an earlier request states none": {func(l *Limiter) {
			l.Answered(at(100), at(50), perSecond(2))
			l.Answered(at(300), at(0), none)
		}, perSecond(2)},
		"an answer to an earlier request states more": {func(l *Limiter) {
			l.Answered(at(100), at(50), perSecond(2))
			l.Answered(at(300), at(0), perSecond(9))
		}, perSecond(2)},
		"an answer to an earlier request states less": {func(l *Limiter) {
			l.Answered(at(100), at(50), perSecond(2))
			l.Answered(at(300), at(0), perSecond(1))
		}, perSecond(1)},
		"each answer states it again": {func(l *Limiter) {
			l.Answered(at(100), at(0), perSecond(2))
			l.Answered(at(500), at(400), perSecond(2))
			l.Answered(at(600), at(200), none)
		}, perSecond(2)},
		"a rejection states it": {func(l *Limiter) {
			l.Failed(at(100), at(0), perSecond(2))
		}, perSecond(2)},
		"a rejection states none": {func(l *Limiter) {
			l.Answered(at(100), at(0), perSecond(2))
			l.Failed(at(300), at(200), none)
		}, perSecond(2)},
		"an ingress tells": {func(l *Limiter) { l.Told(at(0), perSecond(2)) }, perSecond(2)},
		"two ingresses tell": {func(l *Limiter) {
			l.Told(at(0), perSecond(2))
			l.Told(at(1), perSecond(5))
		}, perSecond(2)},
		"an ingress tells after an answer": {func(l *Limiter) {
			l.Answered(at(100), at(0), none)
			l.Told(at(200), perSecond(2))
		}, none},
		"an answer after an ingress told": {func(l *Limiter) {
			l.Told(at(0), perSecond(2))
			l.Answered(at(100), at(50), none)
		}, none},
		"another start": {func(l *Limiter) {
			l.Answered(at(100), at(0), perSecond(2))
			l.Reset()
		}, none},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &Limiter{}
			test.states(l)
			assert.Equal(t, l.Limit(), test.want)
		})
	}
}

// admitted returns how many requests are admitted within a span if one is offered each
// millisecond.
func admitted(l *Limiter, from, to int) (n int) {
	for ms := from; ms < to; ms++ {
		if l.Wait(at(ms)) == 0 {
			l.Take(at(ms))
			n++
		}
	}
	return n
}

// TestRequestsAdmitted checks how many of many requests are admitted.
func TestRequestsAdmitted(t *testing.T) {
	tests := map[string]struct {
		limit slatewind.ServerLimit
		want  int
	}{
		"no limit":           {slatewind.ServerLimit{}, 4000},
		"a fraction":         {perSecond(1.75), 6},
		"many":               {perSecond(100), 399},
		"few":                {perSecond(0.1), 1},
		"none":               {perSecond(0), 1},
		"about one a second": {perSecond(1), 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &Limiter{}
			l.Answered(at(0), at(0), test.limit)
			assert.Equal(t, admitted(l, 0, 4000), test.want)
		})
	}
}

// TestChangedLimit: a limit that falls drops what had accumulated, and one that ends admits all.
func TestChangedLimit(t *testing.T) {
	l := &Limiter{}
	l.Answered(at(0), at(0), perSecond(20))
	l.Answered(at(10_000), at(9_900), perSecond(1))
	assert.Equal(t, admitted(l, 10_000, 12_000), 2)
	l.Answered(at(12_000), at(11_900), slatewind.ServerLimit{})
	assert.Equal(t, admitted(l, 12_000, 12_100), 100)
}

// TestRequestReturned: a request that was not sent may be admitted again, once.
func TestRequestReturned(t *testing.T) {
	l := &Limiter{}
	taken := l.Take(at(0))
	l.Answered(at(0), at(0), perSecond(1))
	l.Return(at(0), taken)
	assert.Assert(t, l.Wait(at(0)) > 0, "it was admitted without a limit")
	taken = l.Take(at(1000))
	assert.Assert(t, taken && l.Wait(at(1000)) > 0)
	l.Return(at(1000), taken)
	assert.Equal(t, l.Wait(at(1000)), time.Duration(0))
}
