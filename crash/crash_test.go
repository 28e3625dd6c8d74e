package crash_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/crash"
	"slatewind.example/slatewind/quarantine"
)

var (
	one = quarantine.Content{Target: "/1"}.Digest()
	two = quarantine.Content{Target: "/2"}.Digest()
)

// TestFailed: which requests a server ended under, by how a run of request one failed.
func TestFailed(t *testing.T) {
	tests := map[string]struct {
		err      error
		probe    error
		planned  bool
		sent     bool
		suspects int
	}{
		"the server ended":                     {io.ErrUnexpectedEOF, syscall.ECONNREFUSED, false, true, 1},
		"it ended by a reset":                  {syscall.ECONNRESET, syscall.ECONNREFUSED, false, true, 1},
		"one connection was reset":             {syscall.ECONNRESET, nil, false, true, 0},
		"it ended by plan":                     {io.EOF, syscall.ECONNREFUSED, true, true, 0},
		"nobody can tell":                      {io.EOF, context.DeadlineExceeded, false, true, 0},
		"a wrong answer":                       {errors.New("no answer"), syscall.ECONNREFUSED, false, true, 0},
		"it had ended before the request came": {syscall.ECONNREFUSED, syscall.ECONNREFUSED, false, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := crash.New(func(context.Context) error { return test.probe }, func() bool { return test.planned })
			end, ok := d.Failed(crash.Run{Digest: one, Began: time.Now(), Sent: test.sent}, test.err)
			assert.Equal(t, ok, test.suspects > 0)
			assert.Equal(t, len(end.Digests), test.suspects)
		})
	}
}

// TestOneEnd: all runs that a server's end broke tell of the same end, and it is looked for once; a
// run of its next start tells of another.
func TestOneEnd(t *testing.T) {
	var probes atomic.Int32
	d := crash.New(func(context.Context) error { probes.Add(1); return syscall.ECONNREFUSED }, func() bool { return false })
	began := time.Now()
	ids := make(chan uint64, 10)
	var all sync.WaitGroup
	for range 10 {
		all.Go(func() {
			end, _ := d.Failed(crash.Run{Digest: one, Began: began, Sent: true}, io.EOF)
			ids <- end.ID
		})
	}
	all.Wait()
	first := <-ids
	for range 9 {
		assert.Equal(t, <-ids, first)
	}
	assert.Equal(t, probes.Load(), int32(1))
	next, ok := d.Failed(crash.Run{Digest: one, Began: time.Now(), Sent: true}, io.EOF)
	assert.Assert(t, ok && next.ID != first)
}

// TestCallerLeft: a run whose caller left is suspected for a moment, also where the end is found by
// a request that could not be sent; a trial stays one.
func TestCallerLeft(t *testing.T) {
	tests := map[string]struct {
		wait     time.Duration
		suspects int
	}{
		"a moment before": {100 * time.Millisecond, 1},
		"long before":     {time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := crash.New(func(context.Context) error { return syscall.ECONNREFUSED }, func() bool { return false })
				d.Left(time.Now(), crash.Run{Digest: two, Trial: true})
				time.Sleep(test.wait)
				end, _ := d.Failed(crash.Run{Digest: one, Began: time.Now()}, syscall.ECONNREFUSED)
				assert.Equal(t, len(end.Trials), test.suspects)
				assert.Equal(t, len(end.Digests), 0)
			})
		})
	}
}
