package outlier

import (
	"time"

	"slatewind.example/slatewind"
)

// Times of an unanswered request.
const (
	// overdueFactor is the number of mean service times after which a request is
	// reported as overdue. It is reported again each time that the limit has doubled,
	// maxOverdueReports times in all.
	overdueFactor     = 6
	maxOverdueReports = 3
	// firstOverdue is the limit while no service time is known.
	firstOverdue = time.Second
	// meanWeight is the weight of the newest service time in the mean of its class.
	meanWeight = 0.05
)

// running is one request in progress.
type running struct {
	class   uint8
	started time.Time
	// reported counts the reports of the request as overdue.
	reported int
}

// Outcomes is a sidecar's record of its server's requests: those in progress and the
// ring of the newest outcomes, which is sent with every reply. A request that runs far
// longer than others of its class is added to the ring before it ends. It is not safe
// for concurrent use; the caller must hold a lock.
type Outcomes struct {
	Ring
	means   map[uint8]time.Duration
	running map[string]*running
}

// NewOutcomes returns an empty record.
func NewOutcomes() *Outcomes {
	return &Outcomes{means: map[uint8]time.Duration{}, running: map[string]*running{}}
}

// Start records that the server has begun a request.
func (o *Outcomes) Start(now time.Time, id string, class uint8) {
	o.running[id] = &running{class: class, started: now}
}

// End records the outcome of a request and returns how long it took, or zero if its
// start was not recorded.
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

// learn updates the mean service time of a class.
func (o *Outcomes) learn(class uint8, took time.Duration) {
	mean, ok := o.means[class]
	if !ok {
		o.means[class] = took
		return
	}
	o.means[class] = mean + time.Duration(meanWeight*float64(took-mean))
}

// Tick adds requests that have become overdue to the ring.
func (o *Outcomes) Tick(now time.Time) {
	for _, r := range o.running {
		bound := firstOverdue
		if mean, ok := o.means[r.class]; ok {
			bound = overdueFactor * mean
		}
		waited := now.Sub(r.started)
		if r.reported < maxOverdueReports && waited > bound<<r.reported {
			r.reported++
			o.Add(r.class, slatewind.ResultOverdue, waited)
		}
	}
}
