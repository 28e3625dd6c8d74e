package inbound_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/internal/standin"
)

// entryOf returns the entry of one start of the server.
func entryOf(start int64) *slatewind.ServerEntry {
	return &slatewind.ServerEntry{Name: "s-1", Service: "svc", Address: "a:1", Slots: slots, Start: start}
}

// await waits until an event has happened.
func await(t *testing.T, happened func() bool) {
	t.Helper()
	for range 3000 {
		if happened() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timed out")
}

// TestServerRestart: after a restart of the server under the same name nothing of the
// previous start's state applies, and entries of the older start have no effect.
func TestServerRestart(t *testing.T) {
	t.Run("slots", slotsAfterRestart)
	t.Run("breaker", breakerAfterRestart)
	t.Run("leaving", leavingAfterRestart)
	t.Run("clocks", startsWithSkewedClocks)
}

// slotsAfterRestart: requests at the older start hold no slot of the newer one, and release
// none when they end.
func slotsAfterRestart(t *testing.T) {
	p := newFixture(t)
	p.Published(time.Now(), entryOf(1))
	p.server.SetMode(standin.StampedHang)
	hung := make(chan string, slots)
	for range slots {
		go func() { hung <- p.run(reservation(), "hung") }()
	}
	await(t, func() bool { return p.server.Arrivals() == slots })
	assert.Equal(t, p.InUse(), slots)

	p.server.SetModeForNewRequests(standin.StampedOK)
	p.Published(time.Now(), entryOf(2))
	assert.Equal(t, p.InUse(), 0, "all slots of the newer start are free")
	assert.Equal(t, p.View().Breaker, breaker.StateClosed)
	assert.Equal(t, p.run(reservation(), "new"), "200 s-1 /x b")

	p.Published(time.Now(), entryOf(1))
	use, granted := p.reserve(context.Background(), reservation())
	assert.Assert(t, granted.GetGranted() != nil)
	p.server.SetMode(standin.StampedOK)
	for range slots {
		<-hung
	}
	assert.Equal(t, p.InUse(), 1, "requests at the older start held no slot of the newer")
	_, err := request(use, "last")
	assert.NilError(t, err)
	assert.Equal(t, p.Report().GetStartUnixMillis(), int64(2))
}

// breakerAfterRestart: the breaker is reset by a restart under the same name.
func breakerAfterRestart(t *testing.T) {
	p := newFixture(t)
	p.Published(time.Now(), entryOf(1))
	p.server.SetMode(standin.StampedReset)
	assert.Equal(t, p.run(reservation(), "id"), "unknown")
	assert.Equal(t, p.View().Breaker, breaker.StateOpen)
	p.Published(time.Now(), entryOf(1))
	assert.Equal(t, p.View().Breaker, breaker.StateOpen)
	p.Published(time.Now(), entryOf(2))
	assert.Equal(t, p.View().Breaker, breaker.StateClosed)
}

// leavingAfterRestart: a start that leaves does not affect the next one, and an older start's
// entry does not revoke that the newer start leaves.
func leavingAfterRestart(t *testing.T) {
	leaving := func(start int64) *slatewind.ServerEntry {
		entry := entryOf(start)
		entry.Leaving = true
		return entry
	}
	other := &slatewind.ServerEntry{Name: "s-2", Service: "other", Address: "a:1", Slots: slots, Start: 3}
	tests := map[string]struct {
		entries []*slatewind.ServerEntry
		leaves  bool
	}{
		"the older start left":                  {[]*slatewind.ServerEntry{leaving(1), entryOf(2)}, false},
		"the older start's entry arrives late":  {[]*slatewind.ServerEntry{entryOf(2), leaving(1)}, false},
		"the newer start leaves":                {[]*slatewind.ServerEntry{entryOf(1), leaving(2)}, true},
		"the older start's entry follows":       {[]*slatewind.ServerEntry{leaving(2), entryOf(1)}, true},
		"a server of another service runs here": {[]*slatewind.ServerEntry{entryOf(1), other}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			for _, entry := range test.entries {
				p.Published(time.Now(), entry)
			}
			_, reply := p.reserve(context.Background(), reservation())
			assert.Equal(t, reply.GetGranted() == nil, test.leaves)
			if test.leaves {
				assert.Equal(t, inbound.Cause(reply.GetRefusal().GetCause()), inbound.CauseLeaving)
			}
		})
	}
}

// startsWithSkewedClocks: a server whose entry states an earlier start time than the previous one
// at the address is used once the previous one's entry is removed. The clocks of VMs differ.
func startsWithSkewedClocks(t *testing.T) {
	p := newFixture(t)
	now := time.Now()
	p.Published(now, &slatewind.ServerEntry{Name: "s-0", Service: "svc", Address: "a:1", Slots: slots, Start: 9})
	p.Published(now, entryOf(5))
	assert.Equal(t, p.View().Server, "s-0")
	p.Removed(now, "s-0")
	assert.Equal(t, p.View().Server, "s-1")
	assert.Equal(t, p.run(reservation(), "id"), "200 s-1 /x b")
	p.Published(now, &slatewind.ServerEntry{Name: "s-2", Service: "svc", Address: "a:1", Slots: slots, Start: 3})
	p.Removed(now, "s-2")
	p.Removed(now, "s-1")
	assert.Assert(t, p.View().Leaving != "", "a removed entry must not be restored")
	p.Published(now, &slatewind.ServerEntry{Name: "s-3", Service: "svc", Address: "a:1", Slots: slots, Start: 1})
	assert.Equal(t, p.View().Server, "s-3")
	assert.Equal(t, p.View().Leaving, "")
}
