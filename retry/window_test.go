package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "slatewind.example/slatewind/internal/seeded"
	"slatewind.example/slatewind/retry"
)

// span is the span of all windows in this file.
const span = 10 * time.Second

// arrival is an attempt that arrives at some server of a service.
type arrival struct {
	at    time.Time
	extra bool
}

// maxExcess returns the largest excess of extra arrivals over what the limit allows, in
// any span that ends with an arrival. The arrivals are ordered by time.
func maxExcess(arrivals []arrival, ratio, slack float64) float64 {
	worst, firsts, extras := 0.0, 0.0, 0.0
	count := func(a arrival, by float64) {
		if a.extra {
			extras += by
		} else {
			firsts += by
		}
	}
	oldest := 0
	for i, newest := range arrivals {
		count(newest, 1)
		for newest.at.Sub(arrivals[oldest].at) > span {
			count(arrivals[oldest], -1)
			oldest++
		}
		// Other arrivals at the same moment belong to the span as well.
		if i+1 == len(arrivals) || arrivals[i+1].at.After(newest.at) {
			worst = max(worst, extras-ratio*firsts-slack)
		}
	}
	return worst
}

// TestRuleHolds checks that servers of one service that do not communicate keep the limit
// together in each span, with random bursts of arrivals.
func TestRuleHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, credit = 0.2, 20.0, 4.0
		now := time.Unix(1000, 0)
		servers := make([]*retry.Window, rapid.IntRange(1, 12).Draw(t, "servers"))
		for i := range servers {
			servers[i] = retry.NewWindow(now, ratio, span)
			servers[i].SetShare(now, retry.Share{Slack: (slack - credit) / float64(len(servers)), Credit: credit / float64(len(servers))})
		}
		var arrivals []arrival
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			w := servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")]
			for range rapid.IntRange(0, 30).Draw(t, "firsts") {
				w.RecordFirst(now)
				arrivals = append(arrivals, arrival{now, false})
			}
			for range rapid.IntRange(0, 10).Draw(t, "extras") {
				take := w.Take
				if rapid.Bool().Draw(t, "call") {
					take = w.TakeCall
				}
				payment := take(now)
				if payment == retry.PaidNothing {
					break
				}
				if rapid.IntRange(0, 4).Draw(t, "unused") == 0 {
					w.Return(payment)
					continue
				}
				w.Arrived(now, payment)
				arrivals = append(arrivals, arrival{now, true})
			}
		}
		assert.Assert(t, maxExcess(arrivals, ratio, slack) <= 0, "%.1f over the limit", maxExcess(arrivals, ratio, slack))
	})
}

// TestWindow checks how many extra arrivals are granted after a sequence of arrivals at
// one server.
func TestWindow(t *testing.T) {
	tests := map[string]struct {
		play  func(w *retry.Window, now time.Time)
		after time.Duration
		extra int
	}{
		"a process that has just started": {func(*retry.Window, time.Time) {}, 0, 0},
		"its slack later":                 {func(*retry.Window, time.Time) {}, span, 6 - 2},
		"what was earned":                 {func(w *retry.Window, now time.Time) { firsts(w, now, 5) }, 0, 1},
		"what was earned, up to a limit":  {func(w *retry.Window, now time.Time) { firsts(w, now, 500) }, 0, 2},
		"both":                            {func(w *retry.Window, now time.Time) { firsts(w, now, 500) }, span, 6},
		"slack that was spent":            {func(w *retry.Window, now time.Time) { takeAll(w, now.Add(span)) }, 2*span - time.Second, 0},
		"slack that was spent long ago":   {func(w *retry.Window, now time.Time) { takeAll(w, now.Add(span)) }, 2*span + time.Second, 4},
		"what calls overdrew is earned first": {func(w *retry.Window, now time.Time) {
			w.SetShare(now, retry.Share{Slack: 6, Credit: 2})
			overdraw(w, now.Add(span))
			firsts(w, now, 16)
		}, 2*span + time.Second, 1 + 4},
		"an attempt that arrives late":             {func(w *retry.Window, now time.Time) { arriveLate(w, now.Add(span)) }, 2*span + time.Second, 3},
		"its slack is freed a span later":          {func(w *retry.Window, now time.Time) { arriveLate(w, now.Add(span)) }, 3*span - time.Second, 4},
		"the payment of another is refunded":       {func(w *retry.Window, now time.Time) { returnAnother(w, now.Add(span)) }, 2*span + 2*time.Second, 4 - 1},
		"attempts not arrived yet count as saved":  {func(w *retry.Window, now time.Time) { firsts(w, now, 5); w.Take(now); firsts(w, now, 500) }, 0, 1},
		"a payment that was refunded":              {func(w *retry.Window, now time.Time) { firsts(w, now, 5); w.Return(w.Take(now)) }, 0, 1},
		"a smaller share takes away":               {func(w *retry.Window, now time.Time) { firsts(w, now, 500); w.SetShare(now, retry.Share{Slack: 1}) }, 0, 1},
		"a larger share gives nothing immediately": {func(w *retry.Window, now time.Time) { w.SetShare(now, retry.Share{Slack: 60}) }, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := retry.NewWindow(now, 0.2, span)
			w.SetShare(now, retry.Share{Slack: 6})
			test.play(w, now)
			assert.Equal(t, takeAll(w, now.Add(test.after)), test.extra)
		})
	}
}

