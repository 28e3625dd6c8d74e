package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"slatewind.example/slatewind/timer"
)

// How far the heap may grow, in percent of what lives, before garbage is collected. Memory is
// paid for by its peak, so a process that has processor time to spare collects early. One that
// is short of it collects seldom, at the price of more memory.
const (
	leastGCPercent = 30
	mostGCPercent  = 200
	// gcPercentPerUse is what is added for the whole of the processor time that the VM gives.
	gcPercentPerUse = 1000
)

// gcInterval is how often the use of the processor is looked at, and gcWeight that of the
// newest look in the mean.
const (
	gcInterval = 500 * time.Millisecond
	gcWeight   = 0.3
)

// gcPercent returns the percentage for a process that uses a part of the processor time that
// its VM gives it.
func gcPercent(use float64) int {
	return int(min(leastGCPercent+gcPercentPerUse*use, mostGCPercent))
}

// garbage sets how far the heap may grow, by how much of its processor time the process uses.
type garbage struct {
	// share is the part of a core that the VM gives.
	share float64
	// use is the mean use as a part of that, up to at, when spent was used in all.
	use   float64
	at    time.Time
	spent time.Duration
	// percent is what is set now.
	percent int
}

// newGarbage returns the setting of a process that begins, of which nothing is known yet.
func newGarbage(share float64) *garbage {
	if share <= 0 {
		share = 1
	}
	return &garbage{share: share, percent: leastGCPercent}
}

// step takes the processor time that was spent up to a moment and returns the percentage.
func (g *garbage) step(now time.Time, spent time.Duration) int {
	if passed := now.Sub(g.at); !g.at.IsZero() && passed > 0 {
		newest := float64(spent-g.spent) / float64(passed) / g.share
		g.use += gcWeight * (newest - g.use)
	}
	g.at, g.spent = now, spent
	return gcPercent(g.use)
}

// tick looks at the use of the processor and sets the percentage where it has changed.
func (g *garbage) tick(t timer.Tick) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return // What is set stays.
	}
	percent := g.step(t.Now, time.Duration(usage.Utime.Nano()+usage.Stime.Nano()))
	if percent != g.percent {
		g.percent = percent
		debug.SetGCPercent(percent)
	}
}

// BoundGarbage has garbage collected early, unless the operator sets GOGC.
func BoundGarbage() {
	if !operatorSetsGarbage() {
		debug.SetGCPercent(leastGCPercent)
	}
}

// adaptGarbage has the percentage follow the use of the processor until ctx ends, unless the
// operator sets GOGC.
func adaptGarbage(ctx context.Context, timers *timer.Service, share float64) {
	if operatorSetsGarbage() {
		return
	}
	timers.Subscribe(ctx, gcInterval, newGarbage(share).tick)
}

// operatorSetsGarbage reports whether the environment says when garbage is collected.
func operatorSetsGarbage() bool { return os.Getenv("GOGC") != "" }
