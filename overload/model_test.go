// Package overload simulates overload with the real decisions of the request path that is used
// with the platform's store: the order in which servers are asked (package choice), their slots
// and queues (admission), their breakers (breaker) and the budget of extra attempts (retry).
// Time, the network and the servers are a discrete event model, so that hundreds of servers and
// ingresses take seconds. Each pattern of load in testdata states the required results.
package overload

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/choice"
)

// pattern is a pattern of load with its required results.
type pattern struct {
	About string `yaml:"about"`
	// Seeds is the number of runs whose results are added up; zero is one.
	Seeds       int           `yaml:"seeds"`
	Length      time.Duration `yaml:"length"`
	DataCentres int           `yaml:"data_centres"`
	// Regions is the number of regions over which the data centres are spread; zero is one.
	Regions int `yaml:"regions"`
	// Bytes is the size of a request and its answer.
	Bytes float64 `yaml:"bytes"`
	// Servers is the number of servers; each has an ingress beside it.
	Servers int `yaml:"servers"`
	Slots   int `yaml:"slots"`
	// Rate is the number of requests per second, to all ingresses together.
	Rate float64 `yaml:"rate"`
	// Mean is the mean duration of a request; Objective and Patience are those of its route.
	Mean      time.Duration `yaml:"mean"`
	Objective time.Duration `yaml:"objective"`
	Patience  time.Duration `yaml:"patience"`
	// Repeatable is the share of the requests that may be repeated.
	Repeatable float64 `yaml:"repeatable"`
	// Near and Far are the round-trip times within a data centre and between two.
	Near time.Duration `yaml:"near"`
	Far  time.Duration `yaml:"far"`
	// ReportEvery is the interval at which an unhealthy server is reported to all ingresses of
	// its data centre; zero is never.
	ReportEvery time.Duration `yaml:"report_every"`
	// Ratio and Slack bound extra attempts.
	Ratio  float64 `yaml:"ratio"`
	Slack  float64 `yaml:"slack"`
	Faults []fault `yaml:"faults"`
	Want   bounds  `yaml:"want"`
	// Workspaces are the senders of the requests; if empty, all requests are of one.
	Workspaces []workspaceLoad `yaml:"workspaces"`
}

// workspaceLoad is the part of the requests that one workspace sends.
type workspaceLoad struct {
	Name string `yaml:"name"`
	// Share is its share of all requests, Rank its rank in queues.
	Share float64 `yaml:"share"`
	Rank  uint32  `yaml:"rank"`
	// Served is the least share of its requests that must be served.
	Served float64 `yaml:"served"`
}

// sender draws the workspace of a request.
func (w *simulation) sender() workspaceLoad {
	drawn := w.random.Float64()
	for _, load := range w.Workspaces {
		if drawn -= load.Share; drawn < 0 {
			return load
		}
	}
	return workspaceLoad{}
}

// fault is a fault of a share of the servers, or of their processes, for some time.
type fault struct {
	Kind  string        `yaml:"kind"`
	Share float64       `yaml:"share"`
	From  time.Duration `yaml:"from"`
	For   time.Duration `yaml:"for"`
	// Chance is the probability that a request meets the fault, Times the factor by which a
	// slow server takes longer.
	Chance float64 `yaml:"chance"`
	Times  float64 `yaml:"times"`
	// Every is how long the same servers have the fault before others have it; zero is all the time.
	Every time.Duration `yaml:"every"`
	// Delay is the mean time that a lagging process takes for a message.
	Delay time.Duration `yaml:"delay"`
}

// Kinds of faults.
const (
	faultSlow  = "slow"
	faultHang  = "hang"
	faultShed  = "shed"
	faultReset = "reset"
	faultError = "error"
	// faultLag affects processes: each message to such a process is handled late. The servers
	// beside them are healthy.
	faultLag = "lag"
)

// bounds are the required results of a pattern.
type bounds struct {
	// Served is the least share of requests that are served, within their objective or later, InTime
	// that of requests served within it; Reservations the most reservations per request; Held the highest 90th percentile of the
	// waits of refused requests; Extra the most extra arrivals per first arrival.
	Served       float64       `yaml:"served"`
	InTime       float64       `yaml:"in_time"`
	Reservations float64       `yaml:"reservations"`
	Held         time.Duration `yaml:"held"`
	Extra        float64       `yaml:"extra"`
	// Abroad is the highest share of requests that run in another region.
	Abroad float64 `yaml:"abroad"`
}

// tally counts the results of a pattern.
type tally struct {
	requests, served, refused, failed int
	// inTime counts requests that were served within their objective.
	inTime                     int
	reservations, first, extra int
	// abroad counts requests that ran in another region than their ingress.
	abroad int
	// unhealthy, full and denied count refused reservations, queued those that were queued.
	unhealthy, full, denied, queued int
	held                            []time.Duration
	// sent and answered count requests and served ones by workspace.
	sent, answered map[string]int
	// falseOpenings counts the openings of breakers of healthy servers.
	falseOpenings int
	// outcomes holds the outcomes of the requests.
	outcomes []outcome
}

