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

// A fleet on narrow links, as some VMs have: 10 Mbit/s.
const (
	lineBytesPerSecond = 10e6 / 8
	// linePart is how many bytes pass before another transfer has its turn.
	linePart = 16 << 10
	// entryBytes is the size of a server's entry in a message.
	entryBytes = 300
	// changedBytes is that of an answer of the store, with some heartbeats.
	changedBytes = 10 * entryBytes
	// routeBytes is that of a route as the store answers it, JSON in base64, and
	// packedRouteBytes as processes hand it over.
	routeBytes       = 200
	packedRouteBytes = 30
)

// line is one direction of a link. Transfers take turns on it.
type line struct{ turn chan struct{} }

// carry returns when so many bytes have passed. A nil line takes no time.
func (l *line) carry(ctx context.Context, bytes int) error {
	for ; l != nil && bytes > 0; bytes -= linePart {
		select {
		case l.turn <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		sleep(ctx, time.Duration(float64(min(bytes, linePart))/lineBytesPerSecond*float64(time.Second)))
		<-l.turn
	}
	return ctx.Err()
}

// narrow gives every process a narrow link.
func (f *fleet) narrow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.watchers {
		f.incoming[name] = &line{make(chan struct{}, 1)}
		f.outgoing[name] = &line{make(chan struct{}, 1)}
	}
}

// publishRoutes publishes settings with many routes.
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

// leave publishes that a server leaves.
func (f *fleet) leave(i int) (name string) {
	next := f.published
	next.Servers = slices.Clone(next.Servers)
	next.Servers[i].Leaving = true
	f.publish(next)
	return next.Servers[i].Name
}

// leavingTime is the least time after its word in which a leaving server may get
// new work, of all deployments.
const leavingTime = 2 * time.Second

// TestLeavingHeardInTime: every process that reaches the store hears within the
// allowed time that a server leaves, whatever else the store publishes and
// whichever other processes are in trouble.
//
// Servers got new work up to 3.1 s after their word, while settings of 4,220
// routes came. A word of 100 bytes travelled in one answer with 0.9 MB: 0.7 s from
// the store on a link of 10 Mbit/s, and not at all from a peer, which was asked
// for 0.25 s. So everybody asked the store, one after the other's try, and views
// were 3.5 s old. What settled it: "news took long", 219 of 226 lines with
// settings, and kind=settings and kind=leaving in the same millisecond.
//
// The same bound broke when both processes that read the store for a data centre
// were cut off from it: their news counted as fresh for 1.5 s, then the store was
// asked at most once a second, 2.13 s in all after the word.
func TestLeavingHeardInTime(t *testing.T) {
	tests := map[string]func(f *fleet, readers []string) (outOfTouch []string){
		"nothing": func(*fleet, []string) []string { return nil },
		"settings with many routes come": func(f *fleet, _ []string) []string {
			f.publishRoutes(5, 4000)
			return nil
		},
		"settings come twice": func(f *fleet, _ []string) []string {
			f.publishRoutes(5, 4000)
			time.AfterFunc(700*time.Millisecond, func() { f.publishRoutes(6, 4001) })
			return nil
		},
		"the readers are cut off from the store": func(f *fleet, readers []string) []string {
			for _, name := range readers {
				f.cutOff(name, true)
			}
			return readers
		},
		"the readers are cut off and every process is busy": func(f *fleet, readers []string) []string {
			f.mu.Lock()
			f.busy = 150 * time.Millisecond
			f.mu.Unlock()
			for _, name := range readers {
				f.cutOff(name, true)
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
		"the readers work through answers late": func(f *fleet, readers []string) []string {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, name := range readers {
				f.held[name] = 1500 * time.Millisecond
			}
			return readers
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) {
					latest := leaveDuring(t, time.Duration(phase)*100*time.Millisecond, trouble)
					assert.Check(t, latest <= leavingTime, "a server was heard of %s after its word", latest)
					assert.Check(t, latest <= NewsAge, "the sum of the hops is no bound: %s", latest)
				})
			}
		})
	}
}

