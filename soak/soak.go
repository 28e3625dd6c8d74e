// Package soak runs real slatewindd processes against stand-ins for the store and the servers,
// and injects faults in random order, to find sequences of events that no single test covers.
//
// A run is determined by a seed, except for the timing of the processes. It starts a small
// fleet: processes, each with its server, a proxy in front of its peer port and a proxy in front
// of the store; and callers that keep their connections open. The two main parts are the storm
// and the calm. In the storm, faults overlap: links are delayed, reset, silenced or cut in one
// direction; processes are paused, killed and stopped; servers fail partially; the store is
// down, returns stale data or is restored from a copy; settings change. In the calm after it,
// settings change, the store returns older ones, all servers reject requests, a server leaves
// and a process is stopped, one after the other and each under load. Further parts each
// concentrate on one kind of fault.
//
// The observations of callers and servers are recorded as they are made and verified at the end
// (verify.go): properties that must always hold over the whole run, properties with a time bound
// only in parts without faults that would excuse a delay. The system stores nothing on disk, so
// no fault concerns storage; all clocks are that of one machine, so clock faults are not
// covered.
package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind/internal/standin"
)

// Error is the class of errors of this package.
var Error = errs.Class("soak")

// Part is a part of a run.
type Part string

// Parts of a run, in the order in which they run.
const (
	// PartStorm: random, overlapping faults.
	PartStorm Part = "storm"
	// PartCalm: the promises with a time bound are checked, without faults.
	PartCalm Part = "calm"
	// PartSilentPeers and PartSilentStore: connections between processes, or to the store, drop
	// everything until they are closed.
	PartSilentPeers Part = "silent peers"
	PartSilentStore Part = "silent store"
	// PartWorkspaces: a workspace exceeds its limit, its limit is lowered and its key is
	// revoked.
	PartWorkspaces Part = "workspaces"
	// PartStops: processes stop, with their stops overlapping, while another one is suspended.
	PartStops Part = "stops"
	// PartLongStops: processes stop one at a time, without other faults, while servers take long.
	PartLongStops Part = "stops with long requests"
	// PartRestores: the store is restored from an older copy.
	PartRestores Part = "restores"
	// PartDeadly: a request that crashes servers is sent again and again.
	PartDeadly Part = "deadly"
	// PartEvacuations: a data centre is evacuated and taken back, again and again.
	PartEvacuations Part = "evacuations"
	// PartWarmup: servers restart under load and warm up.
	PartWarmup Part = "warm-up"
	// PartStatements: servers state limits, and that they leave, in their answers.
	PartStatements Part = "statements"
	// PartUploads: large bodies are sent over slow links.
	PartUploads Part = "uploads"
	// PartUnread: callers do not read their answers.
	PartUnread Part = "unread answers"
	// PartReuse: the addresses of servers that crashed go to other servers.
	PartReuse Part = "reused addresses"
	// PartLong: callers read long answers slowly, and their time ends meanwhile. Links between processes have no
	// faults in a run that includes it.
	PartLong Part = "long answers"
	// PartStutter: servers send their answers more than once.
	PartStutter Part = "repeated answers"
	// PartUnframed: the same with answers without a length, behind which the copy comes before the connection's end.
	PartUnframed Part = "repeated answers without a length"
	// PartLimits: processes are brought near their limits on memory and descriptors, and their surroundings misbehave. The
	// limits of their settings differ in a run that includes it.
	PartLimits Part = "limits"
)

// Options configure a run.
type Options struct {
	// Program is the path of slatewindd.
	Program string
	// Seed determines all random choices.
	Seed uint64
	// Nodes is the number of processes, each with a server.
	Nodes int
	// Parts are the parts to run.
	Parts []Part
	// Storm is the duration of the storm.
	Storm time.Duration
	// ServerFaults, if not empty, limits the storm to failures of servers in these modes;
	// otherwise it has faults of all kinds.
	ServerFaults []standin.StampedMode
	// Timeout is how long a change may take to show in parts with time bounds. It is far above
	// the bounds that the users require, since the machine may be busy.
	Timeout time.Duration
	// StopOn ends the run as soon as this promise is broken; if it is empty, all parts run to
	// the end.
	StopOn Promise
}

