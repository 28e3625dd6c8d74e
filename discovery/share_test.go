package discovery

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// fleet is a few watchers that share one store, with calls to it counted.
type fleet struct {
	mu       sync.Mutex
	watchers map[string]*Watcher
	sinks    map[string]*heardBy
	shares   map[string]*Share
	feeds    map[string]*Feed
	// cut processes do not reach the store, frozen ones do not answer. Answers of
	// the store stay with a process for the time that held names.
	cut, frozen map[string]bool
	held        map[string]time.Duration
	// busy is how long every process takes to answer another.
	busy time.Duration
	// forgets names processes whose next question finds the history gone.
	forgets map[string]bool
	// choices holds the patterns by which processes choose whom to ask; one without a
	// pattern takes a number from random.
	choices map[string]int
	random  *rand.Rand
	// lines carry what each process receives and sends; without any, bytes take no
	// time.
	incoming, outgoing map[string]*line
	settings           *slatewind.PublishedSettings
	// handOvers counts the settings that each process is handing over.
	handOvers map[string]int
	calls     map[string]int
	// exchanged counts how often each process was asked for reports by another reader.
	exchanged map[string]int
	pings     int
	// settingsCalls counts the calls for settings.
	settingsCalls int
	published     slatewind.Publication
}

// storeOf is the store as one process reaches it.
type storeOf struct {
	f    *fleet
	self string
}

func (s storeOf) Read(ctx context.Context) (slatewind.Publication, error) {
	return s.Changes(ctx, slatewind.Revision{})
}

func (s storeOf) Changes(ctx context.Context, after slatewind.Revision) (slatewind.Publication, error) {
	s.f.mu.Lock()
	s.f.calls[s.self]++
	cut, p, held := s.f.cut[s.self], s.f.published, s.f.held[s.self]
	incoming := s.f.incoming[s.self]
	forgets := s.f.forgets[s.self] && !after.IsZero()
	if forgets {
		delete(s.f.forgets, s.self)
	}
	s.f.mu.Unlock()
	if forgets {
		return slatewind.Publication{}, slatewind.ErrHistoryGone
	}
	if cut {
		sleep(ctx, time.Second)
		return slatewind.Publication{}, errors.New("cut off")
	}
	p.Whole = true
	sleep(ctx, held)
	return p, incoming.carry(ctx, changedBytes)
}

func (s storeOf) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsNews, error) {
	const look = 10 * time.Millisecond
	s.f.mu.Lock()
	s.f.settingsCalls++
	s.f.mu.Unlock()
	for end := time.Now().Add(wait); ; sleep(ctx, look) {
		s.f.mu.Lock()
		cut, settings, incoming := s.f.cut[s.self], s.f.settings, s.f.incoming[s.self]
		s.f.mu.Unlock()
		switch {
		case cut:
			sleep(ctx, time.Second)
			return slatewind.SettingsNews{}, errors.New("cut off")
		case settings != nil && settings.Revision.After(after):
			err := incoming.carry(ctx, routeBytes*len(settings.Fleet.GetRoutes()))
			return slatewind.SettingsNews{Settings: settings, Revision: settings.Revision}, err
		case ctx.Err() != nil || !time.Now().Before(end):
			return slatewind.SettingsNews{}, ctx.Err()
		}
	}
}

func (s storeOf) Ping(context.Context) error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pings++
	if s.f.cut[s.self] {
		return errors.New("cut off")
	}
	return nil
}

// Exchange implements Peers.
func (f *fleet) Exchange(_ context.Context, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanged[address]++
}

// Since implements Peers.
func (f *fleet) Since(ctx context.Context, address string, after slatewind.Revision, version uint64) (slatewind.Publication, error) {
	f.mu.Lock()
	watcher, feed, outgoing := f.watchers[address], f.feeds[address], f.outgoing[address]
	frozen, busy := f.frozen[address], f.busy
	f.mu.Unlock()
	sleep(ctx, busy)
	if frozen || watcher == nil {
		<-ctx.Done()
		return slatewind.Publication{}, ctx.Err()
	}
	feed.Heard(version, "")
	p := watcher.Since(after)
	p.Version = feed.Version()
	return p, outgoing.carry(ctx, entryBytes)
}

// Settings implements SettingsPeers.
func (f *fleet) Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error) {
	f.mu.Lock()
	feed, outgoing, frozen := f.feeds[address], f.outgoing[address], f.frozen[address]
	f.mu.Unlock()
	if frozen || feed == nil {
		sleep(ctx, time.Second)
		return nil, errors.New("silent")
	}
	settings := feed.Newest()
	if settings == nil || settings.Version <= version || !f.handOver(address, 1) {
		return nil, nil
	}
	defer f.handOver(address, -1)
	return settings, outgoing.carry(ctx, packedRouteBytes*len(settings.Fleet.GetRoutes()))
}

