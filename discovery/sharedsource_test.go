package discovery

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShare states how many processes call the store, and who hears what.
func TestShare(t *testing.T) {
	tests := map[string]func(t *testing.T, ctx context.Context, f *fleet){
		"two read for all": func(t *testing.T, _ context.Context, f *fleet) {
			assert.Equal(t, len(f.called()), minReaders)
			for name, share := range f.shares {
				assert.Equal(t, share.Reads(), slices.Contains(f.called(), name), name)
			}
		},
		"readers exchange reports with one another only": func(t *testing.T, _ context.Context, f *fleet) {
			for name, share := range f.shares {
				f.mu.Lock()
				exchanges := f.exchanged[name]
				f.mu.Unlock()
				assert.Equal(t, exchanges > 0, share.Reads(), "%s: %d", name, exchanges)
			}
		},
		"all hear of settings in time": func(t *testing.T, _ context.Context, f *fleet) {
			f.publishVersion(3)
			settle(1500 * time.Millisecond)
			f.allHeard(t, 3)
		},
		"all hear of settings that came with a loss of the history": func(t *testing.T, _ context.Context, f *fleet) {
			for _, name := range f.called() {
				f.mu.Lock()
				f.forgets[name] = true
				f.mu.Unlock()
			}
			f.publishVersion(5)
			settle(3 * time.Second)
			f.allHeard(t, 5)
		},
		"all hear of a server that goes": func(t *testing.T, _ context.Context, f *fleet) {
			next := f.published
			next.Servers = next.Servers[1:]
			f.publish(next)
			settle(1500 * time.Millisecond)
			for name, sink := range f.sinks {
				assert.Equal(t, len(sink.servers), len(next.Servers), name)
			}
		},
		"others read when a reader freezes": func(t *testing.T, _ context.Context, f *fleet) {
			for _, name := range f.called() {
				f.mu.Lock()
				f.frozen[name] = true
				f.mu.Unlock()
			}
			f.publishVersion(3)
			settle(3 * time.Second)
			f.allHeard(t, 3)
		},
		"others read when the readers are cut off": func(t *testing.T, _ context.Context, f *fleet) {
			for _, name := range f.called() {
				f.cutOff(name, true)
			}
			f.publishVersion(3)
			settle(5 * time.Second)
			f.allHeard(t, 3)
		},
		"a process that is cut off keeps servers that vanish": func(t *testing.T, _ context.Context, f *fleet) {
			victim := f.follower()
			f.cutOff(victim, true)
			settle(4 * time.Second)
			next := f.published
			next.Servers = next.Servers[1:]
			f.publish(next)
			settle(3 * time.Second)
			assert.Equal(t, len(f.sinks[victim].servers), len(next.Servers)+1)
			f.cutOff(victim, false)
			settle(6 * time.Second)
			assert.Equal(t, len(f.sinks[victim].servers), len(next.Servers), "and lets go when it is back")
		},
		"a reader tells once that it cannot ask for settings, and once that it can": func(t *testing.T, _ context.Context, f *fleet) {
			reader := f.called()[0]
			f.cutOff(reader, true)
			settle(6 * time.Second)
			assert.DeepEqual(t, f.sinks[reader].settingsReach, []bool{false})
			f.cutOff(reader, false)
			settle(6 * time.Second)
			assert.DeepEqual(t, f.sinks[reader].settingsReach, []bool{false, true})
		},
		"one that starts while the store is away asks a seed": func(t *testing.T, ctx context.Context, f *fleet) {
			seed := f.follower()
			f.cutOff("new:1", true)
			f.start(ctx, "new:1", []string{seed})
			settle(3 * time.Second)
			assert.Equal(t, len(f.sinks["new:1"].servers), len(f.published.Servers))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 12, func(t *testing.T, ctx context.Context, f *fleet) {
				settle(3 * time.Second)
				f.forgetCalls()
				settle(5 * time.Second)
				test(t, ctx, f)
			})
		})
	}
}

// TestCallsWhileStoreIsAway: processes that cannot reach the store ask it little, and
// all of them hear of it again soon after it is back.
func TestCallsWhileStoreIsAway(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, _ context.Context, f *fleet) {
		settle(5 * time.Second)
		f.allCutOff(true)
		settle(4 * time.Second)
		f.countAnew()
		const away = 10
		settle(away * time.Second)
		calls, pings := f.counts()
		assert.Assert(t, calls <= minReaders*3*away, "%d calls in %d s", calls, away)
		assert.Assert(t, pings <= 30*away/2, "%d pings in %d s", pings, away)
		f.allCutOff(false)
		f.publishVersion(3)
		settle(3 * time.Second)
		f.allHeard(t, 3)
	})
}

// TestProcessesThatBeginWaitForSettings: processes that begin before there are settings wait for
// them with few calls, and all have them soon once they are published, also those whose
// call is lost.
func TestProcessesThatBeginWaitForSettings(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, _ context.Context, f *fleet) {
		settle(6 * time.Second)
		f.mu.Lock()
		asked := f.settingsCalls
		f.mu.Unlock()
		assert.Assert(t, asked <= 30+minReaders*4, "%d calls for settings", asked)
		victim := "server-7:1"
		f.cutOff(victim, true)
		f.publishVersion(1)
		settle(2 * time.Second)
		f.allHeard(t, 1)
	})
}

// TestSettingsLateBehindSilentPeers: two processes that were silent one after the other kept a third from asking the store.
func TestSettingsLateBehindSilentPeers(t *testing.T) {
	for phase := range 8 {
		inFleet(t, 12, func(t *testing.T, _ context.Context, f *fleet) {
			f.publishVersion(1)
			settle(5*time.Second + time.Duration(phase)*100*time.Millisecond)
			f.mu.Lock()
			f.mute = true
			f.mu.Unlock()
			f.publishVersion(2)
			settle(leastConfigTime)
			for name, feed := range f.feeds {
				assert.Check(t, feed.Version() == 2, "phase %d: %s has version %d", phase, name, feed.Version())
			}
		})
	}
}

// TestShortOutage: entries that ran out in an outage of the store stay for a heartbeat
// after it, also at processes that did not notice the outage but were told by one that
// did.
func TestShortOutage(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, _ context.Context, f *fleet) {
		settle(5 * time.Second)
		all := f.published
		f.allCutOff(true)
		settle(950 * time.Millisecond)
		without := all
		without.Servers = all.Servers[1:]
		f.publish(without)
		f.allCutOff(false)
		for range 13 {
			settle(100 * time.Millisecond)
			for name, sink := range f.sinks {
				assert.Check(t, len(sink.servers) == len(all.Servers), "%s let a server go", name)
			}
		}
		f.publish(all)
		settle(4 * time.Second)
		for name, sink := range f.sinks {
			assert.Check(t, len(sink.servers) == len(all.Servers), "%s let a server go", name)
		}
	})
}

// TestQuietFleetPingsNothing: while nothing happens only readers ask the store.
func TestQuietFleetPingsNothing(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, _ context.Context, f *fleet) {
		settle(5 * time.Second)
		f.countAnew()
		settle(10 * time.Second)
		calls, pings := f.counts()
		assert.Equal(t, pings, 0)
		assert.Assert(t, calls <= minReaders*12, "%d calls in 10 s", calls)
	})
}
