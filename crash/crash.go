// Package crash determines which requests were running when a server crashed.
//
// A reset of one connection looks the same as a crash of the server. So a failed run is followed by
// one connection attempt: only if that is refused has the server crashed, and all requests that
// were running are suspected. Package quarantine decides what happens to suspected requests.
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
	// ProbeTime is the timeout of the connection attempt that shows whether the server still
	// listens.
	ProbeTime = 100 * time.Millisecond
	// abandonedTime is how long a run is still suspected after its caller left: the server may have
	// begun to crash during it.
	abandonedTime = 500 * time.Millisecond
	// maxAbandoned limits the number of abandoned runs that are kept.
	maxAbandoned = 16
)

// Run is one run of a request at the server.
type Run struct {
	Digest quarantine.Digest
	// Trial means that the run is a trial of a quarantined request.
	Trial bool
	// Began is the earliest time at which the server may have received the request; Sent reports
	// whether any of it was sent.
	Began time.Time
	Sent  bool
}

// abandonedRun is a run whose caller left before it ended.
type abandonedRun struct {
	Run
	// at is when the caller left.
	at time.Time
}

// Detector detects crashes of one server. It is safe for concurrent use.
type Detector struct {
	// probe connects to the server; planned reports whether an end of the server would be a planned
	// one.
	probe   func(ctx context.Context) error
	planned func() bool

	// probing is held while a goroutine determines whether the server crashed.
	probing sync.Mutex
	// last is the id of the newest crash, and at is when it was detected. Both are guarded by
	// probing.
	last uint64
	at   time.Time

	mu sync.Mutex
	// abandoned are the newest runs whose callers left. It is guarded by mu.
	abandoned []abandonedRun
}

// New returns the detector of a server. probe connects to the server; planned reports whether the
// server is known to be leaving.
func New(probe func(ctx context.Context) error, planned func() bool) *Detector {
	return &Detector{probe: probe, planned: planned}
}

// Abandoned records a run whose caller left. The server may continue to run it, and crash.
func (d *Detector) Abandoned(now time.Time, run Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abandoned = append(d.abandoned, abandonedRun{run, now})
	if extra := len(d.abandoned) - maxAbandoned; extra > 0 {
		d.abandoned = d.abandoned[extra:]
	}
}

// Failed returns the crash during which a run failed with err. ok is false if the server did not
// crash, ended as planned, or its state cannot be determined, and if no request is suspected. Each
// run that a crash broke reports its own request, and one of them also the abandoned ones.
func (d *Detector) Failed(run Run, err error) (end quarantine.Crash, ok bool) {
	if !isConnectionError(err) || !run.Sent && !d.hasAbandoned() {
		return end, false
	}
	end.ID, ok = d.crashSince(run.Began)
	if !ok {
		return end, false
	}
	runs := d.takeAbandoned()
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

// isConnectionError reports whether an error means that the connection of a request ended before
// the answer was complete, or could not be established.
func isConnectionError(err error) bool {
	for _, sign := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// crashSince returns the id of the crash that broke a run which began at a given time: the newest
// one if it was detected after that, or else a new one if the server refuses a connection now.
func (d *Detector) crashSince(began time.Time) (id uint64, ok bool) {
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

// hasAbandoned reports whether any abandoned runs are kept.
func (d *Detector) hasAbandoned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.abandoned) > 0
}

// takeAbandoned returns the runs that were abandoned recently and clears the list.
func (d *Detector) takeAbandoned() []Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []Run
	for _, r := range d.abandoned {
		if time.Since(r.at) <= abandonedTime {
			runs = append(runs, r.Run)
		}
	}
	d.abandoned = nil
	return runs
}
