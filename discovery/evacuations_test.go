package discovery

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
)

// TestEvacuationInTime checks that all processes hear in time that a data centre is evacuated and
// that it is taken back: also those that cannot reach the store, and one that starts meanwhile.
func TestEvacuationInTime(t *testing.T) {
	// within is half of the time that operators allow at least.
	const within = 2500 * time.Millisecond
	tests := map[string]func(t *testing.T, ctx context.Context, f *fleet){
		"all reach the store": func(*testing.T, context.Context, *fleet) {},
		"a third does not": func(_ *testing.T, _ context.Context, f *fleet) {
			for i := range 14 {
				f.setUnreachable(fmt.Sprintf("server-%d:1", 3*i), true)
			}
			advance(5 * time.Second)
		},
		"the settings changed just before": func(_ *testing.T, _ context.Context, f *fleet) { f.publishVersion(2) },
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 40, func(t *testing.T, ctx context.Context, f *fleet) {
				f.publishVersion(1)
				advance(10 * time.Second)
				before(t, ctx, f)
				f.evacuate("b", "c")
				advance(within)
				f.start(ctx, "late:1", []string{"server-1:1"})
				advance(within)
				for self, sink := range f.sinks {
					assert.Check(t, slices.EqualFunc(sink.evacuations, [][]string{{"b", "c"}}, slices.Equal), "%s: %v", self, sink.evacuations)
				}
				f.evacuate("c")
				advance(within)
				f.evacuate()
				advance(within)
				for self, sink := range f.sinks {
					assert.Check(t, slices.EqualFunc(sink.evacuations, [][]string{{"b", "c"}, {"c"}, nil}, slices.Equal), "%s: %v", self, sink.evacuations)
				}
			})
		})
	}
}

// TestEvacuationsInEveryOrder checks that the newest list is in force after lists of a store and of
// other processes have arrived, whatever their order.
func TestEvacuationsInEveryOrder(t *testing.T) {
	now := time.Now()
	changes := func(complete bool, began, ended string) slatewind.EvacuationChanges {
		c := slatewind.EvacuationChanges{Complete: complete}
		if began != "" {
			c.Began = []string{began}
		}
		if ended != "" {
			c.Ended = []string{ended}
		}
		return c
	}
	list := func(revision uint64, dataCentres ...string) func(*evacuationList) {
		return func(l *evacuationList) {
			l.observe(now, slatewind.Evacuations{Revision: at(revision), DataCentres: dataCentres})
		}
	}
	// The data centre a was evacuated at revision 10, b at 20; a was taken back at 30.
	arrivals := []func(*evacuationList){
		list(10, "a"), list(20, "a", "b"), list(30, "b"),
		func(l *evacuationList) { l.apply(now, at(30), changes(true, "b", "")) },
	}
	for n := range 24 {
		order := slices.Clone(arrivals)
		for i, rest := 0, n; i < len(order); i++ {
			j := i + rest%(len(order)-i)
			rest /= len(order) - i
			order[i], order[j] = order[j], order[i]
		}
		sink := newRecordingSink()
		l := &evacuationList{sink: sink}
		for _, arrive := range order {
			arrive(l)
		}
		assert.DeepEqual(t, l.list, slatewind.Evacuations{Revision: at(30), DataCentres: []string{"b"}})
		assert.DeepEqual(t, sink.evacuations[len(sink.evacuations)-1], []string{"b"})
	}
}

// TestEvacuationsSent checks what another process is sent.
func TestEvacuationsSent(t *testing.T) {
	began := slatewind.EvacuationChanges{Began: []string{"a"}}
	ended := slatewind.EvacuationChanges{Ended: []string{"a"}}
	tests := map[string]struct {
		changes []slatewind.EvacuationChanges
		known   uint64
		want    slatewind.Evacuations
	}{
		"nothing is known":           {nil, 0, slatewind.Evacuations{}},
		"never evacuated":            {[]slatewind.EvacuationChanges{{Complete: true}, {}}, 1, slatewind.Evacuations{Revision: at(2)}},
		"evacuated":                  {[]slatewind.EvacuationChanges{began}, 0, slatewind.Evacuations{Revision: at(1), DataCentres: []string{"a"}}},
		"evacuated, which is known":  {[]slatewind.EvacuationChanges{began}, 1, slatewind.Evacuations{}},
		"taken back":                 {[]slatewind.EvacuationChanges{began, ended}, 1, slatewind.Evacuations{Revision: at(2)}},
		"taken back, which is known": {[]slatewind.EvacuationChanges{began, ended}, 2, slatewind.Evacuations{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &evacuationList{sink: newRecordingSink()}
			for i, c := range test.changes {
				l.apply(time.Now(), at(uint64(i+1)), c)
			}
			assert.DeepEqual(t, l.newerThan(at(test.known)), test.want)
		})
	}
}

