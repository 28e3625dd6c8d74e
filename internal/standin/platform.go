// Package standin holds small stand-ins for what slatewind meets outside: the
// users' platform and their backend servers. They can be made to fail, and they
// count what was asked of them.
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

// PlatformMode is how the platform behaves.
type PlatformMode string

// Modes of the platform.
const (
	PlatformOK PlatformMode = "ok"
	// PlatformDown answers every call with an error.
	PlatformDown PlatformMode = "down"
	// PlatformStale goes on with what it had when it became stale.
	PlatformStale PlatformMode = "stale"
	// PlatformSlow answers late.
	PlatformSlow PlatformMode = "slow"
	// PlatformBusy answers every call with status 429.
	PlatformBusy PlatformMode = "busy"
)

const (
	// slowAnswer is how late a slow platform answers.
	slowAnswer = 3 * time.Second
	// maxWait is the longest that a watch may wait.
	maxWait = 30 * time.Second
	// pageItems is how many items a range answers at most.
	pageItems = 500
)

// Platform is a stand-in for the platform's store: a map with revisions that
// can be read by key, by prefix and by watches.
type Platform struct {
	mu   sync.Mutex
	mode PlatformMode
	// era counts how often the store was restored from a copy.
	era uint64
	contents
	// stale is what a stale platform answers from.
	stale   []platform.Item
	changed chan struct{}
	calls   map[string]int
}

// contents is what a store loses where it is restored from a copy.
type contents struct {
	revision uint64
	items    map[string]platform.Item
	// history holds every change after the revision forgotten, oldest first.
	history   []platform.Item
	forgotten uint64
}

// clone returns contents that no later change reaches.
func (c contents) clone() contents {
	c.items, c.history = maps.Clone(c.items), slices.Clone(c.history)
	return c
}

// Copy is the contents of a store at one moment.
type Copy struct{ contents }

// NewPlatform returns an empty store.
func NewPlatform() *Platform {
	return &Platform{
		mode: PlatformOK, contents: contents{items: map[string]platform.Item{}}, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Copy returns a copy of the store.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{p.clone()}
}

// Restore has the store come back from a copy: what was written since is gone, and its
// revisions are given out again, in the next era. Watches that wait look again.
func (p *Platform) Restore(from Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.contents = from.clone()
	p.wake()
}

// wake has waiting watches look again. The lock is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Revision returns the newest revision.
func (p *Platform) Revision() slatewind.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slatewind.Revision{Era: p.era, Number: p.revision}
}

// Put writes a value and returns its revision.
func (p *Platform) Put(key string, value []byte) uint64 {
	return p.change(platform.Item{Key: key, Value: value})
}

// Delete takes a key away.
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
	p.wake()
	return p.revision
}

// Compact forgets the history; watches from before get status 410.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgotten = p.revision
	p.history = nil
}

// Publish puts out a new revision of the operators' file and returns it.
func (p *Platform) Publish(text []byte) uint64 {
	return p.Put(platform.FileKey, text)
}

// SetVM puts a VM on the list; state VMGone takes it off.
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

// SetMode changes how the platform behaves.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == PlatformStale && p.mode != PlatformStale {
		p.stale = sorted(p.items, "")
	}
	p.mode = mode
}

// Calls returns how often each call was made.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]int, len(p.calls))
	for name, n := range p.calls {
		calls[name] = n
	}
	return calls
}
