package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"slatewind.example/slatewind/timer"
)

// Bounds of the garbage collector's target percentage (GOGC): how far the heap may grow, in
// percent of the live heap, before a collection. The cost of memory is that of its peak, so a
// process with processor time to spare collects early. One that is short of processor time
// collects less often and uses more memory.
const (
	minGCPercent = 30
	maxGCPercent = 200
	// gcPercentPerUse is what is added to minGCPercent when the process uses all of the processor
	// time that the VM gives it, and in proportion when it uses less.
	gcPercentPerUse = 1000
)

// gcInterval is how often the use of the processor is sampled, gcWeight the weight of the newest
// sample in the moving average.
const (
	gcInterval = 500 * time.Millisecond
	gcWeight   = 0.3
)

// gcPercent returns the percentage for a process that uses the given fraction of the processor
// time that its VM gives it.
func gcPercent(use float64) int {
	return int(min(minGCPercent+gcPercentPerUse*use, maxGCPercent))
}

// gcTuner adjusts the garbage collector's percentage to the process's use of the processor.
type gcTuner struct {
	// share is the part of a core that the VM gives.
	share float64
	// use is the moving average of the use as a fraction of share. The last sample was taken at
	// sampled, when the process had used cpuTime in all.
	use     float64
	sampled time.Time
	cpuTime time.Duration
	// percent is the percentage in force.
	percent int
}

// newGCTuner returns the tuner of a process without samples. share is the part of a core that
// the VM gives; 0 means a whole core.
func newGCTuner(share float64) *gcTuner {
	if share <= 0 {
		share = 1
	}
	return &gcTuner{share: share, percent: minGCPercent}
}

// sample adds the processor time that the process had used in all at a moment, and returns the
// percentage.
func (g *gcTuner) sample(now time.Time, cpuTime time.Duration) int {
	if passed := now.Sub(g.sampled); !g.sampled.IsZero() && passed > 0 {
		newest := float64(cpuTime-g.cpuTime) / float64(passed) / g.share
		g.use += gcWeight * (newest - g.use)
	}
	g.sampled, g.cpuTime = now, cpuTime
	return gcPercent(g.use)
}

// tick samples the use of the processor and sets the percentage if it has changed.
func (g *gcTuner) tick(t timer.Tick) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return // The percentage in force stays.
	}
	percent := g.sample(t.Now, time.Duration(usage.Utime.Nano()+usage.Stime.Nano()))
	if percent != g.percent {
		g.percent = percent
		debug.SetGCPercent(percent)
	}
}

// SetInitialGCPercent sets the garbage collector's percentage for the start of a process, which is the
// lowest one, unless the environment variable GOGC is set.
func SetInitialGCPercent() {
	if !isGOGCSet() {
		debug.SetGCPercent(minGCPercent)
	}
}

// memoryShare is the part of the memory of the process that the Go runtime may use before it collects garbage whatever that
// costs. The rest is for the program itself, the buffers of the kernel and the stacks of the C library's threads.
const memoryShare = 0.7

// limitMemory sets the runtime's memory limit to memoryShare of the memory of the process, in bytes, unless that is not
// known or the environment variable GOMEMLIMIT is set.
func limitMemory(bytes int64) {
	if bytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryShare * float64(bytes)))
	}
}

// tuneGC adjusts the garbage collector's percentage to the use of the processor until ctx ends,
// unless the environment variable GOGC is set.
func tuneGC(ctx context.Context, timers *timer.Service, share float64) {
	if isGOGCSet() {
		return
	}
	timers.Subscribe(ctx, gcInterval, newGCTuner(share).tick)
}

// isGOGCSet reports whether the operator has set GOGC.
func isGOGCSet() bool { return os.Getenv("GOGC") != "" }
