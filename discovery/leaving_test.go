package discovery

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

// Some VMs have links of 10 Mbit/s.
const (
	linkBytesPerSecond = 10e6 / 8
	// chunkBytes is the number of bytes that a transfer sends before another one gets the link.
	chunkBytes = 16 << 10
	// entryBytes is the size of a server's entry in a message.
	entryBytes = 300
	// changedBytes is the size of an answer of the store that contains some heartbeats.
	changedBytes = 10 * entryBytes
	// routeBytes is the size of a route in an answer of the store, JSON in base64, and
	// packedRouteBytes its size in a transfer between processes.
	routeBytes       = 200
	packedRouteBytes = 30
)

// link is one direction of a network link. Transfers share it in turns.
type link struct{ turn chan struct{} }

// transfer returns when the bytes have been sent. A nil link takes no time.
func (l *link) transfer(ctx context.Context, bytes int) error {
	for ; l != nil && bytes > 0; bytes -= chunkBytes {
		select {
		case l.turn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		sleep(ctx, time.Duration(float64(min(bytes, chunkBytes))/linkBytesPerSecond*float64(time.Second)))
		<-l.turn
	}
	return ctx.Err()
}

// limitBandwidth gives every process a slow link.
func (f *fleet) limitBandwidth() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.watchers {
		f.incoming[name] = &link{make(chan struct{}, 1)}
		f.outgoing[name] = &link{make(chan struct{}, 1)}
	}
}

// publishRoutes publishes settings with the given number of routes.
func (f *fleet) publishRoutes(version uint64, routes int) {
	fleet := &slatewindv1.Fleet{}
	for i := range routes {
		fleet.Routes = append(fleet.Routes, &slatewindv1.Route{
			Name: fmt.Sprintf("r-%07x", i*7919%(1<<28)), Host: "a.example", PathPrefix: fmt.Sprintf("/p%06x/", i*104729%(1<<24)),
			Kind: "repeatable", Service: "svc", Attempts: 2,
		})
	}
	f.publishSettings(&slatewind.PublishedSettings{Version: version, Fleet: fleet})
}

// leave publishes that a server is leaving.
func (f *fleet) leave(i int) (name string) {
	next := f.published
	next.Servers = slices.Clone(next.Servers)
	next.Servers[i].Leaving = true
	f.publish(next)
	return next.Servers[i].Name
}

// minLeavingBound is the shortest time, of all deployments, within which new requests to a server
// that reported to be leaving must stop.
const minLeavingBound = 2 * time.Second

// TestLeavingObservedInTime checks that every process that reaches the store learns within the
// allowed time that a server is leaving, whatever else the store publishes and whichever other
// processes fail.
//
// Leaving servers got new requests for up to 3.1 s while settings of 4,220 routes were published:
// a change of 100 bytes was sent in one answer with 0.9 MB, which took 0.7 s from the store on a
// link of 10 Mbit/s, and did not arrive from a peer within the timeout of 0.25 s. All processes
// then queried the store, each after its query to a peer had timed out, and views were 3.5 s old.
//
// The bound was also exceeded, at 2.13 s, when both readers of a data centre lost access to the
// store: their updates counted as current for 1.5 s, and after that the store was queried at most
// once a second.
func TestLeavingObservedInTime(t *testing.T) {
	tests := map[string]func(f *fleet, readers []string) (unreachable []string){
		"no fault": func(*fleet, []string) []string { return nil },
		"settings with many routes are published": func(f *fleet, _ []string) []string {
			f.publishRoutes(5, 4000)
			return nil
		},
		"settings are published twice": func(f *fleet, _ []string) []string {
			f.publishRoutes(5, 4000)
			time.AfterFunc(700*time.Millisecond, func() { f.publishRoutes(6, 4001) })
			return nil
		},
		"the readers cannot reach the store": func(f *fleet, readers []string) []string {
			for _, name := range readers {
				f.setUnreachable(name, true)
			}
			return readers
		},
		"the readers cannot reach the store and every process is slow": func(f *fleet, readers []string) []string {
			f.mu.Lock()
			f.answerDelay = 150 * time.Millisecond
			f.mu.Unlock()
			for _, name := range readers {
				f.setUnreachable(name, true)
			}
			return readers
		},
		"the readers freeze": func(f *fleet, readers []string) []string {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, name := range readers {
				f.frozen[name] = true
			}
			return readers
		},
		"the readers get answers late": func(f *fleet, readers []string) []string {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, name := range readers {
				f.storeDelay[name] = 1500 * time.Millisecond
			}
			return readers
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) {
					longest := measureLeaving(t, time.Duration(phase)*100*time.Millisecond, fault)
					assert.Check(t, longest <= minLeavingBound, "a leaving server was observed after %s", longest)
					assert.Check(t, longest <= MaxViewAge, "the maximum age of a view was exceeded: %s", longest)
				})
			}
		})
	}
}

