package inbound

import (
	"context"
	"sync"

	"slatewind.example/slatewind/bodylimit"
)

// bodyLease is the memory of one request's body. It is taken by the goroutine that reads the body,
// which may go on for a moment after its request has ended.
type bodyLease struct {
	// mu guards the fields below.
	mu    sync.Mutex
	lease *bodylimit.Lease
	// ended reports that the request has ended.
	ended bool
}

// acquire takes memory for a body of the given size. It waits until ctx ends.
func (b *bodyLease) acquire(ctx context.Context, budget *bodylimit.Budget, bytes int64) error {
	lease, err := budget.Acquire(ctx, bytes)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		lease.Release()
		return bodylimit.ErrExhausted
	}
	b.lease = lease
	return nil
}

// release returns the memory, also if it is taken later.
func (b *bodyLease) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.lease.Release()
}
