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

// Flags of the soak, as make soak sets them.
var (
	seeds     = flag.Int("soak.seeds", 1, "how many seeds to run")
	firstSeed = flag.Uint64("soak.seed", 1, "the first seed")
	whole     = flag.Bool("soak.whole", false, "play all phases to the end with the broken builds too")
	nodes     = flag.Int("soak.nodes", soak.DefaultNodes, "how many processes to run")
)

// regressions are the seeds that ever failed, with the cause in a comment.
var regressions = []uint64{}

// building lets one build go on at a time, for the sake of the runs beside it.
var building sync.Mutex

// build builds the daemon; overlay replaces sources where it is not empty.
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
		Storm: soak.DefaultStorm, Patience: soak.DefaultPatience,
	}
}

// TestSoak runs the seeds that ever failed and those that the flags ask for. No
// promise may be broken.
func TestSoak(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartStorm, soak.PartCalm)
}

// TestStops has processes stop while callers keep to them, others stop too, one hangs
// and the signals to stop and to read the settings anew come again.
func TestStops(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartStops)
}

// TestWorkspaces has a workspace flood while processes fail, lowers its limit and takes its key
// away.
func TestWorkspaces(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartWorkspaces)
}

// TestRestores has the store come back from older copies while processes are paused and cut off.
func TestRestores(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartRestores)
}

// TestDeadly has servers end under one request while processes fail.
func TestDeadly(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartDeadly)
}

// TestSilentPeers has connections between processes go silent for good.
func TestSilentPeers(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartSilentPeers)
}

// TestSilentStore has connections to the store go silent for good.
func TestSilentStore(t *testing.T) {
	t.Parallel()
	runSeeds(t, soak.PartSilentStore)
}

// runSeeds plays parts of a run for each seed.
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
				t.Errorf("%s: %s (logs: %s)", b.Promise, b.What, report.Logs)
			}
		})
	}
}
