package logreport_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
	"slatewind.example/slatewind/logreport"
)

// collect returns the report of log files in testdata.
func collect(t *testing.T, files ...string) logreport.Report {
	t.Helper()
	c := logreport.NewCollector()
	for _, file := range files {
		text, err := os.ReadFile(filepath.Join("testdata", file))
		assert.NilError(t, err)
		number := 0
		for line := range strings.Lines(string(text)) {
			number++
			c.Add(logreport.Place{File: file, Line: number}, line)
		}
	}
	return c.Report()
}

// TestText compares the text reports of recorded logs with golden files.
func TestText(t *testing.T) {
	tests := map[string][]string{
		"one-process":   {"vm-1.log"},
		"merged":        {"merged.log"},
		"server-errors": {"server-errors.log"},
		"all":           {"vm-1.log", "merged.log", "damaged.log"},
		"nothing":       nil,
	}
	for name, files := range tests {
		t.Run(name, func(t *testing.T) {
			report := collect(t, files...)
			var out bytes.Buffer
			assert.NilError(t, report.WriteText(&out))
			golden.Assert(t, out.String(), name+".txt")
		})
	}
}

// TestFindings checks that a line that cannot be parsed is reported with its position and that
// the other lines are counted.
func TestFindings(t *testing.T) {
	report := collect(t, "damaged.log")
	golden.Assert(t, report.Findings.Error()+"\n", "findings.txt")
	assert.Equal(t, report.Lines, 2)
	assert.Equal(t, report.Services[0].Kinds[0].Unserved[0].Count, 1)
}

// TestManyFindings checks that the list of findings is limited, for example if a file is not a
// log at all.
func TestManyFindings(t *testing.T) {
	c := logreport.NewCollector()
	for i := range 1000 {
		c.Add(logreport.Place{File: "f", Line: i + 1}, "no line of a process")
	}
	text := c.Report().Findings.Error()
	assert.Equal(t, strings.Count(text, "\n"), 20)
	assert.Assert(t, strings.HasSuffix(text, "and 980 more line(s) that cannot be read"), text)
}

// TestPage checks that the HTML report references no external resources and that text from logs
// is escaped.
func TestPage(t *testing.T) {
	c := logreport.NewCollector()
	c.Add(logreport.Place{File: "f", Line: 1}, `time=2026-03-01T10:00:00Z level=info msg=decision kind=refuse service="<script>alert(1)</script>" reason="<img src=x>" evidence="route=pay kind=single"`)
	reports := map[string]logreport.Report{
		"recorded": collect(t, "vm-1.log", "merged.log", "damaged.log"), "nothing": collect(t), "markup": c.Report(),
	}
	for name, report := range reports {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			assert.NilError(t, report.WriteHTML(&out))
			page := strings.ReplaceAll(out.String(), "http://www.w3.org/", "")
			for _, part := range []string{"<script", "<img", "<link", "://", "@import", "<?xml", "<!DOCTYPE svg"} {
				assert.Assert(t, !strings.Contains(page, part), "%s in:\n%s", part, page)
			}
			assert.Equal(t, strings.Count(page, "<svg"), len(report.Services))
			assert.Equal(t, strings.Count(page, "</svg>"), len(report.Services))
		})
	}
}

// TestCurves checks that the counts of the curves add up to the counts in the tables.
func TestCurves(t *testing.T) {
	report := collect(t, "vm-1.log")
	sums := map[string]int{}
	for _, service := range report.Services {
		for _, curve := range service.Curves {
			for _, n := range curve.Counts {
				sums[curve.Name] += n
			}
		}
	}
	assert.Equal(t, report.Bin, time.Second)
	assert.DeepEqual(t, sums, map[string]int{
		"unserved requests": 3, "extra attempts": 2, "extra attempts denied": 2,
		// One breaker, open in the bins of seconds 1, 2 and 3.
		"open breakers": 3,
	})
}

// TestLinesAsWritten checks that lines written by the logger of the processes are parsed,
// including the counts of a choice.Survey in the evidence.
func TestLinesAsWritten(t *testing.T) {
	var out bytes.Buffer
	logger := log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	survey := choice.Survey{Known: 35, Asked: 1, Leaving: 2, Stopping: 7, Full: 3, Sick: 4, Spent: 5, Silent: 6, Tried: 3, Left: 4}
	logger.Info("decision", "kind", slatewind.DecisionRefuse, "service", "shop", "server", "", "request", "example",
		"reason", `sick: "quoted" = and more`, "evidence", "route=pay kind=single status=503 "+survey.String())
	c := logreport.NewCollector()
	c.Add(logreport.Place{File: "log", Line: 1}, out.String())
	report := c.Report()
	assert.Equal(t, len(report.Findings), 0, report.Findings.Error())
	kind := report.Services[0].Kinds[0]
	assert.DeepEqual(t, kind.Unserved, []logreport.Unserved{{Outcome: slatewind.OutcomeNotRun, Cause: "sick", Count: 1}})
	assert.DeepEqual(t, kind.Searches, logreport.Searches{
		Count: 1, Known: 35, Asked: 1, UsableLeft: 1, NotAsked: []logreport.Count{
			{Word: "leaving", Count: 2},
			{Word: "stopping", Count: 7},
			{Word: "full", Count: 3},
			{Word: "sick", Count: 4},
			{Word: "spent", Count: 5},
			{Word: "silent", Count: 6},
			{Word: "tried", Count: 3},
			{Word: "left", Count: 4},
		},
	})
}
