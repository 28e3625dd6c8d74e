package overlay_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/internal/overlay"
)

// TestWrite checks that several edits of one file are all applied, and that an edit whose text
// does not occur exactly once is an error.
func TestWrite(t *testing.T) {
	tests := map[string]struct {
		edits []overlay.Edit
		want  string
		err   string
	}{
		"one edit":              {[]overlay.Edit{{File: "a.go", From: "one", To: "1"}}, "1 two two", ""},
		"two edits of one file": {[]overlay.Edit{{File: "a.go", From: "one", To: "1"}, {File: "a.go", From: "1 two", To: "3"}}, "3 two", ""},
		"text occurs twice":     {[]overlay.Edit{{File: "a.go", From: "two", To: "2"}}, "", `a.go contains "two" 2 times`},
		"text missing":          {[]overlay.Edit{{File: "a.go", From: "three", To: "3"}}, "", `a.go contains "three" 0 times`},
		"file missing":          {[]overlay.Edit{{File: "b.go", From: "one", To: "1"}}, "", "no such file"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			root, dir := t.TempDir(), t.TempDir()
			source := filepath.Join(root, "a.go")
			assert.NilError(t, os.WriteFile(source, []byte("one two two"), 0o600))
			overlayFile, err := overlay.Write(root, dir, test.edits)
			if test.err != "" {
				assert.ErrorContains(t, err, test.err)
				return
			}
			assert.NilError(t, err)
			text, err := os.ReadFile(overlayFile)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(text), source), "%s", text)
			last, err := os.ReadFile(filepath.Join(dir, fmt.Sprint("changed-", len(test.edits)-1, ".go")))
			assert.NilError(t, err)
			assert.Equal(t, string(last), test.want)
		})
	}
}