// handOver counts settings on their way; it reports false where there are enough.
func (f *fleet) handOver(address string, n int) bool {
	const enough = 3
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.handOvers[address]+n > enough {
		return false
	}
	f.handOvers[address] += n
	return true
}

func newFleet(ctx context.Context, n int) *fleet {
	f := &fleet{
		watchers: map[string]*Watcher{}, sinks: map[string]*heardBy{}, shares: map[string]*Share{}, cut: map[string]bool{}, frozen: map[string]bool{},
		held: map[string]time.Duration{}, feeds: map[string]*Feed{}, handOvers: map[string]int{}, forgets: map[string]bool{}, choices: map[string]int{}, random: rand.New(rand.NewPCG(1, 2)), incoming: map[string]*line{}, outgoing: map[string]*line{},
		calls: map[string]int{}, exchanged: map[string]int{}, published: slatewind.Publication{Revision: at(1)},
	}
	for i := range n {
		f.published.Servers = append(f.published.Servers, servers(fmt.Sprint("server-", i))...)
	}
	for _, entry := range f.published.Servers {
		f.start(ctx, entry.Address, nil)
		// Processes start at different moments, so that their rounds do too.
		sleep(ctx, 29*time.Millisecond)
	}
	return f
}

func (f *fleet) start(ctx context.Context, self string, seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share := NewShare(storeOf{f, self}, f, self, seeds)
	share.draw = func(n int) int { return f.draw(self, n) }
	f.shares[self] = share
	f.sinks[self] = newHeardBy()
	f.watchers[self] = NewWatcher(share, f.sinks[self])
	f.feeds[self] = NewFeed(storeOf{f, self}, f, share, f.sinks[self])
	share.Follow(f.watchers[self], f.feeds[self], "")
	f.watchers[self].Start(ctx)
	f.feeds[self].Start(ctx)
}

// settle lets time pass until all is quiet.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// cutOff takes a process's way to the store away, or gives it back.
func (f *fleet) cutOff(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[name] = cut
}

// forgetCalls begins the counts of calls anew.
func (f *fleet) forgetCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.calls)
}

// called returns the processes that called the store since the counts began.
func (f *fleet) called() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.calls))
}

func (f *fleet) publish(p slatewind.Publication) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.Revision = at(f.published.Revision.Number + 1)
	f.published = p
}

// publishVersion publishes a version of the settings.
func (f *fleet) publishVersion(version uint64) {
	f.publishSettings(&slatewind.PublishedSettings{Version: version})
}

func (f *fleet) publishSettings(settings *slatewind.PublishedSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published.Revision.Number++
	settings.Revision = f.published.Revision
	f.settings = settings
}

// allHeard checks that every process has heard of just one version.
func (f *fleet) allHeard(t *testing.T, version uint64) {
	t.Helper()
	for name, sink := range f.sinks {
		assert.Check(t, slices.Equal(sink.versions, []uint64{version}), "%s: %v", name, sink.versions)
	}
}

