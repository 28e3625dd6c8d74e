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

// fleet simulates several processes that source one store, and counts the calls.
type fleet struct {
	mu               sync.Mutex
	watchers         map[string]*Watcher
	sinks            map[string]*recordingSink
	sources          map[string]*SharedSource
	settingsWatchers map[string]*SettingsWatcher
	// The store cannot be reached by unreachable processes, and frozen processes do not answer.
	// storeDelay is the time by which the store's answers to a process are delayed.
	unreachable, frozen map[string]bool
	// lostPolls are the processes whose poll for settings in progress is lost: it fails after its
	// timeout, and the next one works.
	lostPolls map[string]bool
	// silent processes do not answer requests for settings.
	silent     bool
	storeDelay map[string]time.Duration
	// answerDelay is the time that each process takes to answer another.
	answerDelay time.Duration
	// historyGone holds the processes whose next poll fails with ErrHistoryGone.
	historyGone map[string]bool
	// choices holds the bit patterns by which processes choose whom to query; a process without a
	// pattern uses random.
	choices map[string]int
	random  *rand.Rand
	// incoming and outgoing are the links of the processes. Without a link, transfers take no
	// time.
	incoming, outgoing map[string]*link
	settings           *slatewind.PublishedSettings
	// transfers counts the settings that each process is currently sending.
	transfers map[string]int
	calls     map[string]int
	// exchanges counts how often other readers exchanged reports with each process.
	exchanges map[string]int
	pings     int
	// settingsCalls counts the polls for settings.
	settingsCalls int
	published     slatewind.ServerUpdate
	// evacuations is the list at the store.
	evacuations slatewind.Evacuations
}

// fleetStore is the store as seen by one process.
type fleetStore struct {
	f    *fleet
	self string
}

func (s fleetStore) Read(ctx context.Context) (slatewind.ServerUpdate, error) {
	return s.Changes(ctx, slatewind.Revision{})
}

func (s fleetStore) Changes(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	s.f.mu.Lock()
	s.f.calls[s.self]++
	unreachable, p, delay := s.f.unreachable[s.self], s.f.published, s.f.storeDelay[s.self]
	incoming := s.f.incoming[s.self]
	historyGone := s.f.historyGone[s.self] && !after.IsZero()
	if historyGone {
		delete(s.f.historyGone, s.self)
	}
	s.f.mu.Unlock()
	if historyGone {
		return slatewind.ServerUpdate{}, slatewind.ErrHistoryGone
	}
	if unreachable {
		sleep(ctx, time.Second)
		return slatewind.ServerUpdate{}, errors.New("unreachable")
	}
	p.Complete = true
	sleep(ctx, delay)
	return p, incoming.transfer(ctx, changedBytes)
}

func (s fleetStore) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsUpdate, error) {
	const pollInterval = 10 * time.Millisecond
	s.f.mu.Lock()
	s.f.settingsCalls++
	s.f.mu.Unlock()
	for end := time.Now().Add(wait); ; sleep(ctx, pollInterval) {
		s.f.mu.Lock()
		unreachable, settings, incoming := s.f.unreachable[s.self], s.f.settings, s.f.incoming[s.self]
		evacuations := s.f.evacuations
		lost := s.f.lostPolls[s.self]
		delete(s.f.lostPolls, s.self)
		s.f.mu.Unlock()
		switch {
		case lost:
			sleep(ctx, time.Until(end)+storeTimeout)
			return slatewind.SettingsUpdate{}, errors.New("silent")
		case unreachable:
			sleep(ctx, time.Second)
			return slatewind.SettingsUpdate{}, errors.New("unreachable")
		case settings != nil && settings.Revision.After(after):
			err := incoming.transfer(ctx, routeBytes*len(settings.Fleet.GetRoutes()))
			return slatewind.SettingsUpdate{Settings: settings, Revision: settings.Revision}, err
		case evacuations.Revision.After(after):
			return slatewind.SettingsUpdate{Revision: evacuations.Revision, Evacuations: slatewind.EvacuationChanges{Complete: true, Began: evacuations.DataCentres}}, nil
		case ctx.Err() != nil || !time.Now().Before(end):
			return slatewind.SettingsUpdate{}, ctx.Err()
		}
	}
}

func (s fleetStore) Ping(context.Context) error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pings++
	if s.f.unreachable[s.self] {
		return errors.New("unreachable")
	}
	return nil
}

// Exchange implements Peers.
func (f *fleet) Exchange(ctx context.Context, address string) (slatewind.ServerUpdate, error) {
	f.mu.Lock()
	f.exchanges[address]++
	f.mu.Unlock()
	return f.Since(ctx, address, slatewind.Revision{}, 0)
}

