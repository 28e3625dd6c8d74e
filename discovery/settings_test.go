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

// silentStore is a store that answers nothing until it is back: each call ends
// with its own time.
type silentStore struct {
	mu       sync.Mutex
	back     time.Time
	revision uint64
}

// silence has the store answer nothing for a while, and then a newer version.
func (s *silentStore) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = time.Now().Add(d)
	s.revision++
}

// answered waits as a call does and returns the store's revision.
func (s *silentStore) answered(ctx context.Context, wait time.Duration) (uint64, error) {
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
	revision, err := s.answered(ctx, 0)
	return slatewind.ServerUpdate{Revision: at(revision), Servers: servers("own")}, err
}

func (s *silentStore) Ping(ctx context.Context) error {
	_, err := s.answered(ctx, 0)
	return err
}

func (s *silentStore) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsUpdate, error) {
	revision, err := s.answered(ctx, wait)
	if err != nil || revision <= after.Number {
		sleep(ctx, wait)
		return slatewind.SettingsUpdate{}, err
	}
	return slatewind.SettingsUpdate{Revision: at(revision), Settings: &slatewind.PublishedSettings{Version: revision, Revision: at(revision)}}, nil
}

// storeTimeout is that of package platform's calls.
const storeTimeout = 900 * time.Millisecond

// TestSilence: a process hears of settings within 2.5 s after a silent store is
// back: the last silent call and the pause after it must not add up to more.
func TestSilence(t *testing.T) {
	for i := range 50 {
		synctest.Test(t, func(t *testing.T) {
			source := &silentStore{revision: 1}
			heard := newHeardBy()
			ctx, cancel := context.WithCancel(t.Context())
			share := NewShare(source, nil, "own:1", nil)
			watcher := NewWatcher(share, heard)
			feed := NewFeed(source, nil, share, heard)
			share.Follow(watcher, feed, "")
			watcher.Start(ctx)
			feed.Start(ctx)
			time.Sleep(time.Second)
			synctest.Wait()
			outage := 5*time.Second + time.Duration(i)*50*time.Millisecond
			source.silence(outage)
			time.Sleep(outage + 2500*time.Millisecond)
			synctest.Wait()
			assert.DeepEqual(t, heard.versions, []uint64{1, 2})
			cancel()
			synctest.Wait()
		})
	}
}

// settingsOf is a store that answers in order and then nothing new. It takes
// questions only from where the last answer ended, as a store that forgets does.
type settingsOf struct {
	t       *testing.T
	answers []slatewind.SettingsUpdate
	asOf    uint64
}

func (s *settingsOf) Settings(ctx context.Context, after slatewind.Revision, wait time.Duration) (slatewind.SettingsUpdate, error) {
	assert.Check(s.t, after.Number == s.asOf, "asked from %s, not from %d on", after, s.asOf)
	if len(s.answers) == 0 {
		sleep(ctx, wait)
		s.asOf += 10
		return slatewind.SettingsUpdate{Revision: at(s.asOf)}, ctx.Err()
	}
	news := s.answers[0]
	s.answers = s.answers[1:]
	s.asOf = news.Revision.Number
	return news, nil
}

// TestFeed plays the answers of a store and states what a sink has heard.
func TestFeed(t *testing.T) {
	v := func(version, revision uint64) slatewind.SettingsUpdate {
		return slatewind.SettingsUpdate{Revision: at(revision), Settings: &slatewind.PublishedSettings{Version: version, Revision: at(revision - 1)}}
	}
	bad := slatewind.SettingsUpdate{Revision: at(30), Err: errors.New("bad value")}
	tests := map[string]struct {
		answers  []slatewind.SettingsUpdate
		versions []uint64
		findings int
	}{
		"older settings change nothing": {[]slatewind.SettingsUpdate{v(7, 20), v(6, 30), v(8, 40)}, []uint64{7, 8}, 0},
		"what cannot be read is told":   {[]slatewind.SettingsUpdate{v(7, 20), bad, v(8, 40)}, []uint64{7, 8}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				heard := newHeardBy()
				ctx, cancel := context.WithCancel(t.Context())
				share := NewShare(nil, nil, "own:1", nil)
				share.isReader.Store(true)
				feed := NewFeed(&settingsOf{t: t, answers: test.answers}, nil, share, heard)
				feed.Start(ctx)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				assert.DeepEqual(t, heard.versions, test.versions)
				assert.Equal(t, heard.findings, test.findings)
				cancel()
				synctest.Wait()
			})
		})
	}
}