// TestShare states how many processes call the store, and who hears what.
func TestShare(t *testing.T) {
	tests := map[string]func(t *testing.T, ctx context.Context, f *fleet){
		"two read for all": func(t *testing.T, _ context.Context, f *fleet) {
			assert.Equal(t, len(f.called()), leastReaders)
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
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, 12)
				settle(3 * time.Second)
				f.forgetCalls()
				settle(5 * time.Second)
				test(t, ctx, f)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// follower returns a process that does not read the store.
func (f *fleet) follower() string {
	readers := f.called()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.watchers {
		if !slices.Contains(readers, name) {
			return name
		}
	}
	return ""
}

// nobody is passed over.
func nobody(string) bool { return false }

// TestElect states how many processes read the store, and in which data centres, by the
// sizes of these.
func TestElect(t *testing.T) {
	tests := map[string]struct {
		sizes []int
		// readers are those of the data centres together, far says that some data centre
		// has none of its own.
		readers int
		far     bool
	}{
		"one small":                  {[]int{12}, 2, false},
		"three small":                {[]int{7, 7, 7}, 2, true},
		"five very small":            {[]int{5, 4, 4, 4, 4}, 2, true},
		"three of an ordinary size":  {[]int{27, 27, 25}, 2, true},
		"five large":                 {[]int{47, 47, 47, 47, 47}, 5, false},
		"six at the target size":     {[]int{400, 400, 400, 400, 300, 300}, 44, false},
		"fewer than there should be": {[]int{1}, 1, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var places []Place
			for dc, size := range test.sizes {
				for i := range size {
					places = append(places, Place{fmt.Sprintf("10.%d.%d.%d:1", dc, i/250, i%250), fmt.Sprint("dc-", dc)})
				}
			}
			elected := newElectorate(places).readers(nobody)
			assert.Equal(t, len(elected), test.readers)
			with := map[string]int{}
			for _, place := range elected {
				with[place.DataCentre]++
			}
			assert.Equal(t, len(with) < len(test.sizes), test.far)
			slices.Reverse(places)
			assert.DeepEqual(t, newElectorate(places).readers(nobody), elected)
		})
	}
}

// TestElectPassesOver: in place of a reader that does not answer the next of its data
// centre reads.
func TestElectPassesOver(t *testing.T) {
	var places []Place
	for i := range 60 {
		places = append(places, Place{fmt.Sprint("10.0.0.", i, ":1"), fmt.Sprint("dc-", i%2)})
	}
	e := newElectorate(places)
	before := e.readers(nobody)
	after := e.readers(func(address string) bool { return address == before[0].Address })
	assert.Equal(t, len(after), len(before))
	assert.Assert(t, !slices.Contains(after, before[0]))
	assert.Assert(t, slices.Contains(after, before[1]))
	assert.Equal(t, after[0].DataCentre != after[1].DataCentre, true)
}

// BenchmarkElect gives the time to find the readers of the target size's 21,000 servers,
// as each process does each 0.45 s.
func BenchmarkElect(b *testing.B) {
	w := NewWatcher(nil, nil)
	for i := range 21_000 {
		name := fmt.Sprint("s-", i)
		w.servers[name] = known{ServerEntry: slatewind.ServerEntry{Name: name, Address: fmt.Sprintf("10.%d.%d.%d:1", i%6, i/250, i%250), DataCentre: fmt.Sprint("dc-", i%6)}}
	}
	for b.Loop() {
		w.ranks().readers(nobody)
	}
}

// TestCallsWhileStoreIsAway: processes that cannot reach the store ask it little, and
// all of them hear of it again soon after it is back.
func TestCallsWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 30)
		settle(5 * time.Second)
		f.allCutOff(true)
		settle(4 * time.Second)
		f.countAnew()
		const away = 10
		settle(away * time.Second)
		calls, pings := f.counts()
		assert.Assert(t, calls <= leastReaders*3*away, "%d calls in %d s", calls, away)
		assert.Assert(t, pings <= 30*away/2, "%d pings in %d s", pings, away)
		f.allCutOff(false)
		f.publishVersion(3)
		settle(3 * time.Second)
		f.allHeard(t, 3)
		cancel()
		synctest.Wait()
	})
}

// TestProcessesThatBeginWaitForSettings: processes that begin before there are settings wait for
// them with few calls, and all have them soon once they are published, also those whose
// call is lost.
func TestProcessesThatBeginWaitForSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 30)
		settle(6 * time.Second)
		f.mu.Lock()
		asked := f.settingsCalls
		f.mu.Unlock()
		assert.Assert(t, asked <= 30+leastReaders*4, "%d calls for settings", asked)
		victim := "server-7:1"
		f.cutOff(victim, true)
		f.publishVersion(1)
		settle(2 * time.Second)
		f.allHeard(t, 1)
		cancel()
		synctest.Wait()
	})
}

// TestShortOutage: entries that ran out in an outage of the store stay for a heartbeat
// after it, also at processes that did not notice the outage but were told by one that
// did.
func TestShortOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 12)
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
		cancel()
		synctest.Wait()
	})
}

// TestQuietFleetPingsNothing: while nothing happens only readers ask the store.
func TestQuietFleetPingsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 30)
		settle(5 * time.Second)
		f.countAnew()
		settle(10 * time.Second)
		calls, pings := f.counts()
		assert.Equal(t, pings, 0)
		assert.Assert(t, calls <= leastReaders*12, "%d calls in 10 s", calls)
		cancel()
		synctest.Wait()
	})
}

// allCutOff takes every process's way to the store away, or gives it back.
func (f *fleet) allCutOff(cut bool) {
	for name := range f.watchers {
		f.cutOff(name, cut)
	}
}

// countAnew begins the counts of calls and pings anew.
func (f *fleet) countAnew() {
	f.forgetCalls()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pings = 0
}

// counts returns how many calls and pings the store got.
func (f *fleet) counts() (calls, pings int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.calls {
		calls += n
	}
	return calls, f.pings
}
