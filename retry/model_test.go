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
// it, in whole ticks of time. What package inbound does with a Window is written again
// here: inbound.earn notes a request with its first reservation, use.decided takes a payment
// when it grants a slot, use.arrive counts the arrival, use.release returns the payment,
// inbound.shareSlack divides the slack, inbound.New begins anew.
const (
	tick      = time.Second
	spanTicks = 2
	modelSpan = spanTicks * tick
	maxNodes  = 3
	maxHeld   = 5
	maxSpent  = 16
	maxMarks  = 8
)

// config is a small deployment that is explored to its end.
type config struct {
	servers int
	ratio   float64
	slack   float64
	// firsts bounds the requests that callers send in a tick, debt the charges that are not earned.
	firsts, debt int
	// held bounds the granted slots that wait for their requests. An attempt arrives within
	// so many ticks after its grant, or the grant is given back within so many.
	held, arrivesIn, returnsIn int
	// restarts allows processes to start anew.
	restarts bool
	// unheard lets requests be sent of which no process hears.
	unheard bool
	// given is the share of the bound that the windows get; zero means all of it.
	given float64
	// lenient lets the requests of the span before, or of one half a span earlier, count where there were more of them, as the operators' rule does.
	lenient bool
}

// share returns the share of the bound that the windows get.
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
}

// bounded is one state of the model.
type bounded struct {
	now     time.Time
	windows []Window
	held    []heldSlot
	// unnoted counts the requests that no window has noted, by their age.
	unnoted [spanTicks + 1]int8
	// firsts counts the requests that callers sent, extras the extra arrivals at the service,
	// by their age in ticks.
	firsts [2*spanTicks + 1]int8
	extras [spanTicks + 1]int8
}

// boundedKey tells states apart, whatever the time.
type boundedKey struct {
	saved [maxNodes]float64
	since [maxNodes]int8
	// earning is how long ago what is saved without slack began to be earned.
	earning [maxNodes]int8
	// unused are the payments for attempts that have not arrived yet.
	unused [maxNodes][2]int8
	// parts and paid are what a window without slack knows of its requests and of what they paid
	// for: ages, and how many requests came since.
	parts, paid [maxNodes][maxMarks][2]int8
	spent       [maxNodes][maxSpent]int8
	held        [maxHeld]heldSlot
	unnoted     [spanTicks + 1]int8
	firsts      [2*spanTicks + 1]int8
	extras      [spanTicks + 1]int8
}

// never is the age of what did not happen.
const never = -1

