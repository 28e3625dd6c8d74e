package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/clip"
)

const (
	// logQueueLines bounds the lines that wait for a slow reader of the log. With some
	// 300 bytes a line that is 600 KB.
	logQueueLines = 2048
	// logReservedLines is the part of the queue that is reserved for lines about requests
	// that failed, were refused or were sent again; all other lines are dropped first.
	logReservedLines = 1024
	// maxLogLineBytes is the length from which a line is cut off, in bytes.
	maxLogLineBytes = 32 << 10
	// logDropInterval is how often the number of dropped lines is logged.
	logDropInterval = time.Second
)

// priorityMarks are the key-value pairs, as newNodeHistory logs them, of the lines that may
// use the reserved part of the queue.
var priorityMarks = [][]byte{
	[]byte("kind=" + slatewind.DecisionRefuse), []byte("kind=" + slatewind.DecisionUnknown),
	[]byte("kind=" + slatewind.DecisionRetry), []byte("kind=" + slatewind.DecisionHedge),
}

// LogWriter passes log lines to a writer that may be slow or blocked. Write never
// blocks: lines that do not fit into the queue are dropped and counted.
type LogWriter struct {
	lines chan []byte
	// done is closed when copy has returned.
	done chan struct{}

	mu sync.Mutex
	// dropped counts the lines without priority, droppedPriority those with priority, that were
	// dropped since the last report. Both are guarded by mu.
	dropped, droppedPriority int
}

// NewLogWriter returns a LogWriter that passes lines to out until ctx ends. Lines that are
// queued by then are still written; see Wait.
func NewLogWriter(ctx context.Context, out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go w.copy(ctx, out)
	return w
}

// Write implements io.Writer. Each call has to pass one whole line.
func (w *LogWriter) Write(line []byte) (int, error) {
	priority := hasPriority(line)
	written := len(line)
	line = shorten(line)
	if !priority && len(w.lines) >= logQueueLines-logReservedLines {
		w.drop(false)
		return written, nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop(priority)
	}
	return written, nil
}

// shorten returns a line of at most maxLogLineBytes and its end.
func shorten(line []byte) []byte {
	if len(line) <= maxLogLineBytes {
		return line
	}
	return []byte(clip.Text(string(line), maxLogLineBytes) + "\n")
}

// hasPriority reports whether a line may use the reserved part of the queue.
func hasPriority(line []byte) bool {
	for _, mark := range priorityMarks {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}

// drop counts a dropped line.
func (w *LogWriter) drop(priority bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if priority {
		w.droppedPriority++
		return
	}
	w.dropped++
}

// copy writes queued lines to out and reports dropped ones.
func (w *LogWriter) copy(ctx context.Context, out io.Writer) {
	defer close(w.done)
	reports := time.NewTicker(logDropInterval)
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

// flushTimeout bounds how long Wait waits for a blocked writer.
const flushTimeout = 200 * time.Millisecond

// Wait waits, after the context of w has ended, until all queued lines are written, for at
// most flushTimeout.
func (w *LogWriter) Wait() {
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// drain writes the lines that are left in the queue.
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

// report writes how many lines were dropped since the last report, if any. The message and its
// keys are read by tools.
func (w *LogWriter) report(out io.Writer) {
	w.mu.Lock()
	dropped, droppedPriority := w.dropped, w.droppedPriority
	w.dropped, w.droppedPriority = 0, 0
	w.mu.Unlock()
	if dropped+droppedPriority > 0 {
		_, _ = fmt.Fprintf(out, "level=warn msg=\"lines left out\" about_requests=%d others=%d\n", droppedPriority, dropped)
	}
}
