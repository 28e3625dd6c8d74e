package config

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Finding is one fault of a settings file, with its place.
type Finding struct {
	File   string
	Line   int
	Column int
	// Check names the check that found it, for example SW1003.
	Check   string
	Message string
}

// String renders a finding as file:line:column: message (check).
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s (%s)", f.File, f.Line, f.Column, f.Message, f.Check)
}

// Findings are all faults of one file, in the order of their places.
type Findings []Finding

// Error renders one finding a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
