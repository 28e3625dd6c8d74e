package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Table holds what a process knows of requests under which servers crashed. It is safe for
// concurrent use.
type Table struct {
	// publish sends new records to other processes at once; onRefused is called when a request
	// begins to be refused, that is, reaches refuseAfterCrashes. Both are called without the lock
	// held and are never nil.
	publish   func([]Record)
	onRefused func(Digest, Verdict)

	// size is the number of records. It is almost always 0, and then no digest has to be computed
	// for a request.
	size atomic.Int64

	mu      sync.Mutex
	records map[Digest]*record
	// maxCrashes holds, by id of a crash, the highest number of crashes of any request that took
	// part in it. It is guarded by mu, as are records and recent.
	maxCrashes map[uint64]int
	// recent is the set of requests that were answered recently at this process.
	recent recentAnswers
}

// NewTable returns an empty table. Local events are passed to publish, requests that begin to be
// refused, whatever the source of the events, to onRefused. Either may be nil.
func NewTable(publish func([]Record), onRefused func(Digest, Verdict)) *Table {
	if publish == nil {
		publish = func([]Record) {}
	}
	if onRefused == nil {
		onRefused = func(Digest, Verdict) {}
	}
	return &Table{publish: publish, onRefused: onRefused, records: map[Digest]*record{}}
}

// Empty reports whether there are no records.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Check returns whether a request may be sent, for processes that do not run it themselves.
func (t *Table) Check(now time.Time, digest func() Digest) Verdict {
	if t.Empty() {
		return Verdict{}
	}
	d := digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.known(now, d); r != nil {
		return t.verdict(now, d, r, Turn{})
	}
	return Verdict{}
}

// verdict returns the verdict on a request with a record, for the process with the given turn. The
// lock is held.
func (t *Table) verdict(now time.Time, digest Digest, r *record, turn Turn) Verdict {
	return r.verdict(now, r.attributed(t.maxCrashes), t.recent.has(now, digest), turn.delay(digest))
}

// recountCrashes recomputes maxCrashes. A crash is not attributed to the requests with fewer
// crashes that ran on the same server. The lock is held.
func (t *Table) recountCrashes() {
	t.maxCrashes = map[uint64]int{}
	for _, r := range t.records {
		for _, e := range r.events {
			t.maxCrashes[e.id] = max(t.maxCrashes[e.id], r.crashes())
		}
	}
}

// known returns the record of a request, or nil if there is none or it has expired. The lock is
// held.
func (t *Table) known(now time.Time, digest Digest) *record {
	r := t.records[digest]
	if r == nil || r.expired(now) {
		return nil
	}
	return r
}

// Begin returns whether a request may be passed to the server now, given the turn of its sidecar. A
// trial is published to all processes, so that there is one at a time.
func (t *Table) Begin(now time.Time, digest func() Digest, turn Turn) Verdict {
	if t.Empty() {
		return Verdict{}
	}
	d := digest()
	v, record := t.begin(now, d, turn)
	if v.Trial {
		t.publish([]Record{record})
	}
	return v
}

func (t *Table) begin(now time.Time, digest Digest, turn Turn) (v Verdict, record Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known(now, digest)
	if r == nil {
		return v, record
	}
	v = t.verdict(now, digest, r, turn)
	if v.Trial {
		r.add(event{id: rand.Uint64(), kind: KindTrial, at: now})
		record = r.export(now, digest)
	}
	return v, record
}

// ServerCrashed records a crash and publishes it.
func (t *Table) ServerCrashed(now time.Time, crash Crash) {
	var records []Record
	for _, digest := range crash.Digests {
		records = append(records, Record{digest, []Event{{ID: crash.ID, Kind: KindCrash}}})
	}
	for _, digest := range crash.Trials {
		records = append(records, Record{digest, []Event{{ID: crash.ID, Kind: KindFailedTrial}}})
	}
	t.Merge(now, records)
	t.publish(records)
}

