// Package bodylimit bounds the memory that the bodies of requests and answers take up in a process.
package bodylimit

import (
	"context"
	"runtime"
	"sync/atomic"

	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"
)

// Error is the class of errors of this package.
var Error = errs.Class("bodylimit")

// ErrExhausted is returned if there was no memory for a body in time.
var ErrExhausted = Error.New("no memory left for the body")

// DefaultRequestBytes is the default capacity of a Budget for bodies of requests, in bytes.
const DefaultRequestBytes = 16 << 20

// collectBytes is the size in bytes from which the garbage of earlier bodies is collected before a body is allocated. The
// collector runs beside the program, so that a few large bodies in a row could exceed the memory of the process before it is
// done.
const collectBytes = 8 << 20

// Buffer returns an empty buffer with room for the given number of bytes.
func Buffer(bytes int64) []byte {
	if bytes >= collectBytes {
		runtime.GC()
	}
	return make([]byte, 0, bytes)
}

// Budget is an amount of memory that bodies share. Whoever finds too little left waits for its turn,
// in order of arrival. It is safe for concurrent use.
type Budget struct {
	capacity int64
	left     *semaphore.Weighted
	inUse    atomic.Int64
}

// NewBudget returns a budget of a number of bytes; zero or less means DefaultRequestBytes.
func NewBudget(capacity int64) *Budget {
	if capacity <= 0 {
		capacity = DefaultRequestBytes
	}
	return &Budget{capacity: capacity, left: semaphore.NewWeighted(capacity)}
}

// Lease is memory that was taken from a budget. It is not safe for concurrent use.
type Lease struct {
	budget *Budget
	bytes  int64
}

// Acquire takes memory for a body of the given size in bytes, and waits for it until ctx ends. The
// error is then ErrExhausted. A body that is larger than the whole budget takes all of it, so that
// it is held alone.
func (b *Budget) Acquire(ctx context.Context, bytes int64) (*Lease, error) {
	bytes = min(bytes, b.capacity)
	if bytes <= 0 {
		return &Lease{budget: b}, nil
	}
	if err := b.left.Acquire(ctx, bytes); err != nil {
		return nil, ErrExhausted
	}
	b.inUse.Add(bytes)
	return &Lease{b, bytes}, nil
}

// Empty returns a lease without memory, which may grow.
func (b *Budget) Empty() *Lease { return &Lease{budget: b} }

// InUse returns the memory that is taken, in bytes.
func (b *Budget) InUse() int64 { return b.inUse.Load() }

// Grow takes memory for further bytes, without waiting: bodies that each hold memory and wait for
// more could wait for each other. The error is ErrExhausted if there is too little.
func (l *Lease) Grow(bytes int64) error {
	bytes = min(bytes, l.budget.capacity-l.bytes)
	if bytes <= 0 {
		return nil
	}
	if !l.budget.left.TryAcquire(bytes) {
		return ErrExhausted
	}
	l.bytes += bytes
	l.budget.inUse.Add(bytes)
	return nil
}

// Release returns the memory. It may be called on a nil Lease, and more than once.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.budget.inUse.Add(-l.bytes)
	l.budget.left.Release(l.bytes)
	l.bytes = 0
}
