package soak

import (
	"context"
	"time"
)

// verifyInterval is the pause between two verifications during a run.
const verifyInterval = 250 * time.Millisecond

// stopOnBreach ends the parts of a run as soon as the promise Options.StopOn is broken. The run
// is verified again at the end, when all requests have ended.
func (f *fleet) stopOnBreach(partsCtx context.Context, cancelParts context.CancelFunc) {
	if f.options.StopOn == "" {
		return
	}
	for partsCtx.Err() == nil {
		for _, b := range f.record.verify(f.runs, f.restartedServers()) {
			if b.Promise == f.options.StopOn {
				cancelParts()
			}
		}
		time.Sleep(verifyInterval)
	}
}