// overdraw takes all that is left, and two calls of extra runs that overdraw the bucket.
func overdraw(w *retry.Window, now time.Time) {
	takeAll(w, now)
	for payment := w.TakeCall(now); payment != retry.PaidNothing; payment = w.TakeCall(now) {
		w.Arrived(now, payment)
	}
}

// arriveLate takes one extra arrival, which arrives most of a span later.
func arriveLate(w *retry.Window, now time.Time) {
	w.Arrived(now.Add(span-2*time.Second), w.Take(now))
}

// returnAnother takes two extra arrivals, returns the first and lets the second arrive.
func returnAnother(w *retry.Window, now time.Time) {
	unused, used := w.Take(now), w.Take(now.Add(4*time.Second))
	w.Return(unused)
	w.Arrived(now.Add(4*time.Second), used)
}

func firsts(w *retry.Window, now time.Time, n int) {
	for range n {
		w.RecordFirst(now)
	}
}

// takeAll takes extra arrivals, which arrive immediately, until one is denied and returns
// the number granted.
func takeAll(w *retry.Window, now time.Time) int {
	n := 0
	for payment := w.Take(now); payment != retry.PaidNothing; payment = w.Take(now) {
		w.Arrived(now, payment)
		n++
	}
	return n
}

// TestShareChanges checks how many extra arrivals are granted after the server's share has changed from six attempts.
func TestShareChanges(t *testing.T) {
	tests := map[string]struct {
		shares []float64
		// apart is the time between two changes, after that from the last one on.
		apart, after time.Duration
		extra        int
	}{
		"a smaller share":                        {[]float64{3}, 0, 0, 3 - 2},
		"a larger share":                         {[]float64{10}, 0, span - time.Second, 6 - 2},
		"a larger share, a span later":           {[]float64{10}, 0, span, 10 - 2},
		"a larger share that becomes smaller":    {[]float64{10, 3}, time.Second, 2 * span, 3 - 2},
		"a share that was smaller for a moment":  {[]float64{3, 6}, time.Second, span - time.Second, 3 - 2},
		"a share that grows again before it may": {[]float64{8, 10}, time.Second, span - time.Second/2, 6 - 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := retry.NewWindow(now, 0.2, span)
			w.SetShare(now, retry.Share{Slack: 6})
			now = now.Add(2 * span)
			for i, slack := range test.shares {
				if i > 0 {
					now = now.Add(test.apart)
				}
				w.SetShare(now, retry.Share{Slack: slack})
			}
			assert.Equal(t, takeAll(w, now.Add(test.after)), test.extra)
		})
	}
}

// TestLoans checks how many extra arrivals are granted after the window has paid for attempts at other servers.
func TestLoans(t *testing.T) {
	const within = time.Second
	tests := map[string]struct {
		loans int
		after time.Duration
		extra int
	}{
		"none":                             {0, 0, 1 + 4},
		"two":                              {2, 0, 3},
		"all":                              {5, 0, 0},
		"more than there are":              {9, 0, 0},
		"all, just before a span is over":  {5, span + within, 0},
		"all, after a span and their time": {5, span + within + time.Millisecond, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := retry.NewWindow(now, 0.2, span)
			w.SetShare(now, retry.Share{Slack: 6})
			now = now.Add(span)
			firsts(w, now, 6)
			lent := 0
			for range test.loans {
				if w.Lend(now, within) {
					lent++
				}
			}
			assert.Equal(t, lent, min(test.loans, 5))
			assert.Equal(t, takeAll(w, now.Add(test.after)), test.extra)
		})
	}
}

// TestBoundsChange checks that what was spent before the bounds changed still counts, also
// where the new span is longer and some of it was dropped already.
func TestBoundsChange(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		span  time.Duration
		after time.Duration
		left  bool
	}{
		"the same span, what was spent is within it": {span, span + span/2, false},
		"the same span, what was spent lies before":  {span, span + span + time.Second, true},
		"a shorter span ends sooner":                 {span / 4, span + span/2, true},
		"a longer span starts again":                 {4 * span, span + 3*span, false},
		"a longer span is over":                      {4 * span, span + 5*span + time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := retry.NewWindow(start, 0, span)
			w.SetShare(start, retry.Share{Slack: 4})
			spent := start.Add(span + time.Second/2)
			takeAll(w, spent)
			w.SetBounds(spent.Add(time.Second/2), 0, test.span)
			assert.Equal(t, w.Left(start.Add(test.after)), test.left)
		})
	}
}

// BenchmarkWindow measures the arrival of a request, a denied extra attempt and a payment for an attempt at another server.
func BenchmarkWindow(b *testing.B) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(now, 0.2, span)
	w.SetShare(now, retry.Share{Slack: 10, Credit: 2})
	for b.Loop() {
		now = now.Add(40 * time.Millisecond)
		w.RecordFirst(now)
		w.LeftForCall(now)
		w.Lend(now, time.Second)
	}
}
