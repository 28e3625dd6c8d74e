// Package crash tells under which requests a server ended.
//
// A reset of one connection reads the same as the end of the server. So a run that broke is followed
// by one connect: only where that is refused has the server ended, and all that it ran then is
// suspected. The decisions about suspects are package quarantine's.
package crash

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind/quarantine"
)

const (
	// ProbeTime bounds the connect that tells whether a server listens still.
	ProbeTime = 100 * time.Millisecond
	// leftTime is how long a run whose caller left is suspected still: the server may have
	// begun to end under it.
	leftTime = 500 * time.Millisecond
	// mostLeft bounds the runs that are kept for that.
	mostLeft = 16
)

// Run is one run of a request at the server.
type Run struct {
	Digest quarantine.Digest
	// Trial says that it is one of a request under which servers ended.
	Trial bool
	// Began is when the server may first have had the request, Sent whether it had it.
	Began time.Time
	Sent  bool
}

// leftRun is a run whose caller left before its end.
type leftRun struct {
	Run
	at time.Time
}

// Detector finds the ends of one server. It is safe for use by several goroutines.
type Detector struct {
	// probe connects to the server, planned reports whether its end would be a planned one.
	probe   func(ctx context.Context) error
	planned func() bool

	// probing is held while somebody finds out whether the server ended.
	probing sync.Mutex
	// last is the newest end, at when it was found. Only whoever holds probing changes it.
	last uint64
	at   time.Time

	mu sync.Mutex
	// left are the newest runs whose callers left.
	left []leftRun
}

// New returns the detector of a server. probe connects to it, planned reports whether it is known
// to leave.
func New(probe func(ctx context.Context) error, planned func() bool) *Detector {
	return &Detector{probe: probe, planned: planned}
}

// Left notes a run whose caller left. The server may go on with it, and end.
func (d *Detector) Left(now time.Time, run Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = append(d.left, leftRun{run, now})
	if extra := len(d.left) - mostLeft; extra > 0 {
		d.left = d.left[extra:]
	}
}

// Failed says with which requests the server ended where a run failed with an error; ok is false
// where it did not end, leaves by plan, or cannot be told. Each run of an end tells its own request,
// and one of them those whose callers left.
func (d *Detector) Failed(run Run, err error) (end quarantine.End, ok bool) {
	if !broke(err) || !run.Sent && !d.hasLeft() {
		return end, false
	}
	end.ID, ok = d.endUnder(run.Began)
	if !ok {
		return end, false
	}
	runs := d.takeLeft()
	if run.Sent {
		runs = append(runs, run)
	}
	for _, r := range runs {
		if r.Trial {
			end.Trials = append(end.Trials, r.Digest)
			continue
		}
		end.Digests = append(end.Digests, r.Digest)
	}
	return end, len(runs) > 0
}

// broke reports whether an error says that the connection of a request ended before its answer
// did, or that there was none.
func broke(err error) bool {
	for _, sign := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// endUnder returns the id of the server's end during a run that began at a time and broke.
func (d *Detector) endUnder(began time.Time) (id uint64, ok bool) {
	d.probing.Lock()
	defer d.probing.Unlock()
	if d.at.After(began) {
		return d.last, true
	}
	if d.planned() {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTime)
	defer cancel()
	if !errors.Is(d.probe(ctx), syscall.ECONNREFUSED) {
		return 0, false
	}
	d.last, d.at = rand.Uint64(), time.Now()
	return d.last, true
}

// hasLeft reports whether runs are kept whose callers left.
func (d *Detector) hasLeft() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.left) > 0
}

// takeLeft returns the runs that callers left a moment ago, and forgets all.
func (d *Detector) takeLeft() []Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []Run
	for _, r := range d.left {
		if time.Since(r.at) <= leftTime {
			runs = append(runs, r.Run)
		}
	}
	d.left = nil
	return runs
}
