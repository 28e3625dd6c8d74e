package cli_test

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"slatewind.example/slatewind/cli"
)

// TestExplainLogs compares the decisions that are read from logs with golden files.
func TestExplainLogs(t *testing.T) {
	logs := func(names ...string) []string {
		var files []string
		for _, name := range names {
			files = append(files, filepath.Join("testdata", "explain", name))
		}
		return files
	}
	tests := map[string]struct {
		args []string
		code int
	}{
		"request":          {append(logs("vm-1.log", "vm-2.log"), "--request", "r-1"), cli.ExitOK},
		"call":             {append(logs("vm-1.log", "vm-2.log"), "--request", "r-1.2"), cli.ExitOK},
		"server":           {append(logs("vm-1.log", "vm-2.log"), "--server", "stock-1"), cli.ExitOK},
		"one-log":          {append(logs("vm-1.log"), "--request", "r-1"), cli.ExitOK},
		"damaged-log":      {append(logs("vm-1.log", "damaged.log"), "--request", "r-1"), cli.ExitFindings},
		"one-log-missing":  {append(logs("none.log", "vm-2.log"), "--request", "r-1"), cli.ExitUnreached},
		"request-not-told": {append(logs("vm-1.log"), "--request", "r-2"), cli.ExitOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out, code := execute(t, append([]string{"explain", "--logs"}, test.args...)...)
			assert.Equal(t, code, test.code, out)
			golden.Assert(t, out+"\n", filepath.Join("explain", name+".txt"))
		})
	}
}

// TestExplainProcesses checks that the decisions of all reachable processes are printed, with an
// error for the one that cannot be reached.
func TestExplainProcesses(t *testing.T) {
	one, other := fakeProcess(t), fakeProcess(t)
	out, code := execute(t, "explain", one, other, "127.0.0.1:1", "--request", "r-1")
	assert.Equal(t, code, cli.ExitUnreached, out)
	for _, want := range []string{one + " refuse kassa  r-1: the queue is full", other + " refuse kassa  r-1", "connection refused"} {
		assert.Assert(t, strings.Contains(out, want), "%q is not in:\n%s", want, out)
	}
}

// TestExplainWithoutSource checks that a command line without a source is invalid.
func TestExplainWithoutSource(t *testing.T) {
	out, code := execute(t, "explain", "--logs")
	assert.Equal(t, code, cli.ExitUsage, out)
}
