package soak_test

import (
	"context"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/overlay"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/soak"
)

// brokenBuild is the daemon without one safeguard.
type brokenBuild struct {
	edits []overlay.Edit
	// promise is what the soak then finds broken.
	promise soak.Promise
	// part is the part of a run that finds it, and fault the way in which servers have
	// to fail for it.
	part  soak.Part
	fault standin.StampedMode
}

// brokenBuilds has at least one build for each promise.
var brokenBuilds = map[string]brokenBuild{
	"single requests are sent again": {
		promise: soak.PromiseOnce,
		part:    soak.PartStorm,
		fault:   standin.StampedLost,
		edits: []overlay.Edit{{
			File: "outbound/dispatch.go",
			From: "if d.rq.repeatable() || r.outcome == slatewind.OutcomeNotRun {",
			To:   "if true {",
		}},
	},
	"what is unknown is called not run": {
		promise: soak.PromiseNotRun,
		part:    soak.PartStorm,
		fault:   standin.StampedLost,
		edits: []overlay.Edit{{
			File: "outbound/reply.go",
			From: "	return http.StatusBadGateway",
			To:   "	return http.StatusServiceUnavailable",
		}},
	},
	"a broken answer passes for whole": {
		promise: soak.PromiseOwnAnswer,
		part:    soak.PartStorm,
		fault:   standin.StampedCut,
		edits: []overlay.Edit{{
			File: "inbound/answer.go",
			From: `	if err != nil {
		return u.fail(ctx, true, err)
	}`,
			To: `	if ctx.Err() != nil {
		return u.fail(ctx, true, err)
	}`,
		}},
	},
	"a stop does not wait": {
		promise: soak.PromiseNoCut,
		part:    soak.PartStops,
		edits: []overlay.Edit{{
			File: "daemon/nodestop.go",
			From: `	n.waitUntilOver(ctx, schedule)
	n.outbound.End()
	n.callers.SetKeepAlivesEnabled(false)`,
			To: `	n.callers.SetKeepAlivesEnabled(false)
	_ = n.callers.Close()`,
		}},
	},
	"a stop does not end": {
		promise: soak.PromiseEnds,
		part:    soak.PartStops,
		edits: []overlay.Edit{{
			File: "cmd/slatewindd/main.go",
			From: "return app.Stop(stopping)",
			To:   "signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)\n\tdefer func() { <-stopping.Done() }()\n\treturn app.Stop(stopping)",
		}},
	},
	"a stop takes what it cannot finish": {
		promise: soak.PromiseFinish,
		part:    soak.PartStops,
		edits: []overlay.Edit{
			{File: "drain/drain.go", From: "	if c.Open(now) {\n\t\treturn r.Deadline", To: "	if true {\n\t\treturn r.Deadline"},
			{File: "drain/drain.go", From: "return !now.After(c.LastStart(expected))", To: "return true"},
			{File: "drain/drain.go", From: "return c.Finishes().Add(-expected)", To: "return c.Ends()"},
			{File: "drain/drain.go", From: "return idle && !c.Open(now) || ", To: "return idle && false || "},
		},
	},
	"a call to the store waits for ever": {
		promise: soak.PromiseSilentStore,
		part:    soak.PartSilentStore,
		edits: []overlay.Edit{{
			File: "platform/platform.go",
			From: "idle := time.AfterFunc(wait+callTimeout, cancel)",
			To:   "idle := time.AfterFunc(wait+time.Minute, cancel)",
		}},
	},
	"a silent process is waited for": {
		promise: soak.PromiseSilentPeer,
		part:    soak.PartSilentPeers,
		edits: []overlay.Edit{{
			File: "link/heartbeat.go",
			From: "if m.idleTime() >= idleThreshold && !m.responds() && m.respondsOnNewConn() {",
			To:   "if false {",
		}},
	},
	"the store's word that a server leaves is not heard": {
		promise: soak.PromiseLeaving,
		part:    soak.PartCalm,
		edits:   []overlay.Edit{{File: "platform/entry.go", From: "entry.Leaving = f.leaving(fieldState)", To: "f.leaving(fieldState)"}},
	},
	"only the first settings are taken": {
		promise: soak.PromiseSettings,
		part:    soak.PartCalm,
		edits:   []overlay.Edit{{File: "discovery/settings.go", From: newerInDiscovery, To: "w.settings == nil"}},
	},
	"older settings are taken": {
		promise: soak.PromiseForward,
		part:    soak.PartCalm,
		edits: []overlay.Edit{
			{File: "discovery/settings.go", From: newerInDiscovery, To: "true"},
			{
				File: "config/store.go",
				From: "	return version.Newer(current.Version) && !copied",
				To:   "	return version != current.Version || copied",
			},
		},
	},
	"a limit is not kept": {
		promise: soak.PromiseLimit,
		part:    soak.PartWorkspaces,
		edits:   []overlay.Edit{{File: "ratelimit/bucket.go", From: "if b.level < tokens {", To: "if false {"}},
	},
	"a key that was taken away is taken": {
		promise: soak.PromiseKey,
		part:    soak.PartWorkspaces,
		edits: []overlay.Edit{{
			File: "workspace/workspace.go",
			From: "	return nil, ErrUnknownKey",
			To:   "	for _, w := range d.byName {\n\t\treturn w, nil\n\t}\n\treturn nil, ErrUnknownKey",
		}},
	},
	"a claimed name is passed on": {
		promise: soak.PromiseKey,
		part:    soak.PartWorkspaces,
		edits:   []overlay.Edit{{File: "outbound/request.go", From: "o.headerNames.Key, o.headerNames.Workspace)", To: "o.headerNames.Key)"}},
	},
	"requests under which servers ended are sent on": {
		promise: soak.PromiseQuarantine,
		part:    soak.PartDeadly,
		edits: []overlay.Edit{
			{File: "inbound/quarantine.go", From: "verdict := u.in.suspects.Begin(now, u.digest, u.in.turn())", To: "verdict := quarantine.Verdict{}"},
			{File: "outbound/quarantine.go", From: "return o.suspects.Check(now, rq.digest).Refused", To: "return false"},
		},
	},
	"the store's era is not read": {
		promise: soak.PromiseSettings,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "platform/platform.go", From: `if text == "" {`, To: "if true {"}},
	},
	"a restore is told by a lost history alone": {
		promise: soak.PromiseSettings,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "platform/platform.go", From: "if err == nil && era != after.Era {", To: "if false {"}},
	},
	"a copy brings a leaving server back": {
		promise: soak.PromiseLeaving,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "discovery/servers.go", From: "entry.Leaving || revision.Era > k.leavingSince.Era", To: "entry.Leaving"}},
	},
	"a copy brings a removed server back": {
		promise: soak.PromiseLeaving,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "discovery/servers.go", From: "case p.Complete && w.resurrected(entry, p.Revision):", To: "case false:"}},
	},
	"no budget": {
		promise: soak.PromiseBudget,
		part:    soak.PartCalm,
		edits: []overlay.Edit{{
			File: "inbound/slots.go",
			From: "r.GetExtra() && !in.extras.Left(now)",
			To:   "false",
		}},
	},
}

