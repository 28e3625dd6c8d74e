package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/soak"
)

// Flags of the soak, set by make soak.
var (
	seeds     = flag.Int("soak.seeds", 1, "how many seeds to run")
	firstSeed = flag.Uint64("soak.seed", 1, "the first seed")
	whole     = flag.Bool("soak.whole", false, "run all parts to the end with the broken builds too")
	nodes     = flag.Int("soak.nodes", soak.DefaultNodes, "how many processes to run")
)

// regressions are the seeds that have failed before, each with the cause in a comment.
var regressions = []uint64{}

// building serialises builds, so that they take less processor time from the runs in progress.
var building sync.Mutex

// build builds the daemon; a non-empty overlay replaces sources.
func build(t *testing.T, overlay string) string {
	t.Helper()
	building.Lock()
	defer building.Unlock()
	program := filepath.Join(t.TempDir(), "slatewindd")
	arguments := []string{"build", "-o", program}
	if overlay != "" {
		arguments = append(arguments, "-overlay", overlay)
	}
	output, err := exec.Command("go", append(arguments, "../cmd/slatewindd")...).CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

func options(program string, seed uint64, parts ...soak.Part) soak.Options {
	return soak.Options{
		Program: program, Seed: seed, Nodes: *nodes, Parts: parts,
		Storm: soak.DefaultStorm, Timeout: soak.DefaultTimeout,
	}
}

// TestSoak runs the seeds that have failed before and those that the flags select, through the
// storm and the calm. No promise may be broken.
func TestSoak(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartStorm, soak.PartCalm)
}

// TestStops stops processes, with their stops overlapping, while callers keep using them,
// another process is suspended, and the signals to stop and to reload the settings are repeated.
func TestStops(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartStops)
}

// TestLongStops stops processes one at a time while servers take long and callers keep using the process.
func TestLongStops(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartLongStops)
}

// TestWorkspaces makes a workspace exceed its limit while processes fail, lowers its limit and
// revokes its key.
func TestWorkspaces(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartWorkspaces)
}

// TestRestores restores the store from older copies while processes are paused and cut off.
func TestRestores(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartRestores)
}

// TestDeadly sends a request that crashes servers while processes fail.
func TestDeadly(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartDeadly)
}

// TestEvacuations evacuates a data centre while processes fail.
func TestEvacuations(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartEvacuations)
}

// TestWarmup lets servers restart under load while processes fail.
func TestWarmup(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartWarmup)
}

// TestStatements lets servers state limits, and one that it leaves, while processes fail.
func TestStatements(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartStatements)
}

// TestUploads sends large bodies over slow links.
func TestUploads(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartUploads)
}

// TestUnread opens connections of callers that do not read their answers.
func TestUnread(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartUnread)
}

// TestReuse lets servers crash and gives their addresses to others, also of another service.
func TestReuse(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartReuse)
}

// TestLong lets callers read long answers slowly.
func TestLong(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartLong)
}

// TestStutter lets servers send their answers more than once while processes fail.
func TestStutter(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartStutter)
}

// TestUnframed lets servers send answers without a length, and copies behind them.
func TestUnframed(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartUnframed)
}

// TestLimits brings processes near their limits while servers, callers and their surroundings misbehave.
func TestLimits(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartLimits)
}

// TestSilentPeers makes connections between processes drop everything until they are closed.
func TestSilentPeers(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartSilentPeers)
}

// TestSilentStore makes connections to the store drop everything until they are closed.
func TestSilentStore(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartSilentStore)
}

// runSeeds runs parts of a run for each seed.
func runSeeds(t *testing.T, parts ...soak.Part) {
	t.Helper()
	program := build(t, "")
	run := append([]uint64{}, regressions...)
	for i := range *seeds {
		run = append(run, *firstSeed+uint64(i))
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			report, err := soak.Run(context.Background(), options(program, seed, parts...))
			assert.NilError(t, err, "logs: %s", report.Logs)
			for _, b := range report.Breaches {
				t.Errorf("%s: %s (logs: %s)", b.Promise, b.Detail, report.Logs)
			}
		})
	}
}
