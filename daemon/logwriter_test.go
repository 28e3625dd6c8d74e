package daemon

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// blockedWriter is a log destination that blocks until gate is closed.
type blockedWriter struct {
	gate chan struct{}
	// mu guards text.
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBlockedLog checks that a blocked log destination never blocks Write: lines are dropped, those
// about requests last, and the number of dropped lines is logged.
func TestBlockedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{gate: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		w := NewLogWriter(ctx, out)
		const lines = 3000
		for i := range lines {
			_, err := fmt.Fprintf(w, "msg=decision kind=settings n=%d\n", i)
			assert.NilError(t, err)
		}
		const refusals = 500
		for i := range refusals {
			_, err := fmt.Fprintf(w, "msg=decision kind=refuse request=r-%d\n", i)
			assert.NilError(t, err)
		}
		synctest.Wait()
		close(out.gate)
		cancel()
		synctest.Wait()
		text := out.text.String()
		assert.Equal(t, strings.Count(text, "kind=refuse"), refusals, "lines about requests are dropped last")
		others := strings.Count(text, "kind=settings")
		assert.Assert(t, others < lines)
		assert.Assert(t, strings.Contains(text, fmt.Sprintf("about_requests=0 others=%d", lines-others)))
	})
}

// TestLongLogLine checks that a line that is too long is cut off and still ends like a line.
func TestLongLogLine(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	w := NewLogWriter(ctx, &out)
	line := "msg=" + strings.Repeat("x", 1<<20) + "\n"
	n, err := w.Write([]byte(line))
	assert.NilError(t, err)
	assert.Equal(t, n, len(line))
	cancel()
	w.Wait()
	assert.Assert(t, out.Len() < 2*maxLogLineBytes && strings.HasSuffix(out.String(), "...\n"), "%d bytes", out.Len())
}
