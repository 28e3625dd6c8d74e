package discovery

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// silentStore is a store that does not answer until the time back: each call fails after its own
// timeout.
type silentStore struct {
	mu       sync.Mutex
	back     time.Time
	revision uint64
}

// startOutage makes the store silent for d. After that it has a newer version.
func (s *silentStore) startOutage(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = time.Now().Add(d)
	s.revision++
}

// answer waits as a call does and returns the store's revision.
func (s *silentStore) answer(ctx context.Context, wait time.Duration) (uint64, error) {
	s.mu.Lock()
	silent, revision := time.Now().Before(s.back), s.revision
	s.mu.Unlock()
	if silent {
		sleep(ctx, wait+storeTimeout)
		return 0, errors.New("silent")
	}
	return revision, nil
}

func (s *silentStore) Read(ctx context.Context) (slatewind.ServerUpdate, error) {
	return s.Changes(ctx, slatewind.Revision{})
}

func (s *silentStore) Changes(ctx context.Context, _ slatewind.Revision) (slatewind.ServerUpdate, error) {
	revision, err := s.answer(ctx, 0)
	return slatewind.ServerUpdate{Revision: at(revision), Servers: servers("own")}, err
}

func (s *silentStore) Ping(ctx context.Context) error {
	_, err := s.answer(ctx, 0)
	return err
}

func (s *silentStore) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsUpdate, error) {
	revision, err := s.answer(ctx, wait)
	if err != nil || revision <= after.Number {
		sleep(ctx, wait)
		return slatewind.SettingsUpdate{}, err
	}
	return slatewind.SettingsUpdate{Revision: at(revision), Settings: &slatewind.PublishedSettings{Version: revision, Revision: at(revision)}}, nil
}

// storeTimeout is the timeout of the calls of package platform.
const storeTimeout = 900 * time.Millisecond

// settingsStore is a store with servers and settings.
type settingsStore interface {
	Store
	slatewind.SettingsSource
}

// startReader starts a process that is the only one and so reads the store.
func startReader(ctx context.Context, store settingsStore) (*recordingSink, *SettingsWatcher) {
	sink := newRecordingSink()
	shared := NewSharedSource(store, nil, "own:1", nil)
	watcher := NewWatcher(shared, sink)
	settingsWatcher := NewSettingsWatcher(store, nil, shared, sink)
	shared.Attach(watcher, settingsWatcher, "")
	watcher.Start(ctx)
	settingsWatcher.Start(ctx)
	return sink, settingsWatcher
}

// TestSilentStore checks that a process receives settings within 2.5 s after a silent store
// answers again: the last call that timed out and the backoff after it must not add up to more.
func TestSilentStore(t *testing.T) {
	for i := range 50 {
		synctest.Test(t, func(t *testing.T) {
			source := &silentStore{revision: 1}
			ctx, cancel := context.WithCancel(t.Context())
			sink, _ := startReader(ctx, source)
			time.Sleep(time.Second)
			synctest.Wait()
			outage := 5*time.Second + time.Duration(i)*50*time.Millisecond
			source.startOutage(outage)
			time.Sleep(outage + 2500*time.Millisecond)
			synctest.Wait()
			assert.DeepEqual(t, sink.versions, []uint64{1, 2})
			cancel()
			synctest.Wait()
		})
	}
}

// scriptedSettings is a store that gives its answers in order, and no newer ones after that. It
// checks that each poll starts at the revision at which the last answer ended, as is required by
// a store that discards its history.
type scriptedSettings struct {
	t       *testing.T
	answers []slatewind.SettingsUpdate
	asOf    uint64
}

func (s *scriptedSettings) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsUpdate, error) {
	assert.Check(s.t, after.Number == s.asOf, "polled from %s, not from %d", after, s.asOf)
	if len(s.answers) == 0 {
		sleep(ctx, wait)
		s.asOf += 10
		return slatewind.SettingsUpdate{Revision: at(s.asOf)}, ctx.Err()
	}
	update := s.answers[0]
	s.answers = s.answers[1:]
	s.asOf = update.Revision.Number
	return update, nil
}

// TestSettingsWatcher checks what a sink receives for the answers of a store.
func TestSettingsWatcher(t *testing.T) {
	v := func(version, revision uint64) slatewind.SettingsUpdate {
		return slatewind.SettingsUpdate{Revision: at(revision), Settings: &slatewind.PublishedSettings{Version: version, Revision: at(revision - 1)}}
	}
	undecodable := slatewind.SettingsUpdate{Revision: at(30), Err: errors.New("bad value")}
	tests := map[string]struct {
		answers  []slatewind.SettingsUpdate
		versions []uint64
		invalid  int
	}{
		"older settings are ignored":        {[]slatewind.SettingsUpdate{v(7, 20), v(6, 30), v(8, 40)}, []uint64{7, 8}, 0},
		"undecodable settings are reported": {[]slatewind.SettingsUpdate{v(7, 20), undecodable, v(8, 40)}, []uint64{7, 8}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sink := newRecordingSink()
				ctx, cancel := context.WithCancel(t.Context())
				shared := NewSharedSource(nil, nil, "own:1", nil)
				shared.isReader.Store(true)
				settingsWatcher := NewSettingsWatcher(&scriptedSettings{t: t, answers: test.answers}, nil, shared, sink)
				settingsWatcher.Start(ctx)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				assert.DeepEqual(t, sink.versions, test.versions)
				assert.Equal(t, sink.invalid, test.invalid)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// partlyFailingStore is a silentStore whose calls for settings alone fail, at once.
type partlyFailingStore struct{ silentStore }

func (s *partlyFailingStore) Changes(context.Context, slatewind.Revision) (slatewind.ServerUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slatewind.ServerUpdate{Revision: at(s.revision), Servers: servers("own")}, nil
}

func (s *partlyFailingStore) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsUpdate, error) {
	s.mu.Lock()
	failing := time.Now().Before(s.back)
	s.mu.Unlock()
	if failing {
		return slatewind.SettingsUpdate{}, errors.New("status 503")
	}
	return s.silentStore.Settings(ctx, after, wait)
}

// TestReaderBacksOffFromSettings guards against a reader that waits for seconds after failed polls
// for settings, although the store answers its other calls: its data centre learns of new settings
// from it.
func TestReaderBacksOffFromSettings(t *testing.T) {
	const bound = storePollInterval + settingsPollInterval
	latest := time.Duration(0)
	for i := range 50 {
		synctest.Test(t, func(t *testing.T) {
			source := &partlyFailingStore{silentStore{revision: 1}}
			ctx, cancel := context.WithCancel(t.Context())
			_, settingsWatcher := startReader(ctx, source)
			time.Sleep(time.Second)
			synctest.Wait()
			outage := 4*time.Second + time.Duration(i)*50*time.Millisecond
			source.startOutage(outage)
			time.Sleep(outage)
			for settingsWatcher.Version() < 2 {
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
			}
			latest = max(latest, time.Since(source.back))
			cancel()
			synctest.Wait()
		})
	}
	assert.Assert(t, latest <= bound, "settings came %s after the store answered again", latest)
}
