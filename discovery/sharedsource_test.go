package discovery

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharedSource checks how many processes call the store, and what the processes receive.
func TestSharedSource(t *testing.T) {
	tests := map[string]func(t *testing.T, ctx context.Context, f *fleet){
		"two processes read the store": func(t *testing.T, _ context.Context, f *fleet) {
			assert.Equal(t, len(f.callers()), minReaders)
			for name, source := range f.sources {
				assert.Equal(t, source.IsReader(), slices.Contains(f.callers(), name), name)
			}
		},
		"only readers exchange reports": func(t *testing.T, _ context.Context, f *fleet) {
			for name, source := range f.sources {
				f.mu.Lock()
				exchanges := f.exchanges[name]
				f.mu.Unlock()
				assert.Equal(t, exchanges > 0, source.IsReader(), "%s: %d", name, exchanges)
			}
		},
		"all receive settings in time": func(t *testing.T, _ context.Context, f *fleet) {
			f.publishVersion(3)
			advance(1500 * time.Millisecond)
			f.checkVersion(t, 3)
		},
		"all receive settings published with a loss of the history": func(t *testing.T, _ context.Context, f *fleet) {
			for _, name := range f.callers() {
				f.mu.Lock()
				f.historyGone[name] = true
				f.mu.Unlock()
			}
			f.publishVersion(5)
			advance(3 * time.Second)
			f.checkVersion(t, 5)
		},
		"all observe a removed server": func(t *testing.T, _ context.Context, f *fleet) {
			next := f.published
			next.Servers = next.Servers[1:]
			f.publish(next)
			advance(1500 * time.Millisecond)
			for name, sink := range f.sinks {
				assert.Equal(t, len(sink.servers), len(next.Servers), name)
			}
		},
		"others read if the readers freeze": func(t *testing.T, _ context.Context, f *fleet) {
			for _, name := range f.callers() {
				f.mu.Lock()
				f.frozen[name] = true
				f.mu.Unlock()
			}
			f.publishVersion(3)
			advance(3 * time.Second)
			f.checkVersion(t, 3)
		},
		"others read if the readers cannot reach the store": func(t *testing.T, _ context.Context, f *fleet) {
			for _, name := range f.callers() {
				f.setUnreachable(name, true)
			}
			f.publishVersion(3)
			advance(5 * time.Second)
			f.checkVersion(t, 3)
		},
		"a process that cannot reach the store keeps removed servers": func(t *testing.T, _ context.Context, f *fleet) {
			process := f.nonReader()
			f.setUnreachable(process, true)
			advance(4 * time.Second)
			next := f.published
			next.Servers = next.Servers[1:]
			f.publish(next)
			advance(3 * time.Second)
			assert.Equal(t, len(f.sinks[process].servers), len(next.Servers)+1)
			f.setUnreachable(process, false)
			advance(6 * time.Second)
			assert.Equal(t, len(f.sinks[process].servers), len(next.Servers), "removed once the store is reachable")
		},
		"a reader reports once that settings are unreachable, and once that they are reachable": func(t *testing.T, _ context.Context, f *fleet) {
			reader := f.callers()[0]
			f.setUnreachable(reader, true)
			advance(6 * time.Second)
			assert.DeepEqual(t, f.sinks[reader].settingsReachable, []bool{false})
			f.setUnreachable(reader, false)
			advance(6 * time.Second)
			assert.DeepEqual(t, f.sinks[reader].settingsReachable, []bool{false, true})
		},
		"a process that starts while the store is down queries a seed": func(t *testing.T, ctx context.Context, f *fleet) {
			seed := f.nonReader()
			f.setUnreachable("new:1", true)
			f.start(ctx, "new:1", []string{seed})
			advance(3 * time.Second)
			assert.Equal(t, len(f.sinks["new:1"].servers), len(f.published.Servers))
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 12, func(t *testing.T, ctx context.Context, f *fleet) {
				advance(3 * time.Second)
				f.resetCalls()
				advance(5 * time.Second)
				test(t, ctx, f)
			})
		})
	}
}

