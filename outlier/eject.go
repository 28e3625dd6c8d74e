package outlier

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"slatewind.example/slatewind"
)

// severityMargin is the difference in severity needed to eject a server in place of a
// less severe one. Without it two similar servers would swap with each request.
const severityMargin = 0.5

// judge applies the scores of a server to its state after new evidence.
func (d *Detector) judge(now time.Time, i int) {
	s := d.servers[i]
	score, _ := d.effectiveScore(s)
	switch s.State {
	case slatewind.ServerTrial:
		d.judgeTrial(now, s, score)
	case slatewind.ServerSuspect:
		d.judgeSuspect(now, i, score)
	case slatewind.ServerHealthy, slatewind.ServerRamp:
		if score >= d.caution {
			d.suspected(now, i)
		}
	}
}

// effectiveScore returns the highest score of a server that counts, and the name of its
// chart. While this ingress suspects its own path, the path chart does not count.
func (d *Detector) effectiveScore(s *Server) (float64, string) {
	best, name := 0.0, chartNames[chartSlow]
	for chart := range s.scores {
		if chart == chartPath && d.selfUnhealthy {
			continue
		}
		if score := s.scores[chart].score; score > best {
			best, name = score, chartNames[chart]
		}
	}
	return best, name
}

// judgeTrial ejects a server on trial again or starts its ramp, once there is enough evidence.
func (d *Detector) judgeTrial(now time.Time, s *Server, score float64) {
	switch {
	case score >= d.caution*rejectAt:
		d.takeOut(now, s, "the trial failed")
	case s.good >= acceptAt:
		d.ramp(now, s, "the trial succeeded")
	}
}

// judgeSuspect ends the suspicion of a server if its score is low enough; at the threshold it
// considers an ejection again.
func (d *Detector) judgeSuspect(now time.Time, i int, score float64) {
	s := d.servers[i]
	if score < d.caution*clearAt {
		s.State = slatewind.ServerHealthy
		s.healthy = now
		d.decide(now, slatewind.DecisionReturn, s.Name, "the suspicion is over", d.evidence(s))
		return
	}
	if score >= d.caution {
		d.suspected(now, i)
	}
}

// eject takes a server out of service, or lowers its weight if the floor forbids that.
func (d *Detector) eject(now time.Time, s *Server) {
	if !s.capacity() || d.capacity() > d.floor {
		d.takeOut(now, s, "its score reached the threshold")
		return
	}
	if lessSevere := d.leastSevereOut(); lessSevere != nil && lessSevere.severity+severityMargin < s.severity {
		d.takeOut(now, s, "its score is worse than that of "+lessSevere.Name+", which is reinstated to keep the floor")
		d.reinstate(now, lessSevere)
		return
	}
	if s.State == slatewind.ServerSuspect {
		return
	}
	s.State = slatewind.ServerSuspect
	d.decide(now, slatewind.DecisionSuspect, s.Name, "its score reached the threshold, the floor keeps it in service at a lower weight", d.evidence(s))
}

// takeOut ejects a server, whatever the floor, for a time that doubles with each ejection.
func (d *Detector) takeOut(now time.Time, s *Server, reason string) {
	evidence := d.evidence(s)
	if s.State == slatewind.ServerHealthy && now.Sub(s.healthy) >= forgiveAfter {
		s.ejected = 0
	}
	s.ejected++
	wait := min(firstWait<<min(s.ejected-1, 10), maxWait)
	s.State = slatewind.ServerEjected
	s.until = now.Add(wait)
	s.recentN = 0
	s.history = Ring{}
	d.decide(now, slatewind.DecisionEject, s.Name, reason, fmt.Sprintf("%s wait=%s", evidence, wait))
}

// ramp starts the ramp of a server and resets its scores.
func (d *Detector) ramp(now time.Time, s *Server, reason string) {
	s.State = slatewind.ServerRamp
	s.rampFrom = now
	s.resetScores()
	d.decide(now, slatewind.DecisionRamp, s.Name, reason+", its share grows again", fmt.Sprintf("over=%s", rampTime))
}

// reinstate returns an ejected server to service at a lower weight, to keep the floor.
func (d *Detector) reinstate(now time.Time, s *Server) {
	s.State = slatewind.ServerSuspect
	d.decide(now, slatewind.DecisionFloor, s.Name, "reinstated at a lower weight to keep the floor", d.evidence(s))
}

// keepFloor reinstates the least severe ejected servers while capacity is below the
// floor, because the floor rose or because others are leaving or unreachable.
func (d *Detector) keepFloor(now time.Time) {
	for d.capacity() < d.floor {
		lessSevere := d.leastSevereOut()
		if lessSevere == nil {
			return
		}
		d.reinstate(now, lessSevere)
	}
}

// Capacity returns how many servers are in service, not leaving and reachable.
func (d *Detector) Capacity() int {
	return d.capacity()
}

// capacity implements Capacity.
func (d *Detector) capacity() int {
	n := 0
	for _, s := range d.servers {
		if s.capacity() {
			n++
		}
	}
	return n
}

// leastSevereOut returns the least severe server that is out of service and could serve,
// or nil.
func (d *Detector) leastSevereOut() *Server {
	var leastSevere *Server
	for _, s := range d.servers {
		if s.Serving() || s.Leaving || s.Unreachable {
			continue
		}
		if leastSevere == nil || s.severity < leastSevere.severity {
			leastSevere = s
		}
	}
	return leastSevere
}

// evidence returns what a decision about a server is based on, as key=value pairs.
func (d *Detector) evidence(s *Server) string {
	score, name := d.effectiveScore(s)
	return fmt.Sprintf("chart=%s score=%.1f threshold=%.1f errors=%d/%d capacity=%d floor=%d last=%.1fx spread=%.2f severity=%.1f",
		name, score, d.caution, bits.OnesCount32(s.errors), s.errorsN, d.capacity(), d.floor,
		math.Exp(s.excess), math.Sqrt(d.variance), s.severity)
}
