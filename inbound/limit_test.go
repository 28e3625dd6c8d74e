package inbound_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
)

// runFor sends requests without a pause for a span of time.
func (p *fixture) runFor(span time.Duration) {
	for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
		p.run(reservation(), fmt.Sprint("run-", i))
		time.Sleep(time.Millisecond)
	}
}

// TestServerGetsMoreThanItsLimit guards against requests beyond the limit that a server states in
// its answers, whatever kind of answer states it.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	const (
		span  = 2 * time.Second
		limit = 2
	)
	modes := map[string]standin.StampedMode{
		"answers":    standin.StampedOK,
		"errors":     standin.StampedError,
		"rejections": standin.StampedShed,
	}
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newFixture(t)
			p.server.SetMode(mode)
			p.server.SetLimit(fmt.Sprint(limit, ".0"))
			p.run(reservation(), "states the limit")
			before := p.server.Arrivals()
			assert.Equal(t, before, 1)
			p.runFor(span)
			got := p.server.Arrivals() - before
			assert.Assert(t, got <= limit*int(span.Seconds())+1, "%d requests in %s", got, span)
		})
	}
}

// TestLimitEndsWithSoundAnswer checks which answers end the limit that a server stated before.
func TestLimitEndsWithSoundAnswer(t *testing.T) {
	tests := map[string]struct {
		mode  standin.StampedMode
		limit string
		ends  bool
	}{
		"an answer without a limit":       {standin.StampedOK, "", true},
		"an error without a limit":        {standin.StampedError, "", false},
		"a rejection without a limit":     {standin.StampedShed, "", false},
		"an answer with a malformed one":  {standin.StampedOK, "many", false},
		"an answer with a negative limit": {standin.StampedOK, "-1", false},
		"an answer with no number":        {standin.StampedOK, "NaN", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			p.server.SetLimit("100")
			assert.Equal(t, p.run(reservation(), "states the limit")[:3], "200")
			assert.DeepEqual(t, p.View().Limit, slatewind.ServerLimit{Stated: true, PerSecond: 100})
			p.server.SetLimit(test.limit)
			p.server.SetMode(test.mode)
			await(t, func() bool { return p.run(reservation(), "later") != string(inbound.CauseLimited) })
			assert.Equal(t, p.View().Limit.Stated, !test.ends)
		})
	}
}