// Answered records that a server answered a request completely, so that the request is not the
// cause of crashes. The record is published at once if the request was refused until now.
func (t *Table) Answered(now time.Time, digest Digest) {
	if record, cleared := t.answered(now, digest); cleared {
		t.publish([]Record{record})
	}
}

func (t *Table) answered(now time.Time, digest Digest) (record Record, cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent.add(now, digest)
	r := t.known(now, digest)
	if r == nil {
		return record, false
	}
	cleared = r.crashes() >= refuseAfterCrashes
	r.answered()
	t.recountCrashes()
	return r.export(now, digest), cleared
}

// Merge adds records received from another process. Their order does not matter.
func (t *Table) Merge(now time.Time, records []Record) {
	if len(records) == 0 {
		return
	}
	for _, digest := range t.merge(now, records) {
		t.onRefused(digest, t.Check(now, func() Digest { return digest }))
	}
}

// merge adds the records and returns the requests that have reached refuseAfterCrashes by it.
func (t *Table) merge(now time.Time, records []Record) (refused []Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, received := range records {
		r := t.known(now, received.Digest)
		before := r != nil && r.crashes() >= refuseAfterCrashes
		if r == nil {
			r = &record{}
		}
		for _, e := range received.Events {
			r.add(event{id: e.ID, kind: e.Kind, at: now.Add(-e.Age), void: e.Void})
		}
		if len(r.events) == 0 || r.expired(now) {
			continue
		}
		t.records[received.Digest] = r
		if !before && r.crashes() >= refuseAfterCrashes {
			refused = append(refused, received.Digest)
		}
	}
	t.sweep(now)
	return refused
}

// sweep removes expired records and evicts others down to the limit of the table. The lock is held.
func (t *Table) sweep(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Digest, r *record) bool { return r.expired(now) })
	for len(t.records) > maxRecords {
		var first Digest
		var least *record
		for digest, r := range t.records {
			if least == nil || r.order(least) < 0 {
				first, least = digest, r
			}
		}
		delete(t.records, first)
	}
	t.size.Store(int64(len(t.records)))
	t.recountCrashes()
}

// Record returns the record of one request, for the process that asked to send the request. It has
// no events if the request is not known.
func (t *Table) Record(now time.Time, digest Digest) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.known(now, digest); r != nil {
		return r.export(now, digest)
	}
	return Record{Digest: digest}
}

// Records returns the records that are sent to other processes.
func (t *Table) Records(now time.Time) (records []Record) {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, digest := range t.sent(now) {
		records = append(records, t.records[digest].export(now, digest))
	}
	return records
}

// Sum returns a hash of the records that are sent to other processes, 0 for none. Two processes
// with equal sums have nothing to exchange.
func (t *Table) Sum(now time.Time) (sum uint64) {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, digest := range t.sent(now) {
		sum ^= t.records[digest].sum(digest)
	}
	return sum
}

// sent returns the digests of the records that are sent to other processes. If there are too many
// for a message, those with the most crashes are chosen, and the newest among these. The lock is
// held.
func (t *Table) sent(now time.Time) []Digest {
	t.sweep(now)
	digests := slices.Collect(maps.Keys(t.records))
	if len(digests) > maxSentRecords {
		slices.SortFunc(digests, func(a, b Digest) int { return t.records[b].order(t.records[a]) })
		digests = digests[:maxSentRecords]
	}
	return digests
}

// Views returns the state of the requests under which servers crashed, sorted by digest.
func (t *Table) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	var views []View
	for digest, r := range t.records {
		v := t.verdict(now, digest, r, Turn{})
		if v.Crashes > 0 && !r.expired(now) {
			views = append(views, View{Digest: digest.String(), Crashes: v.Crashes, Refused: v.Refused, TrialInMs: v.TrialIn.Milliseconds()})
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.Digest, b.Digest) })
	return views
}
