package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a change to one, as the pages write it.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// change is the message of a deletion.
type deletion struct {
	Key      string
	Revision uint64
	Deleted  bool
}

// store is the platform's store. It serves each machine at an address of its own, so that a case can treat machines differently.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	compacted uint64
	changed   chan struct{}
	servers   []*http.Server
	// hooks, by machine, may answer a call in the place of the store.
	hooks map[int]func(w http.ResponseWriter, r *http.Request) (answered bool)
}

// pageItems is how many items a range answers at most.
const pageItems = 500

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{}), revision: 400, hooks: map[int]func(http.ResponseWriter, *http.Request) bool{}}
}

// listen serves the store to a machine.
func (s *store) listen(machine int, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.handler(machine)}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// setHook sets what answers a machine's calls in the place of the store; nil ends that.
func (s *store) setHook(machine int, hook func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks[machine] = hook
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes an item and returns its revision, which acknowledges the write.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	s.record(item{Key: key, Value: value, Revision: s.revision, Created: created})
	return s.revision
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// compact forgets the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

func (s *store) record(change item) {
	if change.Deleted {
		delete(s.items, change.Key)
	} else {
		s.items[change.Key] = change
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler(machine int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		hook := s.hooks[machine]
		s.mu.Unlock()
		if hook != nil && hook(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("Key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf uint64
	}{found, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var items []item
	for key, found := range s.items {
		if strings.HasPrefix(key, query.Get("PathPrefix")) && key > query.Get("after") {
			items = append(items, found)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > pageItems
	if truncated {
		items = items[:pageItems]
	}
	reply(w, fields{"items": items, "Truncated": truncated, "AsOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no revision", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events, asOf, changed, gone := s.since(after, query.Get("PathPrefix")), s.revision, s.changed, after < s.compacted
		s.mu.Unlock()
		if gone {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, fields{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the events under a prefix after a revision. s.mu is held.
func (s *store) since(after uint64, prefix string) []any {
	events := []any{}
	for _, change := range s.history {
		switch {
		case change.Revision <= after || !strings.HasPrefix(change.Key, prefix):
		case change.Deleted:
			events = append(events, deletion{change.Key, change.Revision, true})
		default:
			events = append(events, change)
		}
	}
	return events
}
