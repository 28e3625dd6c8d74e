package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/recovery"
)

const (
	// settingsPollWait is the time for which the store may hold a poll for settings. A poll whose
	// answer is lost is detected after this time and the timeout of the call. That is less than
	// the three seconds by which settings may be late after a failure.
	settingsPollWait = 2 * time.Second
	// initialPollWait is the hold time for a process that has no settings yet. It may be longer
	// because such a process learns from its peers that settings exist if the answer to its poll
	// is lost.
	initialPollWait = 8 * time.Second
	// settingsPollInterval is the minimum time between two polls for settings: if settings are
	// published in quick succession, only the newest matter.
	settingsPollInterval = 100 * time.Millisecond
	// peerFetchInterval is the time between two rounds of requests to peers for settings, and
	// peerFetchTimeout the time after which the store is queried instead.
	peerFetchInterval = 50 * time.Millisecond
	peerFetchTimeout  = time.Second
	// answerGrace is how long the answer to a poll that is in progress when a newer version becomes
	// known may take before the settings are fetched from peers: it may be lost.
	answerGrace = 200 * time.Millisecond
	// maxSettingsBackoff bounds the backoff after a failed call; RestartPoll and StoreAnswered end
	// the backoff early.
	maxSettingsBackoff = 2 * time.Second
)

// SettingsPeers fetches settings from other processes.
type SettingsPeers interface {
	// Settings returns the settings of the process beside the server at address if they are newer
	// than version. It returns nil if they are not, or if that process is already sending
	// settings to as many others as it allows.
	Settings(ctx context.Context, address string, version uint64) (*slatewind.PublishedSettings, error)
}

// SettingsSink receives settings. Its methods are not called concurrently.
type SettingsSink interface {
	// Settings delivers settings; from is the address of the server beside the process that sent
	// them, or empty for the store, and took is the duration of the transfer.
	Settings(now time.Time, settings *slatewind.PublishedSettings, from string, took time.Duration)
	// InvalidData reports settings that could not be decoded.
	InvalidData(now time.Time, err error)
	// SettingsReachable reports that polls for settings started to fail, or succeed again.
	SettingsReachable(now time.Time, reachable bool, cause error)
	// PeerFetchFailed reports that a process could not be asked for its settings.
	PeerFetchFailed(now time.Time, from string, cause error)

	EvacuationSink
}

// SettingsWatcher keeps the operators' settings up to date. Settings may be large: a megabyte, on
// a link of 10 Mbit/s. They are therefore transferred separately from server updates, which carry
// only the version of the settings. The readers of a data centre poll the store for settings; the
// other processes fetch them from any process that has them.
type SettingsWatcher struct {
	store  slatewind.SettingsSource
	peers  SettingsPeers
	source *SharedSource
	sink   SettingsSink
	// evacuations are published and polled together with the settings.
	evacuations *evacuationList
	// wake ends the wait of a process that has nothing to do.
	wake chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	settings *slatewind.PublishedSettings
	// revision is the store's revision up to which the settings are known.
	revision slatewind.Revision
	// newestVersion is the highest version that is known to exist. holder is the address of a
	// process that has it, or empty.
	newestVersion uint64
	holder        string
	// cancelPoll cancels the current call to the store; nil if there is none. overtaken receives when
	// a newer version becomes known during that call.
	cancelPoll context.CancelFunc
	overtaken  chan struct{}
	// backingOff reports that the watcher waits after a failed step.
	backingOff bool
	// pollOnce makes the next step poll the store even if this process is not a reader.
	pollOnce bool
}

// NewSettingsWatcher returns a watcher that has no settings yet. source determines whether this
// process is a reader.
func NewSettingsWatcher(store slatewind.SettingsSource, peers SettingsPeers, source *SharedSource, sink SettingsSink) *SettingsWatcher {
	return &SettingsWatcher{store: store, peers: peers, source: source, sink: sink, evacuations: &evacuationList{sink: sink}, wake: make(chan struct{}, 1), overtaken: make(chan struct{}, 1)}
}

// Start polls for settings until ctx ends.
func (w *SettingsWatcher) Start(ctx context.Context) {
	go w.loop(ctx)
}

func (w *SettingsWatcher) loop(ctx context.Context) {
	retry, unreachable := minRetry, false
	for ctx.Err() == nil {
		err := recovery.Call("poll for settings", func() error { return w.step(ctx) })
		if ctx.Err() != nil {
			return
		}
		if unreachable != (err != nil) {
			unreachable = err != nil
			w.sink.SettingsReachable(time.Now(), !unreachable, err)
		}
		if unreachable {
			w.backOff(ctx, retry)
			retry = min(2*retry, maxSettingsBackoff)
			continue
		}
		retry = minRetry
	}
}

