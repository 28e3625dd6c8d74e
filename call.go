package slatewind

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// NestedCall is a request that the server of this VM makes while it runs another: part
// of work that has begun.
type NestedCall struct {
	// Repeat says that the run it belongs to is not the first of its request.
	Repeat bool
	// Workspace is that of the request for which it is made; empty where that has none.
	Workspace string
	// End notes what became of the call; it must be used once.
	End func(served bool)
}

// NestedCalls knows which requests are calls that the server of this VM makes.
type NestedCalls interface {
	// NestedCall reports whether the request with an id is such a call.
	NestedCall(id string) (NestedCall, bool)
}

// IsNestedCallID reports whether an id is that of a call which a server made for the request with the
// other id: the call's extends it by a separator and something more.
func IsNestedCallID(id, request string) bool {
	rest, extends := strings.CutPrefix(id, request)
	if !extends || rest == "" || request == "" {
		return false
	}
	separator, _ := utf8.DecodeRuneInString(rest)
	return IsCallIDSeparator(separator)
}

// IsCallIDSeparator reports whether a character may stand in a call's id between that of its request
// and what follows: it is neither a letter nor a digit.
func IsCallIDSeparator(r rune) bool { return !unicode.IsLetter(r) && !unicode.IsDigit(r) }
