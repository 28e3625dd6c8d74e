// Package outlier decides which servers of a service are sick.
//
// Every request is evidence. Its log latency is compared with that of the
// service's other servers in the same moment, its error with their share of
// errors, and the log-likelihood ratio "sick against healthy" is added to the
// server's score. A score above the threshold ejects the server. The threshold
// is the service's caution, the log of the number of requests between two
// false alarms, and is the one knob: low finds sick servers sooner, high spares
// healthy ones. What all servers share moves the comparison too, so a common
// slow-down ejects nobody.
//
// Ejection never takes capacity below the floor: the worst go first, a worse
// one takes a milder one's place, and past the floor a sick server only gets
// less. An ejected server comes back through single trial requests and then a
// slow ramp; one that flaps waits longer each time.
package outlier

import (
	"math"
	"time"

	"slatewind.example/slatewind"
)

// Times of the way back.
const (
	// firstWait is how long a server is out at the first ejection.
	firstWait = 5 * time.Second
	// maxWait bounds the wait, which doubles with each ejection.
	maxWait = 5 * time.Minute
	// forgive is how long a server must be healthy until its next ejection
	// counts as the first again.
	forgive = 10 * time.Minute
	// rampTime is how long the share of a returned or cold server grows.
	rampTime = 10 * time.Second
)

// Weights of servers that get less than their full share.
const (
	suspectWeight = 0.25
	rampWeight    = 0.1
)

// Bounds of the comparison.
const (
	// window is how many of a server's newest requests stand for its present.
	window = 8
	// errorWindow is the same for errors.
	errorWindow = 32
	// minClass is how many requests of a class are seen before it is judged.
	minClass = 20
	// minWindow is how many requests of other servers a comparison needs.
	minWindow = 4
	// classMemory is about how many requests the mean of a class remembers.
	classMemory = 200
	// spreadMemory is the same for the spread.
	spreadMemory = 500
	minSpread    = 0.25
	maxSpread    = 1.2
	firstSpread  = 0.6
	// rejectAt is the share of the threshold at which a trial fails.
	rejectAt = 0.4
	// acceptAt is the evidence of health, in nats, that ends a trial.
	acceptAt = 3.0
	// clearAt is the share of the threshold under which suspicion ends.
	clearAt = 0.5
	// scoreCap bounds scores, as a multiple of the threshold.
	scoreCap = 1.5
	// Severities, on the scale of log latency above the others': an error, an
	// unanswered request, and the greatest that counts.
	errorSeverity   = 3.0
	overdueSeverity = 2.0
	maxSeverity     = 4.0
	// suspicionRatio is what a failed probe adds. Probes only raise suspicion.
	suspicionRatio = 1.0
	// suspicionCap is the share of the threshold that probes alone can reach.
	suspicionCap = 0.6
)

// Charts of a server, as the names of its scores.
const (
	chartSlow = iota
	chartFailing
	chartPath
	charts
)

var chartNames = [charts]string{"slow", "failing", "path"}

// Server is what the detector knows of one server.
type Server struct {
	Name  string
	State slatewind.ServerState
	// Leaving servers get no new work and are no capacity.
	Leaving bool
	// Unreachable servers are no capacity either.
	Unreachable bool

	scores [charts]chart
	// recent holds the newest residuals: log latency less the class's mean.
	recent   [window]float32
	recentN  int
	recentAt int
	// history holds the newest outcomes, to judge them anew against a fresh
	// view of the other servers.
	history Ring
	// heard is when the server's present was last heard of.
	heard time.Time
	// asked is when fresh views were asked for, to confirm a suspicion.
	asked time.Time
	// errors holds the newest results, one bit each, set for an error.
	errors  uint32
	errorsN int
	// good is the evidence of health since the beginning of a trial, in nats.
	good float64
	// until is when an ejected server gets its first trial request.
	until time.Time
	// rampFrom is when the ramp began.
	rampFrom time.Time
	// ejected counts ejections that are not yet forgiven.
	ejected int
	// healthy is since when the server has been healthy.
	healthy time.Time
	// severity is how bad the newest requests were; it orders sick servers.
	severity float64
	// excess is how far the newest log latency lay from the others'.
	excess float64
}

// Score returns the highest score of the server's charts and the chart's name.
func (s *Server) Score() (float64, string) {
	best := 0
	for i := range s.scores {
		if s.scores[i].score > s.scores[best].score {
			best = i
		}
	}
	return s.scores[best].score, chartNames[best]
}

// Serving reports whether the server is in service.
func (s *Server) Serving() bool {
	return s.State != slatewind.ServerEjected && s.State != slatewind.ServerTrial
}

func (s *Server) capacity() bool {
	return s.Serving() && !s.Leaving && !s.Unreachable
}

func (s *Server) resetScores() {
	s.scores = [charts]chart{}
}

// class is what is known of requests that cost alike.
type class struct {
	// mean of the log latency in nanoseconds, over about classMemory requests.
	mean float64
	// n counts requests up to classMemory.
	n int
}

// Detector judges the servers of one service. It is not safe for use by
// several goroutines; its host guards it.
type Detector struct {
	service string
	floor   int
	caution float64
	servers []*Server
	index   map[string]int
	classes map[uint8]*class
	// spread is the variance of healthy residuals.
	spread    float64
	decisions []slatewind.Decision
	scratch   []float64
	// questions names the servers whose views are wanted to confirm a
	// suspicion.
	questions []string
	// quiet: every server is healthy and nothing is asked, so that a tick has
	// nothing to do.
	quiet bool
	// selfSick: most servers fail on this ingress's paths, so it is the path
	// of the ingress that is sick.
	selfSick bool
}

