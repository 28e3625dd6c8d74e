// Package reload keeps the settings of a living process those of its file, which
// operators change with a signal or without one.
//
// A file is taken whole or not at all. It is taken once it rests: two readings a
// moment apart are the same, since a file may be seen while it is written. What cannot
// be read, or has findings, changes nothing and is told once, with its place. Keys
// that a living process cannot change are told with the others, and count from its
// next start.
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
	// lookInterval is how often the file's size and time are looked at; a signal has it
	// read at once.
	lookInterval = time.Second
	// restTime is how far apart two equal readings of a file that rests are, and
	// restPatience for how long they are tried.
	restTime     = 50 * time.Millisecond
	restPatience = time.Second
)

// Sink takes what became of changes of the file. Its methods are called one after the
// other.
type Sink interface {
	// Reloaded brings settings that were read whole and have no finding, with the keys
	// that changed, of which there may be none after a signal.
	Reloaded(process *slatewindv1.Process, changes []Change)
	// NotReloaded says why a changed file changes nothing.
	NotReloaded(cause error)
}

// File follows one settings file. It is safe for use by several goroutines.
type File struct {
	path   string
	living map[string]bool
	sink   Sink

	mu      sync.Mutex
	current *slatewindv1.Process
	// seen is the file as it was last looked at.
	seen stamp
	// rest waits between two readings.
	rest func(ctx context.Context)
}

// stamp tells one writing of a file from another.
type stamp struct {
	changed time.Time
	size    int64
	// missing says that there was none.
	missing bool
}

// New follows the file at path from which a process's settings were read at its start.
// living names the keys that it can change while it runs, as Change.Key does.
func New(path string, current *slatewindv1.Process, living map[string]bool, sink Sink) *File {
	f := &File{path: path, current: current, living: living, sink: sink, rest: rest}
	f.seen, _ = f.look()
	return f
}

// Start follows the file until ctx ends. SIGHUP has it read at once.
func (f *File) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(ctx, lookInterval, func(timer.Tick) { f.Check(ctx) })
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

// Check reads the file if it was written since it was last read.
func (f *File) Check(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, err := f.look()
	if now == f.seen {
		return
	}
	f.seen = now
	if err != nil {
		f.sink.NotReloaded(err)
		return
	}
	f.take(ctx)
}

// Reload reads the file whether it was written or not.
func (f *File) Reload(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	if f.seen, err = f.look(); err != nil {
		f.sink.NotReloaded(err)
		return
	}
	f.take(ctx)
}

// look returns the file's stamp.
func (f *File) look() (stamp, error) {
	info, err := os.Stat(f.path)
	if err != nil {
		return stamp{missing: true}, Error.Wrap(err)
	}
	return stamp{changed: info.ModTime(), size: info.Size()}, nil
}

// take reads the file and hands it on. The lock is held.
func (f *File) take(ctx context.Context) {
	process, err := f.read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.sink.NotReloaded(err)
		return
	}
	changes := Compare(f.current, process, f.living)
	f.current = process
	f.sink.Reloaded(process, changes)
}

// read reads the file once it rests.
func (f *File) read(ctx context.Context) (*slatewindv1.Process, error) {
	var before []byte
	for began := time.Now(); time.Since(began) < restPatience; {
		text, err := os.ReadFile(f.path)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if before != nil && bytes.Equal(text, before) {
			return config.ParseProcess(f.path, text)
		}
		before = text
		f.rest(ctx)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return nil, Error.New("%s: still being written after %s", f.path, restPatience)
}

// rest waits for restTime, or until ctx ends.
func rest(ctx context.Context) {
	select {
	case <-time.After(restTime):
	case <-ctx.Done():
	}
}
