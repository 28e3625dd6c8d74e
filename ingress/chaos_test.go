package ingress_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/attempt"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/ingress"
	"slatewind.example/slatewind/link"
	"slatewind.example/slatewind/quarantine"
	"slatewind.example/slatewind/sidecar"
	"slatewind.example/slatewind/timer"
)

// headerCaller identifies a caller's attempt; it is forwarded to the server.
const headerCaller = "Caller-Attempt"

var errLost = errors.New("message lost")

// chaos simulates the network between real ingresses and real sidecars, which
// loses and delays messages, restarts of sidecars, and failing servers.
type chaos struct {
	t     *testing.T
	ctx   context.Context
	store *config.Store

	mu     sync.Mutex
	random *rand.Rand
	sides  map[string]*sidecar.Sidecar
	stops  map[string]context.CancelFunc
	// runs counts runs at servers, by the caller's attempt.
	runs map[string]int
}

func newChaos(t *testing.T, seed uint64) *chaos {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Hour)
	})
	c := &chaos{
		t: t, ctx: ctx, store: config.NewStore(history.New(16, nil)), random: rand.New(rand.NewPCG(seed, 0)),
		sides: map[string]*sidecar.Sidecar{}, stops: map[string]context.CancelFunc{}, runs: map[string]int{},
	}
	_, err := c.store.Offer(time.Now(), "test", slatewind.Revision{Number: 1}, []byte(settings))
	assert.NilError(t, err)
	for i := range 3 {
		c.replace(fmt.Sprint("vm-", i))
	}
	return c
}

// replace stops a VM's sidecar and starts another with empty state.
func (c *chaos) replace(vm string) {
	ctx, cancel := context.WithCancel(c.ctx)
	side := sidecar.New(vm, attempt.NewIncarnation(time.Now()), sidecar.Limits{OnceRecords: 30}, c.store, history.New(16, nil), c, quarantine.NewTable(nil, nil))
	side.Update(time.Now(), c.store.Current())
	side.Start(ctx, timer.New())
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop := c.stops[vm]; stop != nil {
		stop()
	}
	c.sides[vm], c.stops[vm] = side, cancel
}

// chance returns true with probability 1/n.
func (c *chaos) chance(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n) == 0
}

func (c *chaos) upTo(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(d)))
}

// travel delays a message and reports whether it arrives.
func (c *chaos) travel() bool {
	time.Sleep(c.upTo(5 * time.Millisecond))
	if c.chance(12) {
		time.Sleep(c.upTo(8 * time.Second))
	}
	return !c.chance(12)
}

func (c *chaos) side(vm string) *sidecar.Sidecar {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sides[vm]
}

// carry sends a message to a sidecar over the simulated network and returns the
// reply. A message that arrives is handled even if its sender has given up.
func carry[R any](ctx context.Context, c *chaos, vm string, serve func(*sidecar.Sidecar) R) (R, error) {
	replies := make(chan R, 1)
	go func() {
		// A message goes to the process to which its connection was opened, even
		// if the sidecar is replaced while the message is delayed.
		side := c.side(vm)
		if !c.travel() {
			return
		}
		reply := serve(side)
		if c.travel() {
			replies <- reply
		}
	}()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		var none R
		return none, errors.Join(errLost, ctx.Err())
	}
}

// runAt runs an attempt at a sidecar and assembles its reply.
func runAt(ctx context.Context, side *sidecar.Sidecar, request *slatewindv1.RunRequest) (*link.Reply, error) {
	var parts []*slatewindv1.RunReply
	sent := side.Run(ctx, request, func(part *slatewindv1.RunReply) error {
		parts = append(parts, part)
		return nil
	})
	return link.ReadReply(request.GetAttemptId(), func() (*slatewindv1.RunReply, error) {
		if len(parts) == 0 {
			return nil, errors.Join(sent, io.ErrUnexpectedEOF)
		}
		part := parts[0]
		parts = parts[1:]
		return part, nil
	})
}

func (c *chaos) Run(ctx context.Context, vm string, request *slatewindv1.RunRequest) (*link.Reply, bool, error) {
	if c.chance(15) {
		return nil, false, errors.New("connection refused")
	}
	type result struct {
		reply *link.Reply
		err   error
	}
	r, err := carry(ctx, c, vm, func(side *sidecar.Sidecar) result {
		reply, err := runAt(c.ctx, side, request)
		return result{reply, err}
	})
	if err != nil {
		return nil, true, err
	}
	return r.reply, true, r.err
}

func (c *chaos) Cancel(ctx context.Context, vm string, request *slatewindv1.CancelRequest) (*slatewindv1.CancelReply, error) {
	return carry(ctx, c, vm, func(side *sidecar.Sidecar) *slatewindv1.CancelReply {
		reply, _ := side.Cancel(c.ctx, request)
		return reply
	})
}

