package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is an Event with its time by the clock of this process.
type event struct {
	id   uint64
	kind Kind
	at   time.Time
	void bool
}

// merge adds what another process knows of the same event. The same crash may have hit an ordinary
// run of the request and a trial; the trial takes precedence.
func (e *event) merge(other event) {
	if e.kind == KindCrash && other.kind == KindFailedTrial {
		e.kind = other.kind
	}
	e.void = e.void || other.void
}

// record holds the events of one request, oldest first.
type record struct {
	events []event
}

// add inserts an event or merges it into the known one with the same id.
func (r *record) add(e event) {
	for i := range r.events {
		if known := &r.events[i]; known.id == e.id {
			known.merge(e)
			return
		}
	}
	r.events = append(r.events, e)
	slices.SortStableFunc(r.events, func(a, b event) int { return a.at.Compare(b.at) })
	if len(r.events) > maxEvents {
		r.drop()
	}
}

// drop removes the oldest void event, or else the oldest trial, or else the oldest event: the
// newest events and the failed trials determine the verdict.
func (r *record) drop() {
	i := slices.IndexFunc(r.events, func(e event) bool { return e.void })
	if i < 0 {
		i = slices.IndexFunc(r.events, func(e event) bool { return e.kind == KindTrial })
	}
	r.events = slices.Delete(r.events, max(i, 0), max(i, 0)+1)
}

// count returns the number of events of the given kinds that are not void.
func (r *record) count(kinds ...Kind) (n int) {
	for _, e := range r.events {
		if !e.void && slices.Contains(kinds, e.kind) {
			n++
		}
	}
	return n
}

// crashes returns the number of crashes under the request since it was last answered.
func (r *record) crashes() int { return r.count(KindCrash, KindFailedTrial) }

// newest returns the time of the newest event.
func (r *record) newest() time.Time { return r.events[len(r.events)-1].at }

// nextTrialDelay returns the time from the newest event to the next trial. recent means that the
// request was answered recently at this process (recentAnswers).
func (r *record) nextTrialDelay(recent bool) time.Duration {
	failed, trials := r.count(KindFailedTrial), r.count(KindTrial)
	switch {
	case failed > 0:
		return min(failedTrialDelay<<(failed-1), maxFailedTrialDelay)
	case recent && trials == 0:
		return 0
	case recent:
		return recentTrialDelay
	}
	return trialDelay
}

// attributed returns the number of crashes that are attributed to the request: those in which no
// request took part that has more crashes. maxCrashes is, by id of a crash, the highest number of
// crashes of any request that took part in it.
func (r *record) attributed(maxCrashes map[uint64]int) (n int) {
	own := r.crashes()
	for _, e := range r.events {
		if !e.void && e.kind != KindTrial && maxCrashes[e.id] <= own {
			n++
		}
	}
	return n
}

// verdict returns whether the request may be sent now, given the number of crashes attributed to
// it. delay is how much later than the first process this one may make a trial (Turn); it does not
// apply to recently answered requests.
func (r *record) verdict(now time.Time, attributed int, recent bool, delay time.Duration) Verdict {
	v := Verdict{Crashes: attributed, Proven: r.count(KindFailedTrial) > 0}
	if v.Crashes < refuseAfterCrashes {
		return v
	}
	if recent {
		delay = 0
	}
	v.TrialIn = max(r.newest().Add(r.nextTrialDelay(recent)+delay).Sub(now), 0)
	v.Refused, v.Trial = v.TrialIn > 0, v.TrialIn == 0
	return v
}

// answered marks all events as void.
func (r *record) answered() {
	for i := range r.events {
		r.events[i].void = true
	}
}

// expired reports whether the record is due for removal.
func (r *record) expired(now time.Time) bool {
	keep := keepTime
	switch n := r.crashes(); {
	case n == 0:
		keep = clearedKeepTime
	case n < refuseAfterCrashes:
		keep = singleCrashKeepTime
	}
	return now.Sub(r.newest()) > keep
}

// export returns the record in the form that processes exchange.
func (r *record) export(now time.Time, digest Digest) Record {
	exported := Record{Digest: digest}
	for _, e := range r.events {
		exported.Events = append(exported.Events, Event{ID: e.id, Kind: e.kind, Age: max(now.Sub(e.at), 0), Void: e.void})
	}
	return exported
}

// sum returns a hash by which two processes find out whether their records are equal.
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

// order compares records by how early they are evicted when there are too many: first cleared ones,
// then those with the fewest crashes, then the oldest.
func (r *record) order(other *record) int {
	return cmp.Or(cmp.Compare(r.crashes(), other.crashes()), r.newest().Compare(other.newest()))
}