// NewDetector returns a detector without servers; Update brings them and the
// bounds.
func NewDetector(service string) *Detector {
	return &Detector{
		service: service,
		index:   map[string]int{},
		spread:  firstSpread * firstSpread,
		classes: map[uint8]*class{},
	}
}

// Update takes a new list of servers and new bounds. Servers that stay keep
// their state; new ones begin on the ramp if others were there before.
func (d *Detector) Update(now time.Time, floor int, caution float64, names []string) {
	d.floor = floor
	d.caution = caution
	first := len(d.servers) == 0
	servers := make([]*Server, len(names))
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
		if old, ok := d.index[name]; ok {
			servers[i] = d.servers[old]
			continue
		}
		servers[i] = &Server{Name: name, State: slatewind.ServerHealthy, healthy: now}
		if !first {
			servers[i].State = slatewind.ServerRamp
			servers[i].rampFrom = now
		}
	}
	d.servers = servers
	d.index = index
	d.quiet = false
	d.keepFloor(now)
}

// Servers returns the servers in the order of the last Update.
func (d *Detector) Servers() []*Server {
	return d.servers
}

// Find returns the index of a server, or -1.
func (d *Detector) Find(name string) int {
	i, ok := d.index[name]
	if !ok {
		return -1
	}
	return i
}

// Weight returns the share of a server: 1 in full, 0 nothing.
func (d *Detector) Weight(now time.Time, i int) float64 {
	s := d.servers[i]
	if s.Leaving || !s.Serving() {
		return 0
	}
	switch s.State {
	case slatewind.ServerSuspect:
		return suspectWeight
	case slatewind.ServerRamp:
		return rampShare(now.Sub(s.rampFrom))
	}
	return 1
}

func rampShare(passed time.Duration) float64 {
	share := rampWeight + (1-rampWeight)*float64(passed)/float64(rampTime)
	return min(share, 1)
}

// SetLeaving notes whether a server leaves.
func (d *Detector) SetLeaving(now time.Time, server string, leaving bool) {
	i := d.Find(server)
	if i < 0 || d.servers[i].Leaving == leaving {
		return
	}
	d.servers[i].Leaving = leaving
	if leaving {
		d.decide(now, slatewind.DecisionLeaving, server, "the server is leaving and gets no new work", "")
	}
	d.keepFloor(now)
}

// SetReachable notes whether the server's sidecar can be reached.
func (d *Detector) SetReachable(now time.Time, server string, reachable bool) {
	i := d.Find(server)
	if i < 0 || d.servers[i].Unreachable == !reachable {
		return
	}
	d.servers[i].Unreachable = !reachable
	d.keepFloor(now)
}

// Restarted notes that a server's sidecar is a new process: what was known of
// the server is void, and it warms up on the ramp.
func (d *Detector) Restarted(now time.Time, server string) {
	i := d.Find(server)
	if i < 0 {
		return
	}
	s := d.servers[i]
	s.resetScores()
	s.recentN = 0
	s.errorsN = 0
	s.history = Ring{}
	if s.State != slatewind.ServerEjected && s.State != slatewind.ServerTrial {
		d.ramp(now, s, "its sidecar started anew")
	}
}

// Tick moves servers along whose waiting is over.
func (d *Detector) Tick(now time.Time) {
	if d.quiet {
		return
	}
	quiet := true
	for i, s := range d.servers {
		d.advance(now, i)
		quiet = quiet && s.State == slatewind.ServerHealthy && s.asked.IsZero()
	}
	d.keepFloor(now)
	d.quiet = quiet
}

func (d *Detector) advance(now time.Time, i int) {
	s := d.servers[i]
	if !s.asked.IsZero() && now.Sub(s.asked) >= confirmWait {
		d.confirm(now, i)
	}
	switch s.State {
	case slatewind.ServerEjected:
		if !now.Before(s.until) {
			s.State = slatewind.ServerTrial
			s.good = 0
			s.resetScores()
			d.decide(now, slatewind.DecisionTrial, s.Name, "the wait is over, single repeatable requests may try it", "")
		}
	case slatewind.ServerRamp:
		if now.Sub(s.rampFrom) >= rampTime {
			s.State = slatewind.ServerHealthy
			s.healthy = now
			d.decide(now, slatewind.DecisionReturn, s.Name, "the server has its full share again", "")
		}
	}
}

// TakeDecisions returns the decisions since the last call.
func (d *Detector) TakeDecisions() []slatewind.Decision {
	decisions := d.decisions
	d.decisions = nil
	return decisions
}

// OverdueAfter returns the time after which an unanswered request of a class is
// evidence against its server, or zero while too little is known.
func (d *Detector) OverdueAfter(classID uint8) time.Duration {
	c := d.classes[classID]
	if c == nil || c.n < minClass {
		return 0
	}
	return time.Duration(math.Exp(c.mean + overdueSpreads*math.Sqrt(d.spread)))
}

// overdueSpreads is how many spreads above its mean a request is overdue; one
// healthy request in about a hundred is.
const overdueSpreads = 2.33

func (d *Detector) decide(now time.Time, kind slatewind.DecisionKind, server, reason, evidence string) {
	d.quiet = false
	d.decisions = append(d.decisions, slatewind.Decision{
		Time: now, Kind: kind, Service: d.service, Server: server, Reason: reason, Evidence: evidence,
	})
}
