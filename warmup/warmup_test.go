package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/warmup"
)

const (
	warmUp = 3 * time.Second
	rate   = 16
	// overage and slack are the operators' bound: a server may get overage times its rate, and
	// slack requests more, in any second.
	overage = 1.5
	slack   = 8
)

var limits = warmup.Limits{Time: warmUp, Rate: rate}

// downAndAnswers lets a server be down and answer a request that was sent after that.
func downAndAnswers(l *warmup.Limiter, now time.Time) {
	l.Down(now)
	l.Answered(now.Add(2), now.Add(1))
}

// TestWarmingUp checks, one second after an event, whether a server counts as warming up.
func TestWarmingUp(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		// age is how long the process has observed the server when the event happens.
		age  time.Duration
		then func(l *warmup.Limiter, now time.Time)
		want bool
	}{
		"nothing, at a process that has just begun": {0, func(*warmup.Limiter, time.Time) {}, true},
		"nothing, later": {time.Minute, func(*warmup.Limiter, time.Time) {}, false},
		"states that it is warm, at a new process":       {0, func(l *warmup.Limiter, now time.Time) { l.Stated(now, 0) }, true},
		"states that it warms up":                        {time.Minute, func(l *warmup.Limiter, now time.Time) { l.Stated(now, 2*time.Second) }, true},
		"states that it is warm soon":                    {time.Minute, func(l *warmup.Limiter, now time.Time) { l.Stated(now, 900*time.Millisecond) }, false},
		"an older statement arrives last":                {time.Minute, func(l *warmup.Limiter, now time.Time) { l.Stated(now, warmUp); l.Stated(now, 0) }, true},
		"restarts":                                       {time.Minute, func(l *warmup.Limiter, now time.Time) { l.Restarted(now) }, true},
		"is down":                                        {time.Minute, func(l *warmup.Limiter, now time.Time) { l.Down(now) }, true},
		"was down and answers":                           {time.Minute, downAndAnswers, true},
		"answers":                                        {time.Minute, func(l *warmup.Limiter, now time.Time) { l.Answered(now, now) }, false},
		"the settings change, at a process that is old":  {time.Minute, func(l *warmup.Limiter, _ time.Time) { l.SetLimits(limits) }, false},
		"the settings change, at a process that is new":  {0, func(l *warmup.Limiter, _ time.Time) { l.SetLimits(limits) }, true},
		"was down and answered, a statement comes after": {time.Minute, func(l *warmup.Limiter, now time.Time) { downAndAnswers(l, now); l.Stated(now, 0) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := warmup.NewLimiter(start)
			l.SetLimits(limits)
			l.Stated(start, 0)
			now := start.Add(test.age)
			test.then(l, now)
			assert.Equal(t, l.WarmingUp(now.Add(time.Second)), test.want)
		})
	}
}

// TestRate checks how many requests of a burst are admitted at once, and that the rest is told when
// to come.
func TestRate(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		limits *warmup.Limits
		// atOnce is how many are admitted at once, inSecond within a second.
		atOnce, inSecond int
	}{
		"limited":                    {&limits, rate / 4, rate},
		"limits are not known yet":   {nil, 3, 10},
		"no limit":                   {&warmup.Limits{Time: warmUp}, 100, 10_000},
		"less than one":              {&warmup.Limits{Time: warmUp, Rate: 0.5}, 1, 1},
		"more than can be limited":   {&warmup.Limits{Time: warmUp, Rate: 1e9}, 100, 10_000},
		"fractions are rounded down": {&warmup.Limits{Time: warmUp, Rate: 7.9}, 2, 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := warmup.NewLimiter(start)
			if test.limits != nil {
				l.SetLimits(*test.limits)
			}
			burst := func(now time.Time) (admitted int, wait time.Duration) {
				for range 100 {
					if wait = l.Wait(now); wait == 0 {
						l.Admit(now)
						admitted++
					}
				}
				return admitted, wait
			}
			sum, wait := burst(start)
			assert.Equal(t, sum, test.atOnce)
			if wait > 0 {
				assert.Assert(t, l.Wait(start.Add(wait-1)) > 0)
				assert.Equal(t, l.Wait(start.Add(wait)), time.Duration(0), "admitted when it was told to come")
			}
			for now := start.Add(10 * time.Millisecond); now.Before(start.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
				admitted, _ := burst(now)
				sum += admitted
			}
			assert.Equal(t, sum, test.inSecond)
		})
	}
}

// event is something that happens to the server or to the process beside it. The process hears of
// it late.
type event string

