package config

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestAwaitProcessWaitsForChanges checks how long AwaitProcess waits for a file that is still being written.
func TestAwaitProcessWaitsForChanges(t *testing.T) {
	valid, err := os.ReadFile("testdata/process/node.yaml")
	assert.NilError(t, err)
	tests := map[string]struct {
		// writes are the texts of the file at intervals of half of settleTime.
		writes []string
		valid  bool
		took   time.Duration
	}{
		"complete":               {writes: []string{string(valid)}, valid: true},
		"second write completes": {writes: []string{"vm: a\n", string(valid)}, valid: true, took: settleTime / 2},
		"each write counts":      {writes: []string{"", "vm: a\n", "vm: a\ndata_centre: b\n", string(valid)}, valid: true, took: 3 * settleTime / 2},
		"never complete":         {writes: []string{"vm: a\n"}, took: settleTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.yaml")
			synctest.Test(t, func(t *testing.T) {
				for i, text := range test.writes {
					time.AfterFunc(time.Duration(i)*settleTime/2, func() {
						assert.Check(t, os.WriteFile(file, []byte(text), 0o600))
					})
				}
				synctest.Wait()
				began := time.Now()
				_, err := AwaitProcess(context.Background(), file)
				assert.Equal(t, err == nil, test.valid, "%v", err)
				took := time.Since(began)
				assert.Assert(t, took >= test.took && took <= test.took+2*settleInterval, "took %s", took)
			})
		})
	}
}
