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

// TestFailed checks which requests are suspected, given how a run of request one failed.
func TestFailed(t *testing.T) {
	tests := map[string]struct {
		err      error
		probe    error
		planned  bool
		sent     bool
		suspects int
	}{
		"the server crashed":                       {io.ErrUnexpectedEOF, syscall.ECONNREFUSED, false, true, 1},
		"it crashed, and the connection was reset": {syscall.ECONNRESET, syscall.ECONNREFUSED, false, true, 1},
		"one connection was reset":                 {syscall.ECONNRESET, nil, false, true, 0},
		"it ended as planned":                      {io.EOF, syscall.ECONNREFUSED, true, true, 0},
		"the probe timed out":                      {io.EOF, context.DeadlineExceeded, false, true, 0},
		"an invalid answer":                        {errors.New("no answer"), syscall.ECONNREFUSED, false, true, 0},
		"it had crashed before the request":        {syscall.ECONNREFUSED, syscall.ECONNREFUSED, false, false, 0},
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

// TestOneCrash checks that all runs broken by the same crash report its id with a single probe, and
// that a run after the restart reports another one.
func TestOneCrash(t *testing.T) {
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

// TestAbandonedRun checks that a run is still suspected for a short time after its caller left,
// even if the crash is detected by a request that could not be sent, and that a trial is still
// reported as one.
func TestAbandonedRun(t *testing.T) {
	tests := map[string]struct {
		wait     time.Duration
		suspects int
	}{
		"a moment before": {100 * time.Millisecond, 1},
		"long ago":        {time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := crash.New(func(context.Context) error { return syscall.ECONNREFUSED }, func() bool { return false })
				d.Abandoned(time.Now(), crash.Run{Digest: two, Trial: true})
				time.Sleep(test.wait)
				end, _ := d.Failed(crash.Run{Digest: one, Began: time.Now()}, syscall.ECONNREFUSED)
				assert.Equal(t, len(end.Trials), test.suspects)
				assert.Equal(t, len(end.Digests), 0)
			})
		})
	}
}
