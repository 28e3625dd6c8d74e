package replay

import (
	"sync"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/outlier"
)

// Recorder keeps the recent events of one ingress in a ring buffer. Trace returns
// them in the format that slatewind replay reads, for example to replay them with
// changed settings.
type Recorder struct {
	node string

	// mu guards the fields below.
	mu     sync.Mutex
	events []recorded
	// next is the index of the next write; if full, it is the oldest event.
	next int
	full bool
	// seen holds the sequence number of the last digest of each server.
	seen map[string]uint64
}

// recorded is an event in the ring buffer.
type recorded struct {
	at     time.Time
	server string
	// packed is an outcome as outlier.Unpack reads it; unused if lost is set.
	packed uint32
	lost   bool
}

// NewRecorder returns a recorder that keeps the last limit events, at least one.
func NewRecorder(node string, limit int) *Recorder {
	return &Recorder{node: node, events: make([]recorded, max(limit, 1)), seen: map[string]uint64{}}
}

// RecordDigest records the outcomes in a received digest that are newer than the last
// digest of the server. A lower sequence number than the last one means that the
// sidecar restarted: all outcomes of the digest are new then.
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

// RecordLostReply records an attempt that received no reply.
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

// Trace returns the recorded events as a YAML trace with the settings of the
// snapshot, which may be nil. The trace has no expectations; the operator adds
// them.
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