func (c *chaos) Seal(ctx context.Context, vm string, request *slatewindv1.SealRequest) (*slatewindv1.SealReply, error) {
	return carry(ctx, c, vm, func(side *sidecar.Sidecar) *slatewindv1.SealReply {
		reply, _ := side.Seal(c.ctx, request)
		return reply
	})
}

// Call implements sidecar.ServerCaller; it simulates the server of every sidecar.
func (c *chaos) Call(ctx context.Context, _ string, request *slatewindv1.RunRequest) (*sidecar.ServerAnswer, bool, error) {
	if c.chance(15) {
		return nil, false, errors.New("dial refused")
	}
	c.mu.Lock()
	for _, h := range request.GetHeaders() {
		if h.GetName() == headerCaller {
			c.runs[string(h.GetValue())]++
		}
	}
	c.mu.Unlock()
	time.Sleep(c.upTo(200 * time.Millisecond))
	if c.chance(10) || ctx.Err() != nil {
		return nil, true, errors.New("connection closed after the request")
	}
	return sidecar.NewServerAnswer(http.StatusOK, io.NopCloser(strings.NewReader("paid"))), true, nil
}

// Probe implements sidecar.ServerCaller.
func (c *chaos) Probe(context.Context, string, string) (bool, error) { return false, nil }

func (c *chaos) Reach(context.Context, string) error { return nil }

// TestChaosRunsNothingTwice sends payments through two real ingresses and three
// real sidecars, with numbered retries, over a network that loses one message in
// twelve and delays one in twelve, while sidecars are restarted and servers lose
// answers. No payment runs twice, and no attempt reported as not-run ever runs,
// even after all delayed messages have arrived.
func TestChaosRunsNothingTwice(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChaos(t, seed)
				var ingresses []*ingress.Ingress
				for i := range 2 {
					in := ingress.New(fmt.Sprint("in-", i), "dc", c.store, history.New(16, nil), c, fakeMembers{}, fakeMeter{}, fakeRecorder{}, fakeLimiter{}, quarantine.NewTable(nil, nil))
					in.Update(time.Now(), c.store.Current())
					in.Start(c.ctx, timer.New())
					ingresses = append(ingresses, in)
				}
				reported := c.payAll(ingresses)
				time.Sleep(time.Minute)
				c.check(reported)
			})
		})
	}
}

// payAll starts payments one after another, while sidecars are replaced, and
// returns the outcome reported for each attempt.
func (c *chaos) payAll(ingresses []*ingress.Ingress) map[string]slatewind.Outcome {
	const payments, attempts = 150, 4
	var mu sync.Mutex
	reported := map[string]slatewind.Outcome{}
	var group sync.WaitGroup
	for i := range payments {
		time.Sleep(c.upTo(300 * time.Millisecond))
		if c.chance(25) {
			c.replace(fmt.Sprint("vm-", c.upTo(3)))
		}
		group.Go(func() {
			for n := 1; n <= attempts; n++ {
				name := fmt.Sprintf("payment-%d/%d", i, n)
				outcome := pay(ingresses[(i+n)%len(ingresses)], fmt.Sprint("payment-", i), n, name)
				mu.Lock()
				reported[name] = outcome
				mu.Unlock()
				if outcome == slatewind.OutcomeAnswer {
					return
				}
			}
		})
	}
	group.Wait()
	return reported
}

func pay(in *ingress.Ingress, key string, n int, name string) slatewind.Outcome {
	r := httptest.NewRequest(http.MethodPost, "/payments", strings.NewReader("sum=10"))
	r.Header.Set(ingress.HeaderKey, key)
	r.Header.Set(ingress.HeaderAttempt, fmt.Sprint(n))
	r.Header.Set(headerCaller, name)
	w := httptest.NewRecorder()
	in.ServeHTTP(w, r)
	if w.Code == http.StatusOK {
		return slatewind.OutcomeAnswer
	}
	return slatewind.Outcome(w.Header().Get(ingress.HeaderOutcome))
}

func (c *chaos) check(reported map[string]slatewind.Outcome) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	byPayment := map[string]int{}
	counts := map[slatewind.Outcome]int{}
	for name, n := range c.runs {
		payment, _, _ := strings.Cut(name, "/")
		byPayment[payment] += n
	}
	for payment, n := range byPayment {
		assert.Assert(c.t, n <= 1, "%s ran %d times", payment, n)
	}
	for name, outcome := range reported {
		counts[outcome]++
		assert.Assert(c.t, outcome != slatewind.OutcomeNotRun || c.runs[name] == 0, "%s was reported as not-run and ran", name)
	}
	c.t.Logf("%v", counts)
	assert.Assert(c.t, counts[slatewind.OutcomeAnswer] > 20 && counts[slatewind.OutcomeNotRun] > 0 && counts[slatewind.OutcomeUnknown] > 0)
}
