package ratelimit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/ratelimit"
)

// TestBucket checks that tokens taken stay within rate and burst, even if the clock goes back.
func TestBucket(t *testing.T) {
	tests := map[string]struct {
		rate, burst, share float64
		// at are the times in milliseconds at which a token is taken, ok the results ("y" or "n").
		at []int
		ok string
		// next is the time in milliseconds from the last attempt to the next token.
		next int
	}{
		"the burst and then the rate":      {rate: 10, burst: 2, share: 1, at: []int{0, 0, 0, 100, 100}, ok: "yynyn", next: 100},
		"a part at the beginning":          {rate: 10, burst: 10, share: 0.2, at: []int{0, 0, 0}, ok: "yyn", next: 100},
		"one token where the part is less": {rate: 1, burst: 2, share: 0.2, at: []int{0, 0}, ok: "yn", next: 1000},
		"a rate without a burst":           {rate: 2, burst: 0, share: 1, at: []int{0, 0, 500, 500}, ok: "ynyn", next: 500},
		"no more than the burst":           {rate: 10, burst: 2, share: 1, at: []int{5000, 5000, 5000}, ok: "yyn", next: 100},
		"the clock goes back":              {rate: 10, burst: 1, share: 1, at: []int{1000, 500, 1050, 1100}, ok: "ynny", next: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := ratelimit.NewBucket(epoch, test.rate, test.burst, test.share)
			got, now := "", epoch
			for _, at := range test.at {
				now = epoch.Add(time.Duration(at) * time.Millisecond)
				if b.Take(now, 1) {
					got += "y"
					continue
				}
				got += "n"
			}
			assert.Equal(t, got, test.ok)
			assert.Equal(t, b.Next(now).Round(time.Millisecond), time.Duration(test.next)*time.Millisecond)
		})
	}
}

// limit returns a limit of the test workspace.
func limit(rate, burst float64, version uint64) slatewind.WorkspaceLimit {
	return slatewind.WorkspaceLimit{Workspace: "w", Rate: rate, Burst: burst, Version: version}
}

// TestRetryTimes checks that refused callers are given consecutive retry times at the rate of the limit,
// none beyond maxTurn.
func TestRetryTimes(t *testing.T) {
	l := ratelimit.NewAllocator(epoch)
	q := ratelimit.TokenRequest{Limit: limit(10, 1, 1), Tokens: 1, Role: ratelimit.RoleHome}
	assert.Equal(t, l.Take(epoch, q).Tokens, 1)
	for i := 1; i <= 40; i++ {
		a := l.Take(epoch, q)
		assert.Equal(t, a.Tokens, 0)
		assert.Equal(t, a.Next.Round(time.Millisecond), 100*time.Millisecond)
		assert.Equal(t, a.Turn.Round(time.Millisecond), min(time.Duration(i)*100*time.Millisecond, 3*time.Second))
	}
}

// TestLowerLimitBinds checks that the first token request with newer settings lowers the limit, and
// that one with older settings does not raise it again.
func TestLowerLimitBinds(t *testing.T) {
	l := ratelimit.NewAllocator(epoch)
	take := func(at time.Duration, of slatewind.WorkspaceLimit) (given int) {
		q := ratelimit.TokenRequest{Limit: of, Tokens: 1, Role: ratelimit.RoleHome}
		for l.Take(epoch.Add(at), q).Tokens > 0 {
			given++
		}
		return given
	}
	assert.Equal(t, take(10*time.Second, limit(100, 100, 1)), 100)
	assert.Equal(t, take(12*time.Second, limit(5, 5, 2)), 5)
	assert.Equal(t, take(14*time.Second, limit(100, 100, 1)), 5)
}

