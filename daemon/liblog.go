package daemon

import (
	"bytes"
	"io"
	stdlog "log"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel"
	"google.golang.org/grpc/grpclog"

	"slatewind.example/slatewind/clip"
	"slatewind.example/slatewind/recovery"
	"slatewind.example/slatewind/throttle"
)

const (
	// maxLibraryLines is how many lines of libraries are logged per libraryLinesInterval: a server writes
	// one for each connection that it fails to accept.
	maxLibraryLines      = 5
	libraryLinesInterval = 10 * time.Second
)

// libraryWriter passes the lines of libraries that log by themselves to the logger of the process, which
// never blocks. It is safe for concurrent use.
type libraryWriter struct {
	logger *log.Logger
	now    func() time.Time

	// mu guards lines.
	mu    sync.Mutex
	lines *throttle.Throttle
}

// newLibraryWriter returns a writer of library lines.
func newLibraryWriter(logger *log.Logger) *libraryWriter {
	return &libraryWriter{logger: logger, now: time.Now, lines: throttle.New(maxLibraryLines, libraryLinesInterval)}
}

// Write implements io.Writer.
func (w *libraryWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	allowed, leftOut := w.lines.Allow(w.now())
	w.mu.Unlock()
	if allowed {
		w.logger.Warn("library", "text", string(bytes.TrimSpace(line)), "lines_left_out", leftOut)
	}
	return len(line), nil
}

// RedirectLibraryLogs makes libraries that log by themselves log through logger: HTTP servers, gRPC and
// OpenTelemetry. It must be called before any of them is used.
func RedirectLibraryLogs(logger *log.Logger) {
	lines := newLibraryWriter(logger)
	stdlog.SetFlags(0)
	stdlog.SetOutput(lines)
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, lines))
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { stdlog.Print(err) }))
}

const (
	// maxPanicLines is how many panics are logged per libraryLinesInterval.
	maxPanicLines = 5
	// maxStackBytes limits the stack in a log line, in bytes.
	maxStackBytes = 4 << 10
)

// ReportPanics logs the panics from which the process recovers.
func ReportPanics(logger *log.Logger) {
	var mu sync.Mutex
	lines := throttle.New(maxPanicLines, libraryLinesInterval)
	recovery.SetReport(func(p *recovery.Panic) {
		mu.Lock()
		allowed, leftOut := lines.Allow(time.Now())
		mu.Unlock()
		if allowed {
			logger.Error("panic", "where", p.Where, "cause", p.Value, "stack", clip.Text(string(p.Stack), maxStackBytes), "lines_left_out", leftOut)
		}
	})
}
