// Package overload replays load at its worst through the decisions of the path beside
// the platform's store: the order in which servers are asked (package choice), their slots
// and queues (admission), the judgement beside them (breaker) and the bound on extra
// attempts (retry). Only these are real; time, the network and the servers are a model of
// events, so that hundreds of servers and ingresses take seconds. Each pattern of load in
// testdata states what has to come of it.
package overload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
)

// pattern is a load and what has to come of it.
type pattern struct {
	About       string        `yaml:"about"`
	Length      time.Duration `yaml:"length"`
	DataCentres int           `yaml:"data_centres"`
	// Servers is how many there are; beside each stands an ingress.
	Servers int `yaml:"servers"`
	Slots   int `yaml:"slots"`
	// Rate is how many requests come a second, to all ingresses together.
	Rate float64 `yaml:"rate"`
	// Mean is how long a request takes on average, Objective and Patience are those of
	// its route.
	Mean      time.Duration `yaml:"mean"`
	Objective time.Duration `yaml:"objective"`
	Patience  time.Duration `yaml:"patience"`
	// Repeatable is the share of the requests that may run again.
	Repeatable float64 `yaml:"repeatable"`
	// Near and Far are how long a reply takes within a data centre and across.
	Near time.Duration `yaml:"near"`
	Far  time.Duration `yaml:"far"`
	// ReportEvery is how often the sickness of a server is told to all ingresses of its
	// data centre; zero is never.
	ReportEvery time.Duration `yaml:"report_every"`
	// Ratio and Slack bound extra attempts.
	Ratio  float64 `yaml:"ratio"`
	Slack  float64 `yaml:"slack"`
	Faults []fault `yaml:"faults"`
	Want   bounds  `yaml:"want"`
	// Workspaces are those that send the requests; without any all are of one.
	Workspaces []workspaceLoad `yaml:"workspaces"`
}

// workspaceLoad is one workspace's part of the requests.
type workspaceLoad struct {
	Name string `yaml:"name"`
	// Share is its part of all requests, Rank that in the queue.
	Share float64 `yaml:"share"`
	Rank  uint32  `yaml:"rank"`
	// Served is the least share of its requests that is to be served.
	Served float64 `yaml:"served"`
}

// sender draws the workspace of a request.
func (w *world) sender() workspaceLoad {
	drawn := w.random.Float64()
	for _, load := range w.Workspaces {
		if drawn -= load.Share; drawn < 0 {
			return load
		}
	}
	return workspaceLoad{}
}

// fault is what befalls a share of the servers for a time.
type fault struct {
	Kind  string        `yaml:"kind"`
	Share float64       `yaml:"share"`
	From  time.Duration `yaml:"from"`
	For   time.Duration `yaml:"for"`
	// Chance is that of a request to meet the fault, Times how many times as long it
	// takes at a slow server.
	Chance float64 `yaml:"chance"`
	Times  float64 `yaml:"times"`
	// Delay is how long a process that lags takes for a message, on average.
	Delay time.Duration `yaml:"delay"`
}

// Kinds of faults.
const (
	faultSlow  = "slow"
	faultHang  = "hang"
	faultShed  = "shed"
	faultReset = "reset"
	// faultLag befalls processes: each message that comes to one takes long. The servers beside
	// them are well.
	faultLag = "lag"
)

// bounds are what has to come of a pattern.
type bounds struct {
	// Served is the least share of requests that are served within their objective or
	// later, Reservations the most reservations a request, Held the longest that nine of
	// ten refused requests waited, Extra the most extra arrivals a first one.
	Served       float64       `yaml:"served"`
	Reservations float64       `yaml:"reservations"`
	Held         time.Duration `yaml:"held"`
	Extra        float64       `yaml:"extra"`
}

// tally counts what came of a pattern.
type tally struct {
	requests, served, refused, failed int
	// inTime counts those that were served within their objective.
	inTime                     int
	reservations, first, extra int
	// sick, full and denied count refused reservations, waits those that were queued.
	sick, full, denied, waits int
	held                      []time.Duration
	// sent and answered count requests and served ones by workspace.
	sent, answered map[string]int
	// setAside counts the servers that were set aside while they were well.
	setAside int
	// outcomes are what came of the requests.
	outcomes []outcome
}

// outcome is what came of one request, which began at a time.
type outcome struct {
	began  time.Time
	served bool
}

// event is something that happens at a time; seq keeps those of one time in order.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one replay.
type world struct {
	pattern
	tally
	now       time.Time
	began     time.Time
	seq       int
	events    events
	random    *rand.Rand
	servers   []*server
	ingresses []*ingress
}

// after has something happen some time later.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

// replay plays a pattern and counts what came of it.
func replay(p pattern, seed uint64) tally {
	w := newWorld(p, seed)
	w.play()
	return w.tally
}

// newWorld returns a replay that has not begun.
func newWorld(p pattern, seed uint64) *world {
	w := &world{pattern: p, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	w.began = w.now
	w.sent, w.answered = map[string]int{}, map[string]int{}
	for i := range p.Servers {
		w.servers = append(w.servers, newServer(w, i))
	}
	for i := range p.Servers {
		w.ingresses = append(w.ingresses, newIngress(w, i))
	}
	return w
}

// play plays the replay to its end.
func (w *world) play() {
	w.arrive()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// arrive has the next request come to some ingress, and so on until the end.
func (w *world) arrive() {
	if w.over() {
		return
	}
	w.requests++
	w.ingresses[w.random.IntN(len(w.ingresses))].take()
	w.after(time.Duration(w.random.ExpFloat64()/w.Rate*float64(time.Second)), w.arrive)
}

func (w *world) over() bool { return w.now.Sub(w.began) >= w.Length }

// strikes reports whether a fault befalls a VM at a time after the begin. Each fault strikes VMs
// of its own, spread over all.
func (w *world) strikes(number, index int, age time.Duration) bool {
	f := w.Faults[number]
	place := math.Mod(float64(index)*math.Phi+float64(number)*math.Sqrt2, 1)
	return place < f.Share && age >= f.From && age < f.From+f.For
}

// meets returns the fault that a request meets at a server now, if any.
func (w *world) meets(index int) (fault, bool) {
	for i, f := range w.Faults {
		if f.Kind != faultLag && w.strikes(i, index, w.now.Sub(w.began)) && w.random.Float64() < f.Chance {
			return f, true
		}
	}
	return fault{}, false
}

// fails reports whether a fault befalls a server now, not its process.
func (w *world) fails(index int) bool {
	for i, f := range w.Faults {
		if f.Kind != faultLag && w.strikes(i, index, w.now.Sub(w.began)) {
			return true
		}
	}
	return false
}

// lag draws how long the process of a VM takes for a message that comes to it now.
func (w *world) lag(index int) time.Duration {
	for i, f := range w.Faults {
		if f.Kind == faultLag && w.strikes(i, index, w.now.Sub(w.began)) {
			return time.Duration(float64(f.Delay) * w.random.ExpFloat64())
		}
	}
	return 0
}

// delay is how long a message takes one way.
func (w *world) delay(from, to string) time.Duration {
	if from == to {
		return w.Near / 2
	}
	return w.Far / 2
}

// told is what the process beside a server says of it.
func (s *server) told() choice.Status {
	return choice.Status{
		Load: float64(s.slots.InUse() + s.slots.Queued()), Slots: float64(s.slots.Slots()), Unhealthy: s.breaker.State() != breaker.StateClosed,
		SuccessShare: s.breaker.SuccessShare(), ShedShare: s.breaker.ShedShare(), Suspicion: s.breaker.Suspicion(s.w.now),
	}
}
