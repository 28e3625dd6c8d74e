package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"slatewind.example/slatewind"
)

const (
	// settingsWait is how long the store may hold a call for settings. One whose
	// answer is lost is noticed after that and the call's own timeout, which is
	// before the three seconds after trouble in which settings may be late.
	settingsWait = 2 * time.Second
	// firstWait is that for a process that begins, while there are no settings yet: it
	// hears from others when there are, should its answer be lost.
	firstWait = 8 * time.Second
	// settingsPace is the least time between two calls for settings: of those
	// that come in quick succession only the newest matter.
	settingsPace = 100 * time.Millisecond
	// fetchPause is the time between two rounds of asking other processes for
	// settings, and fetchPatience that after which the store is asked.
	fetchPause    = 50 * time.Millisecond
	fetchPatience = time.Second
	// maxFeedRetry bounds the pause after a failed call; Restart ends it.
	maxFeedRetry = 2 * time.Second
)

// SettingsPeers fetches settings from other processes.
type SettingsPeers interface {
	// Settings returns the settings of the process beside the server at an address,
	// if they are newer than a version. They are nil where they are not, or where
	// that process serves enough others.
	Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error)
}

// SettingsSink takes settings. Its methods are called one after the other.
type SettingsSink interface {
	// Settings offers settings; from is the address of the server beside the process
	// that told, or empty for the store, and took how long they were on their way.
	Settings(now time.Time, settings *slatewind.PublishedSettings, from string, took time.Duration)
	// Finding brings settings that could not be read.
	Finding(now time.Time, finding error)
	// SettingsReach says that settings could not be asked for, or can be again.
	SettingsReach(now time.Time, reached bool, cause error)
	// NotHanded says that a process did not hand settings over.
	NotHanded(now time.Time, from string, cause error)
}

// Feed keeps the operators' settings fresh. They may be large, a megabyte on a
// link of 10 Mbit/s, so they travel apart from the news of servers, which name
// only their version. The readers of a data centre wait for them at the store;
// the others fetch them from whichever process has them.
type Feed struct {
	store slatewind.SettingsSource
	peers SettingsPeers
	share *Share
	sink  SettingsSink
	// wake ends the rest of a process that need not do anything.
	wake chan struct{}

	mu       sync.Mutex
	settings *slatewind.PublishedSettings
	// revision is the store's up to which the settings are known.
	revision slatewind.Revision
	// newest is the highest version heard of, holder the address of a process
	// that has it, or empty.
	newest uint64
	holder string
	// restart ends a call to the store that waits, nil while there is none.
	restart context.CancelFunc
	// look says that this process asks the store once though it is no reader.
	look bool
}

// NewFeed returns a feed that has heard nothing yet. The share says who reads.
func NewFeed(store slatewind.SettingsSource, peers SettingsPeers, share *Share, sink SettingsSink) *Feed {
	return &Feed{store: store, peers: peers, share: share, sink: sink, wake: make(chan struct{}, 1)}
}

// Start follows the settings until ctx ends.
func (f *Feed) Start(ctx context.Context) {
	go f.loop(ctx)
}

func (f *Feed) loop(ctx context.Context) {
	retry, lost := firstRetry, false
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if lost != (err != nil) {
			lost = err != nil
			f.sink.SettingsReach(time.Now(), !lost, err)
		}
		if lost {
			f.rest(ctx, time.After(spread(retry)))
			retry = min(2*retry, maxFeedRetry)
			continue
		}
		retry = firstRetry
	}
}

// rest waits until there may be something to do, or until a time has come.
func (f *Feed) rest(ctx context.Context, until <-chan time.Time) {
	select {
	case <-f.wake:
	case <-until:
	case <-ctx.Done():
	}
}

// step makes one attempt at newer settings, or rests where there are none. A process
// that begins asks the store, which is sooner than to find out who else has them. A store
// that was restored may lack what others have.
func (f *Feed) step(ctx context.Context) error {
	if wait, asks := f.asks(); asks {
		err := f.read(ctx, wait)
		switch {
		case err == nil && !f.outdated():
			sleep(ctx, settingsPace)
			return nil
		case err != nil && !f.behind():
			return err
		}
	}
	if f.behind() {
		return f.fetch(ctx)
	}
	f.rest(ctx, nil)
	return nil
}

// asks reports whether it is for this process to ask the store, and how long its
// call may wait there.
func (f *Feed) asks() (wait time.Duration, asks bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	look := f.look
	f.look = false
	switch {
	case f.share.Reads():
		return settingsWait, true
	case f.settings == nil:
		return firstWait, true
	case look:
		return 0, true
	}
	return 0, false
}

