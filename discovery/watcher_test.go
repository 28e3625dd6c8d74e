package discovery

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// recordingSink is a Sink and SettingsSink that records what it receives.
type recordingSink struct {
	evacuations [][]string
	versions    []uint64
	servers     map[string]bool
	invalid     int
	reachable   []bool
	// settingsReachable holds the changes of whether settings could be polled.
	settingsReachable []bool
	slowPolls         []SlowPoll
	// leaving holds when each server was first reported to be leaving.
	leaving map[string]time.Time
}

func newRecordingSink() *recordingSink {
	return &recordingSink{servers: map[string]bool{}, leaving: map[string]time.Time{}}
}

func (s *recordingSink) Settings(_ time.Time, settings *slatewind.PublishedSettings, _ string, _ time.Duration) {
	s.versions = append(s.versions, settings.Version)
}

func (s *recordingSink) Server(now time.Time, e slatewind.ServerEntry) {
	s.servers[e.Name] = true
	if _, known := s.leaving[e.Name]; e.Leaving && !known {
		s.leaving[e.Name] = now
	}
}
func (s *recordingSink) ServerGone(_ time.Time, name string) { delete(s.servers, name) }
func (s *recordingSink) Evacuations(_ time.Time, list slatewind.Evacuations) {
	s.evacuations = append(s.evacuations, list.DataCentres)
}
func (s *recordingSink) InvalidData(time.Time, error) { s.invalid++ }
func (s *recordingSink) SourceReachable(_ time.Time, reachable bool, _ error) {
	s.reachable = append(s.reachable, reachable)
}

func (s *recordingSink) SettingsReachable(_ time.Time, reachable bool, _ error) {
	s.settingsReachable = append(s.settingsReachable, reachable)
}

func (s *recordingSink) Restored(time.Time, slatewind.Revision, slatewind.Revision) {}

func (s *recordingSink) PeerFetchFailed(time.Time, string, error) {}

func (s *recordingSink) SlowPoll(poll SlowPoll) { s.slowPolls = append(s.slowPolls, poll) }

func (s *recordingSink) names() []string {
	var names []string
	for name := range s.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// answer is the result of one call to a source.
type answer struct {
	slatewind.ServerUpdate
	err error
}

// scriptedSource is a source that gives its answers in order, and no changes after that.
type scriptedSource struct {
	answers []answer
	reads   int
}

func (s *scriptedSource) Read(ctx context.Context) (slatewind.ServerUpdate, error) {
	s.reads++
	return s.next(ctx)
}

func (s *scriptedSource) Changes(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	if len(s.answers) == 0 {
		return slatewind.ServerUpdate{Revision: after}, nil
	}
	return s.next(ctx)
}

func (s *scriptedSource) next(context.Context) (slatewind.ServerUpdate, error) {
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.ServerUpdate, a.err
}

func servers(names ...string) []slatewind.ServerEntry {
	var list []slatewind.ServerEntry
	for _, name := range names {
		list = append(list, slatewind.ServerEntry{Name: name, Service: "s", Address: name + ":1"})
	}
	return list
}

// at returns a revision of the first era.
func at(number uint64) slatewind.Revision { return slatewind.Revision{Number: number} }

func complete(revision uint64, names ...string) answer {
	return answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(revision), Complete: true, Servers: servers(names...)}}
}

// inEra returns an answer of a store that was restored the given number of times.
func inEra(era uint64, a answer) answer {
	a.Revision.Era = era
	return a
}

func removal(revision uint64, names ...string) answer {
	return answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(revision), Removed: names}}
}

func storeUnreachable(a answer) answer {
	a.PlatformUnreachable = true
	return a
}

var (
	storeDown        = answer{err: errors.New("down")}
	noHistory        = answer{err: slatewind.ErrHistoryGone}
	undecodable      = answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(9), EntryErrors: []error{errors.New("bad entry")}}}
	noChanges        = answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(1)}}
	completeWithoutB = complete(5, "a")
)

