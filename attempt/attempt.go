// Package attempt remembers, in a sidecar, which attempts it has seen, so that
// "not started" is a fact and not a guess.
//
// Every attempt is addressed to an incarnation of the sidecar. The incarnation
// changes with each start of the process, after each pause, and every Epoch;
// attempts for the present and the last one are admitted, all others refused.
// An attempt that arrives later than two epochs after it was sent is therefore
// refused without any memory of it, and all that has to be remembered is what
// happened within two epochs. A cancellation of an attempt that was not seen
// leaves a tombstone that outlives every chance of its arrival.
package attempt

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
)

// Epoch is how long a sidecar keeps an incarnation. An attempt can be on its
// way for less than two of them; 2 min outlasts every route's timeout while
// the memory of two epochs stays near 2 MB at 260 requests a second.
const Epoch = 2 * time.Minute

// epochBits is the width of the count of epochs in an incarnation; above it
// stands the time at which the process began, in milliseconds.
const epochBits = 24

// incarnationEpoch is the time from which processes' beginnings count, so that
// milliseconds fit above the epochs for 34 years.
var incarnationEpoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// NewIncarnation returns the first incarnation of a process that begins now. One
// that begins later on the same VM has a greater one.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.Sub(incarnationEpoch).Milliseconds())<<epochBits | 1
}

// ProcessOf returns the part of an incarnation that stays the same while its
// process lives.
func ProcessOf(incarnation uint64) uint64 {
	return incarnation >> epochBits
}

// DefaultLimit bounds the attempts remembered in one epoch.
const DefaultLimit = 65536

// Refusal says why an attempt was not admitted; empty means admitted.
type Refusal string

// Reasons to refuse an attempt. All but RefusedDouble prove that it does not
// run; of a double, the one that came first may run.
const (
	Admitted       Refusal = ""
	RefusedStale   Refusal = "addressed to an earlier incarnation of the sidecar"
	RefusedTomb    Refusal = "cancelled before it arrived"
	RefusedDouble  Refusal = "the same attempt arrived before"
	RefusedNoSpace Refusal = "no memory left for attempts"
)

// phase is how far an attempt has come.
type phase uint8

const (
	phaseAdmitted phase = iota + 1
	phaseStarted
	phaseEnded
	phaseTombstone
)

// generation holds the attempts first seen within one epoch.
type generation struct {
	incarnation uint64
	phases      map[uint64]phase
}

// Table is the memory of attempts of one sidecar. It is not safe for use by
// several goroutines; its host guards it.
type Table struct {
	limit   int
	now     generation
	last    generation
	rotated time.Time
}

// NewTable returns a table whose first incarnation is given.
func NewTable(now time.Time, incarnation uint64, limit int) *Table {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Table{
		limit:   limit,
		now:     generation{incarnation: incarnation, phases: map[uint64]phase{}},
		rotated: now,
	}
}

// Incarnation returns the present incarnation.
func (t *Table) Incarnation() uint64 {
	return t.now.incarnation
}

// Rotate begins the next incarnation if the present one is an epoch old.
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

// Wake begins a new incarnation after a pause and refuses all attempts that
// were addressed to earlier ones: they may have waited in buffers meanwhile.
func (t *Table) Wake(now time.Time) {
	t.advance(now)
	t.last.incarnation = 0
}

func (t *Table) advance(now time.Time) {
	running := t.last.phases
	t.last = t.now
	t.now = generation{incarnation: t.now.incarnation + 1, phases: map[uint64]phase{}}
	t.rotated = now
	for id, p := range running {
		if p == phaseAdmitted || p == phaseStarted {
			t.last.phases[id] = p
		}
	}
}

// Admit notes the arrival of an attempt and says whether it may wait for a
// slot.
func (t *Table) Admit(id string, incarnation uint64) Refusal {
	hash := xxhash.Sum64String(id)
	switch t.find(hash) {
	case phaseTombstone:
		return RefusedTomb
	case 0:
	default:
		return RefusedDouble
	}
	if !t.current(incarnation) {
		return RefusedStale
	}
	if len(t.now.phases) >= t.limit {
		return RefusedNoSpace
	}
	t.now.phases[hash] = phaseAdmitted
	return Admitted
}

// Start notes that a server is about to get the attempt. It returns false if
// the attempt was cancelled meanwhile, and then it must not be started.
func (t *Table) Start(id string) bool {
	hash := xxhash.Sum64String(id)
	if t.find(hash) != phaseAdmitted {
		return false
	}
	t.set(hash, phaseStarted)
	return true
}

// End notes that nothing more will happen to a started attempt.
func (t *Table) End(id string) {
	t.set(xxhash.Sum64String(id), phaseEnded)
}

// Refuse notes that an admitted attempt will not be started.
func (t *Table) Refuse(id string) {
	t.set(xxhash.Sum64String(id), phaseTombstone)
}

// Cancel makes sure that an attempt is not started from now on and says
// whether it was before.
func (t *Table) Cancel(id string, incarnation uint64) slatewind.CancelState {
	hash := xxhash.Sum64String(id)
	switch t.find(hash) {
	case phaseStarted, phaseEnded:
		return slatewind.CancelStarted
	case phaseAdmitted, phaseTombstone:
		t.set(hash, phaseTombstone)
		return slatewind.CancelNotStarted
	}
	if !t.current(incarnation) || len(t.now.phases) >= t.limit {
		return slatewind.CancelUnknown
	}
	t.now.phases[hash] = phaseTombstone
	return slatewind.CancelNotStarted
}

// Len returns how many attempts are remembered.
func (t *Table) Len() int {
	return len(t.now.phases) + len(t.last.phases)
}

func (t *Table) current(incarnation uint64) bool {
	return incarnation != 0 && (incarnation == t.now.incarnation || incarnation == t.last.incarnation)
}

func (t *Table) find(hash uint64) phase {
	if p := t.now.phases[hash]; p != 0 {
		return p
	}
	return t.last.phases[hash]
}

func (t *Table) set(hash uint64, p phase) {
	if _, ok := t.last.phases[hash]; ok {
		t.last.phases[hash] = p
		return
	}
	t.now.phases[hash] = p
}
