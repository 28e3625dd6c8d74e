package workspace_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/workspace"
)

// fleetWith returns settings with two workspaces; the first has two keys, the second none.
func fleetWith() *slatewindv1.Fleet {
	return &slatewindv1.Fleet{Workspaces: []*slatewindv1.Workspace{
		{Name: "sellers", KeyDigests: []string{workspace.DigestOf("old").String(), workspace.DigestOf("new").String()}},
		{Name: "buyers"},
	}}
}

// TestIdentify checks that a single known key identifies its workspace and that any other value of
// the header field is refused with the right error, which does not contain the value.
func TestIdentify(t *testing.T) {
	tests := map[string]struct {
		fleet  *slatewindv1.Fleet
		values []string
		public bool
		name   string
		err    error
	}{
		"the first key":                  {values: []string{"old"}, name: "sellers"},
		"the second key":                 {values: []string{"new"}, name: "sellers"},
		"no key":                         {err: workspace.ErrNoKey},
		"twice":                          {values: []string{"old", "old"}, err: workspace.ErrManyKeys},
		"empty":                          {values: []string{""}, err: workspace.ErrMalformedKey},
		"10 kB":                          {values: []string{strings.Repeat("old", 3400)}, err: workspace.ErrMalformedKey},
		"not ASCII":                      {values: []string{"öld"}, err: workspace.ErrMalformedKey},
		"leading blank":                  {values: []string{" old"}, err: workspace.ErrMalformedKey},
		"list of keys":                   {values: []string{"old,new"}, err: workspace.ErrUnknownKey},
		"prefix of a key":                {values: []string{"ol"}, err: workspace.ErrUnknownKey},
		"different case":                 {values: []string{"OLD"}, err: workspace.ErrUnknownKey},
		"a digest":                       {values: []string{workspace.DigestOf("old").String()}, err: workspace.ErrUnknownKey},
		"public, no key":                 {public: true},
		"public, a known key":            {public: true, values: []string{"old"}, name: "sellers"},
		"public, an unknown key":         {public: true, values: []string{"other"}},
		"no workspaces":                  {fleet: &slatewindv1.Fleet{}, values: []string{"other"}},
		"the last workspace was removed": {fleet: &slatewindv1.Fleet{KeysRequired: true}, values: []string{"old"}, err: workspace.ErrUnknownKey},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.fleet == nil {
				test.fleet = fleetWith()
			}
			w, err := workspace.NewDirectory(test.fleet).Identify(test.values, test.public)
			assert.ErrorIs(t, err, test.err)
			assert.Equal(t, w.GetName(), test.name)
			for _, value := range test.values {
				assert.Assert(t, err == nil || value == "" || !strings.Contains(err.Error(), value), "the key is in the error")
			}
		})
	}
}

// TestParseDigest checks that invalid digests are refused with an error that does not contain the
// text.
func TestParseDigest(t *testing.T) {
	digest := workspace.DigestOf("old").String()
	again, err := workspace.ParseDigest(digest)
	assert.NilError(t, err)
	assert.Equal(t, again, workspace.DigestOf("old"))
	for name, text := range map[string]string{"a key": "secret-key", "short": digest[2:], "long": digest + "00", "not hexadecimal": strings.Repeat("z", 64)} {
		t.Run(name, func(t *testing.T) {
			_, err := workspace.ParseDigest(text)
			assert.Assert(t, err != nil)
			assert.Assert(t, !strings.Contains(err.Error(), text), "the text is in the error")
		})
	}
}

// FuzzIdentify checks that only the exact keys identify a workspace.
func FuzzIdentify(f *testing.F) {
	for _, seed := range []string{"old", "new", "", " old", "old\n", "OLD", "old\x00", strings.Repeat("k", 300), "ö"} {
		f.Add(seed)
	}
	directory := workspace.NewDirectory(fleetWith())
	f.Fuzz(func(t *testing.T, value string) {
		w, err := directory.Identify([]string{value}, false)
		known := value == "old" || value == "new"
		assert.Equal(t, err == nil, known)
		assert.Equal(t, w.GetName() == "sellers", known)
	})
}