// Since implements Peers.
func (f *fleet) Since(ctx context.Context, address string, after slatewind.Revision, version uint64) (slatewind.ServerUpdate, error) {
	f.mu.Lock()
	watcher, settingsWatcher, outgoing := f.watchers[address], f.settingsWatchers[address], f.outgoing[address]
	frozen, delay := f.frozen[address], f.answerDelay
	f.mu.Unlock()
	sleep(ctx, delay)
	if frozen || watcher == nil {
		<-ctx.Done()
		return slatewind.ServerUpdate{}, ctx.Err()
	}
	settingsWatcher.ObserveVersion(version, "")
	p := watcher.Since(after)
	p.Version = settingsWatcher.Version()
	p.Evacuations = settingsWatcher.EvacuationsSince(slatewind.Revision{})
	return p, outgoing.transfer(ctx, entryBytes)
}

// Settings implements SettingsPeers.
func (f *fleet) Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error) {
	f.mu.Lock()
	settingsWatcher, outgoing, silent := f.settingsWatchers[address], f.outgoing[address], f.frozen[address] || f.silent
	f.mu.Unlock()
	if silent || settingsWatcher == nil {
		sleep(ctx, time.Second)
		return nil, errors.New("silent")
	}
	settings := settingsWatcher.Current()
	if settings == nil || settings.Version <= version || !f.addTransfer(address, 1) {
		return nil, nil
	}
	defer f.addTransfer(address, -1)
	return settings, outgoing.transfer(ctx, packedRouteBytes*len(settings.Fleet.GetRoutes()))
}

// addTransfer changes the number of current transfers by n; it reports false if there are too
// many.
func (f *fleet) addTransfer(address string, n int) bool {
	const maxTransfers = 3
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transfers[address]+n > maxTransfers {
		return false
	}
	f.transfers[address] += n
	return true
}

func newFleet(ctx context.Context, n int) *fleet {
	f := &fleet{
		watchers: map[string]*Watcher{}, sinks: map[string]*recordingSink{}, sources: map[string]*SharedSource{}, unreachable: map[string]bool{}, frozen: map[string]bool{}, lostPolls: map[string]bool{},
		storeDelay: map[string]time.Duration{}, settingsWatchers: map[string]*SettingsWatcher{}, transfers: map[string]int{}, historyGone: map[string]bool{}, choices: map[string]int{}, random: rand.New(rand.NewPCG(1, 2)), incoming: map[string]*link{}, outgoing: map[string]*link{},
		calls: map[string]int{}, exchanges: map[string]int{}, published: slatewind.ServerUpdate{Revision: at(1)},
	}
	for i := range n {
		f.published.Servers = append(f.published.Servers, servers(fmt.Sprint("server-", i))...)
	}
	for _, entry := range f.published.Servers {
		f.start(ctx, entry.Address, nil)
		// Processes start at different times, so that their polls are not synchronous.
		sleep(ctx, 29*time.Millisecond)
	}
	return f
}

// runFleet runs a test with a fleet of the given size in virtual time and stops the fleet.
func runFleet(t *testing.T, processes int, test func(t *testing.T, ctx context.Context, f *fleet)) {
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
	source := NewSharedSource(fleetStore{f, self}, f, self, seeds)
	source.intN = func(n int) int { return f.choose(self, n) }
	f.sources[self] = source
	f.sinks[self] = newRecordingSink()
	f.watchers[self] = NewWatcher(source, f.sinks[self])
	f.settingsWatchers[self] = NewSettingsWatcher(fleetStore{f, self}, f, source, f.sinks[self])
	source.Attach(f.watchers[self], f.settingsWatchers[self], "")
	f.watchers[self].Start(ctx)
	f.settingsWatchers[self].Start(ctx)
}

// advance lets time pass until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// setUnreachable makes the store unreachable or reachable for a process.
func (f *fleet) setUnreachable(name string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[name] = unreachable
}

// losePoll loses the poll for settings that a process has in progress.
func (f *fleet) losePoll(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostPolls[name] = true
}

// resetCalls resets the numbers of calls.
func (f *fleet) resetCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.calls)
}

// callers returns the processes that called the store since the last reset.
func (f *fleet) callers() []string {
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

// publishVersion publishes settings with a version.
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

// evacuate publishes a list of evacuated data centres.
func (f *fleet) evacuate(dataCentres ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.published.Revision.Number++
	f.evacuations = slatewind.Evacuations{Revision: f.published.Revision, DataCentres: dataCentres}
}

// checkVersion checks that every process received exactly one version.
func (f *fleet) checkVersion(t *testing.T, version uint64) {
	t.Helper()
	for name, sink := range f.sinks {
		assert.Check(t, slices.Equal(sink.versions, []uint64{version}), "%s: %v", name, sink.versions)
	}
}

// nonReader returns a process that does not read the store.
func (f *fleet) nonReader() string {
	readers := f.callers()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.watchers {
		if !slices.Contains(readers, name) {
			return name
		}
	}
	return ""
}

// setAllUnreachable makes the store unreachable or reachable for all processes.
func (f *fleet) setAllUnreachable(unreachable bool) {
	for name := range f.watchers {
		f.setUnreachable(name, unreachable)
	}
}

// resetCounts resets the numbers of calls and pings.
func (f *fleet) resetCounts() {
	f.resetCalls()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pings = 0
}

// counts returns the numbers of calls and pings of the store.
func (f *fleet) counts() (calls, pings int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.calls {
		calls += n
	}
	return calls, f.pings
}