// backOff waits after a failed step. A process that knows of newer settings soon asks its peers again.
func (w *SettingsWatcher) backOff(ctx context.Context, retry time.Duration) {
	if w.outdated() {
		retry = min(retry, maxRetry)
	}
	w.setBackingOff(true)
	defer w.setBackingOff(false)
	w.waitForWork(ctx, time.After(jitter(retry)))
}

func (w *SettingsWatcher) setBackingOff(backingOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backingOff = backingOff
}

// waitForWork waits for a wake-up, for until, or for the end of ctx.
func (w *SettingsWatcher) waitForWork(ctx context.Context, until <-chan time.Time) {
	select {
	case <-w.wake:
	case <-until:
	case <-ctx.Done():
	}
}

// step tries once to get newer settings, or waits if there is nothing to do. A process that has
// just started polls the store, which is quicker than finding a peer that has settings. If the poll
// brings no newer settings or fails, but a newer version is known, it is fetched from peers: a
// store that was restored from a backup may lack settings that peers have.
func (w *SettingsWatcher) step(ctx context.Context) error {
	if wait, due := w.pollDue(); due {
		err := w.pollStore(ctx, wait)
		switch {
		case err == nil && !w.outdated():
			sleep(ctx, settingsPollInterval)
			return nil
		case err != nil && !w.behind():
			return err
		}
	}
	if w.behind() {
		return w.fetchFromPeers(ctx)
	}
	w.waitForWork(ctx, nil)
	return nil
}

// pollDue reports whether this process should poll the store now, and for how long the store may
// hold the poll.
func (w *SettingsWatcher) pollDue() (wait time.Duration, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	once := w.pollOnce
	w.pollOnce = false
	switch {
	case w.source.IsReader():
		return settingsPollWait, true
	case w.settings == nil:
		return initialPollWait, true
	case once:
		return 0, true
	}
	return 0, false
}

// PollOnce makes the watcher poll the store once. It is for the case that the readers, from which
// this process would learn of newer settings, fail.
func (w *SettingsWatcher) PollOnce() {
	w.mu.Lock()
	w.pollOnce = true
	w.mu.Unlock()
	w.Wake()
}

// pollStore polls the store. A call that RestartPoll cancelled is not an error.
func (w *SettingsWatcher) pollStore(parent context.Context, wait time.Duration) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	// Settings from peers may be newer than the list of evacuated data centres.
	after := w.evacuations.revision()
	w.mu.Lock()
	if after.After(w.revision) {
		after = w.revision
	}
	w.cancelPoll = cancel
	w.mu.Unlock()
	began := time.Now()
	answers := make(chan pollAnswer, 1)
	go func() {
		update, err := w.store.Settings(ctx, after, wait)
		answers <- pollAnswer{update, err}
	}()
	answer := w.awaitAnswer(ctx, cancel, answers)
	update, err := answer.update, answer.err
	w.mu.Lock()
	w.cancelPoll = nil
	w.revision = w.revision.Later(update.Revision)
	w.mu.Unlock()
	w.evacuations.apply(time.Now(), update.Revision, update.Evacuations)
	if update.Err != nil {
		w.sink.InvalidData(time.Now(), update.Err)
	}
	if update.Settings != nil {
		w.apply(update.Settings, "", time.Since(began))
	}
	if cancelled := ctx.Err() != nil && parent.Err() == nil; cancelled {
		return nil
	}
	return err
}

// pollAnswer is the answer of the store to a poll.
type pollAnswer struct {
	update slatewind.SettingsUpdate
	err    error
}

// awaitAnswer waits for the answer to a poll. If a newer version becomes known meanwhile and the
// answer does not follow soon, it fetches the settings from a peer and cancels the poll.
func (w *SettingsWatcher) awaitAnswer(ctx context.Context, cancel context.CancelFunc, answers <-chan pollAnswer) pollAnswer {
	var fetch <-chan time.Time
	for {
		select {
		case answer := <-answers:
			return answer
		case <-w.overtaken:
			fetch = time.After(answerGrace)
		case <-fetch:
			fetch = nil
			if !w.outdated() {
				continue
			}
			if w.fetchFromAny(ctx) {
				cancel()
				continue
			}
			fetch = time.After(peerFetchInterval)
		}
	}
}

// fetchFromAny queries processes for newer settings until one has any, that which is known to have
// them first. It reports whether one had.
func (w *SettingsWatcher) fetchFromAny(ctx context.Context) bool {
	for _, address := range slices.Backward(w.fetchCandidates()) {
		if w.fetchFrom(ctx, address) {
			return true
		}
	}
	return false
}

