package config

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Finding is one error in a settings file, with its position.
type Finding struct {
	File   string
	Line   int
	Column int
	// Check is the ID of the check that reported it, for example SW1003.
	Check   string
	Message string
}

// String formats a finding as file:line:column: message (check).
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s (%s)", f.File, f.Line, f.Column, f.Message, f.Check)
}

// Findings are all errors in one file, ordered by position.
type Findings []Finding

// Error returns one finding per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
