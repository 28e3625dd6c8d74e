package outlier

import (
	"time"

	"slatewind.example/slatewind"
)

// An ingress that prefers its own data centre receives few outcomes of the other
// servers, so its data about them is stale when it matters most: at the onset of a
// slow-down that affects all servers. Before an ejection it therefore requests the
// newest outcomes of a few other servers and compares the suspect's newest outcomes
// with those. That costs a round trip for each suspicion and nothing otherwise.
const (
	// freshFor is how long the last data about a server counts as current.
	freshFor = 300 * time.Millisecond
	// confirmWait is the timeout for fresh data; after it the suspicion is
	// judged by the data at hand.
	confirmWait = 500 * time.Millisecond
	// refreshServers is the number of other servers whose data is refreshed.
	refreshServers = 5
)

// TakeRefreshRequests returns the servers whose current digests are needed to confirm a
// suspicion, and clears the list. The caller fetches the digests, observes their
// outcomes and then calls Confirm.
func (d *Detector) TakeRefreshRequests() []string {
	requests := d.refreshRequests
	d.refreshRequests = nil
	return requests
}

// Confirm judges all suspicions that wait for fresh data.
func (d *Detector) Confirm(now time.Time) {
	for i, s := range d.servers {
		if !s.requestedAt.IsZero() {
			d.confirm(now, i)
		}
	}
}

// suspected handles a score that reached the threshold: if the data about the other
// servers is fresh, the suspicion is judged immediately, otherwise fresh data is requested.
func (d *Detector) suspected(now time.Time, i int) {
	s := d.servers[i]
	if _, name := d.effectiveScore(s); name == chartNames[chartPath] {
		// Only this ingress observes its own path; digests do not cover it.
		d.eject(now, s)
		return
	}
	stale := d.staleOthers(now, i)
	if len(stale) == 0 {
		d.confirm(now, i)
		return
	}
	if s.requestedAt.IsZero() {
		s.requestedAt = now
		d.idle = false
		d.refreshRequests = append(d.refreshRequests, stale...)
		d.refreshRequests = append(d.refreshRequests, s.Name)
	}
}

// staleOthers returns the servers whose data should be refreshed before a server is
// judged: none if the data of enough other servers is fresh.
func (d *Detector) staleOthers(now time.Time, i int) []string {
	var stale []string
	fresh, others := 0, 0
	for j, s := range d.servers {
		if j == i || !s.capacity() {
			continue
		}
		others++
		if now.Sub(s.updatedAt) <= freshFor {
			fresh++
		} else if len(stale) < refreshServers {
			stale = append(stale, s.Name)
		}
	}
	if fresh >= min(others, refreshServers) {
		return nil
	}
	return stale
}

// confirm compares the newest outcomes of a server with the current data about the
// other servers and ejects it if its score still reaches the threshold.
func (d *Detector) confirm(now time.Time, i int) {
	s := d.servers[i]
	s.requestedAt = time.Time{}
	if !s.Serving() {
		return
	}
	d.rescore(i)
	if score, _ := d.effectiveScore(s); score >= d.caution {
		d.eject(now, s)
	}
}

// rescore recomputes the scores from the newest outcomes.
func (d *Detector) rescore(i int) {
	s := d.servers[i]
	baseline, known := d.otherMean(i, window)
	// At the onset of a common slow-down the newest few requests of the other
	// servers show more of it than the whole window.
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