// entrySink is a Sink that keeps the newest entry of each server and counts the entries received.
type entrySink struct {
	*recordingSink
	entries  map[string]slatewind.ServerEntry
	received int
}

func (s *entrySink) Server(_ time.Time, entry slatewind.ServerEntry) {
	s.entries[entry.Name] = entry
	s.received++
}

// TestEvacuationFilter checks which servers are marked, whatever comes first, and that only the
// affected ones are delivered again.
func TestEvacuationFilter(t *testing.T) {
	now := time.Now()
	inDataCentre := func(name, dataCentre string) slatewind.ServerEntry {
		return slatewind.ServerEntry{Name: name, DataCentre: dataCentre}
	}
	tests := map[string]struct {
		then func(w *Watcher, evacuate func(dataCentres ...string))
		want []string
		// received is the number of entries received, those before included.
		received int
	}{
		"after the servers": {func(_ *Watcher, evacuate func(...string)) { evacuate("b") }, []string{"s-2"}, 3},
		"a server comes after": {func(w *Watcher, evacuate func(...string)) {
			evacuate("c")
			w.put(now, inDataCentre("s-3", "c"), at(2))
		}, []string{"s-3"}, 3},
		"taken back":     {func(_ *Watcher, evacuate func(...string)) { evacuate("a", "b"); evacuate("a") }, []string{"s-1"}, 5},
		"the same again": {func(_ *Watcher, evacuate func(...string)) { evacuate("b"); evacuate("b") }, []string{"s-2"}, 3},
		"a server is gone": {func(w *Watcher, evacuate func(...string)) {
			w.remove(now, "s-2", at(2))
			evacuate("b")
		}, nil, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sink := &entrySink{recordingSink: newRecordingSink(), entries: map[string]slatewind.ServerEntry{}}
			f := NewEvacuationFilter(sink)
			w := NewWatcher(nil, f)
			w.put(now, inDataCentre("s-1", "a"), at(1))
			w.put(now, inDataCentre("s-2", "b"), at(1))
			test.then(w, func(dataCentres ...string) {
				w.Redeliver(now, f.Evacuate(slatewind.Evacuations{DataCentres: dataCentres}))
			})
			var marked []string
			for name, entry := range sink.entries {
				if entry.Evacuated {
					marked = append(marked, name)
				}
			}
			assert.DeepEqual(t, marked, test.want)
			assert.Equal(t, sink.received, test.received)
		})
	}
}

// BenchmarkEvacuate measures how long a process takes to mark the servers of one of six data centres.
func BenchmarkEvacuate(b *testing.B) {
	for _, servers := range []int{1000, 10_500, 21_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := NewEvacuationFilter(newRecordingSink())
			w := NewWatcher(nil, f)
			for i := range servers {
				w.put(time.Now(), slatewind.ServerEntry{Name: fmt.Sprint("s-", i), DataCentre: fmt.Sprint("dc-", i%6)}, at(1))
			}
			lists := []slatewind.Evacuations{{DataCentres: []string{"dc-0"}}, {}}
			for i := 0; b.Loop(); i++ {
				w.Redeliver(time.Now(), f.Evacuate(lists[i%2]))
			}
		})
	}
}

// recordingSettings is a store that records from which revisions it is polled.
type recordingSettings struct {
	polledFrom []slatewind.Revision
	update     slatewind.SettingsUpdate
}

func (s *recordingSettings) Settings(_ context.Context, after slatewind.Revision, _ time.Duration) (slatewind.SettingsUpdate, error) {
	s.polledFrom = append(s.polledFrom, after)
	return s.update, nil
}

// TestEvacuationBeforeSettingsOfPeer checks that a process that got settings from a peer still asks
// the store for the evacuations that began before these settings were written.
func TestEvacuationBeforeSettingsOfPeer(t *testing.T) {
	store := &recordingSettings{update: slatewind.SettingsUpdate{Revision: at(10), Evacuations: slatewind.EvacuationChanges{Complete: true}}}
	sink := newRecordingSink()
	w := NewSettingsWatcher(store, nil, NewSharedSource(nil, nil, "own:1", nil), sink)
	assert.NilError(t, w.pollStore(t.Context(), 0))
	w.apply(&slatewind.PublishedSettings{Version: 1, Revision: at(30)}, "peer:1", 0)
	store.update = slatewind.SettingsUpdate{Revision: at(40), Evacuations: slatewind.EvacuationChanges{Began: []string{"b"}}}
	assert.NilError(t, w.pollStore(t.Context(), 0))
	store.update = slatewind.SettingsUpdate{Revision: at(50)}
	assert.NilError(t, w.pollStore(t.Context(), 0))
	assert.DeepEqual(t, store.polledFrom, []slatewind.Revision{{}, at(10), at(40)})
	assert.DeepEqual(t, sink.evacuations, [][]string{{"b"}})
}
