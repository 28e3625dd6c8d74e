package outlier

import (
	"time"

	"slatewind.example/slatewind"
)

// An ingress that prefers its own data centre hears little of the other
// servers, so its picture of their present is old just when it matters: at the
// onset of trouble that all share. Before an ejection it therefore asks a few
// of them for their newest outcomes and judges the suspect's newest outcomes
// once more against those. That costs a round trip for each suspicion and
// nothing in between.
const (
	// freshFor is how long a view of a server counts as its present.
	freshFor = 300 * time.Millisecond
	// confirmWait is how long answers are waited for; then the suspicion is
	// judged with what is known.
	confirmWait = 500 * time.Millisecond
	// askServers is how many other servers are asked.
	askServers = 5
)

// Questions returns the servers whose present is wanted, and forgets them. The
// host brings their digests and then calls Confirm.
func (d *Detector) Questions() []string {
	questions := d.questions
	d.questions = nil
	return questions
}

// Confirm judges all suspicions that waited for fresh views.
func (d *Detector) Confirm(now time.Time) {
	for i, s := range d.servers {
		if !s.asked.IsZero() {
			d.confirm(now, i)
		}
	}
}

// suspected handles a score that reached the threshold: with a fresh view of the
// others it is judged at once, else the view is asked for.
func (d *Detector) suspected(now time.Time, i int) {
	s := d.servers[i]
	if _, name := d.judged(s); name == chartNames[chartPath] {
		// The path is this ingress's own; others cannot tell about it.
		d.eject(now, s)
		return
	}
	stale := d.staleOthers(now, i)
	if len(stale) == 0 {
		d.confirm(now, i)
		return
	}
	if s.asked.IsZero() {
		s.asked = now
		d.quiet = false
		d.questions = append(d.questions, stale...)
		d.questions = append(d.questions, s.Name)
	}
}

// staleOthers returns the servers that should be asked before a server is
// judged: none if enough others were heard of just now.
func (d *Detector) staleOthers(now time.Time, i int) []string {
	var stale []string
	fresh, others := 0, 0
	for j, s := range d.servers {
		if j == i || !s.capacity() {
			continue
		}
		others++
		if now.Sub(s.heard) <= freshFor {
			fresh++
		} else if len(stale) < askServers {
			stale = append(stale, s.Name)
		}
	}
	if fresh >= min(others, askServers) {
		return nil
	}
	return stale
}

// confirm judges the newest outcomes of a server against the others' present.
func (d *Detector) confirm(now time.Time, i int) {
	s := d.servers[i]
	s.asked = time.Time{}
	if !s.Serving() {
		return
	}
	d.rescore(i)
	if score, _ := d.judged(s); score >= d.caution {
		d.eject(now, s)
	}
}

// rescore computes the scores anew from the newest outcomes.
func (d *Detector) rescore(i int) {
	s := d.servers[i]
	baseline, known := d.otherMean(i, window)
	// At the onset of shared trouble the newest few of the others' requests
	// show more of it than the whole window.
	newest, _ := d.otherMean(i, minWindow)
	baseline = max(baseline, newest)
	errors := d.otherErrors(i)
	var slow, failing chart
	limit := d.caution * scoreCap
	for _, packed := range s.history.Newest(nil) {
		o := Unpack(s.Name, packed)
		c := d.classOf(o.Class)
		if known && c.n >= minClass {
			slow.add(d.latencyRatio(o.Result, logOf(o)-c.mean-baseline), limit)
		}
		switch o.Result {
		case slatewind.ResultOK:
			failing.add(errorRatio(false, errors), limit)
		case slatewind.ResultError:
			failing.add(errorRatio(true, errors), limit)
		}
	}
	s.scores[chartSlow] = slow
	s.scores[chartFailing] = failing
}
