package reload

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
)

// slackRecorder is a sink that records the retry slack of each reload.
type slackRecorder struct{ slacks []float64 }

func (r *slackRecorder) Reloaded(process *slatewindv1.Process, _ []Change) {
	r.slacks = append(r.slacks, process.GetBounds().GetRetrySlack())
}

func (r *slackRecorder) NotReloaded(error) {}

// TestFileBeingWritten checks that a file that is still being written is not applied before its
// content is stable, even if every intermediate content is valid.
func TestFileBeingWritten(t *testing.T) {
	good, err := os.ReadFile("../config/testdata/process/node.yaml")
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "node.yaml")
	write := func(slack string) {
		text := strings.Replace(string(good), "retry_slack: 56", "retry_slack: "+slack, 1)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write("56")
	sink := &slackRecorder{}
	file := New(path, &slatewindv1.Process{}, nil, sink)
	writes := 0
	file.settle = func(context.Context) {
		if writes < 4 {
			writes++
			write("56789"[:writes+1])
		}
	}
	write("5")
	file.Check(t.Context())
	assert.Equal(t, fmt.Sprint(sink.slacks), "[56789]")
}
