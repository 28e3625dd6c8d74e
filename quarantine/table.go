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

// Table holds what a process knows of requests under which servers ended. It is safe for use by
// several goroutines.
type Table struct {
	// spread tells others of news at once, listed is called when a request begins to be
	// refused. Both are called without the lock; nil does nothing.
	spread func([]Record)
	listed func(Digest, Verdict)

	// size is the number of records: almost always there are none, and then nothing is to be
	// worked out for a request.
	size atomic.Int64

	mu      sync.Mutex
	records map[Digest]*record
	// most holds the highest number of ends of all requests that were part of an end, by its id.
	most map[uint64]int
	// lately are the requests that were answered here lately.
	lately answers
}

// NewTable returns an empty table. What happens beside this process goes to spread, and requests
// that begin to be refused, by whoever's word, to listed. Either may be nil.
func NewTable(spread func([]Record), listed func(Digest, Verdict)) *Table {
	if spread == nil {
		spread = func([]Record) {}
	}
	if listed == nil {
		listed = func(Digest, Verdict) {}
	}
	return &Table{spread: spread, listed: listed, records: map[Digest]*record{}}
}

// Empty reports whether nothing is known of any request.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Check says whether a request may be sent. It is for those who do not run it themselves.
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

// verdict returns that of a known request for a process with a turn. The lock is held.
func (t *Table) verdict(now time.Time, digest Digest, r *record, turn Turn) Verdict {
	return r.verdict(now, r.charged(t.most), t.lately.has(now, digest), turn.delay(digest))
}

// weigh works out anew which requests were part of most ends. Others that were on the same servers
// need not answer for these. The lock is held.
func (t *Table) weigh() {
	t.most = map[uint64]int{}
	for _, r := range t.records {
		for _, e := range r.events {
			t.most[e.id] = max(t.most[e.id], r.ends())
		}
	}
}

// known returns what is known of a request, or nil. The lock is held.
func (t *Table) known(now time.Time, digest Digest) *record {
	r := t.records[digest]
	if r == nil || r.over(now) {
		return nil
	}
	return r
}

// Begin says whether a server may be given a request now, by the turn of the process beside it. Where
// that is a trial, all are told, so that there is one at a time.
func (t *Table) Begin(now time.Time, digest func() Digest, turn Turn) Verdict {
	if t.Empty() {
		return Verdict{}
	}
	d := digest()
	v, told := t.begin(now, d, turn)
	if v.Trial {
		t.spread([]Record{told})
	}
	return v
}

func (t *Table) begin(now time.Time, digest Digest, turn Turn) (v Verdict, told Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known(now, digest)
	if r == nil {
		return v, told
	}
	v = t.verdict(now, digest, r, turn)
	if v.Trial {
		r.add(event{id: rand.Uint64(), kind: KindTrial, at: now})
		told = r.told(now, digest)
	}
	return v, told
}

// Ended notes that a server ended, and tells others.
func (t *Table) Ended(now time.Time, end End) {
	var records []Record
	for _, digest := range end.Digests {
		records = append(records, Record{digest, []Event{{ID: end.ID, Kind: KindEnd}}})
	}
	for _, digest := range end.Trials {
		records = append(records, Record{digest, []Event{{ID: end.ID, Kind: KindFailedTrial}}})
	}
	t.Take(now, records)
	t.spread(records)
}

// Answered notes that a server answered a request wholly: it does not end those that run it.
// Others are told at once where that lets it through again.
func (t *Table) Answered(now time.Time, digest Digest) {
	if told, acquitted := t.answered(now, digest); acquitted {
		t.spread([]Record{told})
	}
}

func (t *Table) answered(now time.Time, digest Digest) (told Record, acquitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lately.add(now, digest)
	r := t.known(now, digest)
	if r == nil {
		return told, false
	}
	acquitted = r.ends() >= enoughEnds
	r.answered()
	t.weigh()
	return r.told(now, digest), acquitted
}

// Take takes what another process told. The order in which it comes does not matter.
func (t *Table) Take(now time.Time, records []Record) {
	if len(records) == 0 {
		return
	}
	for _, digest := range t.take(now, records) {
		t.listed(digest, t.Check(now, func() Digest { return digest }))
	}
}

// take returns which requests are refused from now on.
func (t *Table) take(now time.Time, records []Record) (refused []Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, told := range records {
		r := t.known(now, told.Digest)
		before := r != nil && r.ends() >= enoughEnds
		if r == nil {
			r = &record{}
		}
		for _, e := range told.Events {
			r.add(event{id: e.ID, kind: e.Kind, at: now.Add(-e.Age), void: e.Void})
		}
		if len(r.events) == 0 || r.over(now) {
			continue
		}
		t.records[told.Digest] = r
		if !before && r.ends() >= enoughEnds {
			refused = append(refused, told.Digest)
		}
	}
	t.sweep(now)
	return refused
}

// sweep forgets what is over and keeps the table in its bound. The lock is held.
func (t *Table) sweep(now time.Time) {
	maps.DeleteFunc(t.records, func(_ Digest, r *record) bool { return r.over(now) })
	for len(t.records) > mostRecords {
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
	t.weigh()
}

// Record returns what is known of one request, for who asked to send it.
func (t *Table) Record(now time.Time, digest Digest) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.known(now, digest); r != nil {
		return r.told(now, digest)
	}
	return Record{Digest: digest}
}

// Records returns what other processes are told.
func (t *Table) Records(now time.Time) (records []Record) {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, digest := range t.told(now) {
		records = append(records, t.records[digest].told(now, digest))
	}
	return records
}

// Sum returns a hash of what other processes are told, 0 for nothing. Two processes with the same
// one need not tell each other anything.
func (t *Table) Sum(now time.Time) (sum uint64) {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, digest := range t.told(now) {
		sum ^= t.records[digest].sum(digest)
	}
	return sum
}

// told returns the requests of which others are told: where there are too many for a message, those
// under which most servers ended, and the newest of these. The lock is held.
func (t *Table) told(now time.Time) []Digest {
	t.sweep(now)
	digests := slices.Collect(maps.Keys(t.records))
	if len(digests) > mostTold {
		slices.SortFunc(digests, func(a, b Digest) int { return t.records[b].order(t.records[a]) })
		digests = digests[:mostTold]
	}
	return digests
}

// Views returns the requests under which servers ended, in the order of their digests.
func (t *Table) Views(now time.Time) []View {
	t.mu.Lock()
	defer t.mu.Unlock()
	var views []View
	for digest, r := range t.records {
		v := t.verdict(now, digest, r, Turn{})
		if v.Ends > 0 && !r.over(now) {
			views = append(views, View{Digest: digest.String(), Ends: v.Ends, Refused: v.Refused, TrialInMs: v.TrialIn.Milliseconds()})
		}
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.Digest, b.Digest) })
	return views
}