// TestConsumer checks that prefetched tokens are spent until they expire, and that a refusal is
// repeated locally for a short time instead of asking again.
func TestConsumer(t *testing.T) {
	s := &ratelimit.Consumer{}
	of := limit(100, 100, 1)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	assert.Equal(t, s.Begin(at(0), of), ratelimit.StepAsk)
	assert.Equal(t, s.Answered(at(1), ratelimit.TokenReply{Tokens: 3}), ratelimit.StepAllow)
	assert.Equal(t, s.Begin(at(2), of), ratelimit.StepAllow)
	assert.Equal(t, s.Begin(at(400), of), ratelimit.StepAsk, "the last prefetched token has expired")
	assert.Equal(t, s.Answered(at(401), ratelimit.TokenReply{Next: time.Second, Turn: 2 * time.Second}), ratelimit.StepRefuse)
	assert.Equal(t, s.RetryAfter(at(401)), 2*time.Second)
	assert.Equal(t, s.Begin(at(402), of), ratelimit.StepRefuse)
	assert.Equal(t, s.Begin(at(452), of), ratelimit.StepAsk)
	assert.Equal(t, s.Answered(at(453), ratelimit.TokenReply{Tokens: 9}), ratelimit.StepAllow)
	assert.Equal(t, s.Begin(at(454), limit(5, 5, 2)), ratelimit.StepAsk, "held tokens were those of the older limit")
}

// TestIsolatedConsumer checks that a process that reaches no other spends at half its previous
// rate.
func TestIsolatedConsumer(t *testing.T) {
	s := &ratelimit.Consumer{}
	now := epoch
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		s.Answered(now, ratelimit.TokenReply{Tokens: 1})
	}
	allowed := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		if s.Unanswered(now) == ratelimit.StepAllow {
			allowed++
		}
	}
	assert.Assert(t, allowed >= 45 && allowed <= 50, allowed)
}

// TestHomes checks that processes which know the same hosts agree, in whatever order they learned
// of them, and that the removal of a host moves only the workspaces for which it ranked first, to
// the host that ranked second.
func TestHomes(t *testing.T) {
	one, other := ratelimit.NewHomes(), ratelimit.NewHomes()
	for i := range 20 {
		one.Put(fmt.Sprint("s", i), hostOf(i))
		other.Put(fmt.Sprint("s", 19-i), hostOf(19-i))
	}
	assert.Equal(t, one.Put("s3", hostOf(3)), false, "nothing changed")
	assert.Equal(t, one.Put("beside", hostOf(3)), false)
	assert.Equal(t, one.Remove("beside"), false)
	moved := 0
	for i := range 500 {
		workspace := fmt.Sprint("w", i)
		first, second := one.Of(workspace)
		a, b := other.Of(workspace)
		assert.Equal(t, first, a)
		assert.Equal(t, second, b)
		assert.Assert(t, first != second)
	}
	first := map[string][2]string{}
	for i := range 500 {
		a, b := one.Of(fmt.Sprint("w", i))
		first[fmt.Sprint("w", i)] = [2]string{a, b}
	}
	assert.Equal(t, one.Remove("s3"), true)
	for workspace, before := range first {
		now, _ := one.Of(workspace)
		if before[0] == hostOf(3) {
			moved++
			assert.Equal(t, now, before[1])
			continue
		}
		assert.Equal(t, now, before[0])
	}
	assert.Assert(t, moved > 5 && moved < 60, moved)
	empty, _ := ratelimit.NewHomes().Of("w")
	assert.Equal(t, empty, "")
}

// peers are limiters that call each other directly.
type peers struct {
	mu       sync.Mutex
	all      map[string]*ratelimit.Limiter
	failures map[string]error
	asked    int
}

var (
	errSilent  = errors.New("no answer")
	errRefused = errors.New("connection refused")
)

// Take implements ratelimit.Peers.
func (p *peers) Take(_ context.Context, host string, q ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	p.mu.Lock()
	p.asked++
	err := p.failures[host]
	p.mu.Unlock()
	if err != nil {
		return ratelimit.TokenReply{}, err
	}
	return p.all[host].Grant(time.Now(), q), nil
}

// NotRunning implements ratelimit.Peers.
func (p *peers) NotRunning(err error) bool { return errors.Is(err, errRefused) }

// noLimit returns the limit of a process without settings.
func noLimit(string) slatewind.WorkspaceLimit { return slatewind.WorkspaceLimit{} }