// newerInDiscovery is the condition under which published settings are taken.
const newerInDiscovery = "w.settings == nil || settings.Version > w.settings.Version"

// brokenSeeds is how many seeds a broken build may take to be noticed: the order of
// events is drawn, and the system's own moves in real time are not.
const brokenSeeds = 3

// TestBrokenBuilds takes one safeguard after the other away and states which
// promise the soak then finds broken, so that no check is one that never fails. A run
// ends as soon as it is found.
func TestBrokenBuilds(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon once for each safeguard")
	}
	t.Parallel()
	for name, test := range brokenBuilds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list, err := overlay.Write("..", t.TempDir(), test.edits)
			assert.NilError(t, err)
			program := build(t, list)
			found := map[soak.Promise]int{}
			for seed := *firstSeed; seed < *firstSeed+brokenSeeds && found[test.promise] == 0; seed++ {
				report, err := soak.Run(context.Background(), test.options(program, seed))
				t.Logf("seed %d: %d breaches, error %v", seed, len(report.Breaches), err)
				if err == nil {
					// Logs of a build that is broken on purpose tell nothing, unless the
					// run itself failed.
					t.Cleanup(func() { _ = os.RemoveAll(report.Logs) })
				}
				for _, b := range report.Breaches {
					found[b.Promise]++
				}
			}
			assert.Assert(t, found[test.promise] > 0, "found %v", found)
		})
	}
}

// options say what a run of a broken build is like: no longer than it takes, unless the
// whole of it is asked for.
func (b brokenBuild) options(program string, seed uint64) soak.Options {
	o := options(program, seed, soak.PartStorm, soak.PartCalm, soak.PartSilentPeers, soak.PartSilentStore, soak.PartWorkspaces, soak.PartStops, soak.PartRestores, soak.PartDeadly)
	if *whole {
		return o
	}
	o.Until, o.Parts = b.promise, []soak.Part{b.part}
	if b.fault != standin.StampedOK {
		o.ServerFaults = []standin.StampedMode{b.fault}
	}
	return o
}
