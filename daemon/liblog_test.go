package daemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLibraryLinesAreBounded checks that lines of libraries become events of the log, as many as the bound allows,
// and that the first line after a gap counts those that were left out.
func TestLibraryLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	now := time.Now()
	w := newLibraryWriter(NewLogger(&out, false))
	w.now = func() time.Time { return now }
	const lines = 1000
	for i := range lines {
		_, err := fmt.Fprintf(w, "http: Accept error %d\n", i)
		assert.NilError(t, err)
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), maxLibraryLines)
	assert.Assert(t, strings.Contains(out.String(), `msg=library text="http: Accept error 0" lines_left_out=0`), out.String())
	out.Reset()
	now = now.Add(libraryLinesInterval)
	_, _ = fmt.Fprintln(w, "http: Accept error")
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprint("lines_left_out=", lines-maxLibraryLines)), out.String())
}
