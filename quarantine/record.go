package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is an event with its time by this process's clock.
type event struct {
	id   uint64
	kind Kind
	at   time.Time
	void bool
}

// merge takes what another process knows of the same event. What was an end for one run of the
// request may have been a trial's for another.
func (e *event) merge(other event) {
	if e.kind == KindEnd && other.kind == KindFailedTrial {
		e.kind = other.kind
	}
	e.void = e.void || other.void
}

// record is what is known of one request, oldest event first.
type record struct {
	events []event
}

// add notes an event, or that a known one is void or was a trial's.
func (r *record) add(e event) {
	for i := range r.events {
		if known := &r.events[i]; known.id == e.id {
			known.merge(e)
			return
		}
	}
	r.events = append(r.events, e)
	slices.SortStableFunc(r.events, func(a, b event) int { return a.at.Compare(b.at) })
	if len(r.events) > mostEvents {
		r.drop()
	}
}

// drop forgets the oldest void event, or else the oldest trial, or else the oldest: what decides
// are the newest and the failed trials.
func (r *record) drop() {
	i := slices.IndexFunc(r.events, func(e event) bool { return e.void })
	if i < 0 {
		i = slices.IndexFunc(r.events, func(e event) bool { return e.kind == KindTrial })
	}
	r.events = slices.Delete(r.events, max(i, 0), max(i, 0)+1)
}

// count returns how many events of some kinds count.
func (r *record) count(kinds ...Kind) (n int) {
	for _, e := range r.events {
		if !e.void && slices.Contains(kinds, e.kind) {
			n++
		}
	}
	return n
}

// ends returns how many servers ended under the request since it was last answered.
func (r *record) ends() int { return r.count(KindEnd, KindFailedTrial) }

// newest returns the time of the newest event.
func (r *record) newest() time.Time { return r.events[len(r.events)-1].at }

// pause returns how long after the newest event the next trial comes; lately says that the request
// was answered shortly before the first.
func (r *record) pause(lately bool) time.Duration {
	failed, trials := r.count(KindFailedTrial), r.count(KindTrial)
	switch {
	case failed > 0:
		return min(failedPause<<(failed-1), mostPause)
	case lately && trials == 0:
		return 0
	case lately:
		return latelyPause
	}
	return firstPause
}

// charged returns how many ends are the request's to answer for: those that no other request was
// part of under which more servers ended. Most is the highest number of ends of all requests of
// an end.
func (r *record) charged(most map[uint64]int) (n int) {
	own := r.ends()
	for _, e := range r.events {
		if !e.void && e.kind != KindTrial && most[e.id] <= own {
			n++
		}
	}
	return n
}

// verdict returns whether the request may be sent now, by how many ends it has to answer for. It
// does not decide who makes the trial; delay is how much later than the first this process may.
func (r *record) verdict(now time.Time, charged int, lately bool, delay time.Duration) Verdict {
	v := Verdict{Ends: charged, Proven: r.count(KindFailedTrial) > 0}
	if v.Ends < enoughEnds {
		return v
	}
	if lately {
		delay = 0
	}
	v.TrialIn = max(r.newest().Add(r.pause(lately)+delay).Sub(now), 0)
	v.Refused, v.Trial = v.TrialIn > 0, v.TrialIn == 0
	return v
}

// answered voids all events.
func (r *record) answered() {
	for i := range r.events {
		r.events[i].void = true
	}
}

// over reports whether the request is to be forgotten.
func (r *record) over(now time.Time) bool {
	keep := keepTime
	switch n := r.ends(); {
	case n == 0:
		keep = voidTime
	case n < enoughEnds:
		keep = singleTime
	}
	return now.Sub(r.newest()) > keep
}

// told returns the record for other processes.
func (r *record) told(now time.Time, digest Digest) Record {
	told := Record{Digest: digest}
	for _, e := range r.events {
		told.Events = append(told.Events, Event{ID: e.id, Kind: e.kind, Age: max(now.Sub(e.at), 0), Void: e.void})
	}
	return told
}

// sum returns a hash by which two processes find out whether they know the same.
func (r *record) sum(digest Digest) uint64 {
	var total uint64
	for _, e := range r.events {
		text := append([]byte(nil), digest[:]...)
		text = binary.BigEndian.AppendUint64(text, e.id)
		text = append(text, e.kind...)
		if e.void {
			text = append(text, 1)
		}
		total ^= xxhash.Sum64(text)
	}
	return total
}

// order compares records by which is the first to go where there are too many: acquitted ones,
// those with the fewest ends, the oldest.
func (r *record) order(other *record) int {
	return cmp.Or(cmp.Compare(r.ends(), other.ends()), r.newest().Compare(other.newest()))
}
