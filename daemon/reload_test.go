package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"buf.build/go/protoyaml"
	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/internal/standin"
)

// write writes a node's settings file, changed by a function.
func (f *nodes) write(i int, change func(*slatewindv1.Process)) {
	process := f.settings(i)
	change(process)
	text, err := protoyaml.Marshal(process)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(f.files[i], text, 0o600))
}

// TestNodeReloads checks that a running node applies a changed settings file with and without a
// signal, and that an invalid file changes nothing.
func TestNodeReloads(t *testing.T) {
	f := newNodes(t, 1)
	n := f.nodes[0]
	grace := func(want time.Duration) func() bool {
		return func() bool { return n.grace() == want }
	}
	f.write(0, func(p *slatewindv1.Process) { p.Bounds.Grace = durationpb.New(7 * time.Second) })
	f.await("the change without a signal", grace(7*time.Second))
	assert.NilError(t, os.WriteFile(f.files[0], []byte("vm: ["), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	f.write(0, func(p *slatewindv1.Process) { p.Bounds.Grace = durationpb.New(8 * time.Second) })
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	f.await("the change after a broken file", grace(8*time.Second))
	assert.Equal(t, f.send(0, "/pay/1", "id"), http.StatusOK)
}

// TestLogLevel checks that the log level is that of the file, and that of the command line if the
// file names none.
func TestLogLevel(t *testing.T) {
	logger := log.New(io.Discard)
	logger.SetLevel(log.InfoLevel)
	r := reloadSink{settingsFile{level: log.InfoLevel}, logger, func(*slatewindv1.Process) {}}
	for _, step := range []struct {
		named slatewind.LogLevel
		want  log.Level
	}{{slatewind.LogWarn, log.WarnLevel}, {slatewind.LogDebug, log.DebugLevel}, {"", log.InfoLevel}} {
		r.Reloaded(&slatewindv1.Process{LogLevel: string(step.named)}, nil)
		assert.Equal(t, logger.GetLevel(), step.want, string(step.named))
	}
}

// TestReloadRepeatsNoSingleRequest checks that, whatever bounds a file states, a request of kind
// single whose answer is lost runs once and is not reported as not run.
func TestReloadRepeatsNoSingleRequest(t *testing.T) {
	f := newNodes(t, 3)
	for i := range f.nodes {
		f.write(i, func(p *slatewindv1.Process) {
			p.Bounds = &slatewindv1.Bounds{Grace: durationpb.New(20 * time.Second), RetryRatio: 1, RetrySlack: 1e6, RetryWindow: durationpb.New(time.Millisecond)}
		})
	}
	f.await("the new bounds everywhere", func() bool {
		for _, n := range f.nodes {
			if n.reloadable.Load().GetBounds().GetRetrySlack() != 1e6 {
				return false
			}
		}
		return true
	})
	for _, server := range f.servers {
		server.SetMode(standin.StampedLost)
	}
	for i := range 12 {
		id := fmt.Sprint("id-", i)
		status := f.send(i%3, "/pay/1", id)
		ran := f.runs(id)
		assert.Assert(t, ran <= 1, "%s ran %d times", id, ran)
		assert.Assert(t, status != http.StatusServiceUnavailable || ran == 0, "%s was refused and ran", id)
	}
}

// TestReloadDuringStop checks that settings changes in quick succession during a stop neither
// delay it nor change its grace period.
func TestReloadDuringStop(t *testing.T) {
	const grace = 4 * time.Second
	f := newNodes(t, 2)
	f.servers[0].SetMode(standin.StampedHang)
	f.servers[1].SetMode(standin.StampedHang)
	f.write(0, func(p *slatewindv1.Process) { p.Bounds.Grace = durationpb.New(grace) })
	f.await("the grace period", func() bool { return f.nodes[0].grace() == grace })
	go f.send(0, "/pay/1", "id")
	f.await("the request is in flight", func() bool { return f.nodes[0].outbound.InFlight() == 1 })
	began := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].Stop(context.Background()) }()
	for i := range 5 {
		f.write(0, func(p *slatewindv1.Process) { p.Bounds.Grace = durationpb.New(time.Duration(30+i) * time.Second) })
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(300 * time.Millisecond)
	}
	assert.NilError(t, <-stopped)
	assert.Assert(t, time.Since(began) < grace, "the stop took %s", time.Since(began))
}
