package replay_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	"slatewind.example/slatewind/outlier"
	"slatewind.example/slatewind/replay"
)

func readTrace(t *testing.T, file string) *replay.Trace {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	trace, err := replay.Decode(file, text)
	assert.NilError(t, err)
	return trace
}

// TestTraces replays all recorded traces. Their expectations have to be met, and no
// server that is not marked as sick may be ejected.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("../testdata/traces/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 20)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) {
			trace := readTrace(t, file)
			assert.Assert(t, trace.About != "")
			report, err := replay.Play(trace)
			assert.NilError(t, err)
			assert.Equal(t, len(report.Misses), 0, report.String())
			assert.Equal(t, report.FalseEjections, 0, report.String())
		})
	}
}

// TestUnmetExpectationsAreReported adds one wrong expectation at a time to a trace. Each
// has to be reported with its reason; otherwise TestTraces would pass whatever happens.
func TestUnmetExpectationsAreReported(t *testing.T) {
	tests := map[string]struct {
		expect string
		reason string
	}{
		"ejected":       {"{ejected: {server: kassa-2, by: 5010ms}}", "a had not ejected kassa-2 by 5.01s"},
		"never ejected": {"{never_ejected: {server: kassa-2}}", "a ejected kassa-2 at"},
		"floor":         {"{floor: {service: annonces}}", `no service "annonces"`},
		"in force":      {"{in_force: {node: a, revision: 2, at: 1s}}", "revision 1 in force, not 2"},
		"no node":       {"{in_force: {node: z, revision: 2, at: 1s}}", `no node "z"`},
		"no start":      {"{no_start: {server: kassa-9, after: 1s}}", `no server "kassa-9"`},
		"runs":          {"{runs: {key: k, is: 1}}", "ran 0 times, 1 expected"},
		"answer":        {"{answer: {request: r, outcome: answer}}", "got no answer"},
		"state":         {"{state: {node: a, server: kassa-1, state: ejected}}", "treats kassa-1 as healthy"},
		"decision":      {"{decision: {kind: leaving, server: kassa-1}}", "no decision leaving"},
		"nothing":       {"{}", "the expectation is empty"},
	}
	text, err := os.ReadFile("../testdata/traces/kassa-slow-3x.yaml")
	assert.NilError(t, err)
	body, _, _ := strings.Cut(string(text), "expect:\n")
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			trace, err := replay.Decode("test", []byte(body+"expect:\n  - "+tt.expect+"\n"))
			assert.NilError(t, err)
			report, err := replay.Play(trace)
			assert.NilError(t, err)
			assert.Equal(t, len(report.Misses), 1, report.String())
			assert.Assert(t, strings.Contains(report.Misses[0].Reason, tt.reason), report.String())
		})
	}
}

// TestDecodeRejectsInvalidTraces checks the errors for invalid traces. Without them a
// misspelt event would be ignored and the replay would prove nothing.
func TestDecodeRejectsInvalidTraces(t *testing.T) {
	tests := map[string]struct{ text, reason string }{
		"unknown field":         {"name: x\nnodes: [a]\nevnets: []\n", "line 3: field evnets not found"},
		"duration without unit": {"name: x\nnodes: [a]\nevents:\n  - {at: 5}\n", `line 4: "5" is not a duration with a unit`},
		"no node":               {"name: x\n", "the trace has no nodes"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := replay.Decode("file", []byte(tt.text))
			assert.ErrorContains(t, err, tt.reason)
		})
	}
}

// TestRecordedTraceReplays checks that a trace written by Recorder can be replayed,
// and that the replay of the same incident with a higher caution ejects no server.
func TestRecordedTraceReplays(t *testing.T) {
	settings := readTrace(t, "../testdata/traces/kassa-slow-3x.yaml").Settings
	store := config.NewStore(history.New(0, nil))
	now := time.Unix(0, 0)
	_, err := store.Offer(now, "test", slatewind.Revision{Number: 7}, []byte(settings))
	assert.NilError(t, err)
	recorder := replay.NewRecorder("a", 1000)
	rings := map[string]*outlier.Ring{"kassa-1": {}, "kassa-2": {}, "kassa-3": {}, "kassa-4": {}}
	for i := range 60 {
		now = now.Add(20 * time.Millisecond)
		for name, ring := range rings {
			latency := 10 * time.Millisecond
			if name == "kassa-2" && i >= 50 {
				latency = 60 * time.Millisecond
			}
			ring.Add(0, slatewind.ResultOK, latency)
			recorder.RecordDigest(now, &slatewindv1.Digest{Service: "kassa", Server: name, Sequence: ring.Sequence(), Outcomes: ring.Newest(nil)})
		}
	}
	text, err := recorder.Trace(store.Current())
	assert.NilError(t, err)
	for caution, ejections := range map[string]int{"caution: 9": 1, "caution: 39": 0} {
		trace, err := replay.Decode("recorded", []byte(strings.Replace(string(text), "caution: 9", caution, 1)))
		assert.NilError(t, err)
		assert.Equal(t, trace.Revision, uint64(7))
		report, err := replay.Play(trace)
		assert.NilError(t, err)
		assert.Equal(t, report.FalseEjections, ejections)
	}
}
