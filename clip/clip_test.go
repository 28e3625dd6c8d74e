package clip_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/clip"
)

func TestText(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"empty":                {"", ""},
		"as long as the limit": {"12345678", "12345678"},
		"longer":               {"123456789", "12345678" + clip.Mark},
		"within a character":   {"1234567é", "1234567" + clip.Mark},
		"no character begins":  {strings.Repeat("\x80", 9), clip.Mark},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, clip.Text(test.text, 8), test.want)
		})
	}
}
