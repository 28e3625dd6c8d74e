// Package standin holds small stand-ins for what slatewind meets outside: the
// users' platform and their backend servers. They can be made to fail, and they
// count what was asked of them.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

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
)

// slowAnswer is how late a slow platform answers.
const slowAnswer = 3 * time.Second

// Platform is a stand-in for the users' platform.
type Platform struct {
	mu       sync.Mutex
	mode     PlatformMode
	file     slatewind.SettingsFile
	stale    slatewind.SettingsFile
	vms      map[string]slatewind.VM
	staleVMs []slatewind.VM
	changed  chan struct{}
	calls    map[string]int
}

// NewPlatform returns a platform without settings.
func NewPlatform() *Platform {
	return &Platform{
		mode: PlatformOK, vms: map[string]slatewind.VM{}, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// Publish puts out a new revision of the operators' file and returns it.
func (p *Platform) Publish(text []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.file = slatewind.SettingsFile{Revision: p.file.Revision + 1, Text: text}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.file.Revision
}

// SetVM puts a VM on the list; state VMGone takes it off.
func (p *Platform) SetVM(vm slatewind.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm.State == slatewind.VMGone {
		delete(p.vms, vm.Name)
		return
	}
	p.vms[vm.Name] = vm
}

// SetMode changes how the platform behaves.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == PlatformStale && p.mode != PlatformStale {
		p.stale = p.file
		p.staleVMs = p.list()
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

func (p *Platform) list() []slatewind.VM {
	vms := make([]slatewind.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	return vms
}

// Handler returns the platform's HTTP interface. Paths under /control are for
// whoever makes it fail.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/settings", p.settings).Methods(http.MethodGet)
	router.HandleFunc("/vms", p.listVMs).Methods(http.MethodGet)
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

// enter counts a call and returns the mode in which it is answered.
func (p *Platform) enter(call string) PlatformMode {
	p.mu.Lock()
	p.calls[call]++
	mode := p.mode
	p.mu.Unlock()
	if mode == PlatformSlow {
		time.Sleep(slowAnswer)
	}
	return mode
}

func (p *Platform) settings(w http.ResponseWriter, r *http.Request) {
	mode := p.enter("settings")
	if mode == PlatformDown {
		http.Error(w, "down", http.StatusInternalServerError)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	file := p.await(r, mode, after, time.Duration(wait)*time.Millisecond)
	if file.Revision == 0 {
		http.Error(w, "no settings", http.StatusNotFound)
		return
	}
	w.Header().Set(platform.HeaderRevision, strconv.FormatUint(file.Revision, 10))
	_, _ = w.Write(file.Text)
}

// await returns the file once its revision is above after, or when the waiting
// time is over.
func (p *Platform) await(r *http.Request, mode PlatformMode, after uint64, wait time.Duration) slatewind.SettingsFile {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		file := p.file
		if mode == PlatformStale {
			file = p.stale
		}
		changed := p.changed
		p.mu.Unlock()
		if file.Revision > after {
			return file
		}
		select {
		case <-changed:
		case <-deadline.C:
			return file
		case <-r.Context().Done():
			return file
		}
	}
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	mode := p.enter("vms")
	if mode == PlatformDown {
		http.Error(w, "down", http.StatusInternalServerError)
		return
	}
	p.mu.Lock()
	vms := p.list()
	if mode == PlatformStale {
		vms = p.staleVMs
	}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(vms)
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
