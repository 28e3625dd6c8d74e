// Package outlier detects unhealthy servers of a service and ejects them.
//
// Each request is evidence. Its log latency is compared with that of the service's
// other servers at the same time, its result with their share of errors, and the
// log-likelihood ratio of "unhealthy" against "healthy" is added to the server's
// score. A server whose score reaches the threshold is ejected. The threshold is the
// service's caution, the log of the number of requests between two false alarms. It
// is the only parameter: a low value finds unhealthy servers sooner, a high value
// avoids ejecting healthy ones. A slow-down of all servers changes the baseline too
// and ejects none.
//
// Ejection never reduces capacity below the floor. At the floor, an unhealthy server
// is ejected only in place of a less severe one, which is reinstated; otherwise it
// stays in service at a lower weight. An ejected server returns through single trial
// requests and then a gradual ramp; the wait doubles with each ejection of a server
// that is ejected repeatedly.
package outlier

import (
	"math"
	"time"

	"slatewind.example/slatewind"
)

// Times of the return to service.
const (
	// firstWait is the duration of the first ejection.
	firstWait = 5 * time.Second
	// maxWait limits the duration, which doubles with each ejection.
	maxWait = 5 * time.Minute
	// forgiveAfter is how long a server must be healthy for its next ejection
	// to count as the first again.
	forgiveAfter = 10 * time.Minute
	// rampTime is the duration of the ramp of a returned or newly started server.
	rampTime = 10 * time.Second
)

// Weights of servers that get less than their full share: that of a suspect server
// and the one at the beginning of the ramp.
const (
	suspectWeight = 0.25
	rampWeight    = 0.1
)

// Parameters of the comparison.
const (
	// window is the number of a server's newest requests that represent its
	// current latency.
	window = 8
	// errorWindow is the number of its newest results for the share of errors.
	errorWindow = 32
	// minClass is the number of requests of a class that are needed before
	// requests of the class are judged.
	minClass = 20
	// minWindow is the number of requests that another server needs to be part
	// of a comparison.
	minWindow = 4
	// classMemory is the number of requests over which the mean of a class is
	// averaged, approximately.
	classMemory = 200
	// spreadMemory is the same for the spread.
	spreadMemory = 500
	// minSpread, maxSpread and firstSpread are the limits and the initial value
	// of the standard deviation of log latencies.
	minSpread   = 0.25
	maxSpread   = 1.2
	firstSpread = 0.6
	// rejectAt is the share of the threshold at which a trial fails.
	rejectAt = 0.4
	// acceptAt is the evidence of health, in nats, at which a trial succeeds.
	acceptAt = 3.0
	// clearAt is the share of the threshold below which a suspicion ends.
	clearAt = 0.5
	// scoreCap limits scores, as a multiple of the threshold.
	scoreCap = 1.5
	// Severities, in log latency above that of the other servers: of an error,
	// of an unanswered request, and the maximum.
	errorSeverity   = 3.0
	overdueSeverity = 2.0
	maxSeverity     = 4.0
	// probeRatio is what a failed probe adds to the score. Successful probes
	// subtract nothing.
	probeRatio = 1.0
	// probeCap is the share of the threshold that failed probes alone can reach.
	probeCap = 0.6
)

// Charts of a server: latency, errors, and replies on the path from this ingress.
const (
	chartSlow = iota
	chartFailing
	chartPath
	charts
)

var chartNames = [charts]string{"slow", "failing", "path"}

