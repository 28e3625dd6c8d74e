package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHangUpAtStart checks that SIGHUP, the signal to reload the settings, does not terminate a
// process that has not read them yet. The settings are a named pipe, so that the process blocks
// while it reads them.
func TestHangUpAtStart(t *testing.T) {
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "slatewindd"), filepath.Join(dir, "node.yaml")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))

	command := exec.Command(program, "--settings", settings)
	assert.NilError(t, command.Start())
	// Opening the pipe blocks until the process has opened it for reading.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString("no_such_key: 1\n")
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	// Wait returns an error because of the exit code, which is checked below.
	_ = command.Wait()
	assert.Equal(t, command.ProcessState.ExitCode(), exitSettings, command.ProcessState.String())
}