// TestLimiter checks that processes share one limit, that less is granted if the home does not
// reply, and that a successor takes over if the home is known not to run.
func TestLimiter(t *testing.T) {
	tests := map[string]struct {
		failure error
		// least and most bound the number of requests that are allowed at once.
		least, most int
	}{
		"the home replies":              {least: 20, most: 22},
		"the home does not reply":       {failure: errSilent, least: 15, most: 16},
		"the home is proved not to run": {failure: errRefused, least: 1, most: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &peers{all: map[string]*ratelimit.Limiter{}, failures: map[string]error{}}
			for i := range 5 {
				p.all[hostOf(i)] = ratelimit.New(time.Now(), hostOf(i), p, noLimit)
			}
			homes := ratelimit.NewHomes()
			for i := range 5 {
				homes.Put(hostOf(i), hostOf(i))
				for _, l := range p.all {
					l.Put(time.Now(), hostOf(i), hostOf(i))
				}
			}
			first, _ := homes.Of("w")
			p.failures[first] = test.failure
			allowed, refused := 0, slatewind.LimitVerdict{}
			for i := range 400 {
				if host := hostOf(i % 5); host != first {
					v := p.all[host].Admit(context.Background(), limit(5, 100, 1))
					if v.Allowed {
						allowed++
						continue
					}
					refused = v
				}
			}
			assert.Assert(t, allowed >= test.least && allowed <= test.most, allowed)
			assert.Assert(t, refused.OverLimit)
			assert.Assert(t, refused.RetryAfter > 0)
			assert.Assert(t, refused.Evidence != "")
			assert.Assert(t, p.asked < 400, "a refusal is repeated without asking again")
			assert.Assert(t, p.all[hostOf(0)].Admit(context.Background(), slatewind.WorkspaceLimit{Workspace: "free"}).Allowed)
		})
	}
}

// TestHomeWithNewerLimit checks that a home with newer settings than the requesting process applies
// its own.
func TestHomeWithNewerLimit(t *testing.T) {
	tests := map[string]struct {
		own   slatewind.WorkspaceLimit
		given int
	}{
		"a lower one":        {own: limit(0.001, 2, 2), given: 1},
		"none any more":      {own: slatewind.WorkspaceLimit{Version: 2}, given: 50},
		"an older one":       {own: limit(0.001, 1, 0), given: 20},
		"the same, no limit": {own: slatewind.WorkspaceLimit{Version: 1}, given: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := ratelimit.New(time.Now(), hostOf(0), &peers{}, func(string) slatewind.WorkspaceLimit { return test.own })
			l.Put(time.Now(), "s", hostOf(0))
			given := 0
			for range 50 {
				given += l.Grant(time.Now(), ratelimit.TokenRequest{Limit: limit(0.001, 100, 1), Tokens: 1, Role: ratelimit.RoleHome}).Tokens
			}
			assert.Equal(t, given, test.given)
		})
	}
}

// TestCallerLeaves checks that a token request which was cancelled because its caller left does not
// put the home into back-off for the next caller.
func TestCallerLeaves(t *testing.T) {
	p := &peers{all: map[string]*ratelimit.Limiter{}, failures: map[string]error{hostOf(1): context.Canceled}}
	l := ratelimit.New(time.Now(), hostOf(0), p, noLimit)
	p.all[hostOf(1)] = ratelimit.New(time.Now(), hostOf(1), p, noLimit)
	for _, of := range []*ratelimit.Limiter{l, p.all[hostOf(1)]} {
		of.Put(time.Now(), hostOf(1), hostOf(1))
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	assert.Assert(t, !l.Admit(left, limit(5, 5, 1)).Allowed)
	p.failures = nil
	assert.Assert(t, l.Admit(context.Background(), limit(5, 5, 1)).Allowed)
	assert.Equal(t, p.asked, 2)
}

// TestNoReply checks that refusals do not state that the workspace is over its limit if neither
// home nor stand-in reply.
func TestNoReply(t *testing.T) {
	p := &peers{all: map[string]*ratelimit.Limiter{}, failures: map[string]error{hostOf(1): errSilent, hostOf(2): errSilent}}
	l := ratelimit.New(time.Now(), hostOf(0), p, noLimit)
	for i := 1; i <= 2; i++ {
		l.Put(time.Now(), hostOf(i), hostOf(i))
	}
	v := l.Admit(context.Background(), limit(5, 5, 1))
	assert.Assert(t, !v.Allowed && !v.OverLimit)
	assert.Assert(t, v.RetryAfter > 0)
	assert.Equal(t, p.asked, 2)
	l.Admit(context.Background(), limit(5, 5, 1))
	assert.Equal(t, p.asked, 2, "no token requests during the back-off")
}
