package retry

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/explore"
)

// The model: the servers of one service, each with the real Window of the process beside
// it, in discrete ticks of time. The model repeats what package inbound does with a Window:
// Inbound.earnExtra records a request with its first reservation, use.handleDecision takes a
// payment when it grants a slot, use.chargeExtra counts the arrival, use.release refunds the
// payment, Inbound.updateExtras divides the slack, and inbound.New creates the window of a new
// process.
const (
	tick      = time.Second
	spanTicks = 2
	modelSpan = spanTicks * tick
	maxNodes  = 3
	maxHeld   = 5
	maxSpent  = 16
	maxMarks  = 8
)

// config is a small deployment whose states are all explored.
type config struct {
	servers int
	ratio   float64
	slack   float64
	// firsts limits the requests that callers send in a tick.
	firsts int
	// credit is the number of attempts of the limit by which calls of extra runs may overdraw the buckets.
	credit float64
	// held limits the granted slots that wait for their requests. An attempt arrives within
	// arrivesIn ticks after its grant, or the grant is returned within returnsIn.
	held, arrivesIn, returnsIn int
	// lent is the number of ticks within which an attempt arrives that a server pays for, but that
	// arrives at another one; zero means that there are none.
	lent int
	// restarts allows processes to restart.
	restarts bool
	// unseen allows requests that reach no process.
	unseen bool
	// given is the share of the limit that the windows get; zero means all of it.
	given float64
	// lenient counts requests as the operators' rule does: those of the span before, or of the one half
	// a span earlier, where there were more of them.
	lenient bool
}

// share returns the share of the limit that the windows get.
func (c config) share() float64 {
	if c.given == 0 {
		return 1
	}
	return c.given
}

// heldSlot is a granted slot of an extra attempt that has not arrived yet.
type heldSlot struct {
	server int8
	paid   Payment
	age    int8
	// loan marks an attempt that arrives at another server, or does not.
	loan bool
}

// loanKey identifies a loan of a window by its age and payment.
type loanKey struct {
	age  int8
	paid Payment
}

// state is one state of the model.
type state struct {
	now     time.Time
	windows []Window
	held    []heldSlot
	// pending counts the requests that no window has recorded yet, by their age in ticks.
	pending [spanTicks + 1]int8
	// firsts counts the requests that callers sent, extras the extra arrivals at the service,
	// by their age in ticks.
	firsts [2*spanTicks + 1]int8
	extras [spanTicks + 1]int8
	// paidNow marks the servers that have paid for an attempt in this tick.
	paidNow [maxNodes]bool
}

// stateKey identifies a state regardless of the absolute time.
type stateKey struct {
	saved [maxNodes]float64
	since [maxNodes]int8
	// earning is the age of what was saved without slack, in ticks.
	earning [maxNodes]int8
	// unused counts the payments for attempts that have not arrived yet.
	unused [maxNodes][2]int8
	// parts and paid are the marks of requests and payments in a window without slack: the age of
	// each mark and the number of requests since.
	parts, paid [maxNodes][maxMarks][2]int8
	spent       [maxNodes][maxSpent]int8
	held        [maxHeld]heldSlot
	pending     [spanTicks + 1]int8
	firsts      [2*spanTicks + 1]int8
	extras      [spanTicks + 1]int8
	paidNow     [maxNodes]bool
	loans       [maxNodes][maxHeld]loanKey
}

// maxLoanAge keeps the ages of loans in keys positive.
const maxLoanAge = 32

// never is the age of an event that did not happen.
const never = -1

