// Package attempt records the attempts that a sidecar has received, so that the
// sidecar can prove that an attempt was not started.
//
// Every attempt is addressed to an incarnation of the sidecar. The incarnation
// changes with each start of the process, after each pause, and every Epoch.
// Attempts for the current and the previous incarnation are admitted, all others
// refused. An attempt that arrives more than two epochs after it was sent is
// therefore refused without a record of it, so only the attempts of the last two
// epochs have to be kept. The cancellation of an attempt that has not arrived
// leaves a tombstone, which is kept until the attempt can no longer be admitted.
package attempt

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
)

// Epoch is the lifetime of an incarnation. An attempt can be in transit for less
// than two epochs; 2 min exceed every route's timeout, while the table of two
// epochs takes about 2 MB at 260 requests per second.
const Epoch = 2 * time.Minute

// epochBits is the number of low bits of an incarnation that count epochs. The
// bits above hold the start time of the process in milliseconds.
const epochBits = 24

// incarnationEpoch is the time from which the start times of processes are
// counted, so that the milliseconds fit above epochBits for 34 years.
var incarnationEpoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// NewIncarnation returns the first incarnation of a process that starts now. A
// process that starts later on the same VM has a greater one.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.Sub(incarnationEpoch).Milliseconds())<<epochBits | 1
}

// ProcessOf returns the part of an incarnation that is constant for the lifetime
// of its process.
func ProcessOf(incarnation uint64) uint64 {
	return incarnation >> epochBits
}

// DefaultLimit is the default limit of attempts recorded in one epoch.
const DefaultLimit = 65536

// Refusal is the reason why an attempt was not admitted; empty means admitted.
type Refusal string

// Reasons to refuse an attempt. All but RefusedDuplicate prove that the attempt does
// not run; of duplicates, the one that arrived first may run.
const (
	Admitted         Refusal = ""
	RefusedStale     Refusal = "addressed to an earlier incarnation of the sidecar"
	RefusedCancelled Refusal = "cancelled before it arrived"
	RefusedDuplicate Refusal = "the same attempt arrived before"
	RefusedNoSpace   Refusal = "no memory left for attempts"
)

// phase is the progress of an attempt.
type phase uint8

const (
	phaseAdmitted phase = iota + 1
	phaseStarted
	phaseEnded
	phaseTombstone
)

// generation holds the attempts received first within one epoch.
type generation struct {
	incarnation uint64
	phases      map[uint64]phase
}

// Table holds the attempts received by one sidecar for one server. It is not safe
// for concurrent use.
type Table struct {
	limit    int
	newest   generation
	previous generation
	rotated  time.Time
}

// NewTable returns a table with the given first incarnation. A limit of zero or
// less means DefaultLimit.
func NewTable(now time.Time, incarnation uint64, limit int) *Table {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Table{
		limit:   limit,
		newest:  generation{incarnation: incarnation, phases: map[uint64]phase{}},
		rotated: now,
	}
}

// Incarnation returns the current incarnation.
func (t *Table) Incarnation() uint64 {
	return t.newest.incarnation
}

// Rotate begins the next incarnation if the current one is an epoch old.
func (t *Table) Rotate(now time.Time) {
	age := now.Sub(t.rotated)
	if age < Epoch {
		return
	}
	t.advance(now)
	if age >= 2*Epoch {
		t.advance(now)
	}
}

// Wake begins a new incarnation after a pause of the process. All attempts
// addressed to earlier ones are refused from then on, since they may have waited
// in buffers during the pause.
func (t *Table) Wake(now time.Time) {
	t.advance(now)
	t.previous.incarnation = 0
}

func (t *Table) advance(now time.Time) {
	running := t.previous.phases
	t.previous = t.newest
	t.newest = generation{incarnation: t.newest.incarnation + 1, phases: map[uint64]phase{}}
	t.rotated = now
	for id, p := range running {
		if p == phaseAdmitted || p == phaseStarted {
			t.previous.phases[id] = p
		}
	}
}

// Admit records the arrival of an attempt and returns Admitted if it may wait for
// a slot.
func (t *Table) Admit(id string, incarnation uint64) Refusal {
	hash := xxhash.Sum64String(id)
	switch t.find(hash) {
	case phaseTombstone:
		return RefusedCancelled
	case 0:
	default:
		return RefusedDuplicate
	}
	if !t.current(incarnation) {
		return RefusedStale
	}
	if len(t.newest.phases) >= t.limit {
		return RefusedNoSpace
	}
	t.newest.phases[hash] = phaseAdmitted
	return Admitted
}

// Start records that the attempt is about to be sent to the server. It returns
// false if the attempt is not in phase admitted, for example because it was
// cancelled; it must not be started then.
func (t *Table) Start(id string) bool {
	hash := xxhash.Sum64String(id)
	if t.find(hash) != phaseAdmitted {
		return false
	}
	t.set(hash, phaseStarted)
	return true
}

// End records that a started attempt has ended.
func (t *Table) End(id string) {
	t.set(xxhash.Sum64String(id), phaseEnded)
}

// Refuse records that an admitted attempt will not be started.
func (t *Table) Refuse(id string) {
	t.set(xxhash.Sum64String(id), phaseTombstone)
}

// Cancel prevents an attempt from being started and reports whether it was
// started before. It returns CancelUnknown for an attempt that is not recorded if
// its incarnation is outdated or the table is full.
func (t *Table) Cancel(id string, incarnation uint64) slatewind.CancelState {
	hash := xxhash.Sum64String(id)
	switch t.find(hash) {
	case phaseStarted, phaseEnded:
		return slatewind.CancelStarted
	case phaseAdmitted, phaseTombstone:
		t.set(hash, phaseTombstone)
		return slatewind.CancelNotStarted
	}
	if !t.current(incarnation) || len(t.newest.phases) >= t.limit {
		return slatewind.CancelUnknown
	}
	t.newest.phases[hash] = phaseTombstone
	return slatewind.CancelNotStarted
}

// Len returns the number of recorded attempts.
func (t *Table) Len() int {
	return len(t.newest.phases) + len(t.previous.phases)
}

func (t *Table) current(incarnation uint64) bool {
	return incarnation != 0 && (incarnation == t.newest.incarnation || incarnation == t.previous.incarnation)
}

func (t *Table) find(hash uint64) phase {
	if p := t.newest.phases[hash]; p != 0 {
		return p
	}
	return t.previous.phases[hash]
}

func (t *Table) set(hash uint64, p phase) {
	if _, ok := t.previous.phases[hash]; ok {
		t.previous.phases[hash] = p
		return
	}
	t.newest.phases[hash] = p
}