// TestWatcher checks what a sink has received some time after the answers of a source.
func TestWatcher(t *testing.T) {
	tests := map[string]struct {
		answers     []answer
		wait        time.Duration
		servers     []string
		reads       int
		unreachable bool
	}{
		"servers are added and removed":                                 {[]answer{complete(1, "a", "b"), removal(2, "a")}, time.Second, []string{"b"}, 1, false},
		"the full state is read after a loss of the history":            {[]answer{complete(1, "a", "b"), noHistory, completeWithoutB}, 2 * time.Second, []string{"a"}, 2, false},
		"an undecodable entry":                                          {[]answer{complete(1, "a"), undecodable}, time.Second, []string{"a"}, 1, false},
		"no server is removed while the store is down":                  {append([]answer{complete(1, "a")}, slices.Repeat([]answer{storeDown}, 100)...), 10 * time.Second, []string{"a"}, 1, true},
		"an entry is renewed after an outage":                           {[]answer{complete(1, "a", "b"), storeDown, removal(3, "a"), {ServerUpdate: slatewind.ServerUpdate{Revision: at(4), Servers: servers("a")}}}, 4 * time.Second, []string{"a", "b"}, 1, false},
		"a restored store lacks a server, the next restored one has it": {[]answer{complete(5, "a", "b"), inEra(1, complete(4, "a")), inEra(2, complete(3, "a", "b"))}, 5 * time.Second, []string{"a", "b"}, 1, false},
		"a restored store lacks a server permanently":                   {[]answer{complete(5, "a", "b"), inEra(1, complete(4, "a"))}, 4 * time.Second, []string{"a"}, 1, false},
		"an entry is not renewed after an outage":                       {[]answer{complete(1, "a", "b"), storeDown, removal(3, "a")}, 4 * time.Second, []string{"b"}, 1, false},
		"an entry that is removed soon after an outage": {
			[]answer{complete(1, "a", "b"), storeDown, noChanges, removal(3, "a")},
			// The outage ends after about 1.0 s, the entry is removed after about 1.8 s.
			2600 * time.Millisecond,
			[]string{"b"},
			1, false,
		},
		"a server is kept for the grace period": {[]answer{complete(1, "a", "b"), storeDown, removal(3, "a")}, time.Second, []string{"a", "b"}, 1, false},
		"a process that cannot reach the store keeps servers that peers removed": {
			[]answer{complete(1, "a", "b"), storeUnreachable(noChanges), storeUnreachable(removal(3, "a")), storeUnreachable(noChanges), storeUnreachable(noChanges), storeUnreachable(noChanges), storeUnreachable(noChanges), storeUnreachable(noChanges), storeUnreachable(noChanges)},
			3 * time.Second,
			[]string{"a", "b"},
			1, true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &scriptedSource{answers: test.answers}
				sink := newRecordingSink()
				ctx, cancel := context.WithCancel(t.Context())
				NewWatcher(source, sink).Start(ctx)
				time.Sleep(test.wait)
				synctest.Wait()
				assert.DeepEqual(t, sink.names(), test.servers)
				assert.Equal(t, source.reads, test.reads)
				unreachable := len(sink.reachable) > 0 && !sink.reachable[len(sink.reachable)-1]
				assert.Equal(t, unreachable, test.unreachable)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestPollInterval checks that calls are at least the poll interval apart, however fast a source
// answers.
func TestPollInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingSource{}
		ctx, cancel := context.WithCancel(t.Context())
		NewWatcher(source, newRecordingSink()).Start(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Assert(t, source.calls <= int(10*time.Second/storePollInterval)+2, source.calls)
		assert.Assert(t, storePollInterval+peerPollInterval <= 1500*time.Millisecond, "a leaving server must be observed within two seconds")
		assert.Assert(t, source.calls >= 10, source.calls)
		cancel()
		synctest.Wait()
	})
}

// countingSource is a source that always has changes.
type countingSource struct{ calls int }

func (c *countingSource) Read(context.Context) (slatewind.ServerUpdate, error) {
	c.calls++
	return slatewind.ServerUpdate{Revision: at(1), Complete: true, Servers: servers("a")}, nil
}

func (c *countingSource) Changes(_ context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	c.calls++
	return slatewind.ServerUpdate{Revision: at(after.Number + 1)}, nil
}

// TestSince checks that the updates of one watcher bring another to the same view.
func TestSince(t *testing.T) {
	now := time.Unix(1000, 0)
	first := NewWatcher(nil, newRecordingSink())
	sink := newRecordingSink()
	second := NewWatcher(nil, sink)
	relay := func() { second.apply(now, first.Since(second.Revision())) }
	first.apply(now, complete(1, "a", "b").ServerUpdate)
	relay()
	assert.DeepEqual(t, sink.names(), []string{"a", "b"})
	first.apply(now, removal(3, "a").ServerUpdate)
	first.apply(now, slatewind.ServerUpdate{Revision: at(4), Servers: servers("c")})
	update := first.Since(second.Revision())
	assert.Assert(t, !update.Complete)
	assert.Equal(t, len(update.Servers)+len(update.Removed), 2, "only changes are sent")
	relay()
	assert.DeepEqual(t, sink.names(), []string{"b", "c"})
	empty := NewWatcher(nil, sink).Since(at(0))
	assert.Equal(t, empty.Revision, slatewind.Revision{}, "a watcher without data returns an empty update")
}

// TestSinceOfNewProcess checks that a process that has just read the full state also reports
// earlier removals to one that knows an earlier revision.
//
// A server got new requests for 2.37 s after its entry was removed. The process beside it had
// queried a process that started 0.5 s after the removal: that one knew the newest revision but
// had never known the server, so it reported no removal, and the processes that queried it
// advanced past that revision without learning of the removal.
func TestSinceOfNewProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	newcomer := NewWatcher(nil, newRecordingSink())
	newcomer.apply(now, complete(5, "a", "c").ServerUpdate)
	sink := newRecordingSink()
	other := NewWatcher(nil, sink)
	other.apply(now, complete(3, "a", "b").ServerUpdate)
	other.apply(now, newcomer.Since(other.Revision()))
	assert.DeepEqual(t, sink.names(), []string{"a", "c"})
	assert.Equal(t, other.Revision(), at(5))
	newcomer.apply(now, removal(6, "a").ServerUpdate)
	update := newcomer.Since(other.Revision())
	assert.Assert(t, !update.Complete, "from then on only changes are sent")
	assert.DeepEqual(t, update.Removed, []string{"a"})
}

// TestSinceDuringGracePeriod checks that a process reports a server in its grace period as
// removed. Each process applies its own grace period, and one that advanced past the revision of
// the removal without knowing of it would never learn of it.
func TestSinceDuringGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	keeping := NewWatcher(nil, newRecordingSink())
	keeping.apply(now, complete(1, "a", "b").ServerUpdate)
	keeping.markUnreachable(now, errOnlyPeers)
	sink := newRecordingSink()
	other := NewWatcher(nil, sink)
	other.apply(now, keeping.Since(at(0)))
	keeping.apply(now, removal(2, "b").ServerUpdate)
	assert.Equal(t, len(keeping.servers), 2)
	other.apply(now, keeping.Since(other.Revision()))
	assert.DeepEqual(t, sink.names(), []string{"a"})
	newcomer := newRecordingSink()
	NewWatcher(nil, newcomer).apply(now, keeping.Since(at(0)))
	assert.DeepEqual(t, newcomer.names(), []string{"a"})
	keeping.apply(now, slatewind.ServerUpdate{Revision: at(3), Servers: servers("b")})
	other.apply(now, keeping.Since(other.Revision()))
	assert.DeepEqual(t, sink.names(), []string{"a", "b"})
}