func (b *state) key() stateKey {
	k := stateKey{pending: b.pending, firsts: b.firsts, extras: b.extras, paidNow: b.paidNow}
	for i := range b.windows {
		w := &b.windows[i]
		k.saved[i] = w.saved
		k.since[i] = int8(max(w.since.Sub(b.now), 0) / tick)
		if w.share.Slack < 1 {
			k.earning[i] = int8(min(b.now.Sub(w.earning)/tick, spanTicks))
			b.mark(&k.parts[i], w.earned.parts, w.earned.firsts, 2*spanTicks)
			b.mark(&k.paid[i], w.earned.spent, w.earned.firsts, spanTicks)
		}
		for j, l := range w.loans {
			k.loans[i][j] = loanKey{int8(l.settled.Sub(b.now)/tick) + maxLoanAge, l.payment}
		}
		k.unused[i] = [2]int8{int8(w.heldRatio), int8(w.heldSlack)}
		for j := range k.spent[i] {
			k.spent[i][j] = never
		}
		for j, at := range w.spent {
			k.spent[i][j] = int8(min(b.now.Sub(at)/tick, spanTicks+1))
		}
	}
	copy(k.held[:], b.held)
	return k
}

// mark writes to ages the marks that are no older than the given number of ticks.
func (b *state) mark(ages *[maxMarks][2]int8, marks []mark, firsts, ticks int) {
	j := 0
	for _, m := range marks {
		if age := int(b.now.Sub(m.at) / tick); age <= ticks {
			ages[j] = [2]int8{int8(age) + 1, int8(firsts - m.firsts)}
			j++
		}
	}
}

func (b *state) clone() *state {
	c := *b
	c.windows = slices.Clone(b.windows)
	for i := range c.windows {
		c.windows[i].spent = slices.Clone(c.windows[i].spent)
		c.windows[i].loans = slices.Clone(b.windows[i].loans)
		c.windows[i].earned.parts = slices.Clone(c.windows[i].earned.parts)
		c.windows[i].earned.spent = slices.Clone(c.windows[i].earned.spent)
	}
	c.held = slices.Clone(b.held)
	return &c
}

// rules define how processes use their windows. TestBoundWithoutSafeguard leaves one
// out at a time.
type rules struct {
	// begin returns the window of a process that starts.
	begin func(c config, server int, now time.Time) Window
	// late is the number of ticks for which a request may remain unrecorded.
	late int
	// first records a request, take pays for an extra attempt, takeCall for a call of an extra run.
	first          func(w *Window, now time.Time)
	take, takeCall func(w *Window, now time.Time) Payment
	// lend pays for an attempt that arrives at another server within the given time.
	lend func(w *Window, now time.Time, within time.Duration) bool
	// arrived is called when an extra attempt that was paid for arrives.
	arrived func(w *Window, now time.Time, p Payment)
}

// standardRules returns the rules of the product.
func standardRules() rules {
	return rules{
		begin: func(c config, server int, now time.Time) Window {
			w := NewWindow(now, c.share()*c.ratio, modelSpan)
			sharer := Sharer{Servers: c.servers, Rank: server}
			w.SetShare(now, Share{sharer.Share(c.share()*c.slack - c.credit), sharer.Share(c.credit)})
			return *w
		},
		first:    (*Window).RecordFirst,
		take:     (*Window).Take,
		takeCall: (*Window).TakeCall,
		lend:     (*Window).Lend,
		arrived:  (*Window).Arrived,
	}
}

// next returns the function that passes all successors of a state to step.
func (c config) next(r rules) func(*state, func(string, *state)) {
	return func(b *state, step func(string, *state)) {
		for i := range b.windows {
			if int(b.firsts[0]) < c.firsts {
				c.first(r, b.clone(), i, step)
			}
			paid := b.clone()
			if p := r.take(&paid.windows[i], paid.now); p != PaidNothing {
				c.granted(r, paid, i, p, step)
			}
			if c.credit > 0 {
				called := b.clone()
				if p := r.takeCall(&called.windows[i], called.now); p != PaidNothing {
					c.granted(r, called, i, p, step)
				}
			}
			if c.lent > 0 && len(b.held) < c.held {
				c.lend(r, b.clone(), i, step)
			}
			if c.restarts && !b.paidNow[i] {
				c.restart(r, b.clone(), i, step)
			}
		}
		c.resolve(r, b, step)
		c.pass(r, b, step)
	}
}

