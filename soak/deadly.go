package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"slices"
	"time"
)

const (
	// deadlyName is the last path segment of the requests that crash servers.
	deadlyName = "deadly"
	// serverDowntime is how long a crashed server is down.
	serverDowntime = 700 * time.Millisecond
	// deadlyPause is the pause between two requests that crash servers.
	deadlyPause = 60 * time.Millisecond
	// deadlyTime is how long such requests are sent.
	deadlyTime = 9 * time.Second
)

// Bounds that the users require for a request that crashes servers: it may crash maxCrashes
// servers, and later than quarantineTime after that at most maxLateCrashes more.
const (
	maxCrashes     = 3
	maxLateCrashes = 3
	quarantineTime = 3 * time.Second
)

// isDeadly reports whether a request crashes its server.
func isDeadly(r *http.Request) bool { return path.Base(r.URL.Path) == deadlyName }

// checkDeadly sends a request that crashes servers again and again to all processes, first a
// repeatable and then a single one, while processes are killed, paused and cut off.
func (f *fleet) checkDeadly(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	for _, prefix := range []string{repeatablePath, singlePath} {
		sending, stop := context.WithCancel(ctx)
		began := time.Now()
		go f.sendDeadly(sending, prefix+deadlyName)
		f.disturb(ctx, random, deadlyTime)
		stop()
		if later := lateCrashes(f.crashesSince(began)); len(later) > maxLateCrashes {
			f.record.addBreach(PromiseQuarantine, "%d servers received %s later than %s after it had crashed %d, the last one %s after the run of these requests began",
				len(later), prefix+deadlyName, quarantineTime, maxCrashes, later[len(later)-1].Sub(began))
		}
	}
	return nil
}

// sendDeadly sends the same request to the processes in turn.
func (f *fleet) sendDeadly(ctx context.Context, path string) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		f.post(client, f.nodes[i%len(f.nodes)].number, path, fmt.Sprint(deadlyName, "-", newID()), deadlyName, http.Header{})
		sleep(ctx, deadlyPause)
	}
}

// crashesSince returns the times, in order, at which requests have crashed servers since began.
func (f *fleet) crashesSince(began time.Time) (ends []time.Time) {
	for _, n := range f.nodes {
		ends = append(ends, n.crasher.Crashes()...)
	}
	ends = slices.DeleteFunc(ends, func(at time.Time) bool { return at.Before(began) })
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// lateCrashes returns the crashes after the time at which all processes must have the request in
// quarantine.
func lateCrashes(ends []time.Time) []time.Time {
	if len(ends) < maxCrashes {
		return nil
	}
	known := ends[maxCrashes-1].Add(quarantineTime)
	return slices.DeleteFunc(slices.Clone(ends), func(at time.Time) bool { return !at.After(known) })
}