// TestCallsWhileStoreIsDown checks that processes that cannot reach the store call it rarely, and
// that all receive updates again soon after it is back.
func TestCallsWhileStoreIsDown(t *testing.T) {
	runFleet(t, 30, func(t *testing.T, _ context.Context, f *fleet) {
		advance(5 * time.Second)
		f.setAllUnreachable(true)
		advance(4 * time.Second)
		f.resetCounts()
		const seconds = 10
		advance(seconds * time.Second)
		calls, pings := f.counts()
		assert.Assert(t, calls <= minReaders*3*seconds, "%d calls in %d s", calls, seconds)
		assert.Assert(t, pings <= 30*seconds/2, "%d pings in %d s", pings, seconds)
		f.setAllUnreachable(false)
		f.publishVersion(3)
		advance(3 * time.Second)
		f.checkVersion(t, 3)
	})
}

// TestNewProcessesWaitForSettings checks that processes that start before there are settings wait
// for them with few calls, and that all have them soon after they are published, even a process
// whose call is lost.
func TestNewProcessesWaitForSettings(t *testing.T) {
	runFleet(t, 30, func(t *testing.T, _ context.Context, f *fleet) {
		advance(6 * time.Second)
		f.mu.Lock()
		calls := f.settingsCalls
		f.mu.Unlock()
		assert.Assert(t, calls <= 30+minReaders*4, "%d calls for settings", calls)
		process := "server-7:1"
		f.setUnreachable(process, true)
		f.publishVersion(1)
		advance(2 * time.Second)
		f.checkVersion(t, 1)
	})
}

// TestSettingsLateBehindSilentPeers guards against two peers that are silent one after the other
// and so keep a process from querying the store.
func TestSettingsLateBehindSilentPeers(t *testing.T) {
	for phase := range 8 {
		runFleet(t, 12, func(t *testing.T, _ context.Context, f *fleet) {
			f.publishVersion(1)
			advance(5*time.Second + time.Duration(phase)*100*time.Millisecond)
			f.mu.Lock()
			f.silent = true
			f.mu.Unlock()
			f.publishVersion(2)
			advance(minSettingsBound)
			for name, settingsWatcher := range f.settingsWatchers {
				assert.Check(t, settingsWatcher.Version() == 2, "phase %d: %s has version %d", phase, name, settingsWatcher.Version())
			}
		})
	}
}

// TestOutdatedProcessBacksOff guards against a process that knows of newer settings and waits for
// seconds after neither its peers nor the store sent them, although they would now.
func TestOutdatedProcessBacksOff(t *testing.T) {
	for phase := range 40 {
		runFleet(t, 12, func(t *testing.T, _ context.Context, f *fleet) {
			f.publishVersion(1)
			advance(5 * time.Second)
			f.mu.Lock()
			f.silent = true
			for name, source := range f.sources {
				f.unreachable[name] = !source.IsReader()
			}
			f.mu.Unlock()
			f.publishVersion(2)
			advance(7*time.Second + time.Duration(phase)*100*time.Millisecond)
			f.mu.Lock()
			f.silent = false
			clear(f.unreachable)
			f.mu.Unlock()
			advance(minSettingsBound)
			for name, settingsWatcher := range f.settingsWatchers {
				assert.Check(t, settingsWatcher.Version() == 2, "phase %d: %s has version %d", phase, name, settingsWatcher.Version())
			}
		})
	}
}

// TestShortOutage checks that servers whose entries expired in an outage of the store are kept
// for a heartbeat interval after it, also by processes that did not notice the outage themselves
// but received the update from one that did.
func TestShortOutage(t *testing.T) {
	runFleet(t, 12, func(t *testing.T, _ context.Context, f *fleet) {
		advance(5 * time.Second)
		all := f.published
		f.setAllUnreachable(true)
		advance(950 * time.Millisecond)
		without := all
		without.Servers = all.Servers[1:]
		f.publish(without)
		f.setAllUnreachable(false)
		for range 13 {
			advance(100 * time.Millisecond)
			for name, sink := range f.sinks {
				assert.Check(t, len(sink.servers) == len(all.Servers), "%s removed a server", name)
			}
		}
		f.publish(all)
		advance(4 * time.Second)
		for name, sink := range f.sinks {
			assert.Check(t, len(sink.servers) == len(all.Servers), "%s removed a server", name)
		}
	})
}

// TestNoPingsWithoutFaults checks that only readers call the store in normal operation.
func TestNoPingsWithoutFaults(t *testing.T) {
	runFleet(t, 30, func(t *testing.T, _ context.Context, f *fleet) {
		advance(5 * time.Second)
		f.resetCounts()
		advance(10 * time.Second)
		calls, pings := f.counts()
		assert.Equal(t, pings, 0)
		assert.Assert(t, calls <= minReaders*12, "%d calls in 10 s", calls)
	})
}
