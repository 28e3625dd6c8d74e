package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"slatewind.example/slatewind"
)

const (
	// logQueue is how many lines wait for a slow reader of the log. At some 300
	// bytes a line that is 600 KB.
	logQueue = 2048
	// logReserve of it is kept for lines about requests that failed, were
	// refused or were sent again; all others are left out before them.
	logReserve = 1024
	// logReport is how often the number of lines that were left out is logged.
	logReport = time.Second
)

// lastLeftOut marks the lines that are left out last, by the key and value that
// newNodeHistory writes.
var lastLeftOut = [][]byte{
	[]byte("kind=" + slatewind.DecisionRefuse), []byte("kind=" + slatewind.DecisionUnknown),
	[]byte("kind=" + slatewind.DecisionRetry), []byte("kind=" + slatewind.DecisionHedge),
}

// LogWriter hands lines to a reader that may be slow or stand still. Writing to
// it never waits: what does not fit is left out and counted.
type LogWriter struct {
	lines chan []byte
	ended chan struct{}

	mu sync.Mutex
	// leftOut counts the lines left out since the last report, urgent those of
	// them that are left out last.
	leftOut, urgent int
}

// NewLogWriter returns a writer whose lines go to out until ctx ends.
func NewLogWriter(ctx context.Context, out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, logQueue), ended: make(chan struct{})}
	go w.copy(ctx, out)
	return w
}

// Write implements io.Writer for whole lines.
func (w *LogWriter) Write(line []byte) (int, error) {
	urgent := isUrgent(line)
	if !urgent && len(w.lines) >= logQueue-logReserve {
		w.leaveOut(false)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.leaveOut(urgent)
	}
	return len(line), nil
}

// isUrgent reports whether a line is one of those that are left out last.
func isUrgent(line []byte) bool {
	for _, mark := range lastLeftOut {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}

// leaveOut counts a line that is left out.
func (w *LogWriter) leaveOut(urgent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if urgent {
		w.urgent++
		return
	}
	w.leftOut++
}

// copy passes lines on and reports those that were left out.
func (w *LogWriter) copy(ctx context.Context, out io.Writer) {
	defer close(w.ended)
	reports := time.NewTicker(logReport)
	defer reports.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-reports.C:
			w.report(out)
		case <-ctx.Done():
			w.drain(out)
			return
		}
	}
}

// lastLines bounds the wait for a reader that stands still at the end.
const lastLines = 200 * time.Millisecond

// Wait waits, after its context has ended, until all lines are passed on, but
// not for long.
func (w *LogWriter) Wait() {
	select {
	case <-w.ended:
	case <-time.After(lastLines):
	}
}

// drain passes on what is left.
func (w *LogWriter) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			w.report(out)
			return
		}
	}
}

// report writes how many lines were left out since the last report, if any.
func (w *LogWriter) report(out io.Writer) {
	w.mu.Lock()
	leftOut, urgent := w.leftOut, w.urgent
	w.leftOut, w.urgent = 0, 0
	w.mu.Unlock()
	if leftOut+urgent > 0 {
		_, _ = fmt.Fprintf(out, "level=warn msg=\"lines left out\" about_requests=%d others=%d\n", urgent, leftOut)
	}
}
