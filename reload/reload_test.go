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

// heard is a sink that keeps what it is told.
type heard struct {
	process *slatewindv1.Process
	changes []reload.Change
	taken   int
	refused []string
}

func (h *heard) Reloaded(process *slatewindv1.Process, changes []reload.Change) {
	h.process, h.changes = process, changes
	h.taken++
}

func (h *heard) NotReloaded(cause error) { h.refused = append(h.refused, cause.Error()) }

var living = map[string]bool{"bounds.retry_slack": true, "bounds.grace": true, "seed_peers": true}

// settingsFile is a node's settings in a file of the test's own.
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

func (f *settingsFile) follow(sink reload.Sink) *reload.File {
	process, err := config.LoadProcess(f.path)
	assert.NilError(f.t, err)
	return reload.New(f.path, process, living, sink)
}

// TestChanges: what becomes of a file that is written anew, key by key.
func TestChanges(t *testing.T) {
	tests := map[string]struct {
		from, to string
		changes  []reload.Change
		refused  string
	}{
		"nothing but a comment": {from: "# A node's", to: "# Another node's"},
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
		"a time that is none":     {from: "grace: 6s", to: "grace: soon", refused: "node.yaml:17:"},
		"a misspelt key":          {from: "retry_slack", to: "retry_slak", refused: "(SW1002)"},
		"half of it, in a key":    {from: "  retry_window: 10s\n  retry_slack: 56\n  address_reuse: 2s\nlimits:\n  journal_entries: 1024\nseed_peers: []", to: "  retry_wi", refused: "node.yaml:20:"},
		"half of it, in a block":  {from: "\nstore:\n  address: \"10.200.1.7:8142\"", to: "\nstore:", refused: "SW1007"},
		"bytes that are no text":  {from: "vm: ", to: "vm: \x00\xff", refused: "node.yaml:"},
		"a value out of range":    {from: "retry_ratio: 0.2", to: "retry_ratio: 20", refused: "SW1014"},
		"a key that stands twice": {from: "limits:", to: "vm: \"b\"\nlimits:", refused: "SW1003"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSettingsFile(t)
			sink := &heard{}
			file := f.follow(sink)
			assert.Assert(t, strings.Contains(f.text, test.from), "the test's text stands in the file")
			f.write(strings.Replace(f.text, test.from, test.to, 1))
			file.Check(t.Context())
			if test.refused != "" {
				assert.Equal(t, len(sink.refused), 1)
				assert.Assert(t, strings.Contains(sink.refused[0], test.refused), sink.refused[0])
				assert.Equal(t, sink.taken, 0)
				return
			}
			assert.Equal(t, len(sink.refused), 0)
			assert.Equal(t, sink.taken, 1)
			assert.DeepEqual(t, sink.changes, test.changes)
		})
	}
}

// TestSeries: several changes one after the other, of which one is broken and one takes
// the file away. Each is told once, and the newest whole one counts.
func TestSeries(t *testing.T) {
	f := newSettingsFile(t)
	sink := &heard{}
	file := f.follow(sink)
	check := func() {
		for range 3 {
			file.Check(t.Context())
		}
	}
	slack := func(value string) string {
		return strings.Replace(f.text, "retry_slack: 56", "retry_slack: "+value, 1)
	}
	check()
	assert.Equal(t, sink.taken, 0, "nothing was written")
	f.write(slack("100"))
	check()
	f.write("")
	check()
	assert.Equal(t, len(sink.refused), 1)
	assert.NilError(t, os.Remove(f.path))
	check()
	assert.Equal(t, len(sink.refused), 2)
	assert.Assert(t, strings.Contains(sink.refused[1], f.path), sink.refused[1])
	assert.Equal(t, sink.taken, 1)
	assert.Equal(t, sink.process.GetBounds().GetRetrySlack(), 100.0)
	f.write(slack("1000"))
	check()
	assert.DeepEqual(t, sink.changes, []reload.Change{{Key: "bounds.retry_slack", Before: "100", After: "1000", Effect: reload.EffectNow}})
	file.Reload(t.Context())
	assert.Equal(t, len(sink.changes), 0, "a signal without a change")
	assert.Equal(t, sink.taken, 3)
}

// TestStopWhileReading: a look that a stop overlaps with changes nothing any more.
func TestStopWhileReading(t *testing.T) {
	f := newSettingsFile(t)
	sink := &heard{}
	file := f.follow(sink)
	f.write(strings.Replace(f.text, "retry_slack: 56", "retry_slack: 57", 1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	file.Check(ctx)
	assert.Equal(t, sink.taken, 0)
	assert.Equal(t, len(sink.refused), 0)
}