func (b *bounded) key() boundedKey {
	k := boundedKey{unnoted: b.unnoted, firsts: b.firsts, extras: b.extras}
	for i := range b.windows {
		w := &b.windows[i]
		k.saved[i] = w.saved
		k.since[i] = int8(max(w.since.Sub(b.now), 0) / tick)
		if w.slack < 1 {
			k.earning[i] = int8(min(b.now.Sub(w.earning)/tick, spanTicks))
			b.mark(&k.parts[i], w.earned.parts, w.earned.firsts, 2*spanTicks)
			b.mark(&k.paid[i], w.earned.spent, w.earned.firsts, spanTicks)
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

// mark notes the marks that are not too old.
func (b *bounded) mark(ages *[maxMarks][2]int8, marks []mark, firsts, ticks int) {
	j := 0
	for _, m := range marks {
		if age := int(b.now.Sub(m.at) / tick); age <= ticks {
			ages[j] = [2]int8{int8(age) + 1, int8(firsts - m.firsts)}
			j++
		}
	}
}

func (b *bounded) clone() *bounded {
	c := *b
	c.windows = slices.Clone(b.windows)
	for i := range c.windows {
		c.windows[i].spent = slices.Clone(c.windows[i].spent)
		c.windows[i].earned.parts = slices.Clone(c.windows[i].earned.parts)
		c.windows[i].earned.spent = slices.Clone(c.windows[i].earned.spent)
	}
	c.held = slices.Clone(b.held)
	return &c
}

// rules are what the processes do with their windows. The variants leave one out.
type rules struct {
	// begin returns the window of a process that starts.
	begin func(c config, server int, now time.Time) Window
	// late is for how many ticks a request may not be noted yet.
	late int
	// first notes a request, take pays for an extra one, charge counts one that is
	// not denied.
	first  func(w *Window, now time.Time)
	take   func(w *Window, now time.Time) Payment
	charge func(w *Window)
	// arrived is called when an extra attempt that was paid for arrives.
	arrived func(w *Window, now time.Time, p Payment)
}

// inForce are the rules of the product.
func inForce() rules {
	return rules{
		begin: func(c config, server int, now time.Time) Window {
			w := NewWindow(now, c.share()*c.ratio, modelSpan)
			w.SetSlack(Sharer{Servers: c.servers, Rank: server}.Share(c.share() * c.slack))
			return *w
		},
		first:   (*Window).First,
		take:    (*Window).Take,
		charge:  (*Window).Charge,
		arrived: (*Window).Arrived,
	}
}

// next lets each event happen that may.
func (c config) next(r rules) func(*bounded, func(string, *bounded)) {
	return func(b *bounded, step func(string, *bounded)) {
		for i := range b.windows {
			if int(b.firsts[0]) < c.firsts {
				c.first(r, b.clone(), i, step)
			}
			paid := b.clone()
			if p := r.take(&paid.windows[i], paid.now); p != PaidNothing {
				c.granted(r, paid, i, p, step)
			}
			if c.debt > 0 && b.windows[i].saved > -float64(c.debt) && int(b.extras[0]) < c.debt {
				charged := b.clone()
				r.charge(&charged.windows[i])
				charged.extras[0]++
				step(fmt.Sprintf("server %d gets a call of a repeated run", i), charged)
			}
			if c.restarts && !b.paidNow(i) {
				c.restart(r, b.clone(), i, step)
			}
		}
		c.resolve(r, b, step)
		c.pass(r, b, step)
	}
}

// paidNow reports whether a process has paid from its slack in this tick. One that starts
// after it does so later.
func (b *bounded) paidNow(i int) bool {
	spent := b.windows[i].spent
	return len(spent) > 0 && spent[len(spent)-1].Equal(b.now)
}

// restart ends a process, with the grants that it holds, and starts the next one.
func (c config) restart(r rules, b *bounded, i int, step func(string, *bounded)) {
	b.windows[i] = r.begin(c, i, b.now)
	b.held = slices.DeleteFunc(b.held, func(h heldSlot) bool { return int(h.server) == i })
	step(fmt.Sprintf("process %d starts anew", i), b)
}

// first has a caller send a request for which a server is asked, or none can be.
func (c config) first(r rules, b *bounded, i int, step func(string, *bounded)) {
	b.firsts[0]++
	if r.late > 0 {
		b.unnoted[0]++
		step("a request that is not noted yet", b)
		return
	}
	if c.unheard {
		step("a request of which no server hears", b.clone())
	}
	r.first(&b.windows[i], b.now)
	step(fmt.Sprintf("server %d is asked first for a request", i), b)
}

// granted lets an extra attempt that was paid for arrive at once, or wait.
func (c config) granted(r rules, b *bounded, i int, p Payment, step func(string, *bounded)) {
	if len(b.held) < c.held {
		waits := b.clone()
		waits.held = append(waits.held, heldSlot{server: int8(i), paid: p})
		step(fmt.Sprintf("server %d grants an extra attempt, paid from %s", i, p), waits)
	}
	r.arrived(&b.windows[i], b.now, p)
	b.extras[0]++
	step(fmt.Sprintf("server %d gets an extra arrival, paid from %s", i, p), b)
}

// resolve lets granted attempts arrive or be given back, and requests that were
// not noted be so.
func (c config) resolve(r rules, b *bounded, step func(string, *bounded)) {
	for j, slot := range b.held {
		rest := b.clone()
		rest.held = slices.Delete(rest.held, j, j+1)
		if int(slot.age) <= c.arrivesIn {
			arrives := rest.clone()
			r.arrived(&arrives.windows[slot.server], arrives.now, slot.paid)
			arrives.extras[0]++
			step(fmt.Sprintf("the attempt that server %d granted %d ticks ago arrives", slot.server, slot.age), arrives)
		}
		if int(slot.age) <= c.returnsIn {
			rest.windows[slot.server].Return(slot.paid)
			step(fmt.Sprintf("the grant of server %d from %d ticks ago is given back", slot.server, slot.age), rest)
		}
	}
	for age, n := range b.unnoted {
		for i := range b.windows {
			if n > 0 {
				noted := b.clone()
				noted.unnoted[age]--
				r.first(&noted.windows[i], noted.now)
				step(fmt.Sprintf("server %d notes a request of %d ticks ago", i, age), noted)
			}
		}
	}
}

// pass lets a tick pass, unless a granted slot or a request waits no longer.
func (c config) pass(r rules, b *bounded, step func(string, *bounded)) {
	later := b.clone()
	later.now = later.now.Add(tick)
	for j := range later.held {
		if later.held[j].age++; int(later.held[j].age) > max(c.arrivesIn, c.returnsIn) {
			return
		}
	}
	if b.unnoted[min(r.late, spanTicks)] > 0 {
		return
	}
	age(later.unnoted[:])
	age(later.extras[:])
	if c.lenient {
		age(later.firsts[:])
	} else {
		age(later.firsts[:spanTicks+1])
	}
	step("a tick passes", later)
}

// age makes counts by age a tick older.
func age(counts []int8) {
	copy(counts[1:], counts)
	counts[0] = 0
}

var errOverBound = errors.New("more extra arrivals in a span than the bound allows")

// check compares the span that ends now with the bound. What charges took beyond it is
// owed by some window.
func (c config) check(b *bounded) error {
	firsts := sum(b.firsts[:spanTicks+1])
	if c.lenient {
		firsts = max(firsts, sum(b.firsts[spanTicks/2:spanTicks/2+spanTicks+1]), sum(b.firsts[spanTicks:]))
	}
	extras, allowed := sum(b.extras[:]), c.slack+c.ratio*firsts
	for i := range b.windows {
		allowed += max(-b.windows[i].saved, 0)
	}
	if extras > allowed {
		return fmt.Errorf("%w: %g, and %g are allowed", errOverBound, extras, allowed)
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

// explore visits all states under some rules.
func (c config) explore(r rules) explore.Result {
	start := &bounded{now: time.Unix(1000, 0)}
	for i := range c.servers {
		start.windows = append(start.windows, r.begin(c, i, start.now))
	}
	return explore.Model[*bounded, boundedKey]{
		Start: start, Key: (*bounded).key, Next: c.next(r), Check: c.check, MaxStates: 400_000,
	}.Run()
}

// given is the share of the operators' bound that package inbound gives out.
const given = 0.85

// configs are the deployments in which the bound holds.
var configs = map[string]config{
	"one server, half an attempt earned each": {servers: 1, ratio: 0.5, slack: 4, firsts: 2, held: 1},
	"two servers":                      {servers: 2, ratio: 1, slack: 6, firsts: 1},
	"two servers that start anew":      {servers: 2, ratio: 1, slack: 6, firsts: 1, restarts: true},
	"one server that starts anew":      {servers: 1, ratio: 1, slack: 4, firsts: 2, held: 2, restarts: true},
	"three servers that save one each": {servers: 3, ratio: 1, slack: 3, firsts: 1},
	"requests as operators count them": {servers: 1, ratio: 1 / given, slack: 3 / given, firsts: 2, given: given, lenient: true, unheard: true},
	"calls of repeated runs":           {servers: 1, ratio: 1, slack: 3, firsts: 2, debt: 2},
}

// TestBoundInAllStates: no sequence of arrivals, denials, grants that are given back,
// calls and new starts leads over the bound, where attempts arrive in the tick in which
// they are granted.
func TestBoundInAllStates(t *testing.T) {
	for name, c := range configs {
		t.Run(name, func(t *testing.T) {
			result := c.explore(inForce())
			assert.NilError(t, result.Err, "%v", result)
			t.Logf("%d states", result.States)
		})
	}
}

// TestBoundWithoutSafeguard: the exploration notices each safeguard that is left out.
func TestBoundWithoutSafeguard(t *testing.T) {
	tests := map[string]struct {
		config string
		leave  func(r *rules)
	}{
		"a new process spends its slack at once": {"one server that starts anew", func(r *rules) {
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
				w.SetSlack(c.slack)
				return w
			}
		}},
		"what may be saved is not taken off the slack": {"one server, half an attempt earned each", func(r *rules) {
			r.take = func(w *Window, now time.Time) Payment {
				share := w.slack
				defer func() { w.slack = share }()
				w.slack += w.mostSaved()
				return w.Take(now)
			}
		}},
		"slack is free again sooner": {"one server, half an attempt earned each", func(r *rules) {
			begin := r.begin
			r.begin = func(c config, server int, now time.Time) Window {
				w := begin(c, server, now)
				w.span = modelSpan - tick
				return w
			}
		}},
		"the ratio is saved without bound": {"one server, half an attempt earned each", func(r *rules) {
			r.first = func(w *Window, _ time.Time) { w.saved = min(w.saved+w.ratio, 2*mostSaved+1) }
		}},
		"a charge is not counted": {"calls of repeated runs", func(r *rules) {
			r.charge = func(*Window) {}
		}},
		"a request is noted once it has waited": {"requests as operators count them", func(r *rules) {
			r.late = 1
		}},
		"an extra arrival earns as a first one": {"two servers", func(r *rules) {
			r.arrived = func(w *Window, now time.Time, p Payment) { w.Arrived(now, p); w.First(now) }
		}},
		"a payment is returned although its attempt arrived": {"two servers", func(r *rules) {
			r.arrived = func(w *Window, _ time.Time, p Payment) { w.Return(p) }
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := inForce()
			test.leave(&r)
			result := configs[test.config].explore(r)
			assert.Assert(t, errors.Is(result.Err, errOverBound), "%v", result)
			t.Log(result)
		})
	}
}

// TestBoundOverTime: the operators' bound holds too where time passes between the grant of
// an extra attempt and its arrival or return, and where a server's share of the slack is
// less than the attempt that it may save up. A tick is half of a span here: grants last long.
func TestBoundOverTime(t *testing.T) {
	tests := map[string]config{
		"an attempt arrives a while after its grant":        {servers: 1, slack: 12, held: 5, arrivesIn: 1, given: given},
		"a grant is given back a while later":               {servers: 1, slack: 6, held: 4, returnsIn: 1, given: given},
		"grants of either payment arrive or are given back": {servers: 1, ratio: 1, slack: 4, firsts: 2, held: 3, arrivesIn: 1, returnsIn: 1},
		"more servers than the slack has extra attempts":    {servers: 3, ratio: 1, slack: 2, firsts: 1, given: given, lenient: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			result := c.explore(inForce())
			assert.NilError(t, result.Err, "%v", result)
		})
	}
}
