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
	// mute says that processes are silent when they are asked for settings.
	mute bool
	held map[string]time.Duration
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
	published     slatewind.ServerUpdate
}

// storeOf is the store as one process reaches it.
type storeOf struct {
	f    *fleet
	self string
}

func (s storeOf) Read(ctx context.Context) (slatewind.ServerUpdate, error) {
	return s.Changes(ctx, slatewind.Revision{})
}

func (s storeOf) Changes(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
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
		return slatewind.ServerUpdate{}, slatewind.ErrHistoryGone
	}
	if cut {
		sleep(ctx, time.Second)
		return slatewind.ServerUpdate{}, errors.New("cut off")
	}
	p.Complete = true
	sleep(ctx, held)
	return p, incoming.carry(ctx, changedBytes)
}

func (s storeOf) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsUpdate, error) {
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
			return slatewind.SettingsUpdate{}, errors.New("cut off")
		case settings != nil && settings.Revision.After(after):
			err := incoming.carry(ctx, routeBytes*len(settings.Fleet.GetRoutes()))
			return slatewind.SettingsUpdate{Settings: settings, Revision: settings.Revision}, err
		case ctx.Err() != nil || !time.Now().Before(end):
			return slatewind.SettingsUpdate{}, ctx.Err()
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
func (f *fleet) Since(ctx context.Context, address string, after slatewind.Revision, version uint64) (slatewind.ServerUpdate, error) {
	f.mu.Lock()
	watcher, feed, outgoing := f.watchers[address], f.feeds[address], f.outgoing[address]
	frozen, busy := f.frozen[address], f.busy
	f.mu.Unlock()
	sleep(ctx, busy)
	if frozen || watcher == nil {
		<-ctx.Done()
		return slatewind.ServerUpdate{}, ctx.Err()
	}
	feed.Heard(version, "")
	p := watcher.Since(after)
	p.Version = feed.Version()
	return p, outgoing.carry(ctx, entryBytes)
}

// Settings implements SettingsPeers.
func (f *fleet) Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error) {
	f.mu.Lock()
	feed, outgoing, silent := f.feeds[address], f.outgoing[address], f.frozen[address] || f.mute
	f.mu.Unlock()
	if silent || feed == nil {
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
		calls: map[string]int{}, exchanged: map[string]int{}, published: slatewind.ServerUpdate{Revision: at(1)},
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

// inFleet has a test use a fleet of so many processes in virtual time, and ends these.
func inFleet(t *testing.T, processes int, test func(t *testing.T, ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(t, ctx, newFleet(ctx, processes))
		cancel()
		synctest.Wait()
	})
}

func (f *fleet) start(ctx context.Context, self string, seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share := NewShare(storeOf{f, self}, f, self, seeds)
	share.intN = func(n int) int { return f.draw(self, n) }
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

func (f *fleet) publish(p slatewind.ServerUpdate) {
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
