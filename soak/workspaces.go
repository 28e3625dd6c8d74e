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

// keyedPath is the path of the only route that needs a key.
const keyedPath = "/keyed/"

const (
	// floodWorkspace sends far more than its limit.
	floodWorkspace = "flood"
	// floodPrefix begins the ids of its requests.
	floodPrefix = "flood-"
	// floodPause is the pause between two requests of a caller that floods.
	floodPause = 5 * time.Millisecond
	// floodLimit is its rate and its burst, loweredLimit both later on.
	floodLimit   = 20
	loweredLimit = 4
	// floodTime is how long it floods before and after its limit is lowered, and before
	// and after its key is taken away.
	floodTime = 4 * time.Second
	// workspacePause is how long processes fail while it floods.
	workspacePause = 700 * time.Millisecond
)

// Bound of the users on what is run of a workspace's requests in any window.
const (
	limitWindow  = 5 * time.Second
	limitOverage = 0.25
	limitSlack   = 20
)

// settingsTime is how soon new settings are in force everywhere, as the settings of the
// processes state it, with a second for the machine.
const settingsTime = 3 * time.Second

// limitSpan is a time in which a workspace has one limit.
type limitSpan struct {
	from  time.Time
	limit float64
}

// keySpan is the time until which a key is taken.
type keySpan struct {
	key   string
	until time.Time
}

// checkWorkspaces has a workspace flood while processes are killed, paused and cut off, lowers
// its limit and takes its key away.
func (f *fleet) checkWorkspaces(ctx context.Context, random *rand.Rand) error {
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	first, second := "key-"+newID(), "key-"+newID()
	f.publishWorkspace(floodLimit, first)
	sleep(ctx, settingsTime)
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
	f.disturb(ctx, random, settingsTime+floodTime)
	f.publishWorkspace(loweredLimit, second)
	f.record.noteKeyEnd(keySpan{first, time.Now().Add(settingsTime)})
	f.disturb(ctx, random, settingsTime+floodTime)
	stop()
	work.Wait()
	return nil
}

// disturb has one process after the other fail for a while.
func (f *fleet) disturb(ctx context.Context, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		mend := pick(random, pause, killAgain, linkFault)(f, random)
		sleep(ctx, workspacePause)
		mend()
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
	f.record.noteLimit(limitSpan{time.Now(), limit})
}

// flood sends requests with a key to a process, as fast as it answers.
func (f *fleet) flood(ctx context.Context, n *node, key string) {
	client := newCaller()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		s := sentRequest{ID: floodPrefix + newID(), Kind: slatewind.KindSingle, Node: n.number, At: time.Now(), Key: key}
		s.Status, s.Own = f.askWith(client, n.number, keyedPath, s.ID, http.Header{
			platform.Callers().Key: {key}, platform.Callers().Workspace: {"claimed"},
		})
		s.Ended = time.Now()
		f.record.noteSent(s)
		sleep(ctx, floodPause)
	}
}

// judgeHeaders checks what a server is told of a request's sender.
func judgeHeaders(id string, header http.Header) (breaches []Breach) {
	if keys := header.Values(platform.Callers().Key); len(keys) > 0 {
		breaches = append(breaches, Breach{PromiseKey, fmt.Sprintf("request %s came to a server with a key", id)})
	}
	want := []string(nil)
	if strings.HasPrefix(id, floodPrefix) {
		want = []string{floodWorkspace}
	}
	if got := header.Values(platform.Callers().Workspace); fmt.Sprint(got) != fmt.Sprint(want) {
		breaches = append(breaches, Breach{PromiseKey, fmt.Sprintf("request %s came to a server as that of %v", id, got)})
	}
	return breaches
}

// judgeKeys checks that no request ran whose key was taken away before it was sent.
func judgeKeys(ended []keySpan, sent map[string]sentRequest, runs map[string]int) (breaches []Breach) {
	for _, s := range sent {
		for _, k := range ended {
			if s.Key == k.key && s.At.After(k.until) && runs[s.ID] > 0 {
				what := fmt.Sprintf("request %s ran %s after its key had to be refused everywhere", s.ID, s.At.Sub(k.until))
				breaches = append(breaches, Breach{PromiseKey, what})
			}
		}
	}
	return breaches
}

// judgeLimit checks every window that ends with a run of the flooding workspace. A lower limit
// counts for requests that were sent once it had to be in force; the first window that breaks
// the bound is enough.
func judgeLimit(limits []limitSpan, sent map[string]sentRequest, arrivals []arrival) []Breach {
	var times []time.Time
	for _, a := range arrivals {
		if strings.HasPrefix(a.ID, floodPrefix) {
			times = append(times, a.At)
		}
	}
	for _, end := range times {
		start := end.Add(-limitWindow)
		limit := limitAt(limits, start.Add(-settingsTime))
		ran := 0
		for _, a := range arrivals {
			s, known := sent[a.ID]
			if strings.HasPrefix(a.ID, floodPrefix) && within(a.At, start, end) && known && s.At.After(start) {
				ran++
			}
		}
		if allowed := (limit*limitWindow.Seconds()+limit)*(1+limitOverage) + limitSlack; float64(ran) > allowed {
			what := fmt.Sprintf("%d requests ran in %s, %.0f allowed at %g a second", ran, limitWindow, allowed, limit)
			return []Breach{{PromiseLimit, what}}
		}
	}
	return nil
}

// limitAt returns the highest limit that may still have been in force at a time.
func limitAt(limits []limitSpan, at time.Time) float64 {
	limit := 0.0
	for i, span := range limits {
		if i == 0 || !span.from.After(at) {
			limit = span.limit
		}
	}
	return limit
}
