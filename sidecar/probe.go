package sidecar

import (
	"context"
	"time"

	"slatewind.example/slatewind"
)

const (
	// probeTick is how often due probes are looked for.
	probeTick = 250 * time.Millisecond
	// probeTimeout bounds one probe; one that answers takes milliseconds.
	probeTimeout = time.Second
	// drainReason is the reason of a drain that the server asked for itself.
	drainReason = "the server says that it drains"
)

// probe is the schedule of one server's health probes.
type probe struct {
	interval time.Duration
	path     string
	last     time.Time
	running  bool
}

// probeDue starts the probes that are due. Probes only raise suspicion: a
// server that answers them may still serve badly.
func (s *Sidecar) probeDue(ctx context.Context, now time.Time) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, d := range s.doors {
		d.mu.Lock()
		p := d.probe
		due := !p.running && p.interval > 0 && now.Sub(p.last) >= p.interval
		if due {
			p.running = true
			p.last = now
			go s.probeOne(ctx, d, d.address, p.path)
		}
		d.mu.Unlock()
	}
}

func (s *Sidecar) probeOne(ctx context.Context, d *door, address, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	draining, err := s.caller.Probe(ctx, address, path)
	d.mu.Lock()
	d.probe.running = false
	if err != nil && ctx.Err() == nil {
		d.outcomes.Add(0, slatewind.ResultProbeFailed, probeTimeout)
	}
	d.mu.Unlock()
	s.setDraining(d, draining, err)
}

// setDraining follows what a server says of its own drain.
func (s *Sidecar) setDraining(d *door, draining bool, err error) {
	switch {
	case draining:
		d.leave(drainReason)
	case err == nil && !s.Leaving():
		d.stay(drainReason)
	}
}
