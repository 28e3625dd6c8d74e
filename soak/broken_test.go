package soak_test

import (
	"context"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/overlay"
	"slatewind.example/slatewind/internal/standin"
	"slatewind.example/slatewind/soak"
)

// brokenBuild is the daemon without one safeguard.
type brokenBuild struct {
	edits []overlay.Edit
	// promise is the promise that the soak must then report as broken.
	promise soak.Promise
	// part is the part of a run that detects it; fault is the failure mode that the servers need
	// for that, if any.
	part  soak.Part
	fault standin.StampedMode
}

// brokenBuilds has at least one build for each promise.
var brokenBuilds = map[string]brokenBuild{
	"single requests are retried": {
		promise: soak.PromiseAtMostOnce,
		part:    soak.PartStorm,
		fault:   standin.StampedLost,
		edits: []overlay.Edit{{
			File: "outbound/dispatch.go",
			From: "if d.rq.repeatable() || r.outcome == slatewind.OutcomeNotRun {",
			To:   "if true {",
		}},
	},
	"an unknown outcome is reported as not run": {
		promise: soak.PromiseTrueRefusal,
		part:    soak.PartStorm,
		fault:   standin.StampedLost,
		edits: []overlay.Edit{{
			File: "outbound/reply.go",
			From: "	return http.StatusBadGateway",
			To:   "	return http.StatusServiceUnavailable",
		}},
	},
	"an incomplete answer is passed on as complete": {
		promise: soak.PromiseOwnAnswer,
		part:    soak.PartStorm,
		fault:   standin.StampedCut,
		edits: []overlay.Edit{
			{
				File: "inbound/answer.go",
				From: `	if err != nil {
		return u.fail(ctx, true, err)
	}`,
				To: `	if ctx.Err() != nil {
		return u.fail(ctx, true, err)
	}`,
			},
			{File: "outbound/bodyreader.go", From: "r.stated >= 0 && r.length != int64(r.stated) || ", To: ""},
		},
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
		promise: soak.PromiseStopInTime,
		part:    soak.PartStops,
		edits: []overlay.Edit{{
			File: "cmd/slatewindd/main.go",
			From: "	return app.Stop(context.Background())",
			To:   "	_ = app.Stop(context.Background())\n\tselect {}",
		}},
	},
	"a stopping process accepts what it cannot finish": {
		promise: soak.PromiseNoLateAbandon,
		part:    soak.PartStops,
		edits: []overlay.Edit{
			{File: "drain/drain.go", From: "	if c.Open(now) {\n\t\treturn r.Deadline", To: "	if true {\n\t\treturn r.Deadline"},
			{File: "drain/drain.go", From: "return !now.After(c.LastStart(expected))", To: "return true"},
			{File: "drain/drain.go", From: "return c.Finishes().Add(-expected)", To: "return c.Ends()"},
			{File: "drain/drain.go", From: "return idle && !c.Open(now) || ", To: "return idle && false || "},
		},
	},
	"a call to the store has too long a timeout": {
		promise: soak.PromiseSilentStore,
		part:    soak.PartSilentStore,
		edits: []overlay.Edit{{
			File: "platform/platform.go",
			From: "idle := time.AfterFunc(wait+callTimeout, cancel)",
			To:   "idle := time.AfterFunc(wait+time.Minute, cancel)",
		}},
	},
	"a silent connection to a peer is kept": {
		promise: soak.PromiseSilentPeer,
		part:    soak.PartSilentPeers,
		edits: []overlay.Edit{{
			File: "link/heartbeat.go",
			From: "if m.idleTime() >= idleThreshold && m.inTransit() <= 0 && !m.responds() && m.respondsOnNewConn() {",
			To:   "if false {",
		}},
	},
	"the leaving state in a server's entry is ignored": {
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
		promise: soak.PromiseNoOlderSettings,
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
	"a limit is not enforced": {
		promise: soak.PromiseLimit,
		part:    soak.PartWorkspaces,
		edits:   []overlay.Edit{{File: "ratelimit/bucket.go", From: "if b.level < tokens {", To: "if false {"}},
	},
	"a revoked key is accepted": {
		promise: soak.PromiseKey,
		part:    soak.PartWorkspaces,
		edits: []overlay.Edit{{
			File: "workspace/workspace.go",
			From: "	return nil, ErrUnknownKey",
			To:   "	for _, w := range d.byName {\n\t\treturn w, nil\n\t}\n\treturn nil, ErrUnknownKey",
		}},
	},
	"a workspace name sent by a caller is passed on": {
		promise: soak.PromiseKey,
		part:    soak.PartWorkspaces,
		edits:   []overlay.Edit{{File: "outbound/request.go", From: "o.headerNames.Key, o.headerNames.Workspace)", To: "o.headerNames.Key)"}},
	},
	"requests that crashed servers are sent on": {
		promise: soak.PromiseQuarantine,
		part:    soak.PartDeadly,
		edits: []overlay.Edit{
			{File: "inbound/quarantine.go", From: "verdict := u.in.suspects.Begin(now, u.digest, u.in.turn())", To: "verdict := quarantine.Verdict{}"},
			{File: "outbound/quarantine.go", From: "return o.suspects.Check(now, rq.digest).Refused", To: "return false"},
		},
	},
	"the era of the store is not read": {
		promise: soak.PromiseSettings,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "platform/platform.go", From: `if text == "" {`, To: "if true {"}},
	},
	"a restore is detected by a lost history alone": {
		promise: soak.PromiseSettings,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "platform/platform.go", From: "if err == nil && era != after.Era {", To: "if false {"}},
	},
	"a restore brings a leaving server back": {
		promise: soak.PromiseLeaving,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "discovery/servers.go", From: "entry.Leaving || revision.Era > k.leavingSince.Era", To: "entry.Leaving"}},
	},
	"a restore brings a removed server back": {
		promise: soak.PromiseLeaving,
		part:    soak.PartRestores,
		edits:   []overlay.Edit{{File: "discovery/servers.go", From: "case p.Complete && w.resurrected(entry, p.Revision):", To: "case false:"}},
	},
	"evacuations are not read": {
		promise: soak.PromiseEvacuation,
		part:    soak.PartEvacuations,
		edits:   []overlay.Edit{{File: "platform/wire.go", From: "update.Evacuations.Began = append(update.Evacuations.Began, dataCentre)", To: "_ = dataCentre"}},
	},
	"a server that was down is taken for warm": {
		promise: soak.PromiseWarmup,
		part:    soak.PartWarmup,
		edits:   []overlay.Edit{{File: "warmup/warmup.go", From: "return l.down || !l.known || now.Before(l.until)", To: "return false"}},
	},
	"limits that servers state are ignored": {
		promise: soak.PromiseStatedLimit,
		part:    soak.PartStatements,
		edits:   []overlay.Edit{{File: "inbound/slots.go", From: "wait := in.limit.Wait(now); wait > 0", To: "wait := in.limit.Wait(now); wait < 0"}},
	},
	"what answers state about leaving is ignored": {
		promise: soak.PromiseLeaving,
		part:    soak.PartStatements,
		edits:   []overlay.Edit{{File: "inbound/statements.go", From: "== slatewind.LeavingValue {", To: "== slatewind.LeavingValue+slatewind.LeavingValue {"}},
	},
	"a slot is not kept for a body that still arrives": {
		promise: soak.PromiseUpload,
		part:    soak.PartUploads,
		edits:   []overlay.Edit{{File: "inbound/use.go", From: "			idle.Reset(grantTime)\n", To: ""}},
	},
	"unread answers are not bounded": {
		promise: soak.PromiseUnread,
		part:    soak.PartUnread,
		edits:   []overlay.Edit{{File: "bodylimit/answers.go", From: "a.bytes > a.capacity && oldest != added", To: "false && oldest != added"}},
	},
	"a prefix takes the path without its last slash": {
		promise: soak.PromiseAtMostOnce,
		part:    soak.PartStorm,
		fault:   standin.StampedLost,
		edits: []overlay.Edit{{
			File: "routing/routing.go",
			From: "	if route := findMethod(prefixes[path], method); route != nil {",
			To:   "	if route := findMethod(prefixes[path+\"/\"], method); route != nil {",
		}},
	},
	"any server at the address is taken for the service's own": {
		promise: soak.PromiseReuse,
		part:    soak.PartReuse,
		edits: []overlay.Edit{
			{File: "occupant/local.go", From: "	if entry.Service != l.service {", To: "	if false {"},
		},
	},
	"the end of a stream is taken for that of the answer": {
		promise: soak.PromiseOwnAnswer,
		part:    soak.PartLong,
		edits: []overlay.Edit{
			{
				File: "outbound/bodyreader.go",
				From: "		return errors.Join(errIncompleteAnswer, link.EarlyEnd(err))",
				To:   "		if r.length > link.MaxBufferedBytes {\n\t\t\tr.verified = true\n\t\t\treturn nil\n\t\t}\n\t\treturn errors.Join(errIncompleteAnswer, link.EarlyEnd(err))",
			},
			{File: "outbound/reply.go", From: "		length = a.stated", To: "		length = -1"},
		},
	},
	"an answer without an id is accepted": {
		promise: soak.PromiseOwnAnswer,
		part:    soak.PartStutter,
		edits: []overlay.Edit{
			{File: "backend/surplus.go", From: "		return SurplusNoID", To: "		return \"\""},
			{File: "outbound/owner.go", From: "if owns(rq.id, ids) {", To: "if owns(rq.id, ids) || true {"},
		},
	},
	"a connection carries requests with one id": {
		promise: soak.PromiseOwnAnswer,
		part:    soak.PartStutter,
		edits:   []overlay.Edit{{File: "backend/pool.go", From: "c.headOnly == isHead && !slices.Contains(c.earlier, id)", To: "c.headOnly == isHead"}},
	},
	"an answer without a length may contain another one": {
		promise: soak.PromiseOwnAnswer,
		part:    soak.PartUnframed,
		edits:   []overlay.Edit{{File: "backend/backend.go", From: "		if isUnframed(response) {", To: "		if false {"}},
	},
	"a head has no limit": {
		promise: soak.PromiseMemory,
		part:    soak.PartLimits,
		edits:   []overlay.Edit{{File: "backend/head.go", From: "	if !l.inHead {", To: "	if true {"}},
	},
	"a closed log ends the process": {
		promise: soak.PromiseRuns,
		part:    soak.PartLimits,
		edits:   []overlay.Edit{{File: "cmd/slatewindd/main.go", From: "syscall.SIGHUP, syscall.SIGPIPE)", To: "syscall.SIGHUP)"}},
	},
	"no budget": {
		promise: soak.PromiseBudget,
		part:    soak.PartCalm,
		edits: []overlay.Edit{{
			File: "inbound/slots.go",
			From: "return r.GetExtra() && !in.extras.Left(now)",
			To:   "return false",
		}},
	},
}

