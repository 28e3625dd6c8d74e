package soak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/soak"
)

var (
	seeds     = flag.Int("soak.seeds", 1, "how many seeds to run")
	firstSeed = flag.Uint64("soak.seed", 1, "the first seed")
	nodes     = flag.Int("soak.nodes", soak.DefaultNodes, "how many processes to run")
)

// regressions are the seeds that ever failed, with the cause in a comment.
var regressions = []uint64{}

// build builds the daemon; overlay replaces sources where it is not empty.
func build(t *testing.T, overlay string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "slatewindd")
	arguments := []string{"build", "-o", program}
	if overlay != "" {
		arguments = append(arguments, "-overlay", overlay)
	}
	output, err := exec.Command("go", append(arguments, "../cmd/slatewindd")...).CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

func options(program string, seed uint64) soak.Options {
	return soak.Options{Program: program, Seed: seed, Nodes: *nodes, Storm: soak.DefaultStorm, Patience: soak.DefaultPatience}
}

// TestSoak runs the seeds that ever failed and those that the flags ask for. No
// promise may be broken.
func TestSoak(t *testing.T) {
	program := build(t, "")
	run := append([]uint64{}, regressions...)
	for i := range *seeds {
		run = append(run, *firstSeed+uint64(i))
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			report, err := soak.Run(context.Background(), options(program, seed))
			assert.NilError(t, err, "logs: %s", report.Logs)
			for _, b := range report.Breaches {
				t.Errorf("%s: %s (logs: %s)", b.Promise, b.What, report.Logs)
			}
		})
	}
}

// TestBrokenBuilds takes one safeguard after the other away and states which
// promise the soak then finds broken.
func TestBrokenBuilds(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon once for each safeguard")
	}
	tests := map[string]struct {
		edits   []edit
		promise soak.Promise
	}{
		"single requests are sent again": {
			[]edit{{"outbound/dispatch.go", "if d.rq.repeatable() || r.outcome == slatewind.OutcomeNotRun {", "if true {"}}, soak.PromiseOnce,
		},
		"what is unknown is called not run": {
			[]edit{{"outbound/reply.go", "kind, status = slatewind.DecisionUnknown, http.StatusBadGateway", "kind, status = slatewind.DecisionUnknown, http.StatusServiceUnavailable"}}, soak.PromiseNotRun,
		},
		"a broken answer passes for whole": {
			[]edit{{"inbound/answer.go", "	if err != nil {\n		return u.fail(ctx, true, err)\n	}", "	if ctx.Err() != nil {\n		return u.fail(ctx, true, err)\n	}"}}, soak.PromiseOwnAnswer,
		},
		"a stop does not wait": {
			[]edit{{
				"daemon/nodestop.go", "	n.waitUntilQuiet(ctx)\n	ending, cancel := context.WithTimeout(ctx, drainNotice)\n	defer cancel()\n	n.callers.SetKeepAlivesEnabled(false)\n	err := n.callers.Shutdown(ending)",
				"	n.callers.SetKeepAlivesEnabled(false)\n	err := n.callers.Close()",
			}}, soak.PromiseNoCut,
		},
		"the store's word that a server leaves is not heard": {
			[]edit{{"platform/wire.go", "Leaving: ", "Leaving: false && "}}, soak.PromiseLeaving,
		},
		"only the first settings are taken": {
			[]edit{{"discovery/known.go", "(w.settings == nil || p.Settings.Version > w.settings.Version)", "w.settings == nil"}}, soak.PromiseSettings,
		},
		"older settings are taken": {
			[]edit{
				{"discovery/known.go", "(w.settings == nil || p.Settings.Version > w.settings.Version)", "true"},
				{
					"config/store.go", "version := Version{Revision: settings.Version}\n	for {\n		current := s.current.Load()\n		if current != nil && !version.Newer(current.Version) {",
					"version := Version{Revision: settings.Version}\n	for {\n		current := s.current.Load()\n		if false {",
				},
			}, soak.PromiseForward,
		},
		"no budget": {
			[]edit{{"outbound/dispatch.go", "return d.rq.shard.budget.Take()", "return true"}}, soak.PromiseBudget,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			program := build(t, overlay(t, test.edits))
			report, err := soak.Run(context.Background(), options(program, *firstSeed))
			t.Cleanup(func() { _ = os.RemoveAll(report.Logs) })
			found := map[soak.Promise]int{}
			for _, b := range report.Breaches {
				found[b.Promise]++
			}
			assert.Assert(t, found[test.promise] > 0, "found %v, error %v", found, err)
		})
	}
}

// edit replaces a text that stands just once in a source file.
type edit struct{ file, from, to string }

// overlay writes changed copies of source files and what tells the compiler to
// use them.
func overlay(t *testing.T, edits []edit) string {
	t.Helper()
	dir := t.TempDir()
	replace := map[string]string{}
	for i, e := range edits {
		source, err := filepath.Abs(filepath.Join("..", e.file))
		assert.NilError(t, err)
		text, err := os.ReadFile(source)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(text), e.from), 1, "%s must hold once: %s", e.file, e.from)
		changed := filepath.Join(dir, fmt.Sprint("changed-", i, ".go"))
		assert.NilError(t, os.WriteFile(changed, []byte(strings.Replace(string(text), e.from, e.to, 1)), 0o600))
		replace[source] = changed
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	assert.NilError(t, err)
	path := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(path, list, 0o600))
	return path
}
