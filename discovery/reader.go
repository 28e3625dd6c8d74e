// Package discovery keeps a process's view of the data that the platform publishes up to date:
// the settings in force and the list of servers.
//
// There are two mechanisms. A Reader serves the product's own YAML file and list of VMs: a few
// processes read them and the others receive them by gossip. A Watcher follows the servers that
// register themselves in the platform's store, through a SharedSource, with which a few processes
// read the store on behalf of all.
package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"slatewind.example/slatewind"
)

const (
	// listInterval is the time between two reads of the VM list.
	listInterval = 5 * time.Second
	// idleInterval is the time after which a process that is not a reader checks again whether it
	// is one.
	idleInterval = time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// PlatformSink receives what a Reader reads from the platform.
type PlatformSink interface {
	// MayRead reports whether this process is a reader of the platform now.
	MayRead(now time.Time) bool
	// PlatformSeen records a successful read from the platform.
	PlatformSeen(now time.Time)
	// Listed delivers the VM list.
	Listed(now time.Time, vms []slatewind.VM)
	// Offer delivers the operators' file; source names its origin.
	Offer(now time.Time, source string, revision slatewind.Revision, text []byte)
}

// CallMeter counts calls to the platform.
type CallMeter interface {
	// PlatformCall counts a call; what names the kind of call, and err is its error or nil.
	PlatformCall(what string, err error)
}

// Reader reads the platform while this process is one of the readers of its data centre. At its
// start, every process reads once, so that it has the newest data that the platform or its peers
// hold.
type Reader struct {
	config slatewind.ConfigSource
	vms    slatewind.VMSource
	sink   PlatformSink
	meter  CallMeter
	// revision is the newest revision that was read from the platform.
	revision slatewind.Revision
}

// NewReader returns a Reader that delivers to sink.
func NewReader(config slatewind.ConfigSource, vms slatewind.VMSource, sink PlatformSink, meter CallMeter) *Reader {
	return &Reader{config: config, vms: vms, sink: sink, meter: meter}
}

// Start reads the platform once, and then as long as this process is a reader, until ctx ends.
func (r *Reader) Start(ctx context.Context) {
	go r.loop(ctx, idleInterval, r.watch)
	go r.loop(ctx, listInterval, r.list)
}

// loop calls read until it succeeds once, and then repeatedly while this process is a reader.
func (r *Reader) loop(ctx context.Context, interval time.Duration, read func(context.Context) error) {
	backoff := minBackoff
	for first := true; ctx.Err() == nil; {
		wait := interval
		if first || r.sink.MayRead(time.Now()) {
			err := read(ctx)
			if err != nil {
				wait = jitter(backoff)
				backoff = min(2*backoff, maxBackoff)
			} else {
				backoff = minBackoff
				first = false
			}
		}
		sleep(ctx, wait)
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d, so that processes that failed
// together do not retry at the same moment.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits for d or until ctx ends. It sets no timer if d is not positive.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// watch polls for a change of the operators' file.
func (r *Reader) watch(ctx context.Context) error {
	file, err := r.config.Watch(ctx, r.revision)
	r.meter.PlatformCall("settings", err)
	if err != nil {
		return err
	}
	now := time.Now()
	r.sink.PlatformSeen(now)
	if file.Revision != r.revision {
		r.revision = file.Revision
		r.sink.Offer(now, "platform", file.Revision, file.Text)
	}
	return nil
}

// list reads the VM list.
func (r *Reader) list(ctx context.Context) error {
	vms, err := r.vms.List(ctx)
	r.meter.PlatformCall("vms", err)
	if err != nil {
		return err
	}
	now := time.Now()
	r.sink.PlatformSeen(now)
	r.sink.Listed(now, vms)
	return nil
}
