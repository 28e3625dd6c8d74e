package config_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/config"
	"slatewind.example/slatewind/history"
	_ "slatewind.example/slatewind/internal/seeded"
)

// want is a finding that a comment in a test file expects.
type want struct {
	line, column   int
	check, message string
}

var wantComment = regexp.MustCompile(`want (\d+) (SW\d+) "((?:[^"\\]|\\.)*)"`)

func readWants(text string) []want {
	var wants []want
	for i, line := range strings.Split(text, "\n") {
		for _, match := range wantComment.FindAllStringSubmatch(line, -1) {
			column, _ := strconv.Atoi(match[1])
			wants = append(wants, want{i + 1, column, match[2], strings.ReplaceAll(match[3], `\"`, `"`)})
		}
	}
	return wants
}

// TestFindings checks that each file in testdata has exactly the findings that its comments
// expect, at their positions.
func TestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 3)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			wants := readWants(string(text))
			_, err = config.ParseFleet(file, text)
			var findings config.Findings
			if err != nil {
				assert.Assert(t, errors.As(err, &findings))
			}
			assert.Equal(t, len(findings), len(wants), "%v", err)
			for i, w := range wants {
				assert.Assert(t, matched(findings, w), "want %+v, in\n%v", w, findings)
				assert.Equal(t, findings[i].File, file)
			}
		})
	}
}

func matched(findings config.Findings, w want) bool {
	for _, f := range findings {
		if f.Line == w.line && f.Column == w.column && f.Check == w.check && strings.Contains(f.Message, w.message) {
			return true
		}
	}
	return false
}

func TestNotOneDocument(t *testing.T) {
	tests := map[string]struct{ text, finding string }{
		"empty":     {"", "file:1:1: file is empty (SW1001)"},
		"comment":   {"# nothing\n", "file:1:1: file is empty (SW1001)"},
		"two":       {"services: []\n---\nservices: []\n", "file:2:1: file holds a second YAML document, which would be ignored (SW1001)"},
		"syntax":    {"services:\n  - {name: a\n", "(SW1001)"},
		"scalar":    {"hello", "(SW1002)"},
		"too large": {strings.Repeat("#", 1<<20+1), "the platform holds at most 1048576 (SW1001)"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := config.ParseFleet("file", []byte(tt.text))
			assert.ErrorContains(t, err, tt.finding)
		})
	}
}

// FuzzParseFleet checks that no input causes a panic and that accepted files have services.
func FuzzParseFleet(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range files {
		text, _ := os.ReadFile(file)
		f.Add(text)
	}
	f.Add([]byte("services:\n  - &a {name: *a}\n"))
	f.Add([]byte("? [a]\n: b\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		fleet, err := config.ParseFleet("file", text)
		if err == nil && len(fleet.GetServices()) == 0 {
			t.Fatal("accepted a file without services")
		}
	})
}

func TestProcessSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "process.yaml")
	text := "vm: a\ndata_centre: b\ningress_address: here:80\npeer_address: 127.0.0.1:1\nadmin_address: 127.0.0.1:2\nplatform_url: ftp://x\nseed_peers: [nowhere]\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := config.LoadProcess(file)
	assert.ErrorContains(t, err, file+`:3:18: address "here:80" is not IP:port (SW1007)`)
	assert.ErrorContains(t, err, file+`:6:15: platform URL "ftp://x" is not http://IP:port (SW1007)`)
	assert.ErrorContains(t, err, file+`:7:14: address "nowhere" is not IP:port (SW1007)`)
}

func fileWithFloor(floor int) []byte {
	text, err := os.ReadFile("testdata/clean.yaml")
	if err != nil {
		panic(err)
	}
	return []byte(strings.Replace(string(text), "floor: 1", fmt.Sprint("floor: ", floor), 1))
}

// TestStoreNeverGoesBack offers random files in random order. The version in force only gets
// newer, a file with findings changes nothing, and two stores that are offered the same files
// end with the same one.
func TestStoreNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := config.NewStore(history.New(0, nil)), config.NewStore(history.New(0, nil))
		type offer struct {
			revision uint64
			floor    int
		}
		offers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) offer {
			return offer{uint64(rapid.IntRange(1, 6).Draw(t, "revision")), rapid.IntRange(0, 3).Draw(t, "floor")}
		}), 1, 12).Draw(t, "offers")
		submit := func(s *config.Store, o offer) {
			before := s.Current()
			changed, err := s.Offer(time.Unix(0, 0), "test", slatewind.Revision{Number: o.revision}, fileWithFloor(o.floor))
			assert.Assert(t, err == nil || o.floor > 1)
			if changed {
				assert.Assert(t, before == nil || s.Version().Newer(before.Version))
			} else {
				assert.Assert(t, s.Current() == before)
			}
		}
		for _, o := range offers {
			submit(one, o)
		}
		for _, o := range rapid.Permutation(offers).Draw(t, "other order") {
			submit(two, o)
		}
		assert.Equal(t, one.Version(), two.Version())
	})
}

// TestFileOfRestoredStore checks that a file that was in force before does not return when the
// platform's store is restored from a backup, and that a new file takes effect though its
// revision number was used before the restore.
func TestFileOfRestoredStore(t *testing.T) {
	s := config.NewStore(history.New(0, nil))
	offer := func(era, number uint64, floor int) bool {
		changed, err := s.Offer(time.Unix(0, 0), "test", slatewind.Revision{Era: era, Number: number}, fileWithFloor(floor))
		assert.NilError(t, err)
		return changed
	}
	assert.Assert(t, offer(0, 10, 0))
	assert.Assert(t, offer(0, 12, 1))
	assert.Assert(t, !offer(1, 10, 0), "the file in the backup")
	assert.Assert(t, offer(1, 12, 0), "another file at a revision number used before the restore")
	assert.Assert(t, !offer(0, 13, 1), "a file of an earlier era")
}

// TestChunks checks that a file equals the concatenation of its chunks and that a change to one
// service transfers only one chunk.
func TestChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(rapid.StringMatching(`((  - |    |)[a-z]{0,90}\n){0,9}[a-z]{0,10}`).Draw(t, "text"))
		text = append(text, bytes.Repeat(text, 20)...)
		chunks := config.Split(text)
		joined, complete := config.Join(config.ChunkDigests(chunks), nil, chunks)
		assert.Assert(t, complete)
		assert.Equal(t, string(joined), string(text))
	})
	var old strings.Builder
	for i := range 200 {
		fmt.Fprintf(&old, "  - name: service-%d\n    floor: 1\n    about: %s\n", i, strings.Repeat("x", 300))
	}
	changed := strings.Replace(old.String(), "service-77\n    floor: 1", "service-77\n    floor: 2", 1)
	before := config.Split([]byte(old.String()))
	after := config.Split([]byte(changed))
	moved := config.Missing(after, config.ChunkDigests(before))
	assert.Equal(t, len(moved), 1)
	_, complete := config.Join(config.ChunkDigests(after), before, nil)
	assert.Assert(t, !complete)
}