// leaveDuring lets servers leave one after the other while there is trouble,
// which begins at a phase of the processes' rounds. It returns how late the last
// process heard of one, of those that are in touch with the store.
func leaveDuring(t *testing.T, phase time.Duration, trouble func(f *fleet, readers []string) (outOfTouch []string)) (latest time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(ctx, 30)
	settle(3 * time.Second)
	f.narrow()
	f.forgetCalls()
	settle(2*time.Second + phase)
	outOfTouch := trouble(f, f.called())
	said := map[string]time.Time{}
	for i := range 20 {
		said[f.leave(i)] = time.Now()
		settle(270 * time.Millisecond)
	}
	settle(2 * leavingTime)
	inTouch := maps.Clone(f.sinks)
	for _, process := range outOfTouch {
		delete(inTouch, process)
	}
	for process, sink := range inTouch {
		for server, at := range said {
			heard, ok := sink.left[server]
			assert.Check(t, ok, "%s never heard of %s", process, server)
			latest = max(latest, heard.Sub(at))
		}
	}
	cancel()
	synctest.Wait()
	return latest
}

// TestSettingsInTime: every process that reaches the store has new settings within
// the least time that deployments allow, though the readers fail in the moment in
// which they are published.
func TestSettingsInTime(t *testing.T) {
	tests := map[string]func(f *fleet, reader string){
		"the readers work":        func(*fleet, string) {},
		"the readers are cut off": func(f *fleet, reader string) { f.cutOff(reader, true) },
		"the readers freeze": func(f *fleet, reader string) {
			f.cutOff(reader, true)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.frozen[reader] = true
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) {
					late := settingsDuring(t, phase, func(f *fleet, readers []string) {
						for _, reader := range readers {
							trouble(f, reader)
						}
					})
					assert.Check(t, len(late) == 0, "no newer settings at %v", late)
				})
			}
		})
	}
}

// settingsDuring publishes settings while there is trouble, which begins at a phase of
// the processes' rounds. It returns who does not have them in time, of those that do
// not read the store themselves.
func settingsDuring(t *testing.T, phase int, trouble func(f *fleet, readers []string)) (late []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := newFleet(ctx, 12)
	f.publishVersion(1)
	settle(3 * time.Second)
	f.forgetCalls()
	settle(2*time.Second + time.Duration(phase)*100*time.Millisecond)
	readers := f.called()
	trouble(f, readers)
	f.publishVersion(2)
	settle(leastConfigTime)
	for process, feed := range f.feeds {
		if feed.Version() != 2 && !slices.Contains(readers, process) {
			late = append(late, process)
		}
	}
	cancel()
	synctest.Wait()
	return late
}

// chooses has all processes choose by a pattern from now on: its lowest bits say,
// one after the other, which of two readers is asked.
func (f *fleet) chooses(pattern int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.watchers {
		f.choices[name] = pattern
	}
}

// draw is how a process chooses one of n others: by its pattern where one is stated,
// else by numbers that are the same in every run.
func (f *fleet) draw(name string, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	pattern, states := f.choices[name]
	if !states {
		return f.random.IntN(n)
	}
	f.choices[name] = pattern >> 1
	return min(pattern&1, n-1)
}

// TestSettingsInTimeWhomeverProcessesAsk: every process that reaches the store has
// new settings in time after both readers were cut off, in whichever order it asks
// these.
//
// Settings came 2.3 s late: at 0 s they were published and the readers cut off. The
// first reader's call failed at 1.07 s, and it took the news of a process that had
// asked the store itself. A process that had asked the second reader until then, whose
// news were fresh for longer, now asked the first: its news were 0.4 s old again, with
// the version of the settings that it had from before. What settled it: in each of
// the late runs the line "relays from server-3 age 132 ver 2" of a reader stands
// before "asks server-11 age 392 rev 3 ver 1" of the late process.
func TestSettingsInTimeWhomeverProcessesAsk(t *testing.T) {
	const (
		choices = 5
		phases  = 8
	)
	for phase := range phases {
		for pattern := range 1 << choices {
			synctest.Test(t, func(t *testing.T) {
				late := settingsDuring(t, phase, func(f *fleet, readers []string) {
					for _, reader := range readers {
						f.cutOff(reader, true)
					}
					f.chooses(pattern)
				})
				assert.Check(t, len(late) == 0, "no newer settings at %v; choices %05b, phase %d", late, pattern, phase)
			})
		}
	}
}

// leastConfigTime is the least time, of all deployments, in which settings must be
// in force everywhere.
const leastConfigTime = 2 * time.Second
