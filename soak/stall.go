package soak

import (
	"context"
	"time"
)

const (
	// stallInterval is the interval between two checks for a stall.
	stallInterval = 100 * time.Millisecond
	// stallThreshold is the time without a check from which the machine counts as stalled:
	// callers may then time out by themselves, and stops may exceed their grace time.
	stallThreshold = 2 * time.Second
)

// watchStalls records a stall of the machine as an error of the run. The stall does not excuse
// breaches; the error states a likely cause.
func (f *fleet) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; sleep(ctx, stallInterval) {
		now := time.Now()
		if stall := now.Sub(last); stall > stallThreshold {
			f.record.addFailure(Error.New("machine stalled for %s", stall.Round(time.Millisecond)))
		}
		last = now
	}
}
