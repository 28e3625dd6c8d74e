package soak

import (
	"io"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is one running slatewindd. Signals are sent only through its own handle and only until
// it has exited, so that a reused process id is never signalled.
type process struct {
	command *exec.Cmd
	log     *os.File

	// told reports that a signal was sent that ends the process.
	told atomic.Bool

	mu    sync.Mutex
	over  bool
	ended chan struct{}
}

// unexpectedEnd reports whether the process exited without being told to, or with an error status. It may be called only after
// the exit.
func (p *process) unexpectedEnd() bool {
	return !p.told.Load() || p.command.ProcessState.ExitCode() > 0
}

// startWithClosedLog starts a program whose output has a reader for a short time only.
func startWithClosedLog(program, settings string) (*process, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p, err := start(program, settings, writer)
	if err != nil {
		_ = reader.Close()
		return nil, err
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	time.AfterFunc(logClosedAfter, func() { _ = reader.Close() })
	return p, nil
}

// startProcess starts a program and appends its output to a log file.
func startProcess(program, settings, log string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return start(program, settings, out)
}

// start starts a program with its output. out is closed after the exit.
func start(program, settings string, out *os.File) (*process, error) {
	p := &process{command: exec.Command(program, "--settings", settings), log: out, ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		_ = out.Close()
		return nil, Error.Wrap(err)
	}
	go p.wait()
	return p, nil
}

// wait records the exit of the process.
func (p *process) wait() {
	// The exit status is ignored here: the run stops and kills processes on purpose.
	_ = p.command.Wait()
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	_ = p.log.Close()
	close(p.ended)
}

// signal sends a signal unless the process has exited.
func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.told.Store(true)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.over {
		// The process may exit at this moment; then the signal is not needed.
		_ = p.command.Process.Signal(s)
	}
}

// endsWithin waits until the process has exited, at most for the timeout, and reports whether it
// has.
func (p *process) endsWithin(timeout time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// end returns the exit state of the process. It may be called only after the exit.
func (p *process) end() string { return p.command.ProcessState.String() }

// hasEnded reports whether the process has exited.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}
