package outlier

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"slatewind.example/slatewind"
)

// logOf returns the log of an observation's latency in nanoseconds.
func logOf(o slatewind.Observation) float64 {
	return math.Log(max(float64(o.Latency), 1))
}

// Observe takes the outcome of one request or a failed probe as evidence.
func (d *Detector) Observe(now time.Time, o slatewind.Observation) {
	i := d.Find(o.Server)
	if i < 0 {
		return
	}
	s := d.servers[i]
	s.updatedAt = now
	if o.Result == slatewind.ResultProbeFailed {
		d.addProbeFailure(s)
		return
	}
	s.history.Add(o.Class, o.Result, o.Latency)
	if o.Result == slatewind.ResultError {
		d.observeError(s, i, true)
	} else {
		d.observeLatency(s, i, o)
	}
	d.judge(now, i)
}

// MarkCurrent records that the data about a server is current at now, whether or not
// there were new outcomes.
func (d *Detector) MarkCurrent(now time.Time, server string) {
	if i := d.Find(server); i >= 0 {
		d.servers[i].updatedAt = now
	}
}

func (d *Detector) observeError(s *Server, i int, failed bool) {
	ratio := errorRatio(failed, d.otherErrors(i))
	s.scores[chartFailing].add(ratio, d.caution*scoreCap)
	s.good -= ratio
	s.errors <<= 1
	if failed {
		s.errors |= 1
	}
	s.errorsN = min(s.errorsN+1, errorWindow)
	if failed {
		s.addSeverity(errorSeverity)
	}
}

func (s *Server) addSeverity(value float64) {
	s.severity += (value - s.severity) / window
}

func (d *Detector) observeLatency(s *Server, i int, o slatewind.Observation) {
	c := d.classOf(o.Class)
	log := logOf(o)
	baseline, known := d.otherMean(i, window)
	if c.n >= minClass && known {
		d.addSlow(s, o.Result, log-c.mean-baseline)
	}
	if o.Result != slatewind.ResultOK {
		return
	}
	d.observeError(s, i, false)
	d.learn(s, c, log)
}

func (d *Detector) classOf(id uint8) *class {
	c := d.classes[id]
	if c == nil {
		c = &class{}
		d.classes[id] = c
	}
	return c
}

// latencyRatio returns the log-likelihood ratio for one outcome whose log latency
// exceeds that of the other servers by excess.
func (d *Detector) latencyRatio(result slatewind.Result, excess float64) float64 {
	sigma := math.Sqrt(d.variance)
	switch result {
	case slatewind.ResultOK:
		return slowRatio(excess, sigma)
	case slatewind.ResultOverdue, slatewind.ResultCancelled:
		return max(overdueRatio(excess, sigma), 0)
	}
	return 0
}

func (d *Detector) addSlow(s *Server, result slatewind.Result, excess float64) {
	ratio := d.latencyRatio(result, excess)
	s.scores[chartSlow].add(ratio, d.caution*scoreCap)
	s.good -= ratio
	s.excess = excess
	if result != slatewind.ResultOK {
		excess = max(excess, overdueSeverity)
	}
	s.addSeverity(min(max(excess, -1), maxSeverity))
}

// learn updates the means and the variance with which later requests are compared.
func (d *Detector) learn(s *Server, c *class, log float64) {
	c.n = min(c.n+1, classMemory)
	c.mean += (log - c.mean) / float64(c.n)
	if c.n < minClass {
		return
	}
	residual := log - c.mean
	sigma := math.Sqrt(d.variance)
	mean, n := s.mean(window)
	if n >= minWindow && s.State == slatewind.ServerHealthy {
		off := min(max(residual-mean, -3*sigma), 3*sigma)
		d.variance += (off*off - d.variance) / spreadMemory
		d.variance = min(max(d.variance, minSpread*minSpread), maxSpread*maxSpread)
	}
	s.recent[s.recentAt] = float32(residual)
	s.recentAt = (s.recentAt + 1) % window
	s.recentN = min(s.recentN+1, window)
}

// mean returns the mean of the newest residuals, at most n of them, and their number.
func (s *Server) mean(n int) (mean float64, known int) {
	known = min(n, s.recentN)
	sum := 0.0
	for k := 1; k <= known; k++ {
		sum += float64(s.recent[(s.recentAt-k+window)%window])
	}
	return sum / float64(max(known, 1)), known
}

// otherMean returns the median of the other servers' current means, each over its
// newest n requests, and whether there is one. Servers out of service do not count; the
// median keeps a second unhealthy server from hiding this one.
func (d *Detector) otherMean(i, n int) (float64, bool) {
	return d.otherMedian(i, func(s *Server) (float64, bool) {
		mean, known := s.mean(n)
		return mean, known >= minWindow
	})
}

// maxCompared limits the number of servers in a comparison; the median of more servers
// would cost more and hardly differ.
const maxCompared = 16

// otherMedian returns the median of value over the servers that follow server i in the
// list and are in service, without those for which value returns false.
func (d *Detector) otherMedian(i int, value func(*Server) (float64, bool)) (float64, bool) {
	values := d.scratch[:0]
	n := len(d.servers)
	for k := 1; k < n && len(values) < maxCompared; k++ {
		s := d.servers[(i+k)%n]
		if !s.Serving() {
			continue
		}
		if v, known := value(s); known {
			values = insertSorted(values, v)
		}
	}
	d.scratch = values
	if len(values) == 0 {
		return 0, false
	}
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2, true
}

func insertSorted(sorted []float64, v float64) []float64 {
	sorted = append(sorted, v)
	for k := len(sorted) - 1; k > 0 && sorted[k] < sorted[k-1]; k-- {
		sorted[k], sorted[k-1] = sorted[k-1], sorted[k]
	}
	return sorted
}

// otherErrors returns the median share of errors of the other servers.
func (d *Detector) otherErrors(i int) float64 {
	share, _ := d.otherMedian(i, func(s *Server) (float64, bool) {
		return float64(bits.OnesCount32(s.errors)) / float64(max(s.errorsN, 1)), s.errorsN >= minWindow
	})
	return share
}

// ObservePath takes the evidence of one attempt about the path from this ingress to the
// server: whether any reply arrived.
func (d *Detector) ObservePath(now time.Time, server string, reached bool) {
	i := d.Find(server)
	if i < 0 {
		return
	}
	ratio := errorRatio(!reached, 0)
	d.servers[i].scores[chartPath].add(ratio, d.caution*scoreCap)
	d.judgeSelf(now)
	d.judge(now, i)
}

// judgeSelf checks whether most servers appear unreachable, in which case the path of
// this ingress is the more likely cause.
func (d *Detector) judgeSelf(now time.Time) {
	bad := 0
	for _, s := range d.servers {
		if s.scores[chartPath].score >= d.caution*clearAt {
			bad++
		}
	}
	unhealthy := len(d.servers) > 1 && 2*bad > len(d.servers)
	if unhealthy && !d.selfUnhealthy {
		d.decide(now, slatewind.DecisionSuspicion, "", "most servers do not reply to this ingress: its own path is suspected and no server is ejected for missing replies", fmt.Sprintf("unanswered=%d servers=%d", bad, len(d.servers)))
	}
	d.selfUnhealthy = unhealthy
}

// addProbeFailure adds a failed probe to the score, up to a limit below the threshold. A
// successful probe subtracts nothing, since unhealthy servers answer probes too.
func (d *Detector) addProbeFailure(s *Server) {
	c := &s.scores[chartFailing]
	if limit := d.caution * probeCap; c.score < limit {
		c.score = min(c.score+probeRatio, limit)
	}
}