// Look has the feed ask the store once: the readers, from which this process would
// hear of newer settings, fail.
func (f *Feed) Look() {
	f.mu.Lock()
	f.look = true
	f.mu.Unlock()
	f.Wake()
}

// read asks the store. A call that Restart ended is no failure.
func (f *Feed) read(process context.Context, wait time.Duration) error {
	ctx, cancel := context.WithCancel(process)
	defer cancel()
	f.mu.Lock()
	after := f.revision
	f.restart = cancel
	f.mu.Unlock()
	began := time.Now()
	news, err := f.store.Settings(ctx, after, wait)
	f.mu.Lock()
	f.restart = nil
	f.revision = f.revision.Later(news.Revision)
	f.mu.Unlock()
	if news.Err != nil {
		f.sink.Finding(time.Now(), news.Err)
	}
	if news.Settings != nil {
		f.take(news.Settings, "", time.Since(began))
	}
	if restarted := ctx.Err() != nil && process.Err() == nil; restarted {
		return nil
	}
	return err
}

// fetch asks other processes for settings that are known to exist, and at last the
// store. It asks any process first: the one that told of them has many to serve,
// and each that has them soon serves others.
func (f *Feed) fetch(ctx context.Context) error {
	patience := time.Now().Add(fetchPatience)
	for ctx.Err() == nil {
		for _, address := range f.askable() {
			if f.fetchFrom(ctx, address) {
				return nil
			}
			if !time.Now().Before(patience) {
				return f.read(ctx, 0)
			}
		}
		if time.Until(patience) < fetchPause {
			break
		}
		sleep(ctx, fetchPause)
	}
	return f.read(ctx, 0)
}

// fetchFrom asks one process for newer settings. It reports whether that one had some.
func (f *Feed) fetchFrom(ctx context.Context, address string) bool {
	asked := time.Now()
	settings, err := f.peers.Settings(ctx, address, f.Version())
	if err != nil {
		f.sink.NotHanded(time.Now(), address, err)
		return false
	}
	if settings == nil {
		return false
	}
	f.take(settings, address, time.Since(asked))
	return true
}

// askable returns whom to ask for settings: a process near by, and one that is said
// to have them.
func (f *Feed) askable() []string {
	f.mu.Lock()
	holder := f.holder
	f.mu.Unlock()
	others := f.share.others()
	if len(others) == 0 {
		return nil
	}
	other := others[rand.IntN(len(others))]
	if holder == "" || holder == other {
		return []string{other}
	}
	return []string{other, holder}
}

// take takes settings that are newer than those that are known.
func (f *Feed) take(settings *slatewind.PublishedSettings, from string, took time.Duration) {
	f.mu.Lock()
	f.revision = f.revision.Later(settings.Revision)
	newer := f.settings == nil || settings.Version > f.settings.Version
	if newer {
		f.settings = settings
		f.newest = max(f.newest, settings.Version)
	}
	f.mu.Unlock()
	if newer {
		f.sink.Settings(time.Now(), settings, from, took)
	}
}

// Heard notes that settings of a version exist; holder is the address of a process
// that has them, or empty.
func (f *Feed) Heard(version uint64, holder string) {
	f.mu.Lock()
	newer := version > f.newest
	if newer || version == f.newest && holder != "" {
		f.newest, f.holder = version, holder
	}
	if newer && f.settings == nil && f.restart != nil {
		f.restart()
	}
	f.mu.Unlock()
	if newer {
		f.Wake()
	}
}

// Wake has the feed look at once whether there is something to do.
func (f *Feed) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Restart has the store asked anew at once: it is back, and an answer to what it
// was asked before may never come.
func (f *Feed) Restart() {
	defer f.Wake()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restart != nil {
		f.restart()
	}
}

// behind reports whether there are newer settings than those that are known, as
// there are for a process that begins.
func (f *Feed) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings == nil || f.settings.Version < f.newest
}

// outdated reports whether there are newer settings than known ones.
func (f *Feed) outdated() bool { return f.behind() && f.Newest() != nil }

// Newest returns the settings that are known, or nil.
func (f *Feed) Newest() *slatewind.PublishedSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// Version returns the version of the settings that are known, or 0.
func (f *Feed) Version() uint64 {
	if settings := f.Newest(); settings != nil {
		return settings.Version
	}
	return 0
}