// Defaults of Options.
const (
	DefaultNodes   = 5
	DefaultStorm   = 8 * time.Second
	DefaultTimeout = 15 * time.Second
)

// Report is the result of one run.
type Report struct {
	// Breaches are the broken promises.
	Breaches []Breach
	// Logs is the folder with the logs of the processes. They are kept if a promise was broken
	// or the run failed; otherwise Logs is empty.
	Logs string
}

// Run runs the parts for one seed. An error means that the run itself failed, for example
// because a process did not become ready.
func Run(ctx context.Context, o Options) (report Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(o)
	if err != nil {
		return report, err
	}
	defer func() {
		keep := err != nil || len(report.Breaches) > 0
		if keep {
			report.Logs = f.dir
		}
		f.close(keep)
	}()
	if err := f.start(ctx); err != nil {
		return report, err
	}
	random := rand.New(rand.NewPCG(o.Seed, ^o.Seed))
	go f.watchStalls(ctx)
	callers := f.startCallers(ctx, random)
	partsCtx, cancelParts := context.WithCancel(ctx)
	go f.stopOnBreach(partsCtx, cancelParts)
	err = f.run(partsCtx, random)
	cancelParts()
	callers.stop()
	f.settle()
	report.Breaches = f.record.verify(f.runs, f.restartedServers())
	return report, errs.Combine(err, f.record.failed())
}

// run runs the parts that the options select. An error of a part that was ended early is
// dropped.
func (f *fleet) run(ctx context.Context, random *rand.Rand) error {
	parts := []struct {
		name Part
		run  func() error
	}{
		{PartStorm, func() error { return f.storm(ctx, random, f.options.Storm) }},
		{PartCalm, func() error { return f.calm(ctx) }},
		{PartSilentPeers, func() error { return f.checkSilence(ctx, PromiseSilentPeer, peerProxy) }},
		{PartSilentStore, func() error { return f.checkSilence(ctx, PromiseSilentStore, storeProxy) }},
		{PartWorkspaces, func() error { return f.checkWorkspaces(ctx, random) }},
		{PartStops, func() error { return f.checkStops(ctx, random) }},
		{PartLongStops, func() error { return f.checkLongStops(ctx, random) }},
		{PartRestores, func() error { return f.checkRestores(ctx, random) }},
		{PartDeadly, func() error { return f.checkDeadly(ctx, random) }},
		{PartEvacuations, func() error { return f.checkEvacuations(ctx, random) }},
		{PartWarmup, func() error { return f.checkWarmup(ctx, random) }},
		{PartStatements, func() error { return f.checkStatements(ctx, random) }},
		{PartUploads, func() error { return f.checkUploads(ctx) }},
		{PartUnread, func() error { return f.checkUnread(ctx) }},
		{PartReuse, func() error { return f.checkReuse(ctx, random) }},
		{PartLong, func() error { return f.checkLong(ctx, random) }},
		{PartStutter, func() error { return f.checkStutter(ctx, random, framedCopies...) }},
		{PartUnframed, func() error { return f.checkStutter(ctx, random, standin.CopyUnframed) }},
		{PartLimits, func() error { return f.checkLimits(ctx, random) }},
	}
	for _, part := range parts {
		if !f.includes(part.name) {
			continue
		}
		if err := part.run(); err != nil || ctx.Err() != nil {
			return unlessEnded(ctx, err)
		}
	}
	return nil
}

// unlessEnded returns the error of a part, or nil if the part was ended early.
func unlessEnded(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// includes reports whether the run includes a part.
func (f *fleet) includes(part Part) bool { return slices.Contains(f.options.Parts, part) }