// measureLeaving makes servers leave one after the other while there is a fault, which begins at
// a phase of the processes' poll intervals. It returns the maximum time in which a process that
// can reach the store learned of one.
func measureLeaving(t *testing.T, phase time.Duration, fault func(f *fleet, readers []string) (unreachable []string)) (longest time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(ctx, 30)
	advance(3 * time.Second)
	f.limitBandwidth()
	f.resetCalls()
	advance(2*time.Second + phase)
	unreachable := fault(f, f.callers())
	reported := map[string]time.Time{}
	for i := range 20 {
		reported[f.leave(i)] = time.Now()
		advance(270 * time.Millisecond)
	}
	advance(2 * minLeavingBound)
	reachable := maps.Clone(f.sinks)
	for _, process := range unreachable {
		delete(reachable, process)
	}
	for process, sink := range reachable {
		for server, reportedAt := range reported {
			observed, ok := sink.leaving[server]
			assert.Check(t, ok, "%s never observed that %s is leaving", process, server)
			longest = max(longest, observed.Sub(reportedAt))
		}
	}
	cancel()
	synctest.Wait()
	return longest
}

// TestSettingsInTime checks that every process that reaches the store has new settings within the
// shortest time that deployments allow, even if the readers fail when the settings are published.
func TestSettingsInTime(t *testing.T) {
	tests := map[string]func(f *fleet, reader string){
		"the readers work":                   func(*fleet, string) {},
		"the readers cannot reach the store": func(f *fleet, reader string) { f.setUnreachable(reader, true) },
		"the readers freeze": func(f *fleet, reader string) {
			f.setUnreachable(reader, true)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.frozen[reader] = true
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) {
					late := lateSettings(t, phase, func(f *fleet, readers []string) {
						for _, reader := range readers {
							fault(f, reader)
						}
					})
					assert.Check(t, len(late) == 0, "no newer settings at %v", late)
				})
			}
		})
	}
}

// lateSettings publishes settings during a fault, which begins at a phase of the processes' poll
// intervals. It returns the processes that are not readers and do not have the settings in time.
func lateSettings(t *testing.T, phase int, fault func(f *fleet, readers []string)) (late []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(ctx, 12)
	f.publishVersion(1)
	advance(3 * time.Second)
	f.resetCalls()
	advance(2*time.Second + time.Duration(phase)*100*time.Millisecond)
	readers := f.callers()
	fault(f, readers)
	f.publishVersion(2)
	advance(minSettingsBound)
	for process, settingsWatcher := range f.settingsWatchers {
		if settingsWatcher.Version() != 2 && !slices.Contains(readers, process) {
			late = append(late, process)
		}
	}
	cancel()
	synctest.Wait()
	return late
}

// setChoices sets the pattern by which all processes choose from now on: its bits, lowest first,
// state which of two readers is queried.
func (f *fleet) setChoices(pattern int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.watchers {
		f.choices[name] = pattern
	}
}

// choose selects one of n processes: by the pattern of the process if it has one, and otherwise
// by random numbers that are the same in every run.
func (f *fleet) choose(name string, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	pattern, ok := f.choices[name]
	if !ok {
		return f.random.IntN(n)
	}
	f.choices[name] = pattern >> 1
	return min(pattern&1, n-1)
}

// TestSettingsInTimeForAnyQueryOrder checks that every process that reaches the store has new
// settings in time after both readers lost access to the store, in whichever order it queries
// them.
//
// Settings arrived after 2.3 s when they were published at the moment at which the readers lost
// access. The first reader's call failed after 1.07 s, and it then relayed the update of a
// process that had queried the store itself. A process that had queried the second reader until
// then, whose updates counted as current for longer, now queried the first: the update was only
// 0.4 s old again but carried the old version of the settings.
func TestSettingsInTimeForAnyQueryOrder(t *testing.T) {
	const (
		choices = 5
		phases  = 8
	)
	for phase := range phases {
		for pattern := range 1 << choices {
			synctest.Test(t, func(t *testing.T) {
				late := lateSettings(t, phase, func(f *fleet, readers []string) {
					for _, reader := range readers {
						f.setUnreachable(reader, true)
					}
					f.setChoices(pattern)
				})
				assert.Check(t, len(late) == 0, "no newer settings at %v; choices %05b, phase %d", late, pattern, phase)
			})
		}
	}
}

// TestSettingsLateBehindLostPoll guards against a reader whose poll for settings is lost, for
// example on a silent connection: those that query only this reader learn of new settings from it.
func TestSettingsLateBehindLostPoll(t *testing.T) {
	const always = 1<<5 - 1
	for phase := range 8 {
		for lost := range 2 {
			for _, choices := range []int{0, always} {
				synctest.Test(t, func(t *testing.T) {
					late := lateSettings(t, phase, func(f *fleet, readers []string) {
						slices.Sort(readers)
						f.losePoll(readers[lost])
						f.setChoices(choices)
					})
					assert.Check(t, len(late) == 0, "no newer settings at %v; reader %d, choices %05b, phase %d", late, lost, choices, phase)
				})
			}
		}
	}
}

// minSettingsBound is the shortest time, of all deployments, within which settings must be in
// force everywhere.
const minSettingsBound = 2 * time.Second
