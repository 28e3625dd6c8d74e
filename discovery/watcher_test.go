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

// heardBy is a sink that keeps what it hears.
type heardBy struct {
	versions []uint64
	servers  map[string]bool
	findings int
	reach    []bool
	// settingsReach holds whether settings could be asked for, as it changed.
	settingsReach []bool
	slow          []SlowNews
	// left holds when each leaving server was first heard of.
	left map[string]time.Time
}

func newHeardBy() *heardBy {
	return &heardBy{servers: map[string]bool{}, left: map[string]time.Time{}}
}

func (h *heardBy) Settings(_ time.Time, s *slatewind.PublishedSettings, _ string, _ time.Duration) {
	h.versions = append(h.versions, s.Version)
}

func (h *heardBy) Server(now time.Time, e slatewind.ServerEntry) {
	h.servers[e.Name] = true
	if _, known := h.left[e.Name]; e.Leaving && !known {
		h.left[e.Name] = now
	}
}
func (h *heardBy) ServerGone(_ time.Time, name string)      { delete(h.servers, name) }
func (h *heardBy) Finding(time.Time, error)                 { h.findings++ }
func (h *heardBy) Reach(_ time.Time, reached bool, _ error) { h.reach = append(h.reach, reached) }

func (h *heardBy) SettingsReach(_ time.Time, reached bool, _ error) {
	h.settingsReach = append(h.settingsReach, reached)
}

func (h *heardBy) Restored(time.Time, slatewind.Revision, slatewind.Revision) {}

func (h *heardBy) NotHanded(time.Time, string, error) {}

func (h *heardBy) Slow(news SlowNews) { h.slow = append(h.slow, news) }

func (h *heardBy) names() []string {
	var names []string
	for name := range h.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// answer is what a source says to one call.
type answer struct {
	slatewind.ServerUpdate
	err error
}

// scripted is a source that gives its answers in order and then nothing new.
type scripted struct {
	answers []answer
	reads   int
}

func (s *scripted) Read(ctx context.Context) (slatewind.ServerUpdate, error) {
	s.reads++
	return s.next(ctx)
}

func (s *scripted) Changes(ctx context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	if len(s.answers) == 0 {
		return slatewind.ServerUpdate{Revision: after}, nil
	}
	return s.next(ctx)
}

func (s *scripted) next(context.Context) (slatewind.ServerUpdate, error) {
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

func all(revision uint64, names ...string) answer {
	return answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(revision), Complete: true, Servers: servers(names...)}}
}

// inEra returns an answer of a store that was restored so many times.
func inEra(era uint64, a answer) answer {
	a.Revision.Era = era
	return a
}

func gone(revision uint64, names ...string) answer {
	return answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(revision), Removed: names}}
}

func cut(a answer) answer {
	a.PlatformUnreachable = true
	return a
}

var (
	down     = answer{err: errors.New("down")}
	compact  = answer{err: slatewind.ErrHistoryGone}
	unread   = answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(9), EntryErrors: []error{errors.New("bad entry")}}}
	nothing  = answer{ServerUpdate: slatewind.ServerUpdate{Revision: at(1)}}
	fullDrop = all(5, "a")
)