// restart ends a process, together with the grants it holds, and starts the next one. A process that has
// paid in this tick does not restart in it, since its successor starts later.
func (c config) restart(r rules, b *state, i int, step func(string, *state)) {
	b.windows[i] = r.begin(c, i, b.now)
	b.held = slices.DeleteFunc(b.held, func(h heldSlot) bool { return int(h.server) == i })
	step(fmt.Sprintf("process %d restarts", i), b)
}

// first lets a caller send a request, for which a server is asked or none can be.
func (c config) first(r rules, b *state, i int, step func(string, *state)) {
	b.firsts[0]++
	if r.late > 0 {
		b.pending[0]++
		step("a request is not recorded yet", b)
		return
	}
	if c.unseen {
		step("a request reaches no server", b.clone())
	}
	r.first(&b.windows[i], b.now)
	step(fmt.Sprintf("server %d is asked first for a request", i), b)
}

// lend lets a server pay for an attempt that arrives at another one.
func (c config) lend(r rules, b *state, i int, step func(string, *state)) {
	if !r.lend(&b.windows[i], b.now, time.Duration(c.lent)*tick) {
		return
	}
	b.paidNow[i] = true
	b.held = append(b.held, heldSlot{server: int8(i), loan: true})
	step(fmt.Sprintf("server %d pays for an attempt at another", i), b)
}

// granted lets an extra attempt that was paid for arrive immediately, or wait.
func (c config) granted(r rules, b *state, i int, p Payment, step func(string, *state)) {
	b.paidNow[i] = true
	if len(b.held) < c.held {
		waits := b.clone()
		waits.held = append(waits.held, heldSlot{server: int8(i), paid: p})
		step(fmt.Sprintf("server %d grants an extra attempt, paid from %s", i, p), waits)
	}
	r.arrived(&b.windows[i], b.now, p)
	b.extras[0]++
	step(fmt.Sprintf("server %d receives an extra arrival, paid from %s", i, p), b)
}

// resolve lets granted attempts arrive or be returned, and pending requests be
// recorded.
func (c config) resolve(r rules, b *state, step func(string, *state)) {
	for j, slot := range b.held {
		rest := b.clone()
		rest.held = slices.Delete(rest.held, j, j+1)
		if slot.loan {
			rest.extras[0]++
			step(fmt.Sprintf("the attempt that server %d paid for %d ticks ago arrives at another", slot.server, slot.age), rest)
			continue
		}
		if int(slot.age) <= c.arrivesIn {
			arrives := rest.clone()
			r.arrived(&arrives.windows[slot.server], arrives.now, slot.paid)
			arrives.extras[0]++
			step(fmt.Sprintf("the attempt that server %d granted %d ticks ago arrives", slot.server, slot.age), arrives)
		}
		if int(slot.age) <= c.returnsIn {
			rest.windows[slot.server].Return(slot.paid)
			step(fmt.Sprintf("the grant of server %d from %d ticks ago is returned", slot.server, slot.age), rest)
		}
	}
	for age, n := range b.pending {
		for i := range b.windows {
			if n > 0 {
				recorded := b.clone()
				recorded.pending[age]--
				r.first(&recorded.windows[i], recorded.now)
				step(fmt.Sprintf("server %d records a request of %d ticks ago", i, age), recorded)
			}
		}
	}
}

// pass lets a tick pass, unless the time to resolve a granted slot or to record a request
// has run out.
func (c config) pass(r rules, b *state, step func(string, *state)) {
	later := b.clone()
	later.now = later.now.Add(tick)
	for j := range later.held {
		if later.held[j].age++; !later.held[j].loan && int(later.held[j].age) > max(c.arrivesIn, c.returnsIn) {
			return
		}
	}
	later.held = slices.DeleteFunc(later.held, func(h heldSlot) bool { return h.loan && int(h.age) > c.lent })
	if b.pending[min(r.late, spanTicks)] > 0 {
		return
	}
	later.paidNow = [maxNodes]bool{}
	age(later.pending[:])
	age(later.extras[:])
	if c.lenient {
		age(later.firsts[:])
	} else {
		age(later.firsts[:spanTicks+1])
	}
	step("a tick passes", later)
}

