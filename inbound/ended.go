package inbound

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/quarantine"
)

const (
	// EndedProbe bounds the connect that tells whether a server listens still.
	EndedProbe = 100 * time.Millisecond
	// leftTime is how long a run whose caller left is suspected still: the server may have
	// begun to end under it.
	leftTime = 500 * time.Millisecond
	// mostLeft bounds the runs that are kept for that.
	mostLeft = 16
	// mostShown bounds the digests in a line.
	mostShown = 8
)

// run is what is kept of one run of a request for the case that the server ends.
type run struct {
	digest quarantine.Digest
	trial  bool
	// left is when its caller left.
	left time.Time
}

// end is one end of the server: nothing listens at its address any more, and nobody had
// planned that.
type end struct {
	id uint64
	at time.Time
}

// ends holds what is known of ends of the server.
type ends struct {
	// probing is held while somebody finds out whether the server ended.
	probing sync.Mutex
	// last is the newest end. Only whoever holds probing changes it.
	last end
	// left are the newest runs whose callers left.
	left []run
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

// endUnder returns the end of the server during a run that began at a time and broke; ok is
// false where the server is there, leaves by plan, or cannot be told. A reset of one connection
// reads the same as an end; only a refused connect tells them apart.
func (in *Inbound) endUnder(began time.Time) (e end, ok bool) {
	in.ends.probing.Lock()
	defer in.ends.probing.Unlock()
	if in.ends.last.at.After(began) {
		return in.ends.last, true
	}
	if in.leaving() != "" {
		return end{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), EndedProbe)
	defer cancel()
	if !errors.Is(in.pool.Probe(ctx), syscall.ECONNREFUSED) {
		return end{}, false
	}
	in.ends.last = end{id: rand.Uint64(), at: time.Now()}
	return in.ends.last, true
}

// noteLeft keeps a run whose caller left.
func (in *Inbound) noteLeft(r run) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ends.left = append(in.ends.left, r)
	if extra := len(in.ends.left) - mostLeft; extra > 0 {
		in.ends.left = in.ends.left[extra:]
	}
}

// hasLeft reports whether runs are kept whose callers left.
func (in *Inbound) hasLeft() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.ends.left) > 0
}

// takeLeft returns the runs that callers left shortly before an end, and forgets all.
func (in *Inbound) takeLeft(e end) []run {
	in.mu.Lock()
	defer in.mu.Unlock()
	var runs []run
	for _, r := range in.ends.left {
		if e.at.Sub(r.left) <= leftTime {
			runs = append(runs, r)
		}
	}
	in.ends.left = nil
	return runs
}

// noteEnded writes down that the server ended under requests, and has all know of them.
func (in *Inbound) noteEnded(now time.Time, request string, e end, runs []run) {
	told := quarantine.End{ID: e.id}
	shown := make([]string, 0, mostShown)
	for _, r := range runs {
		if len(shown) < mostShown {
			shown = append(shown, r.digest.String())
		}
		if r.trial {
			told.Trials = append(told.Trials, r.digest)
			continue
		}
		told.Digests = append(told.Digests, r.digest)
	}
	in.journal.Add(slatewind.Decision{
		Time: now, Kind: slatewind.DecisionEnded, Service: in.server.Service, Server: in.name, Request: request,
		Reason:   "the server ended while it ran the request",
		Evidence: fmt.Sprintf("end=%08x digests=%s", uint32(e.id), strings.Join(shown, ",")),
	})
	in.suspects.Ended(now, told)
}