// outcome is the outcome of one request.
type outcome struct {
	began  time.Time
	served bool
}

// event is a scheduled function; seq keeps events of the same time in order.
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

// simulation is one run of a pattern.
type simulation struct {
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

// after schedules do after a delay.
func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(d), w.seq, do})
}

// simulate runs a pattern and returns its results.
func simulate(p pattern, seed uint64) tally {
	w := newSimulation(p, seed)
	w.run()
	return w.tally
}

// simulateSeeds runs a pattern with as many seeds as it states and returns the sums of the results.
// The outcomes of single requests are left out.
func simulateSeeds(p pattern) tally {
	sum := tally{sent: map[string]int{}, answered: map[string]int{}}
	for seed := range max(p.Seeds, 1) {
		sum.add(simulate(p, uint64(seed+1)))
	}
	return sum
}

// add adds the results of another run.
func (t *tally) add(o tally) {
	t.requests += o.requests
	t.served += o.served
	t.refused += o.refused
	t.failed += o.failed
	t.inTime += o.inTime
	t.reservations += o.reservations
	t.first += o.first
	t.extra += o.extra
	t.abroad += o.abroad
	t.unhealthy += o.unhealthy
	t.full += o.full
	t.denied += o.denied
	t.queued += o.queued
	t.held = append(t.held, o.held...)
	for name, n := range o.sent {
		t.sent[name] += n
	}
	for name, n := range o.answered {
		t.answered[name] += n
	}
}

// newSimulation returns a simulation that has not started.
func newSimulation(p pattern, seed uint64) *simulation {
	w := &simulation{pattern: p, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
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

// run runs the simulation to its end.
func (w *simulation) run() {
	w.arrive()
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// arrive sends the next request to a random ingress, and schedules the one after it until the end.
func (w *simulation) arrive() {
	if w.over() {
		return
	}
	w.requests++
	w.ingresses[w.random.IntN(len(w.ingresses))].accept()
	w.after(time.Duration(w.random.ExpFloat64()/w.Rate*float64(time.Second)), w.arrive)
}

func (w *simulation) over() bool { return w.now.Sub(w.began) >= w.Length }

// affects reports whether a fault affects a VM at a time after the start. Each fault affects its
// own VMs, spread over all.
func (w *simulation) affects(number, index int, age time.Duration) bool {
	f := w.Faults[number]
	place := math.Mod(float64(index)*math.Phi+float64(number)*math.Sqrt2, 1)
	if f.Every > 0 {
		// Each server changes at a time of its own; which ones have the fault next is spread anew.
		turn := math.Floor(place + float64(age)/float64(f.Every))
		place = math.Mod(float64(index)*math.Sqrt2*(turn+1)+turn*math.Phi, 1)
	}
	return place < f.Share && age >= f.From && age < f.From+f.For
}

// drawFault returns the fault that a request meets at a server now, if any.
func (w *simulation) drawFault(index int) (fault, bool) {
	for i, f := range w.Faults {
		if f.Kind != faultLag && w.affects(i, index, w.now.Sub(w.began)) && w.random.Float64() < f.Chance {
			return f, true
		}
	}
	return fault{}, false
}

// isFaulty reports whether a fault affects a server itself now, not its process.
func (w *simulation) isFaulty(index int) bool {
	for i, f := range w.Faults {
		if f.Kind != faultLag && w.affects(i, index, w.now.Sub(w.began)) {
			return true
		}
	}
	return false
}

// drawLag draws how long the process of a VM takes for a message that arrives now.
func (w *simulation) drawLag(index int) time.Duration {
	for i, f := range w.Faults {
		if f.Kind == faultLag && w.affects(i, index, w.now.Sub(w.began)) {
			return time.Duration(float64(f.Delay) * w.random.ExpFloat64())
		}
	}
	return 0
}

// region returns the region of a data centre.
func (w *simulation) region(dataCentre string) string {
	number, _ := strconv.Atoi(strings.TrimPrefix(dataCentre, "dc-"))
	return fmt.Sprint("region-", number%max(w.Regions, 1))
}

// regions returns the regions of all data centres.
func (w *simulation) regions() map[string]string {
	regions := map[string]string{}
	for i := range w.DataCentres {
		dataCentre := fmt.Sprint("dc-", i)
		regions[dataCentre] = w.region(dataCentre)
	}
	return regions
}

// delay returns how long a message takes one way.
func (w *simulation) delay(from, to string) time.Duration {
	if from == to {
		return w.Near / 2
	}
	return w.Far / 2
}

// status returns the status of a server as its sidecar reports it.
func (s *server) status() choice.Status {
	return choice.Status{
		Load: float64(s.slots.InUse() + s.slots.Queued()), Slots: float64(s.slots.Slots()), Unhealthy: s.breaker.State() != breaker.StateClosed,
		SuccessShare: s.breaker.SuccessShare(), ShedShare: s.breaker.ShedShare(), Suspicion: s.breaker.Suspicion(s.w.now),
	}
}
