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
	// deadlyName is the last part of the paths under whose requests servers end.
	deadlyName = "deadly"
	// serverAway is how long a server is away that ended.
	serverAway = 700 * time.Millisecond
	// deadlyPause is the pause between two deadly requests.
	deadlyPause = 60 * time.Millisecond
	// deadlyTime is how long they come.
	deadlyTime = 9 * time.Second
)

// Bounds of the users on a request under which servers end: mostEnds may, and mostLater servers may
// get it later than endsKnown after that.
const (
	mostEnds  = 3
	mostLater = 3
	endsKnown = 3 * time.Second
)

// isDeadly reports whether a server ends under a request.
func isDeadly(r *http.Request) bool { return path.Base(r.URL.Path) == deadlyName }

// checkDeadly has one request of each kind come again and again, to all processes, under which
// servers end, while processes are killed, paused and cut off.
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
		if later := laterEnds(f.endsSince(began)); len(later) > mostLater {
			f.record.noteBreach(PromiseQuarantine, "%d servers got %s later than %s after it had ended %d, the last %s after the first end",
				len(later), prefix+deadlyName, endsKnown, mostEnds, later[len(later)-1].Sub(began))
		}
	}
	return nil
}

// sendDeadly sends one request to one process after the other.
func (f *fleet) sendDeadly(ctx context.Context, path string) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		f.post(client, f.nodes[i%len(f.nodes)].number, path, fmt.Sprint(deadlyName, "-", newID()), deadlyName, http.Header{})
		sleep(ctx, deadlyPause)
	}
}

// endsSince returns when servers ended under requests since a time, in order.
func (f *fleet) endsSince(began time.Time) (ends []time.Time) {
	for _, n := range f.nodes {
		ends = append(ends, n.crasher.Deaths()...)
	}
	ends = slices.DeleteFunc(ends, func(at time.Time) bool { return at.Before(began) })
	slices.SortFunc(ends, time.Time.Compare)
	return ends
}

// laterEnds returns the ends that come after the time in which all have to know.
func laterEnds(ends []time.Time) []time.Time {
	if len(ends) < mostEnds {
		return nil
	}
	known := ends[mostEnds-1].Add(endsKnown)
	return slices.DeleteFunc(slices.Clone(ends), func(at time.Time) bool { return !at.After(known) })
}
