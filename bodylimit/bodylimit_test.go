package bodylimit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/bodylimit"
)

// shortWait is how long tests wait for memory that they should not get.
const shortWait = 20 * time.Millisecond

// acquire takes memory, waiting for shortWait at most.
func acquire(b *bodylimit.Budget, bytes int64) (*bodylimit.Lease, error) {
	ctx, cancel := context.WithTimeout(context.Background(), shortWait)
	defer cancel()
	return b.Acquire(ctx, bytes)
}

// TestBudget checks what fits beside a body that is held.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		held, wanted int64
		grow         int64
		fits         bool
	}{
		"both fit":                       {held: 60, wanted: 40, fits: true},
		"second is too large":            {held: 60, wanted: 41},
		"larger than the budget, alone":  {held: 0, wanted: 1000, fits: true},
		"larger than the budget, beside": {held: 1, wanted: 1000},
		"grows beyond the rest":          {held: 60, wanted: 30, grow: 11},
		"grows into the rest":            {held: 60, wanted: 30, grow: 10, fits: true},
		"alone, grows beyond the budget": {held: 0, wanted: 90, grow: 1000, fits: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := bodylimit.NewBudget(100)
			held, err := acquire(b, test.held)
			assert.NilError(t, err)
			lease, err := acquire(b, test.wanted)
			if err == nil {
				err = lease.Grow(test.grow)
			}
			if !test.fits {
				assert.ErrorIs(t, err, bodylimit.ErrExhausted)
			} else {
				assert.NilError(t, err)
			}
			held.Release()
			lease.Release()
			lease.Release()
			_, err = acquire(b, 100)
			assert.NilError(t, err, "all memory is returned")
		})
	}
}

// TestEmptyBodiesDoNotWait checks that a request without a body does not wait behind large ones.
func TestEmptyBodiesDoNotWait(t *testing.T) {
	b := bodylimit.NewBudget(100)
	held, err := acquire(b, 100)
	assert.NilError(t, err)
	waiting := make(chan error)
	go func() {
		lease, err := b.Acquire(t.Context(), 50)
		lease.Release()
		waiting <- err
	}()
	time.Sleep(shortWait)
	_, err = acquire(b, 0)
	assert.NilError(t, err)
	held.Release()
	assert.NilError(t, <-waiting)
}

// TestBudgetUnderLoad checks that bodies of many goroutines never exceed the budget and that all of
// them get their turn.
func TestBudgetUnderLoad(t *testing.T) {
	const capacity, bodies, size = 1000, 200, 60
	b := bodylimit.NewBudget(capacity)
	var inUse, most atomic.Int64
	var done sync.WaitGroup
	for range bodies {
		done.Go(func() {
			lease, err := b.Acquire(context.Background(), size)
			assert.Check(t, err)
			now := inUse.Add(size)
			for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
			}
			time.Sleep(time.Millisecond)
			inUse.Add(-size)
			lease.Release()
		})
	}
	done.Wait()
	assert.Assert(t, most.Load() <= capacity, "held at once: %d", most.Load())
}

// TestOldestAnswerIsCut checks that the answers that exceed the bound cut off the oldest ones, and no
// more than needed.
func TestOldestAnswerIsCut(t *testing.T) {
	tests := map[string]struct {
		sizes    []int64
		released int
		cut      []bool
	}{
		"all fit":                    {sizes: []int64{50, 50}, released: -1, cut: []bool{false, false}},
		"oldest is cut":              {sizes: []int64{50, 30, 30}, released: -1, cut: []bool{true, false, false}},
		"two oldest are cut":         {sizes: []int64{30, 30, 30, 90}, released: -1, cut: []bool{true, true, true, false}},
		"the newest is never cut":    {sizes: []int64{500}, released: -1, cut: []bool{false}},
		"empty ones are released":    {sizes: []int64{0, 100, 0}, released: -1, cut: []bool{false, false, false}},
		"one that was read is spent": {sizes: []int64{50, 30, 30}, released: 0, cut: []bool{false, false, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			answers := bodylimit.NewAnswers(100)
			cut := make([]bool, len(test.sizes))
			releases := make([]func(), len(test.sizes))
			for i, size := range test.sizes {
				releases[i] = answers.Hold(size, func() { cut[i] = true })
				if i == test.released {
					releases[i]()
				}
			}
			assert.DeepEqual(t, cut, test.cut)
			for _, release := range releases {
				release()
				release()
			}
			view := answers.View()
			assert.Equal(t, view.Bytes, int64(0))
			assert.Equal(t, view.Unread, 0)
		})
	}
}
