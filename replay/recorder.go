package replay

import (
	"sync"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/outlier"
)

// Recorder keeps the recent events of one ingress in bounded memory, as a
// trace that slatewind replay can play against changed settings.
type Recorder struct {
	node string

	mu     sync.Mutex
	events []recorded
	next   int
	full   bool
	seen   map[string]uint64
}

// recorded is one kept event.
type recorded struct {
	at     time.Time
	server string
	packed uint32
	lost   bool
}

// NewRecorder returns a recorder for so many events.
func NewRecorder(node string, limit int) *Recorder {
	return &Recorder{node: node, events: make([]recorded, max(limit, 1)), seen: map[string]uint64{}}
}

// RecordDigest keeps the outcomes in a digest that were not kept before.
func (r *Recorder) RecordDigest(now time.Time, d *slatewindv1.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcomes := d.GetOutcomes()
	if len(outcomes) == 0 {
		return
	}
	last := r.seen[d.GetServer()]
	if d.GetSequence() < last {
		last = 0
	}
	fresh := int(min(d.GetSequence()-last, uint64(len(outcomes))))
	r.seen[d.GetServer()] = d.GetSequence()
	for _, packed := range outcomes[len(outcomes)-fresh:] {
		r.add(recorded{at: now, server: d.GetServer(), packed: packed})
	}
}

// RecordLostReply keeps an attempt that got no reply at all.
func (r *Recorder) RecordLostReply(now time.Time, _, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(recorded{at: now, server: server, lost: true})
}

func (r *Recorder) add(e recorded) {
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Trace returns what was kept, as the YAML text of a trace. Nothing is
// expected of it; the operator adds that.
func (r *Recorder) Trace(snapshot *config.Snapshot) ([]byte, error) {
	r.mu.Lock()
	kept := append([]recorded(nil), r.events[:r.next]...)
	if r.full {
		kept = append(append([]recorded(nil), r.events[r.next:]...), kept...)
	}
	r.mu.Unlock()
	t := &Trace{Name: "recorded-" + r.node, Nodes: []string{r.node}}
	if snapshot != nil {
		t.Settings = string(snapshot.Text)
		t.Revision = snapshot.Version.Revision
	}
	for _, e := range kept {
		t.Events = append(t.Events, eventOf(kept[0].at, e))
	}
	return t.Encode()
}

func eventOf(start time.Time, e recorded) Event {
	at := Duration(e.at.Sub(start))
	if e.lost {
		return Event{At: at, Lost: &Lost{Server: e.server}}
	}
	o := outlier.Unpack(e.server, e.packed)
	return Event{At: at, Outcome: &Outcome{
		Server: e.server, Class: int(o.Class), Result: o.Result, Latency: Duration(o.Latency),
	}}
}
