// Package clip shortens text that comes from outside before it is kept or logged.
package clip

import (
	"strings"
	"unicode/utf8"
)

// Mark ends a text that was shortened.
const Mark = "..."

// Text returns text, shortened to at most limit bytes and Mark. A shortened text shares no memory with the
// original and does not end within a character.
func Text(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	end := limit
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end]) + Mark
}
