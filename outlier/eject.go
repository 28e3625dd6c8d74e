package outlier

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"slatewind.example/slatewind"
)

// severityMargin is how much worse a server must be to take a milder one's
// place outside; without it two alike would change places with each request.
const severityMargin = 0.5

// judge acts on the scores of a server after new evidence.
func (d *Detector) judge(now time.Time, i int) {
	s := d.servers[i]
	score, _ := d.judged(s)
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

// judged returns the highest score that may be acted on, and its chart. While
// this ingress suspects itself, its own paths do not count.
func (d *Detector) judged(s *Server) (float64, string) {
	best, name := 0.0, chartNames[chartSlow]
	for chart := range s.scores {
		if chart == chartPath && d.selfSick {
			continue
		}
		if score := s.scores[chart].score; score > best {
			best, name = score, chartNames[chart]
		}
	}
	return best, name
}

func (d *Detector) judgeTrial(now time.Time, s *Server, score float64) {
	switch {
	case score >= d.caution*rejectAt:
		d.takeOut(now, s, "the trial failed")
	case s.good >= acceptAt:
		d.ramp(now, s, "the trial succeeded")
	}
}

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

// eject sets a server aside, or lowers its weight where the floor forbids it.
func (d *Detector) eject(now time.Time, s *Server) {
	if !s.capacity() || d.capacity() > d.floor {
		d.takeOut(now, s, "its score reached the threshold")
		return
	}
	if milder := d.mildestOut(); milder != nil && milder.severity+severityMargin < s.severity {
		d.takeOut(now, s, "its score is worse than that of "+milder.Name+", which comes back for the floor")
		d.reinstate(now, milder)
		return
	}
	if s.State == slatewind.ServerSuspect {
		return
	}
	s.State = slatewind.ServerSuspect
	d.decide(now, slatewind.DecisionSuspect, s.Name, "its score reached the threshold, the floor keeps it in service at less weight", d.evidence(s))
}

func (d *Detector) takeOut(now time.Time, s *Server, reason string) {
	evidence := d.evidence(s)
	if s.State == slatewind.ServerHealthy && now.Sub(s.healthy) >= forgive {
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

func (d *Detector) ramp(now time.Time, s *Server, reason string) {
	s.State = slatewind.ServerRamp
	s.rampFrom = now
	s.resetScores()
	d.decide(now, slatewind.DecisionRamp, s.Name, reason+", its share grows again", fmt.Sprintf("over=%s", rampTime))
}

// reinstate brings an ejected server back for the floor, at less weight.
func (d *Detector) reinstate(now time.Time, s *Server) {
	s.State = slatewind.ServerSuspect
	d.decide(now, slatewind.DecisionFloor, s.Name, "the floor needs it, it serves at less weight", d.evidence(s))
}

// keepFloor brings the mildest ejected servers back while capacity is below the
// floor: because the floor rose, or because others left or cannot be reached.
func (d *Detector) keepFloor(now time.Time) {
	for d.capacity() < d.floor {
		milder := d.mildestOut()
		if milder == nil {
			return
		}
		d.reinstate(now, milder)
	}
}

// Capacity returns how many servers are in service, not leaving and reachable.
func (d *Detector) Capacity() int {
	return d.capacity()
}

func (d *Detector) capacity() int {
	n := 0
	for _, s := range d.servers {
		if s.capacity() {
			n++
		}
	}
	return n
}

// mildestOut returns the least bad server that is out and could serve, or nil.
func (d *Detector) mildestOut() *Server {
	var mildest *Server
	for _, s := range d.servers {
		if s.Serving() || s.Leaving || s.Unreachable {
			continue
		}
		if mildest == nil || s.severity < mildest.severity {
			mildest = s
		}
	}
	return mildest
}

func (d *Detector) evidence(s *Server) string {
	score, name := d.judged(s)
	return fmt.Sprintf("chart=%s score=%.1f threshold=%.1f errors=%d/%d capacity=%d floor=%d last=%.1fx spread=%.2f severity=%.1f",
		name, score, d.caution, bits.OnesCount32(s.errors), s.errorsN, d.capacity(), d.floor,
		math.Exp(s.excess), math.Sqrt(d.spread), s.severity)
}