// age shifts counts by age by one tick.
func age(counts []int8) {
	copy(counts[1:], counts)
	counts[0] = 0
}

var errOverLimit = errors.New("extra arrivals in a span exceed the limit")

// check compares the span that ends now with the limit.
func (c config) check(b *state) error {
	firsts := sum(b.firsts[:spanTicks+1])
	if c.lenient {
		firsts = max(firsts, sum(b.firsts[spanTicks/2:spanTicks/2+spanTicks+1]), sum(b.firsts[spanTicks:]))
	}
	extras, allowed := sum(b.extras[:]), c.slack+c.ratio*firsts
	if extras > allowed {
		return fmt.Errorf("%w: %g, and %g are allowed", errOverLimit, extras, allowed)
	}
	return nil
}

func sum(counts []int8) float64 {
	n := 0.0
	for _, count := range counts {
		n += float64(count)
	}
	return n
}

// explore visits all states that are reachable under the given rules.
func (c config) explore(r rules) explore.Result {
	start := &state{now: time.Unix(1000, 0)}
	for i := range c.servers {
		start.windows = append(start.windows, r.begin(c, i, start.now))
	}
	return explore.Model[*state, stateKey]{
		Start: start, Key: (*state).key, Next: c.next(r), Check: c.check, MaxStates: 400_000,
	}.Run()
}

// given is the share of the operators' limit that package inbound gives to windows.
const given = 0.85

// configs are the deployments in which the limit is kept.
var configs = map[string]config{
	"one server, half an attempt earned each": {servers: 1, ratio: 0.5, slack: 4, firsts: 2, held: 1},
	"two servers":                      {servers: 2, ratio: 1, slack: 6, firsts: 1},
	"two servers that restart":         {servers: 2, ratio: 1, slack: 6, firsts: 1, restarts: true},
	"one server that restarts":         {servers: 1, ratio: 1, slack: 4, firsts: 2, held: 2, restarts: true},
	"three servers that save one each": {servers: 3, ratio: 1, slack: 3, firsts: 1},
	"requests as operators count them": {servers: 1, ratio: 1 / given, slack: 3 / given, firsts: 2, given: given, lenient: true, unseen: true},
	"calls of extra runs":              {servers: 1, ratio: 1, slack: 5, credit: 2, firsts: 1, held: 1},
	"loans":                            {servers: 1, ratio: 0.5, slack: 4, firsts: 2, held: 2, lent: 1},
	"loans of two servers":             {servers: 2, ratio: 1, slack: 2, firsts: 1, held: 1, lent: 1},
	"calls of extra runs, restarts":    {servers: 2, ratio: 1, slack: 6, credit: 2, firsts: 1, restarts: true},
}

// TestBoundInAllStates checks that no sequence of arrivals, denials, returned grants,
// nested calls and restarts exceeds the limit, where attempts arrive in the tick in which
// they are granted.
func TestBoundInAllStates(t *testing.T) {
	for name, c := range configs {
		t.Run(name, func(t *testing.T) {
			result := c.explore(standardRules())
			assert.NilError(t, result.Err, "%v", result)
			t.Logf("%d states", result.States)
		})
	}
}

