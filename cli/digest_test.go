package cli

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/workspace"
)

// TestDigest checks that each line of the input is taken as a key, and that errors do not contain
// keys.
func TestDigest(t *testing.T) {
	tests := map[string]struct {
		in, out, finding string
	}{
		"two keys":       {in: "first\nsecond\r\n", out: workspace.DigestOf("first").String() + "\n" + workspace.DigestOf("second").String() + "\n"},
		"nothing":        {},
		"an empty line":  {in: "first\n\n", out: workspace.DigestOf("first").String() + "\n", finding: "line 2"},
		"not printable":  {in: "se\x07cret\n", finding: "line 1"},
		"a key too long": {in: strings.Repeat("s", workspace.MaxKeyBytes+1), finding: "line 1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out := &strings.Builder{}
			err := (&digestCommand{out: out, in: strings.NewReader(test.in)}).Execute(nil)
			assert.Equal(t, out.String(), test.out)
			if test.finding == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.finding)
			assert.Equal(t, ExitCode(err), ExitFindings)
			assert.Assert(t, !strings.Contains(err.Error(), "cret"), "error contains the key")
		})
	}
}
