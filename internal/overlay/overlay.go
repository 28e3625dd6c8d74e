// Package overlay builds a program with edited source files, so that a test can run it with one
// of its parts edited or removed. The files in the source tree are not modified.
package overlay

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("overlay")

// Edit replaces a text that occurs exactly once in a source file.
type Edit struct {
	// File is the path relative to the root of the module.
	File     string
	From, To string
}

// Write applies edits to copies of source files of the module at root, stores the copies in dir
// and returns the path of the file for the -overlay flag of go build and go test. Several edits
// of one file are applied in order.
func Write(root, dir string, edits []Edit) (path string, err error) {
	replace := map[string]string{}
	for i, e := range edits {
		source, err := filepath.Abs(filepath.Join(root, e.File))
		if err != nil {
			return "", Error.Wrap(err)
		}
		from := source
		if earlier, ok := replace[source]; ok {
			from = earlier
		}
		edited := filepath.Join(dir, fmt.Sprint("changed-", i, filepath.Ext(source)))
		if err := e.apply(from, edited); err != nil {
			return "", err
		}
		replace[source] = edited
	}
	overlayJSON, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", Error.Wrap(err)
	}
	path = filepath.Join(dir, "overlay.json")
	return path, Error.Wrap(os.WriteFile(path, overlayJSON, 0o600))
}

// apply reads a file and writes its edited text to another.
func (e Edit) apply(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return Error.Wrap(err)
	}
	if n := strings.Count(string(text), e.From); n != 1 {
		return Error.New("%s contains %q %d times, want exactly once", e.File, e.From, n)
	}
	return Error.Wrap(os.WriteFile(to, []byte(strings.Replace(string(text), e.From, e.To, 1)), 0o600))
}
