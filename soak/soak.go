// Package soak runs real slatewindd processes against stand-ins and breaks things
// around them, to find orders of events that no single test thinks of.
//
// A run is drawn from a seed: a small fleet of processes, each with its server
// and with a proxy before its peer port and one before the store; callers that
// keep their connections; and two phases. In the storm, faults come in series
// and overlap: links are delayed, reset, silenced or cut one way, processes are
// paused, killed and told to stop, servers fail in part, the store is away or
// stale or comes back from a copy, settings change. In the calm after it, settings
// change, the store shows older ones, all servers reject what comes, a server
// leaves and a process is told to stop, one after the other and each under load.
//
// What callers and servers saw is written down as it happens, and judged in the
// end (judge.go): what must hold always is judged over the whole
// run, what has a time bound only in the calm. The system keeps nothing on disks,
// so no fault concerns storage; clocks are those of one machine and do not
// misbehave here.
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

// Parts of a run, in the order in which they are played.
const (
	// PartStorm: faults come and go.
	PartStorm Part = "storm"
	// PartCalm: what has a time bound is checked, without any fault.
	PartCalm Part = "calm"
	// PartSilentPeers and PartSilentStore: connections between processes, or to the
	// store, go silent for good.
	PartSilentPeers Part = "silent peers"
	PartSilentStore Part = "silent store"
	// PartWorkspaces: a workspace floods, its limit is lowered and its key taken away.
	PartWorkspaces Part = "workspaces"
	// PartStops: processes stop in a series that overlaps, while another one hangs.
	PartStops Part = "stops"
	// PartRestores: the store comes back from an older copy.
	PartRestores Part = "restores"
	// PartDeadly: servers end under one request, which comes again and again.
	PartDeadly Part = "deadly"
)

// Options say what a run is like.
type Options struct {
	// Program is the path of slatewindd.
	Program string
	// Seed draws everything that is drawn.
	Seed uint64
	// Nodes is how many processes run, each with a server.
	Nodes int
	// Parts are played.
	Parts []Part
	// Storm is how long faults come.
	Storm time.Duration
	// ServerFaults are the ways in which servers fail in a storm of nothing else; where
	// there are none, faults of all kinds come.
	ServerFaults []standin.StampedMode
	// Patience is how long a change may take to show in the calm. It is far above
	// the bounds that the users state, since the machine may be busy.
	Patience time.Duration
	// Until ends the run as soon as this promise is broken; without one, a run plays
	// its parts to the end.
	Until Promise
}

// Defaults of a run.
const (
	DefaultNodes    = 5
	DefaultStorm    = 8 * time.Second
	DefaultPatience = 15 * time.Second
)

// Report is what one run found.
type Report struct {
	// Breaches are the broken promises.
	Breaches []Breach
	// Logs is the folder with the processes' logs, kept where a promise was broken
	// or the run failed, and empty otherwise.
	Logs string
}

// Run plays one seed. The error says that the run itself failed, for example that
// a process did not become ready.
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
	playing, enough := context.WithCancel(ctx)
	go f.watch(playing, enough)
	err = f.play(playing, random)
	enough()
	callers.stop()
	f.settle()
	report.Breaches = f.record.judge(f.runs)
	return report, errs.Combine(err, f.record.failed())
}

// play plays the parts of the run. A part that is ended early has nothing to say.
func (f *fleet) play(ctx context.Context, random *rand.Rand) error {
	parts := []struct {
		name Part
		play func() error
	}{
		{PartStorm, func() error { return f.storm(ctx, random, f.options.Storm) }},
		{PartCalm, func() error { return f.calm(ctx) }},
		{PartSilentPeers, func() error { return f.checkSilence(ctx, PromiseSilentPeer, peerProxy) }},
		{PartSilentStore, func() error { return f.checkSilence(ctx, PromiseSilentStore, storeProxy) }},
		{PartWorkspaces, func() error { return f.checkWorkspaces(ctx, random) }},
		{PartStops, func() error { return f.checkStops(ctx, random) }},
		{PartRestores, func() error { return f.checkRestores(ctx, random) }},
		{PartDeadly, func() error { return f.checkDeadly(ctx, random) }},
	}
	for _, part := range parts {
		if !f.plays(part.name) {
			continue
		}
		if err := part.play(); err != nil || ctx.Err() != nil {
			return whileOn(ctx, err)
		}
	}
	return nil
}

// whileOn returns an error of a part of the run, unless the part was ended early.
func whileOn(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// plays reports whether a part belongs to the run.
func (f *fleet) plays(part Part) bool { return slices.Contains(f.options.Parts, part) }
