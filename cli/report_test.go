package cli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/cli"
)

// TestReportCommand checks the exit code and the output for valid, damaged and missing logs.
func TestReportCommand(t *testing.T) {
	data := filepath.Join("..", "logreport", "testdata")
	valid, damaged, missing := filepath.Join(data, "vm-1.log"), filepath.Join(data, "damaged.log"), filepath.Join(data, "none.log")
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"valid log":             {[]string{valid}, cli.ExitOK, []string{"service shop", "took 4.75s"}},
		"damaged and valid log": {[]string{damaged, valid}, cli.ExitFindings, []string{"service shop", "took 4.75s", damaged + ":2: "}},
		"missing and valid log": {[]string{missing, valid}, cli.ExitUnreached, []string{"service shop", missing}},
		"no log":                {nil, cli.ExitUsage, []string{"LOG"}},
		"page not writable":     {[]string{"--html", filepath.Join(missing, "page.html"), valid}, cli.ExitUnreached, []string{"service shop"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out, code := execute(t, append([]string{"report"}, test.args...)...)
			assert.Equal(t, code, test.code, out)
			for _, want := range test.want {
				assert.Assert(t, strings.Contains(out, want), "%q is not in:\n%s", want, out)
			}
		})
	}
}

// TestReportPage checks that the HTML page is written to the given file.
func TestReportPage(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.html")
	out, code := execute(t, "report", "--html", page, filepath.Join("..", "logreport", "testdata", "vm-1.log"))
	assert.Equal(t, code, cli.ExitOK, out)
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "<svg"))
}