const (
	// eventNothing leaves everything as it is.
	eventNothing event = "nothing"
	// eventRestart: the server restarts under a new name; its entry says so.
	eventRestart event = "restart"
	// eventSameName: the server restarts under its name, and connections fail meanwhile.
	eventSameName event = "restart under the same name"
	// eventCrash: the server crashes and restarts under its name, which its entry does not state. The
	// process finds the crash and sends no request meanwhile, and the answer to an earlier one arrives
	// late.
	eventCrash event = "crash"
	// eventCold: the server turns cold while its data centre is evacuated.
	eventCold event = "turns cold"
	// eventProcess: the process beside the server restarts and hears of the server late.
	eventProcess event = "process restart"
)

// step is the resolution of the model, hearing how long an entry takes to reach the process.
const (
	step    = 5 * time.Millisecond
	hearing = 2 * time.Second
)

// model is a server with the limiter of the process beside it, under a flood of requests.
type model struct {
	limiter *warmup.Limiter
	// coldUntil is when the server is really warm. downUntil and evacuatedUntil are when it accepts
	// connections and requests again, quietUntil when its process sends it requests again.
	coldUntil, downUntil, evacuatedUntil, quietUntil time.Time
	// heard are the statements on their way, by the time of their arrival.
	heard map[time.Time]func(now time.Time)
	// arrivals are the requests that the server got while it was cold.
	arrivals []time.Time
}

func (m *model) happen(now time.Time, e event) {
	state := func(now time.Time) { m.limiter.Stated(now, max(m.coldUntil.Sub(now), 0)) }
	switch e {
	case eventRestart:
		// The old name is expected by all, so requests that arrive before the entry do not run.
		m.evacuatedUntil = now.Add(hearing)
		m.coldUntil = now.Add(warmUp)
		m.heard[now.Add(hearing)] = func(now time.Time) { m.limiter.Restarted(now); state(now) }
	case eventSameName:
		m.downUntil = now.Add(500 * time.Millisecond)
		m.coldUntil = m.downUntil.Add(warmUp)
		m.heard[m.downUntil.Add(hearing)] = state
	case eventCrash:
		m.downUntil = now.Add(500 * time.Millisecond)
		m.coldUntil = m.downUntil.Add(warmUp)
		m.quietUntil = m.downUntil
		m.heard[now.Add(step)] = m.limiter.Down
		m.heard[now.Add(2*step)] = func(later time.Time) { m.limiter.Answered(later, now.Add(-step)) }
	case eventCold:
		m.evacuatedUntil = now.Add(1500 * time.Millisecond)
		m.coldUntil = m.evacuatedUntil.Add(warmUp)
		m.heard[m.evacuatedUntil] = m.limiter.Restarted
		m.heard[m.evacuatedUntil.Add(hearing)] = state
	case eventProcess:
		m.limiter = warmup.NewLimiter(now)
		m.quietUntil = now
		clear(m.heard)
		m.heard[now.Add(200*time.Millisecond)] = func(time.Time) { m.limiter.SetLimits(limits) }
		m.heard[now.Add(hearing)] = state
	}
}

// request sends a request, if the limiter admits it.
func (m *model) request(now time.Time) {
	if now.Before(m.evacuatedUntil) || now.Before(m.quietUntil) || m.limiter.Wait(now) > 0 {
		return
	}
	m.limiter.Admit(now)
	if now.Before(m.downUntil) {
		m.limiter.Down(now)
		return
	}
	m.limiter.Answered(now, now)
	if now.Before(m.coldUntil) {
		m.arrivals = append(m.arrivals, now)
	}
}

// TestOrdersOfStarts goes through all orders of three events, a second or two apart, under a flood
// of requests: while it is cold, no server gets more requests in any second than the operators allow.
func TestOrdersOfStarts(t *testing.T) {
	const bound = rate*overage + slack
	events := []event{eventNothing, eventRestart, eventSameName, eventCrash, eventCold, eventProcess}
	for _, gap := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond, 2100 * time.Millisecond} {
		kinds := len(events)
		for n := range kinds * kinds * kinds {
			order := []event{events[n%kinds], events[n/kinds%kinds], events[n/kinds/kinds]}
			start := time.Now()
			m := &model{limiter: warmup.NewLimiter(start), heard: map[time.Time]func(time.Time){}}
			m.limiter.SetLimits(limits)
			for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(step) {
				for i, e := range order {
					if now.Equal(start.Add(4*time.Second + time.Duration(i)*gap)) {
						m.happen(now, e)
					}
				}
				if hear := m.heard[now]; hear != nil {
					hear(now)
				}
				m.request(now)
			}
			most, first := 0, 0
			for i, at := range m.arrivals {
				for at.Sub(m.arrivals[first]) >= time.Second {
					first++
				}
				most = max(most, i-first+1)
			}
			assert.Assert(t, most <= bound, "%d requests in a second after %s", most, fmt.Sprint(order, " each ", gap))
		}
	}
}
