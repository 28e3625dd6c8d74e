package daemon_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHangUpDuringStop checks that a process that keeps getting SIGHUP, the signal to reload its
// settings, stops in order on SIGTERM. While no handler is registered, before the listeners are
// open and in the last steps of a stop, SIGHUP would terminate the process by default.
func TestHangUpDuringStop(t *testing.T) {
	m := newMesh(t, 2, time.Millisecond)
	stopping := m.processes[0].command
	ended := make(chan struct{})
	signalled := make(chan struct{})
	go func() {
		defer close(signalled)
		for {
			select {
			case <-ended:
				return
			default:
				_ = stopping.Process.Signal(syscall.SIGHUP)
				time.Sleep(200 * time.Microsecond)
			}
		}
	}()
	assert.NilError(t, stopping.Process.Signal(syscall.SIGTERM))
	err := stopping.Wait()
	close(ended)
	<-signalled
	assert.NilError(t, err)
}
