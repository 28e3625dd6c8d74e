// Package overlay changes source files for one build, so that a test can play what a program
// does without one of its parts. The files themselves stay as they are.
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

// Edit replaces a text that stands just once in a source file.
type Edit struct {
	// File is the path below the root of the module.
	File     string
	From, To string
}

// Write makes changed copies of source files of the module at a root in a directory, and
// returns the file for the -overlay option of go build and go test.
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
		changed := filepath.Join(dir, fmt.Sprint("changed-", i, filepath.Ext(source)))
		if err := e.apply(from, changed); err != nil {
			return "", err
		}
		replace[source] = changed
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", Error.Wrap(err)
	}
	path = filepath.Join(dir, "overlay.json")
	return path, Error.Wrap(os.WriteFile(path, list, 0o600))
}

// apply writes the edited text of one file to another.
func (e Edit) apply(from, to string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return Error.Wrap(err)
	}
	if n := strings.Count(string(text), e.From); n != 1 {
		return Error.New("%s holds %q %d times, not once", e.File, e.From, n)
	}
	return Error.Wrap(os.WriteFile(to, []byte(strings.Replace(string(text), e.From, e.To, 1)), 0o600))
}
