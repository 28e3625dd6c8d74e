// Package reload applies changes of the settings file to a running process. Changes are
// detected by polling the file; SIGHUP triggers a reload at once.
//
// A file is applied as a whole or not at all. Since a file may be read while it is being
// written, it is applied only once two reads a short time apart return the same content. A file
// that cannot be read or has findings changes nothing; it is reported once, with the position
// of the finding. Settings that a running process cannot change are reported too, and take
// effect at its next start.
package reload

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("reload")

const (
	// pollInterval is the time between two checks of the file's size and modification time.
	pollInterval = time.Second
	// settleInterval is the time between two reads that have to return the same content,
	// settleTimeout the time after which a file that keeps changing is given up.
	settleInterval = 50 * time.Millisecond
	settleTimeout  = time.Second
)

// Sink receives the results of reloads. Its methods are not called concurrently.
type Sink interface {
	// Reloaded is called with settings that were read and have no findings, and the changes
	// to the previous ones. There may be no changes, for example after a signal.
	Reloaded(process *slatewindv1.Process, changes []Change)
	// NotReloaded is called with the reason if the file could not be applied.
	NotReloaded(cause error)
}

// File watches one settings file. It is safe for concurrent use.
type File struct {
	path       string
	reloadable map[string]bool
	sink       Sink

	// mu guards current and seen, and serialises reloads.
	mu      sync.Mutex
	current *slatewindv1.Process
	// seen is the state of the file at the last check.
	seen fileInfo
	// settle waits between two reads. Tests replace it.
	settle func(ctx context.Context)
}

// fileInfo is the metadata by which a change of the file is detected.
type fileInfo struct {
	changed time.Time
	size    int64
	// missing is set if os.Stat failed, for example because the file does not exist.
	missing bool
}

// New returns a watcher of the file at path, from which current was read at the start of the
// process. reloadable holds the keys (as in Change.Key) of the settings that the running process
// can change.
func New(path string, current *slatewindv1.Process, reloadable map[string]bool, sink Sink) *File {
	f := &File{path: path, current: current, reloadable: reloadable, sink: sink, settle: settle}
	f.seen, _ = f.stat()
	return f
}

// Start watches the file until ctx is done. SIGHUP triggers Reload.
func (f *File) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(ctx, pollInterval, func(timer.Tick) { f.Check(ctx) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				f.Reload(ctx)
			}
		}
	}()
}

// Check reloads the file if it has changed since the last check.
func (f *File) Check(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, err := f.stat()
	if now == f.seen {
		return
	}
	f.seen = now
	if err != nil {
		f.sink.NotReloaded(err)
		return
	}
	f.apply(ctx)
}

// Reload reloads the file whether it has changed or not.
func (f *File) Reload(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	if f.seen, err = f.stat(); err != nil {
		f.sink.NotReloaded(err)
		return
	}
	f.apply(ctx)
}

// stat returns the current metadata of the file.
func (f *File) stat() (fileInfo, error) {
	info, err := os.Stat(f.path)
	if err != nil {
		return fileInfo{missing: true}, Error.Wrap(err)
	}
	return fileInfo{changed: info.ModTime(), size: info.Size()}, nil
}

// apply reads the file and passes the result to the sink. The caller holds mu.
func (f *File) apply(ctx context.Context) {
	process, err := f.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.sink.NotReloaded(err)
		return
	}
	changes := Compare(f.current, process, f.reloadable)
	f.current = process
	f.sink.Reloaded(process, changes)
}

// read returns the settings in the file once two consecutive reads return the same content.
func (f *File) read(ctx context.Context) (*slatewindv1.Process, error) {
	var before []byte
	for began := time.Now(); time.Since(began) < settleTimeout; {
		text, err := os.ReadFile(f.path)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if before != nil && bytes.Equal(text, before) {
			return config.ParseProcess(f.path, text)
		}
		before = text
		f.settle(ctx)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, Error.New("%s: still being written after %s", f.path, settleTimeout)
}

// settle waits for settleInterval or until ctx is done.
func settle(ctx context.Context) {
	select {
	case <-time.After(settleInterval):
	case <-ctx.Done():
	}
}
