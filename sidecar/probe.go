package sidecar

import (
	"context"
	"time"

	"slatewind.example/slatewind"
)

const (
	// probeTick is the interval between checks for due probes.
	probeTick = 250 * time.Millisecond
	// probeTimeout bounds one probe; a successful probe takes milliseconds.
	probeTimeout = time.Second
	// drainReason is the reason of a drain announced by the server itself.
	drainReason = "the server reports that it is draining"
)

// probe is the schedule of one server's health probes, guarded by the server's
// lock.
type probe struct {
	interval time.Duration
	path     string
	last     time.Time
	running  bool
}

// probeDue starts the probes that are due. Failed probes only raise suspicion;
// successful ones do not lower it, since a server that answers probes may still
// fail requests.
func (s *Sidecar) probeDue(ctx context.Context, now time.Time) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, ls := range s.servers {
		ls.mu.Lock()
		p := ls.probe
		due := !p.running && p.interval > 0 && now.Sub(p.last) >= p.interval
		if due {
			p.running = true
			p.last = now
			go s.runProbe(ctx, ls, ls.address, p.path)
		}
		ls.mu.Unlock()
	}
}

func (s *Sidecar) runProbe(ctx context.Context, ls *localServer, address, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	draining, err := s.caller.Probe(ctx, address, path)
	s.recordDropped(ls, err)
	ls.mu.Lock()
	ls.probe.running = false
	if err != nil && ctx.Err() == nil {
		ls.outcomes.Add(0, slatewind.ResultProbeFailed, probeTimeout)
	}
	ls.mu.Unlock()
	s.setDraining(ls, began, draining, err)
}

// setDraining applies the drain state that a server reported in a probe that began
// at a time.
func (s *Sidecar) setDraining(ls *localServer, began time.Time, draining bool, err error) {
	switch {
	case draining:
		ls.drain(time.Now())
	case err == nil && !s.Leaving():
		ls.cancelDrain(began)
	}
}