// fetchFromPeers fetches settings that are known to exist from peers and, after peerFetchTimeout,
// from the store. In each round it queries a random process first: the process that reported the
// version may have many requests to serve, and each process that has fetched the settings serves
// others in turn.
func (w *SettingsWatcher) fetchFromPeers(ctx context.Context) error {
	deadline := time.Now().Add(peerFetchTimeout)
	for ctx.Err() == nil {
		for _, address := range w.fetchCandidates() {
			if w.fetchFrom(ctx, address) {
				return nil
			}
			if !time.Now().Before(deadline) {
				return w.pollStore(ctx, 0)
			}
		}
		if time.Until(deadline) < peerFetchInterval {
			break
		}
		sleep(ctx, peerFetchInterval)
	}
	return w.pollStore(ctx, 0)
}

// fetchFrom queries one process for newer settings and reports whether it had any.
func (w *SettingsWatcher) fetchFrom(ctx context.Context, address string) bool {
	began := time.Now()
	settings, err := w.peers.Settings(ctx, address, w.Version())
	if err != nil {
		w.sink.PeerFetchFailed(time.Now(), address, err)
		return false
	}
	if settings == nil {
		return false
	}
	w.apply(settings, address, time.Since(began))
	return true
}

// fetchCandidates returns the processes to query for settings: a random one, from the same data
// centre if possible, and the one that is known to have them.
func (w *SettingsWatcher) fetchCandidates() []string {
	w.mu.Lock()
	holder := w.holder
	w.mu.Unlock()
	others := w.source.otherProcesses()
	if len(others) == 0 {
		return nil
	}
	other := others[rand.IntN(len(others))]
	if holder == "" || holder == other {
		return []string{other}
	}
	return []string{other, holder}
}

// apply stores and delivers settings that are newer than the current ones.
func (w *SettingsWatcher) apply(settings *slatewind.PublishedSettings, from string, took time.Duration) {
	w.mu.Lock()
	w.revision = w.revision.Later(settings.Revision)
	newer := w.settings == nil || settings.Version > w.settings.Version
	if newer {
		w.settings = settings
		w.newestVersion = max(w.newestVersion, settings.Version)
	}
	w.mu.Unlock()
	if newer {
		w.sink.Settings(time.Now(), settings, from, took)
	}
}

// ObserveVersion records that settings of a version exist; holder is the address of a process
// that has them, or empty.
func (w *SettingsWatcher) ObserveVersion(version uint64, holder string) {
	w.mu.Lock()
	newer := version > w.newestVersion
	if newer || version == w.newestVersion && holder != "" {
		w.newestVersion, w.holder = version, holder
	}
	if newer && w.cancelPoll != nil {
		w.interruptPoll()
	}
	w.mu.Unlock()
	if newer {
		w.Wake()
	}
}

// interruptPoll makes the watcher look for newer settings elsewhere during a poll. The first settings
// are looked for at once. w.mu must be held.
func (w *SettingsWatcher) interruptPoll() {
	if w.settings == nil {
		w.cancelPoll()
		return
	}
	select {
	case w.overtaken <- struct{}{}:
	default:
	}
}

// Wake makes the watcher check at once whether there is something to do.
func (w *SettingsWatcher) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// StoreAnswered records that the store answered a call other than a poll for settings. It ends a
// backoff: polls for settings are likely to succeed too.
func (w *SettingsWatcher) StoreAnswered() {
	w.mu.Lock()
	backingOff := w.backingOff
	w.mu.Unlock()
	if backingOff {
		w.Wake()
	}
}

// RestartPoll cancels the current poll and starts a new one at once. It is called when the store
// is reachable again, because the answer to an earlier poll may never arrive.
func (w *SettingsWatcher) RestartPoll() {
	defer w.Wake()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// behind reports whether there may be newer settings than the current ones. That is so for a
// process that has none yet.
func (w *SettingsWatcher) behind() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settings == nil || w.settings.Version < w.newestVersion
}

// outdated reports whether there are settings and a newer version is known to exist.
func (w *SettingsWatcher) outdated() bool { return w.behind() && w.Current() != nil }

// Current returns the newest settings that were received, or nil.
func (w *SettingsWatcher) Current() *slatewind.PublishedSettings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settings
}

// Version returns the version of the current settings, or 0.
func (w *SettingsWatcher) Version() uint64 {
	if settings := w.Current(); settings != nil {
		return settings.Version
	}
	return 0
}

// ObserveEvacuations records the list of evacuated data centres that another process knows.
func (w *SettingsWatcher) ObserveEvacuations(list slatewind.Evacuations) {
	w.evacuations.observe(time.Now(), list)
}

// EvacuationsSince returns the list of evacuated data centres for another process whose list is of a
// revision. Its revision is zero if that process needs none.
func (w *SettingsWatcher) EvacuationsSince(revision slatewind.Revision) slatewind.Evacuations {
	return w.evacuations.newerThan(revision)
}
