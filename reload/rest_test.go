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

// newest is a sink that keeps the newest settings.
type newest struct{ slacks []float64 }

func (n *newest) Reloaded(process *slatewindv1.Process, _ []Change) {
	n.slacks = append(n.slacks, process.GetBounds().GetRetrySlack())
}

func (n *newest) NotReloaded(error) {}

// TestHalfWritten: a file that is still being written is not taken until it rests,
// though each of its states on the way is valid.
func TestHalfWritten(t *testing.T) {
	good, err := os.ReadFile("../config/testdata/process/node.yaml")
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "node.yaml")
	write := func(slack string) {
		text := strings.Replace(string(good), "retry_slack: 56", "retry_slack: "+slack, 1)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	write("56")
	sink := &newest{}
	file := New(path, &slatewindv1.Process{}, nil, sink)
	writes := 0
	file.rest = func(context.Context) {
		if writes < 4 {
			writes++
			write("56789"[:writes+1])
		}
	}
	write("5")
	file.Check(t.Context())
	assert.Equal(t, fmt.Sprint(sink.slacks), "[56789]")
}
