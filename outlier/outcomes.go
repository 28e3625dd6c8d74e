package outlier

import (
	"time"

	"slatewind.example/slatewind"
)

// Times of an unanswered request.
const (
	// overdueFactor is how many mean service times a request may take until it
	// is told as overdue; each doubling tells it again, up to overdueTimes.
	overdueFactor = 6
	overdueTimes  = 3
	// firstOverdue is the bound while no service time is known.
	firstOverdue = time.Second
	// meanWeight is the weight of the newest service time in a class's mean.
	meanWeight = 0.05
)

// running is one request that a server has in hand.
type running struct {
	class   uint8
	started time.Time
	told    int
}

// Outcomes is what a sidecar knows of its server's requests: those in hand and
// the ring of the newest outcomes, which travels with every reply. A request
// that runs far longer than others of its class stands in the ring before it
// ends. It is not safe for use by several goroutines; its host guards it.
type Outcomes struct {
	Ring
	means   map[uint8]time.Duration
	running map[string]*running
}

// NewOutcomes returns an empty record.
func NewOutcomes() *Outcomes {
	return &Outcomes{means: map[uint8]time.Duration{}, running: map[string]*running{}}
}

// Start notes that the server has a request in hand.
func (o *Outcomes) Start(now time.Time, id string, class uint8) {
	o.running[id] = &running{class: class, started: now}
}

// End notes the outcome of a request and returns how long it took.
func (o *Outcomes) End(now time.Time, id string, result slatewind.Result) time.Duration {
	r := o.running[id]
	if r == nil {
		return 0
	}
	delete(o.running, id)
	took := now.Sub(r.started)
	o.Add(r.class, result, took)
	if result == slatewind.ResultOK {
		o.learn(r.class, took)
	}
	return took
}

func (o *Outcomes) learn(class uint8, took time.Duration) {
	mean, ok := o.means[class]
	if !ok {
		o.means[class] = took
		return
	}
	o.means[class] = mean + time.Duration(meanWeight*float64(took-mean))
}

// Tick puts requests into the ring that became overdue.
func (o *Outcomes) Tick(now time.Time) {
	for _, r := range o.running {
		bound := firstOverdue
		if mean, ok := o.means[r.class]; ok {
			bound = overdueFactor * mean
		}
		waited := now.Sub(r.started)
		if r.told < overdueTimes && waited > bound<<r.told {
			r.told++
			o.Add(r.class, slatewind.ResultOverdue, waited)
		}
	}
}
