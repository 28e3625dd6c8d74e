package discovery

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/timer"
)

// suspendedFor returns the clock of a VM whose total suspension is *d.
func suspendedFor(d *time.Duration) timer.Clock {
	return timer.Clock{Suspension: func() time.Duration { return *d }}
}

// suspendingPeers are processes during whose answer this VM is suspended.
type suspendingPeers struct {
	suspended *time.Duration
	sleep     time.Duration
}

// Since implements Peers.
func (p suspendingPeers) Since(context.Context, string, slatewind.Revision, uint64) (slatewind.ServerUpdate, error) {
	*p.suspended += p.sleep
	return slatewind.ServerUpdate{Revision: at(1)}, nil
}

// Exchange implements Peers.
func (suspendingPeers) Exchange(context.Context, string) (slatewind.ServerUpdate, error) {
	return slatewind.ServerUpdate{}, errors.New("not a reader")
}

// TestAgeIncludesSuspension checks that a view ages while the VM is suspended, so that no peer
// takes it for current, and that an answer received meanwhile is as old.
func TestAgeIncludesSuspension(t *testing.T) {
	const sleep = 4 * time.Second
	var suspended time.Duration
	w := NewWatcher(nil, nil)
	w.clock = suspendedFor(&suspended)
	w.apply(time.Now(), slatewind.ServerUpdate{Revision: at(1)})
	suspended += sleep
	assert.Assert(t, w.Since(at(1)).Age >= sleep, "%s", w.Since(at(1)).Age)

	s := NewSharedSource(nil, suspendingPeers{&suspended, sleep}, "self", nil)
	s.clock = suspendedFor(&suspended)
	s.settings = NewSettingsWatcher(nil, nil, s, nil)
	p, ok := s.queryPeer(t.Context(), "reader", at(1))
	assert.Assert(t, ok)
	assert.Assert(t, p.Age >= sleep, "%s", p.Age)
}
