package daemon

import (
	"os"

	"github.com/charmbracelet/log"

	"slatewind.example/slatewind/usage"
)

// End describes how a process ends by itself.
type End struct {
	// Signal is the signal to stop, nil if there was none.
	Signal os.Signal
	// Err is the error that ended the process, nil after a stop in order.
	Err error
	// Status is the exit status.
	Status int
	// Limits are the limits on the process.
	Limits usage.Limits
}

// Log logs the end with what the process used until then. Only a process that was killed or that crashed
// has no such line.
func (e End) Log(logger *log.Logger) {
	signal := "none"
	if e.Signal != nil {
		signal = e.Signal.String()
	}
	level, cause := log.InfoLevel, "stopped"
	if e.Err != nil {
		level, cause = log.ErrorLevel, e.Err.Error()
	}
	used := usage.Read(e.Limits)
	logger.Log(level, "process ends", "status", e.Status, "signal", signal, "cause", cause,
		"memory", used.MemoryBytes, "peak_memory", used.PeakBytes, "memory_limit", used.MemoryLimitBytes,
		"descriptors", used.Descriptors, "descriptor_limit", used.DescriptorLimit, "goroutines", used.Goroutines)
}
