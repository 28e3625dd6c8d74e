package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, or an event about it.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store: the read calls of its pages, with
// linearizable answers. The operator and the servers write to it by Put and Delete.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// Put writes a value. It returns when the write is acknowledged.
func (s *store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	next := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if before, ok := s.items[key]; ok {
		next.Created = before.Created
	}
	s.items[key] = next
	s.record(next)
}

// Delete removes a key.
func (s *store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds an event and wakes the waiting watches. s.mu must be held.
func (s *store) record(event item) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/kv-key":
		s.readKey(w, r)
	case "/-/kv-range":
		s.readRange(w, r)
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("Key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	reply(w, struct {
		item
		AsOf uint64
	}{found, asOf})
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, value := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, value)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, struct {
		Items     []item `json:"items"`
		Truncated bool
		AsOf      uint64
	}{items, false, asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, asOf, changed := s.since(query.Get("PathPrefix"), after)
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline.C:
			}
		}
		reply(w, struct {
			Events []item `json:"events"`
			AsOf   uint64
		}{events, asOf})
		return
	}
}

// since returns the events under a prefix after a revision, and a channel that is closed at the
// next change.
func (s *store) since(prefix string, after uint64) (events []item, asOf uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}