// TestBoundWithoutSafeguard checks that the exploration detects the removal of any one
// safeguard.
func TestBoundWithoutSafeguard(t *testing.T) {
	tests := map[string]struct {
		config string
		leave  func(r *rules)
	}{
		"a new process spends its slack immediately": {"one server that restarts", func(r *rules) {
			begin := r.begin
			r.begin = func(c config, server int, now time.Time) Window {
				w := begin(c, server, now)
				w.since = now
				return w
			}
		}},
		"each process takes the whole slack": {"two servers", func(r *rules) {
			begin := r.begin
			r.begin = func(c config, server int, now time.Time) Window {
				w := begin(c, server, now)
				w.SetShare(now, Share{Slack: c.slack})
				return w
			}
		}},
		"the capacity of the bucket is not deducted from the slack": {"one server, half an attempt earned each", func(r *rules) {
			r.take = func(w *Window, now time.Time) Payment {
				share := w.share
				defer func() { w.share, w.nextShare = share, share }()
				w.share.Slack += w.capacity()
				w.nextShare = w.share
				return w.Take(now)
			}
		}},
		"slack is freed too early": {"one server, half an attempt earned each", func(r *rules) {
			begin := r.begin
			r.begin = func(c config, server int, now time.Time) Window {
				w := begin(c, server, now)
				w.span = modelSpan - tick
				return w
			}
		}},
		"the bucket has no upper limit": {"one server, half an attempt earned each", func(r *rules) {
			r.first = func(w *Window, _ time.Time) { w.saved = min(w.saved+w.ratio, 2*maxSaved+1) }
		}},
		"a call of an extra run is not counted": {"calls of extra runs", func(r *rules) {
			r.takeCall = func(*Window, time.Time) Payment { return PaidSlack }
			r.arrived = func(w *Window, now time.Time, p Payment) {
				if w.heldSlack > 0 || p != PaidSlack {
					w.Arrived(now, p)
				}
			}
		}},
		"the credit is not deducted from the slack": {"calls of extra runs", func(r *rules) {
			begin := r.begin
			r.begin = func(c config, server int, now time.Time) Window {
				w := begin(c, server, now)
				w.SetShare(now, Share{w.share.Slack + w.share.Credit, w.share.Credit})
				return w
			}
		}},
		"a loan does not count until its attempt may have arrived": {"loans", func(r *rules) {
			r.lend = func(w *Window, now time.Time, _ time.Duration) bool {
				return w.Lend(now, 0)
			}
		}},
		"a new process grants its credit immediately": {"calls of extra runs, restarts", func(r *rules) {
			r.takeCall = func(w *Window, now time.Time) Payment {
				since := w.since
				defer func() { w.since = since }()
				w.since = now
				return w.TakeCall(now)
			}
		}},
		"a request is recorded after a delay": {"requests as operators count them", func(r *rules) {
			r.late = 1
		}},
		"an extra arrival earns like a first one": {"two servers", func(r *rules) {
			r.arrived = func(w *Window, now time.Time, p Payment) { w.Arrived(now, p); w.RecordFirst(now) }
		}},
		"a payment is refunded although its attempt arrived": {"two servers", func(r *rules) {
			r.arrived = func(w *Window, _ time.Time, p Payment) { w.Return(p) }
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := standardRules()
			test.leave(&r)
			result := configs[test.config].explore(r)
			assert.Assert(t, errors.Is(result.Err, errOverLimit), "%v", result)
			t.Log(result)
		})
	}
}

// TestBoundOverTime checks that the operators' limit is also kept where time passes between
// the grant of an extra attempt and its arrival or return, and where a server's share of the
// slack is less than the one attempt that it may save. A tick is half a span here, so grants
// last long.
func TestBoundOverTime(t *testing.T) {
	tests := map[string]config{
		"an attempt arrives a while after its grant":      {servers: 1, slack: 12, held: 5, arrivesIn: 1, given: given},
		"a grant is returned a while later":               {servers: 1, slack: 6, held: 4, returnsIn: 1, given: given},
		"grants of either payment arrive or are returned": {servers: 1, ratio: 1, slack: 4, firsts: 2, held: 3, arrivesIn: 1, returnsIn: 1},
		"more servers than the slack has extra attempts":  {servers: 3, ratio: 1, slack: 2, firsts: 1, given: given, lenient: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			result := c.explore(standardRules())
			assert.NilError(t, result.Err, "%v", result)
		})
	}
}
