// Package standin holds simple stand-ins for the external systems of slatewind: the
// platform of the users, their backend servers and their callers. Failures can be
// injected into the platform and the servers, which count the calls that they get.
package standin

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/platform"
)

// PlatformMode is the behaviour of the platform.
type PlatformMode string

// Modes of the platform.
const (
	PlatformOK PlatformMode = "ok"
	// PlatformDown answers every call with an error.
	PlatformDown PlatformMode = "down"
	// PlatformStale answers from a snapshot of the time at which it became stale.
	PlatformStale PlatformMode = "stale"
	// PlatformSlow delays every answer by slowAnswer.
	PlatformSlow PlatformMode = "slow"
	// PlatformBusy answers every call with status 429.
	PlatformBusy PlatformMode = "busy"
)

const (
	// slowAnswer is the delay of the answers of a slow platform.
	slowAnswer = 3 * time.Second
	// maxWait is the maximum time that a watch may wait.
	maxWait = 30 * time.Second
	// pageItems is the maximum number of items in the answer to a range call, pageBytes the size of their values in bytes
	// from which no further ones are added.
	pageItems = 500
	pageBytes = 1 << 20
)

// Platform is a stand-in for the platform's store: a map with revisions that can be
// read by key, by prefix and by watches. It is safe for concurrent use.
type Platform struct {
	// mu guards all fields.
	mu   sync.Mutex
	mode PlatformMode
	// era is the number of times the store was restored from a copy.
	era uint64
	contents
	// stale holds the items that a stale platform answers with.
	stale []platform.Item
	// changed is closed and replaced at each change.
	changed chan struct{}
	// calls counts the calls by name.
	calls map[string]int
}

// contents is the part of a store that a restore from a copy replaces.
type contents struct {
	revision uint64
	items    map[string]platform.Item
	// history holds every change after the revision compacted, oldest first.
	history   []platform.Item
	compacted uint64
}

// clone returns a copy that shares no map or slice with c.
func (c contents) clone() contents {
	c.items, c.history = maps.Clone(c.items), slices.Clone(c.history)
	return c
}

// Copy is a backup of the contents of a store.
type Copy struct{ contents }

// NewPlatform returns an empty store.
func NewPlatform() *Platform {
	return &Platform{
		mode: PlatformOK, contents: contents{items: map[string]platform.Item{}}, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Copy returns a backup of the store.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{p.clone()}
}

// Restore replaces the contents of the store by a copy and begins the next era. Later writes
// are lost, and their revisions are assigned again. Waiting watches end.
func (p *Platform) Restore(from Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.contents = from.clone()
	p.notifyWatches()
}

// notifyWatches makes waiting watches check for changes. p.mu must be held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Revision returns the latest revision.
func (p *Platform) Revision() slatewind.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slatewind.Revision{Era: p.era, Number: p.revision}
}

// Put writes a value and returns its revision.
func (p *Platform) Put(key string, value []byte) uint64 {
	return p.change(platform.Item{Key: key, Value: value})
}

// Delete removes a key and returns the revision.
func (p *Platform) Delete(key string) uint64 {
	return p.change(platform.Item{Key: key, Deleted: true})
}

func (p *Platform) change(item platform.Item) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	item.Revision = p.revision
	if before, known := p.items[item.Key]; known {
		item.Created = before.Created
	} else if !item.Deleted {
		item.Created = p.revision
	}
	p.history = append(p.history, item)
	if item.Deleted {
		delete(p.items, item.Key)
	} else {
		p.items[item.Key] = item
	}
	p.notifyWatches()
	return p.revision
}

// Compact drops the history. Watches from an earlier revision get status 410.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacted = p.revision
	p.history = nil
}

// Publish writes the operators' file and returns its revision.
func (p *Platform) Publish(text []byte) uint64 {
	return p.Put(platform.FileKey, text)
}

// SetVM adds a VM to the VM list or replaces its entry; state VMGone removes it.
func (p *Platform) SetVM(vm slatewind.VM) {
	key := platform.VMsPrefix + vm.Name
	if vm.State == slatewind.VMGone {
		p.Delete(key)
		return
	}
	value, err := json.Marshal(vm)
	if err != nil {
		panic(err)
	}
	p.Put(key, value)
}

// SetMode changes the behaviour of the platform.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == PlatformStale && p.mode != PlatformStale {
		p.stale = sortedItems(p.items, "")
	}
	p.mode = mode
}

// Calls returns the number of calls by name.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]int, len(p.calls))
	for name, n := range p.calls {
		calls[name] = n
	}
	return calls
}