// Server is the detector's state of one server.
type Server struct {
	Name  string
	State slatewind.ServerState
	// Leaving servers get no new work and do not count as capacity.
	Leaving bool
	// Unreachable servers do not count as capacity either.
	Unreachable bool

	scores [charts]chart
	// recent is a ring of the newest residuals: log latency less the mean of the
	// class. recentN is their number, recentAt the next index to write.
	recent   [window]float32
	recentN  int
	recentAt int
	// history holds the newest outcomes, for judging them again once there is fresh
	// data about the other servers.
	history Ring
	// updatedAt is the time of the last data about the server.
	updatedAt time.Time
	// requestedAt is when fresh data was requested to confirm a suspicion; zero if no
	// suspicion waits for it.
	requestedAt time.Time
	// errors holds the newest results, one bit each, set for an error; errorsN is
	// their number.
	errors  uint32
	errorsN int
	// good is the evidence of health since the beginning of a trial, in nats.
	good float64
	// until is when an ejected server may get its first trial request.
	until time.Time
	// rampFrom is when the ramp began.
	rampFrom time.Time
	// ejected counts the ejections since the last healthy period of forgiveAfter.
	ejected int
	// healthy is the time since which the server has been healthy.
	healthy time.Time
	// severity is a moving average over the newest requests, in log latency above
	// that of the other servers; it orders unhealthy servers.
	severity float64
	// excess is the difference of the newest log latency from that of the other
	// servers.
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

// capacity reports whether the server counts as capacity.
func (s *Server) capacity() bool {
	return s.Serving() && !s.Leaving && !s.Unreachable
}

func (s *Server) resetScores() {
	s.scores = [charts]chart{}
}

// class holds the latency statistics of requests of similar cost.
type class struct {
	// mean of the log latency in nanoseconds, over about classMemory requests.
	mean float64
	// n counts requests up to classMemory.
	n int
}

// Detector judges the servers of one service. It is not safe for concurrent use; the
// caller must hold a lock.
type Detector struct {
	service string
	floor   int
	caution float64
	servers []*Server
	index   map[string]int
	classes map[uint8]*class
	// variance is that of the residuals of healthy servers.
	variance  float64
	decisions []slatewind.Decision
	// scratch is reused by otherMedian.
	scratch []float64
	// refreshRequests names the servers whose current digests are needed to confirm a
	// suspicion.
	refreshRequests []string
	// idle is set if all servers are healthy and no suspicion waits for fresh data,
	// so that a tick has nothing to do.
	idle bool
	// selfUnhealthy is set if most servers fail on the paths from this ingress, which
	// means that the path of the ingress itself is unhealthy.
	selfUnhealthy bool
}

// NewDetector returns a detector without servers. Update sets the servers, the floor
// and the threshold.
func NewDetector(service string) *Detector {
	return &Detector{
		service:  service,
		index:    map[string]int{},
		variance: firstSpread * firstSpread,
		classes:  map[uint8]*class{},
	}
}

// Update sets the servers, the floor and the threshold. Servers that remain keep their
// state; new ones begin on the ramp if there were others before.
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
	d.idle = false
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

// Weight returns the share of traffic for a server, from 0 for none to 1 for a full share.
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

// rampShare returns the weight of a server at a time after the beginning of its ramp.
func rampShare(passed time.Duration) float64 {
	share := rampWeight + (1-rampWeight)*float64(passed)/float64(rampTime)
	return min(share, 1)
}

// SetLeaving records whether a server is leaving.
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

// SetReachable records whether the server's sidecar can be reached.
func (d *Detector) SetReachable(now time.Time, server string, reachable bool) {
	i := d.Find(server)
	if i < 0 || d.servers[i].Unreachable == !reachable {
		return
	}
	d.servers[i].Unreachable = !reachable
	d.keepFloor(now)
}

// Restarted records that a server's sidecar is a new process: the data about the server
// is discarded, and it begins on the ramp unless it is out of service.
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
		d.ramp(now, s, "its sidecar restarted")
	}
}

// Tick applies the changes of state that are due: the timeout of a suspicion, the end of
// an ejection and the end of a ramp.
func (d *Detector) Tick(now time.Time) {
	if d.idle {
		return
	}
	idle := true
	for i, s := range d.servers {
		d.advance(now, i)
		idle = idle && s.State == slatewind.ServerHealthy && s.requestedAt.IsZero()
	}
	d.keepFloor(now)
	d.idle = idle
}

// advance applies the changes of one server's state that are due.
func (d *Detector) advance(now time.Time, i int) {
	s := d.servers[i]
	if !s.requestedAt.IsZero() && now.Sub(s.requestedAt) >= confirmWait {
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

// OverdueAfter returns the time after which an unanswered request of a class counts as
// evidence against its server, or zero if too few requests of the class were observed.
func (d *Detector) OverdueAfter(classID uint8) time.Duration {
	c := d.classes[classID]
	if c == nil || c.n < minClass {
		return 0
	}
	return time.Duration(math.Exp(c.mean + overdueSigmas*math.Sqrt(d.variance)))
}

// overdueSigmas is the number of standard deviations above the mean at which a request
// is overdue. About one healthy request in a hundred exceeds it.
const overdueSigmas = 2.33

// decide records a decision for TakeDecisions.
func (d *Detector) decide(now time.Time, kind slatewind.DecisionKind, server, reason, evidence string) {
	d.idle = false
	d.decisions = append(d.decisions, slatewind.Decision{
		Time: now, Kind: kind, Service: d.service, Server: server, Reason: reason, Evidence: evidence,
	})
}
