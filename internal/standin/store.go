package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

// Handler returns the HTTP interface of the store. Paths under /control change its
// contents, inject failures and read counters.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(platform.PathKey, p.instrument("key", p.readKey)).Methods(http.MethodGet)
	router.HandleFunc(platform.PathRange, p.instrument("range", p.readRange)).Methods(http.MethodGet)
	router.HandleFunc(platform.PathWatch, p.instrument("watch", p.watch)).Methods(http.MethodGet)
	router.HandleFunc("/control/settings", p.controlSettings).Methods(http.MethodPut)
	router.HandleFunc("/control/vm", p.controlVM).Methods(http.MethodPut)
	router.HandleFunc("/control/mode", func(_ http.ResponseWriter, r *http.Request) {
		p.SetMode(PlatformMode(r.URL.Query().Get("mode")))
	}).Methods(http.MethodPost)
	router.HandleFunc("/control/calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Calls())
	}).Methods(http.MethodGet)
	return router
}

// instrument wraps the handler of a call: it counts the call and applies the mode of the platform.
func (p *Platform) instrument(call string, answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[call]++
		mode := p.mode
		p.setEraHeader(w)
		p.mu.Unlock()
		switch mode {
		case PlatformDown:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case PlatformBusy:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		case PlatformSlow:
			time.Sleep(slowAnswer)
		}
		answer(w, r)
	}
}

// setEraHeader sets the era of the store in the header of an answer. p.mu must be held, in the same
// critical section that reads the answer, so that era and answer match.
func (p *Platform) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(platform.HeaderEra, strconv.FormatUint(p.era, 10))
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// replyItems answers with a platform.Answer whose items have the given name, one after the other, so that a large answer
// begins to arrive at once.
func replyItems(w http.ResponseWriter, name string, items []platform.Item, truncated bool, asOf uint64) {
	w.Header().Set("Content-Type", "application/json")
	_, err := fmt.Fprintf(w, `{"Truncated":%t,"AsOf":%d,%q:[`, truncated, asOf, name)
	encoder := json.NewEncoder(w)
	for i := 0; i < len(items) && err == nil; i++ {
		if i > 0 {
			_, err = io.WriteString(w, ",")
		}
		if err == nil {
			err = encoder.Encode(items[i])
		}
	}
	if err == nil {
		_, _ = io.WriteString(w, "]}")
	}
}

func sortedItems(items map[string]platform.Item, prefix string) []platform.Item {
	var list []platform.Item
	for key, item := range items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, item)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// visibleItems returns the items under a prefix that a reader sees in the current mode. p.mu must be
// held.
func (p *Platform) visibleItems(prefix string) []platform.Item {
	if p.mode != PlatformStale {
		return sortedItems(p.items, prefix)
	}
	var list []platform.Item
	for _, item := range p.stale {
		if strings.HasPrefix(item.Key, prefix) {
			list = append(list, item)
		}
	}
	return list
}

func (p *Platform) readKey(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get(platform.ParamKey)
	p.mu.Lock()
	items, revision := p.visibleItems(key), p.revision
	p.setEraHeader(w)
	p.mu.Unlock()
	if len(items) == 0 || items[0].Key != key {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	reply(w, platform.KeyAnswer{Item: items[0], AsOf: revision})
}

func (p *Platform) readRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p.mu.Lock()
	items, revision := p.visibleItems(query.Get(platform.ParamPrefix)), p.revision
	p.setEraHeader(w)
	p.mu.Unlock()
	first := sort.Search(len(items), func(i int) bool { return items[i].Key > query.Get(platform.ParamAfter) })
	if query.Get(platform.ParamAfter) == "" {
		first = 0
	}
	page := firstPage(items[first:])
	replyItems(w, "items", page, first+len(page) < len(items), revision)
}

// firstPage returns the items of a page: at most pageItems, and no further ones after pageBytes.
func firstPage(items []platform.Item) []platform.Item {
	items = items[:min(len(items), pageItems)]
	bytes := 0
	for i, item := range items {
		if bytes > pageBytes {
			return items[:i]
		}
		bytes += len(item.Value)
	}
	return items
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get(platform.ParamAfter), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("%s is not a revision", platform.ParamAfter), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get(platform.ParamWait))
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for began := p.Revision().Era; ; {
		if p.Revision().Era != began {
			// A restore ends the waiting calls.
			panic(http.ErrAbortHandler)
		}
		events, revision, changed, gone := p.since(w, after, query.Get(platform.ParamPrefix))
		if gone {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(events) > 0 {
			replyItems(w, "events", events, false, revision)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, platform.Answer{AsOf: revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes under a prefix after a revision, and a channel that is closed
// at the next change. gone reports that the store does not have the changes after that
// revision. It sets the era of the result in the header of the answer.
func (p *Platform) since(w http.ResponseWriter, after uint64, prefix string) (events []platform.Item, revision uint64, changed <-chan struct{}, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setEraHeader(w)
	if after < p.compacted || after > p.revision {
		return nil, p.revision, p.changed, true
	}
	if p.mode == PlatformStale {
		return nil, after, p.changed, false
	}
	for _, item := range p.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, p.revision, p.changed, false
}

func (p *Platform) controlSettings(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, strconv.FormatUint(p.Publish(text), 10)+"\n")
}

func (p *Platform) controlVM(w http.ResponseWriter, r *http.Request) {
	var vm slatewind.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVM(vm)
}