// newerInDiscovery is the condition under which discovery takes published settings.
const newerInDiscovery = "w.settings == nil || settings.Version > w.settings.Version"

// brokenSeeds is the number of seeds within which a broken build must be detected. One seed is
// not enough: a seed determines the order of the faults but not the timing of the processes.
const brokenSeeds = 3

// TestBrokenBuilds removes one safeguard at a time and requires that the soak reports the
// corresponding promise as broken. It guards against checks that never fail. A run ends as soon
// as the breach is found.
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
					// The logs of a build that is broken on purpose are of no use, unless the
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

// partsWithOwnRuns are the parts that do not run together with others.
var partsWithOwnRuns = []soak.Part{soak.PartLong, soak.PartLimits, soak.PartStutter, soak.PartUnframed, soak.PartLongStops}

// options returns the options of a run of a broken build. It ends at the first breach, unless
// the flag soak.whole is set.
func (b brokenBuild) options(program string, seed uint64) soak.Options {
	o := options(program, seed, soak.PartStorm, soak.PartCalm, soak.PartSilentPeers, soak.PartSilentStore, soak.PartWorkspaces, soak.PartStops, soak.PartRestores, soak.PartDeadly,
		soak.PartEvacuations, soak.PartWarmup, soak.PartStatements, soak.PartUploads, soak.PartUnread, soak.PartReuse)
	if *whole && !slices.Contains(partsWithOwnRuns, b.part) {
		return o
	}
	o.StopOn, o.Parts = b.promise, []soak.Part{b.part}
	if b.fault != standin.StampedOK {
		o.ServerFaults = []standin.StampedMode{b.fault}
	}
	return o
}
