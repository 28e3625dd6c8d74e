// Package discovery keeps a process's views of what the platform publishes
// fresh: which settings are in force and which servers there are.
//
// There are two ways. A Reader serves the product's own YAML file and list of
// VMs: a few processes read, the others hear of it by gossip. A Watcher follows
// the servers that record themselves in the platform's store, through a Share,
// with which a few processes of each data centre read for all.
package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"slatewind.example/slatewind"
)

const (
	// listInterval is the time between two looks at the VM list.
	listInterval = 5 * time.Second
	// idleInterval is how often a process that does not read asks whether it
	// should.
	idleInterval = time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Views takes what the platform tells.
type Views interface {
	// MayRead reports whether this process reads the platform now.
	MayRead(now time.Time) bool
	// PlatformSeen notes a look at the platform.
	PlatformSeen(now time.Time)
	// Listed takes the VM list.
	Listed(now time.Time, vms []slatewind.VM)
	// Offer takes the operators' file.
	Offer(now time.Time, source string, revision slatewind.Revision, text []byte)
}

// CallMeter counts calls to the platform.
type CallMeter interface {
	PlatformCall(what string, err error)
}

// Reader watches the platform while this process is one of its data centre's
// readers. At its start every process looks once, so that it begins with the
// newest of what the platform and its peers know.
type Reader struct {
	config slatewind.ConfigSource
	vms    slatewind.VMSource
	views  Views
	meter  CallMeter
	// revision is the newest that this process saw at the platform.
	revision slatewind.Revision
}

// NewReader returns a reader.
func NewReader(config slatewind.ConfigSource, vms slatewind.VMSource, views Views, meter CallMeter) *Reader {
	return &Reader{config: config, vms: vms, views: views, meter: meter}
}

// Start looks at the platform once and then watches it until ctx ends.
func (r *Reader) Start(ctx context.Context) {
	go r.loop(ctx, idleInterval, r.watch)
	go r.loop(ctx, listInterval, r.list)
}

// loop calls look once, and then again while this process is a reader.
func (r *Reader) loop(ctx context.Context, interval time.Duration, look func(context.Context) error) {
	backoff := minBackoff
	for first := true; ctx.Err() == nil; {
		wait := interval
		if first || r.views.MayRead(time.Now()) {
			err := look(ctx)
			if err != nil {
				wait = spread(backoff)
				backoff = min(2*backoff, maxBackoff)
			} else {
				backoff = minBackoff
				first = false
			}
		}
		sleep(ctx, wait)
	}
}

// spread returns a random time from half of d to one and a half of it, so that
// processes which failed together do not all call again at once.
func spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits for d or until ctx ends. It sets no timer where there is nothing to wait for.
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

// watch waits for a change of the operators' file.
func (r *Reader) watch(ctx context.Context) error {
	file, err := r.config.Watch(ctx, r.revision)
	r.meter.PlatformCall("settings", err)
	if err != nil {
		return err
	}
	now := time.Now()
	r.views.PlatformSeen(now)
	if file.Revision != r.revision {
		r.revision = file.Revision
		r.views.Offer(now, "platform", file.Revision, file.Text)
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
	r.views.PlatformSeen(now)
	r.views.Listed(now, vms)
	return nil
}
