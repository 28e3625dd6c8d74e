package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/config"
)

// TestNodeSettings changes one line of a node's settings and checks the finding.
func TestNodeSettings(t *testing.T) {
	good, err := os.ReadFile("testdata/process/node.yaml")
	assert.NilError(t, err)
	tests := map[string]struct{ from, to, finding string }{
		"left unchanged":             {},
		"a store without a port":     {`"10.200.1.7:8142"`, `"10.200.1.7"`, `:12:12: address "10.200.1.7" is not IP:port (SW1007)`},
		"no ready address":           {`ready_address: "10.1.0.38:8141"`, "", `is not IP:port (SW1007)`},
		"a server without a service": {`service: "vitrine"`, `service: ""`, `the local server names no service (SW1004)`},
		"a ratio above one":          {"retry_ratio: 0.2", "retry_ratio: 2", `retry_ratio 2 is outside 0 to 1 (SW1014)`},
		"zero grace":                 {"grace: 6s", "grace: 0s", "time 0s is not positive (SW1009)"},
		"a slack with a fraction":    {"retry_slack: 56", "retry_slack: 56.25", ""},
		"reads with a fraction":      {"reads_per_second: 2000", "reads_per_second: 133.3", ""},
		"negative slack":             {"retry_slack: 56", "retry_slack: -1", "retry_slack -1 is below 0 (SW1014)"},
		"log level":                  {"seed_peers: []", "log_level: warn", ""},
		"unknown log level":          {"seed_peers: []", "log_level: loud", `:25:12: log level "loud" is not debug, info, warn or error (SW1015)`},
		"limits on memory":           {"journal_entries: 1024", "journal_entries: 1024\n  request_bytes: 16777216\n  answer_bytes: 8388608", ""},
		"negative limit on memory":   {"journal_entries: 1024", "request_bytes: -1", "(SW1002)"},
		"a data centre twice":        {"dkr-rufisque", "dkr-plateau", `data centre name "dkr-plateau" is used twice (SW1004)`},
		"a data centre without name": {"- name: dkr-rufisque", "- name: ''", "data centre has no name (SW1004)"},
		"a misspelt field":           {"retry_slack", "retry_slak", "(SW1002)"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.yaml")
			text := strings.Replace(string(good), test.from, test.to, 1)
			assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
			process, err := config.LoadProcess(file)
			if test.finding != "" {
				assert.ErrorContains(t, err, test.finding)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, process.GetBounds().GetGrace().AsDuration(), 6*time.Second)
			assert.Equal(t, process.GetLocalServer().GetService(), "vitrine")
		})
	}
}
