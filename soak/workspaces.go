package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/platform"
)

// keyedPath is the path prefix of the only route that requires a key.
const keyedPath = "/keyed/"

const (
	// floodWorkspace is the workspace that sends far more requests than its limit allows.
	floodWorkspace = "flood"
	// floodPrefix is the prefix of the ids of its requests.
	floodPrefix = "flood-"
	// floodPause is the pause between two requests of one of its callers.
	floodPause = 5 * time.Millisecond
	// floodLimit is both its rate per second and its burst, loweredLimit both after the limit
	// was lowered.
	floodLimit   = 20
	loweredLimit = 4
	// floodTime is how long it sends requests before and after its limit is lowered, and before
	// and after its key is revoked.
	floodTime = 4 * time.Second
	// disturbTime is the duration of each fault meanwhile.
	disturbTime = 700 * time.Millisecond
)

// Bound that the users require for the requests of a workspace that run in any window.
const (
	limitWindow    = 5 * time.Second
	limitTolerance = 0.25
	limitSlack     = 20
)

// settingsTimeout is how soon new settings must be in force in all processes: the bound in the
// settings of the processes (2 s) and one more second for a busy machine.
const settingsTimeout = 3 * time.Second

// limitSpan is a limit of a workspace and the time from which it was published.
type limitSpan struct {
	from  time.Time
	limit float64
}

// keySpan is the time until which a key may be accepted.
type keySpan struct {
	key   string
	until time.Time
}

// checkWorkspaces makes a workspace exceed its limit while processes are killed, paused and cut
// off, lowers its limit and revokes its key.
func (f *fleet) checkWorkspaces(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	first, second := "key-"+newID(), "key-"+newID()
	f.publishWorkspace(floodLimit, first)
	sleep(ctx, settingsTimeout)
	flooding, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	for _, n := range f.nodes {
		for _, key := range []string{first, second} {
			work.Go(func() { f.flood(flooding, n, key) })
		}
	}
	f.disturb(ctx, random, floodTime)
	f.publishWorkspace(loweredLimit, first)
	f.disturb(ctx, random, settingsTimeout+floodTime)
	f.publishWorkspace(loweredLimit, second)
	f.record.addKeyEnd(keySpan{first, time.Now().Add(settingsTimeout)})
	f.disturb(ctx, random, settingsTimeout+floodTime)
	stop()
	work.Wait()
	return nil
}

// disturb injects faults into processes, one after the other, for a while.
func (f *fleet) disturb(ctx context.Context, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		repair := pick(random, pauseFault, killFault, linkFault)(f, random)
		sleep(ctx, disturbTime)
		repair()
	}
}

// publishWorkspace publishes settings in which the flooding workspace has one key and a limit.
// All other routes are public.
func (f *fleet) publishWorkspace(limit float64, key string) {
	version := f.version.Add(1)
	settings := settingsOf(version)
	for _, route := range settings.Fleet.Routes {
		route.Public = true
	}
	settings.Fleet.Routes = append(settings.Fleet.Routes, newRoute(keyedPath, slatewind.KindSingle))
	settings.Fleet.KeysRequired = true
	settings.Fleet.Workspaces = []*slatewindv1.Workspace{{Name: floodWorkspace, Rate: limit, Burst: limit}}
	f.store.Put(platform.ConfigKey, encode(settings, map[string][]string{floodWorkspace: {key}}))
	f.record.addLimit(limitSpan{time.Now(), limit})
}

// flood sends requests with a key to a process, one after the other, until ctx ends.
func (f *fleet) flood(ctx context.Context, n *node, key string) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		s := sentRequest{ID: floodPrefix + newID(), Kind: slatewind.KindSingle, Node: n.number, At: time.Now(), Key: key}
		s.Status, s.Own = f.sendWithHeader(client, n.number, keyedPath, s.ID, http.Header{
			platform.Callers().Key: {key}, platform.Callers().Workspace: {"claimed"},
		})
		s.Ended = time.Now()
		f.record.addSent(s)
		sleep(ctx, floodPause)
	}
}

// verifyHeaders checks the header fields that a server receives: never a key, and the workspace
// of the key for requests of the flooding workspace only.
func verifyHeaders(id string, header http.Header) (breaches []Breach) {
	if keys := header.Values(platform.Callers().Key); len(keys) > 0 {
		breaches = append(breaches, Breach{PromiseKey, fmt.Sprintf("request %s arrived at a server with its key", id)})
	}
	want := []string(nil)
	if strings.HasPrefix(id, floodPrefix) {
		want = []string{floodWorkspace}
	}
	if got := header.Values(platform.Callers().Workspace); fmt.Sprint(got) != fmt.Sprint(want) {
		breaches = append(breaches, Breach{PromiseKey, fmt.Sprintf("request %s arrived at a server with workspace %v", id, got)})
	}
	return breaches
}

// verifyKeys checks that no request ran that was sent after its key had to be refused
// everywhere.
func verifyKeys(ended []keySpan, sent map[string]sentRequest, runs map[string]int) (breaches []Breach) {
	for _, s := range sent {
		for _, k := range ended {
			if s.Key == k.key && s.At.After(k.until) && runs[s.ID] > 0 {
				detail := fmt.Sprintf("request %s ran %s after its key had to be refused everywhere", s.ID, s.At.Sub(k.until))
				breaches = append(breaches, Breach{PromiseKey, detail})
			}
		}
	}
	return breaches
}

// verifyLimit checks every window that ends with a run of a request of the flooding workspace
// and returns the first breach only. A lowered limit applies to requests that were sent after it
// had to be in force.
func verifyLimit(limits []limitSpan, sent map[string]sentRequest, arrivals []arrival) []Breach {
	var times []time.Time
	for _, a := range arrivals {
		if strings.HasPrefix(a.ID, floodPrefix) {
			times = append(times, a.At)
		}
	}
	for _, end := range times {
		start := end.Add(-limitWindow)
		limit := limitAt(limits, start.Add(-settingsTimeout))
		ran := 0
		for _, a := range arrivals {
			s, known := sent[a.ID]
			if strings.HasPrefix(a.ID, floodPrefix) && within(a.At, start, end) && known && s.At.After(start) {
				ran++
			}
		}
		if allowed := (limit*limitWindow.Seconds()+limit)*(1+limitTolerance) + limitSlack; float64(ran) > allowed {
			detail := fmt.Sprintf("%d requests ran in %s, %.0f allowed at %g a second", ran, limitWindow, allowed, limit)
			return []Breach{{PromiseLimit, detail}}
		}
	}
	return nil
}

// limitAt returns the newest limit published by a time, or the first limit if there was none.
// Limits are only ever lowered, so for the time settingsTimeout before the start of a window it
// is the highest limit that may still have been in force in it.
func limitAt(limits []limitSpan, at time.Time) float64 {
	limit := 0.0
	for i, span := range limits {
		if i == 0 || !span.from.After(at) {
			limit = span.limit
		}
	}
	return limit
}
