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

// still is a reader of the log that stands still until it is let go.
type still struct {
	gate chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *still) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestLogStandsStill: a reader of the log that stands still costs only lines,
// those about requests last, and is told how many.
func TestLogStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &still{gate: make(chan struct{})}
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
		assert.Equal(t, strings.Count(text, "kind=refuse"), refusals, "they go last")
		others := strings.Count(text, "kind=settings")
		assert.Assert(t, others < lines)
		assert.Assert(t, strings.Contains(text, fmt.Sprintf("about_requests=0 others=%d", lines-others)))
	})
}
