package reload_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/reload"
)

// recorder is a sink that records its calls.
type recorder struct {
	process  *slatewindv1.Process
	changes  []reload.Change
	reloads  int
	rejected []string
}

func (r *recorder) Reloaded(process *slatewindv1.Process, changes []reload.Change) {
	r.process, r.changes = process, changes
	r.reloads++
}

func (r *recorder) NotReloaded(cause error) { r.rejected = append(r.rejected, cause.Error()) }

var reloadable = map[string]bool{"bounds.retry_slack": true, "bounds.grace": true, "seed_peers": true}

// settingsFile is a temporary file with the settings of a node.
type settingsFile struct {
	t    *testing.T
	path string
	text string
}

func newSettingsFile(t *testing.T) *settingsFile {
	text, err := os.ReadFile("../config/testdata/process/node.yaml")
	assert.NilError(t, err)
	f := &settingsFile{t: t, path: filepath.Join(t.TempDir(), "node.yaml"), text: string(text)}
	f.write(f.text)
	return f
}

func (f *settingsFile) write(text string) {
	assert.NilError(f.t, os.WriteFile(f.path, []byte(text), 0o600))
}

// watch returns a watcher of the file.
func (f *settingsFile) watch(sink reload.Sink) *reload.File {
	process, err := config.LoadProcess(f.path)
	assert.NilError(f.t, err)
	return reload.New(f.path, process, reloadable, sink)
}

// TestChanges checks which changes are reported, or why the file is rejected, after it was
// rewritten.
func TestChanges(t *testing.T) {
	tests := map[string]struct {
		from, to string
		changes  []reload.Change
		rejected string
	}{
		"only a comment": {from: "# A node's", to: "# Another node's"},
		"two bounds and the seeds": {
			from: "  retry_slack: 56\n  address_reuse: 2s\nlimits:\n  journal_entries: 1024\nseed_peers: []",
			to:   "  retry_slack: 28.5\n  address_reuse: 2s\nlimits:\n  journal_entries: 1024\nseed_peers: [\"10.1.0.9:7380\"]",
			changes: []reload.Change{
				{Key: "seed_peers", Before: "", After: "10.1.0.9:7380", Effect: reload.EffectNow},
				{Key: "bounds.retry_slack", Before: "56", After: "28.5", Effect: reload.EffectNow},
			},
		},
		"an address": {
			from: "10.1.0.38:8147", to: "10.1.0.38:9147",
			changes: []reload.Change{{Key: "ingress_address", Before: "10.1.0.38:8147", After: "10.1.0.38:9147", Effect: reload.EffectStart}},
		},
		"a time": {
			from: "grace: 6s", to: "grace: 4500ms",
			changes: []reload.Change{{Key: "bounds.grace", Before: "6s", After: "4.5s", Effect: reload.EffectNow}},
		},
		"invalid duration":       {from: "grace: 6s", to: "grace: soon", rejected: "node.yaml:17:"},
		"a misspelt key":         {from: "retry_slack", to: "retry_slak", rejected: "(SW1002)"},
		"truncated in a key":     {from: "  retry_window: 10s\n  retry_slack: 56\n  address_reuse: 2s\nlimits:\n  journal_entries: 1024\nseed_peers: []", to: "  retry_wi", rejected: "node.yaml:20:"},
		"truncated in a section": {from: "\nstore:\n  address: \"10.200.1.7:8142\"", to: "\nstore:", rejected: "SW1007"},
		"not UTF-8":              {from: "vm: ", to: "vm: \x00\xff", rejected: "node.yaml:"},
		"a value out of range":   {from: "retry_ratio: 0.2", to: "retry_ratio: 20", rejected: "SW1014"},
		"duplicate key":          {from: "limits:", to: "vm: \"b\"\nlimits:", rejected: "SW1003"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSettingsFile(t)
			sink := &recorder{}
			file := f.watch(sink)
			assert.Assert(t, strings.Contains(f.text, test.from), "the file contains the text to be replaced")
			f.write(strings.Replace(f.text, test.from, test.to, 1))
			file.Check(t.Context())
			if test.rejected != "" {
				assert.Equal(t, len(sink.rejected), 1)
				assert.Assert(t, strings.Contains(sink.rejected[0], test.rejected), sink.rejected[0])
				assert.Equal(t, sink.reloads, 0)
				return
			}
			assert.Equal(t, len(sink.rejected), 0)
			assert.Equal(t, sink.reloads, 1)
			assert.DeepEqual(t, sink.changes, test.changes)
		})
	}
}

// TestSuccessiveChanges makes several changes, one of which is invalid and one of which removes
// the file. Each is reported once, and the newest valid one is in force.
func TestSuccessiveChanges(t *testing.T) {
	f := newSettingsFile(t)
	sink := &recorder{}
	file := f.watch(sink)
	check := func() {
		for range 3 {
			file.Check(t.Context())
		}
	}
	slack := func(value string) string {
		return strings.Replace(f.text, "retry_slack: 56", "retry_slack: "+value, 1)
	}
	check()
	assert.Equal(t, sink.reloads, 0, "the file is unchanged")
	f.write(slack("100"))
	check()
	f.write("")
	check()
	assert.Equal(t, len(sink.rejected), 1)
	assert.NilError(t, os.Remove(f.path))
	check()
	assert.Equal(t, len(sink.rejected), 2)
	assert.Assert(t, strings.Contains(sink.rejected[1], f.path), sink.rejected[1])
	assert.Equal(t, sink.reloads, 1)
	assert.Equal(t, sink.process.GetBounds().GetRetrySlack(), 100.0)
	f.write(slack("1000"))
	check()
	assert.DeepEqual(t, sink.changes, []reload.Change{{Key: "bounds.retry_slack", Before: "100", After: "1000", Effect: reload.EffectNow}})
	file.Reload(t.Context())
	assert.Equal(t, len(sink.changes), 0, "a reload without a change")
	assert.Equal(t, sink.reloads, 3)
}

// TestStopWhileReading checks that a check whose context is cancelled changes nothing.
func TestStopWhileReading(t *testing.T) {
	f := newSettingsFile(t)
	sink := &recorder{}
	file := f.watch(sink)
	f.write(strings.Replace(f.text, "retry_slack: 56", "retry_slack: 57", 1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	file.Check(ctx)
	assert.Equal(t, sink.reloads, 0)
	assert.Equal(t, len(sink.rejected), 0)
}