// TestWatcher plays the answers of a source and states what a sink has heard a
// while later.
func TestWatcher(t *testing.T) {
	tests := map[string]struct {
		answers []answer
		wait    time.Duration
		servers []string
		reads   int
		lost    bool
	}{
		"servers come and go":                                  {[]answer{all(1, "a", "b"), gone(2, "a")}, time.Second, []string{"b"}, 1, false},
		"after lost history all is read anew":                  {[]answer{all(1, "a", "b"), compact, fullDrop}, 2 * time.Second, []string{"a"}, 2, false},
		"an entry that cannot be read":                         {[]answer{all(1, "a"), unread}, time.Second, []string{"a"}, 1, false},
		"while the store is away nothing goes":                 {append([]answer{all(1, "a")}, slices.Repeat([]answer{down}, 100)...), 10 * time.Second, []string{"a"}, 1, true},
		"after an outage an entry may come back":               {[]answer{all(1, "a", "b"), down, gone(3, "a"), {ServerUpdate: slatewind.ServerUpdate{Revision: at(4), Servers: servers("a")}}}, 4 * time.Second, []string{"a", "b"}, 1, false},
		"a restored store lacks a server, the next one has it": {[]answer{all(5, "a", "b"), inEra(1, all(4, "a")), inEra(2, all(3, "a", "b"))}, 5 * time.Second, []string{"a", "b"}, 1, false},
		"a restored store lacks a server for good":             {[]answer{all(5, "a", "b"), inEra(1, all(4, "a"))}, 4 * time.Second, []string{"a"}, 1, false},
		"after an outage it goes if it does not":               {[]answer{all(1, "a", "b"), down, gone(3, "a")}, 4 * time.Second, []string{"b"}, 1, false},
		"what vanishes soon after an outage goes a lapse time after it": {
			[]answer{all(1, "a", "b"), down, nothing, gone(3, "a")},
			// The outage ends at some 1.0 s, the entry vanishes at some 1.8 s.
			2600 * time.Millisecond,
			[]string{"b"},
			1, false,
		},
		"it goes not at once": {[]answer{all(1, "a", "b"), down, gone(3, "a")}, time.Second, []string{"a", "b"}, 1, false},
		"a process that is cut off keeps what others lost": {
			[]answer{all(1, "a", "b"), cut(nothing), cut(gone(3, "a")), cut(nothing), cut(nothing), cut(nothing), cut(nothing), cut(nothing), cut(nothing)},
			3 * time.Second,
			[]string{"a", "b"},
			1, true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &scripted{answers: test.answers}
				heard := newHeardBy()
				ctx, cancel := context.WithCancel(t.Context())
				NewWatcher(source, heard).Start(ctx)
				time.Sleep(test.wait)
				synctest.Wait()
				assert.DeepEqual(t, heard.names(), test.servers)
				assert.Equal(t, source.reads, test.reads)
				lost := len(heard.reach) > 0 && !heard.reach[len(heard.reach)-1]
				assert.Equal(t, lost, test.lost)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestPace: however fast a source answers, calls are at least a pace apart.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &counted{}
		ctx, cancel := context.WithCancel(t.Context())
		NewWatcher(source, newHeardBy()).Start(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Assert(t, source.calls <= int(10*time.Second/storePollInterval)+2, source.calls)
		assert.Assert(t, storePollInterval+peerPollInterval <= 1500*time.Millisecond, "a leaving server must be heard of within two seconds")
		assert.Assert(t, source.calls >= 10, source.calls)
		cancel()
		synctest.Wait()
	})
}

// counted is a source that always has news.
type counted struct{ calls int }

func (c *counted) Read(context.Context) (slatewind.ServerUpdate, error) {
	c.calls++
	return slatewind.ServerUpdate{Revision: at(1), Complete: true, Servers: servers("a")}, nil
}

func (c *counted) Changes(_ context.Context, after slatewind.Revision) (slatewind.ServerUpdate, error) {
	c.calls++
	return slatewind.ServerUpdate{Revision: at(after.Number + 1)}, nil
}

// TestSince: what one watcher passes on brings another to the same view.
func TestSince(t *testing.T) {
	now := time.Unix(1000, 0)
	first := NewWatcher(nil, newHeardBy())
	heard := newHeardBy()
	second := NewWatcher(nil, heard)
	pass := func() { second.apply(now, first.Since(second.Revision())) }
	first.apply(now, all(1, "a", "b").ServerUpdate)
	pass()
	assert.DeepEqual(t, heard.names(), []string{"a", "b"})
	first.apply(now, gone(3, "a").ServerUpdate)
	first.apply(now, slatewind.ServerUpdate{Revision: at(4), Servers: servers("c")})
	news := first.Since(second.Revision())
	assert.Assert(t, !news.Complete)
	assert.Equal(t, len(news.Servers)+len(news.Removed), 2, "only what changed travels")
	pass()
	assert.DeepEqual(t, heard.names(), []string{"b", "c"})
	empty := NewWatcher(nil, heard).Since(at(0))
	assert.Equal(t, empty.Revision, slatewind.Revision{}, "who knows nothing says so")
}

// TestSinceOfABeginner: a process that has just read everything tells one that
// knows less also what went before.
//
// A server got new work 2.37 s after its entry was gone, since the process beside
// it never heard of that. It had asked a process that had started 0.5 s after the
// removal: that one knew the newest revision and had never known the server, so it
// named no removal, and whoever asked it passed that revision for good. What
// settled it: prints of what each view took in; the only process without the
// removal had its revision from the one that had just started.
func TestSinceOfABeginner(t *testing.T) {
	now := time.Unix(1000, 0)
	beginner := NewWatcher(nil, newHeardBy())
	beginner.apply(now, all(5, "a", "c").ServerUpdate)
	heard := newHeardBy()
	other := NewWatcher(nil, heard)
	other.apply(now, all(3, "a", "b").ServerUpdate)
	other.apply(now, beginner.Since(other.Revision()))
	assert.DeepEqual(t, heard.names(), []string{"a", "c"})
	assert.Equal(t, other.Revision(), at(5))
	beginner.apply(now, gone(6, "a").ServerUpdate)
	news := beginner.Since(other.Revision())
	assert.Assert(t, !news.Complete, "from then on only what changed travels")
	assert.DeepEqual(t, news.Removed, []string{"a"})
}

// TestSinceWhileKeeping: what a process keeps for a while after an outage, though
// its entry is gone, it tells others as gone. They decide by themselves, and one
// that would pass the revision of the removal unknowing never hears of it.
func TestSinceWhileKeeping(t *testing.T) {
	now := time.Unix(1000, 0)
	keeping := NewWatcher(nil, newHeardBy())
	keeping.apply(now, all(1, "a", "b").ServerUpdate)
	keeping.markUnreachable(now, errOnlyPeers)
	heard := newHeardBy()
	other := NewWatcher(nil, heard)
	other.apply(now, keeping.Since(at(0)))
	keeping.apply(now, gone(2, "b").ServerUpdate)
	assert.Equal(t, len(keeping.servers), 2)
	other.apply(now, keeping.Since(other.Revision()))
	assert.DeepEqual(t, heard.names(), []string{"a"})
	beginner := newHeardBy()
	NewWatcher(nil, beginner).apply(now, keeping.Since(at(0)))
	assert.DeepEqual(t, beginner.names(), []string{"a"})
	keeping.apply(now, slatewind.ServerUpdate{Revision: at(3), Servers: servers("b")})
	other.apply(now, keeping.Since(other.Revision()))
	assert.DeepEqual(t, heard.names(), []string{"a", "b"})
}
