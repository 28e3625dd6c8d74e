package slatewind

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// NestedCall is a request that a server of this VM makes while it is running another request, as
// part of that request's work.
type NestedCall struct {
	// Repeat reports that the run that makes the call is not the first run of its request.
	Repeat bool
	// Workspace is the workspace of the request that makes the call; empty if it has none.
	Workspace string
	// End records the end of the call and whether it was served. It must be called exactly once.
	End func(served bool)
}

// NestedCalls identifies the requests that are nested calls of the servers of this VM.
type NestedCalls interface {
	// NestedCall returns the nested call that has the given request ID, and whether there is one.
	NestedCall(id string) (NestedCall, bool)
}

// IsNestedCallID reports whether id is the ID of a nested call of the given request: the request's
// ID, extended by a separator and any further characters.
func IsNestedCallID(id, request string) bool {
	rest, extends := strings.CutPrefix(id, request)
	if !extends || rest == "" || request == "" {
		return false
	}
	separator, _ := utf8.DecodeRuneInString(rest)
	return IsCallIDSeparator(separator)
}

// IsCallIDSeparator reports whether r may separate the request's ID from the rest of the ID of a
// nested call: any character but letters and digits.
func IsCallIDSeparator(r rune) bool { return !unicode.IsLetter(r) && !unicode.IsDigit(r) }
