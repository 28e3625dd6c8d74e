package history_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/history"
)

// TestRing checks that the newest entries are kept, oldest first, and that a filter selects those
// that match in every field that is set.
func TestRing(t *testing.T) {
	added := 0
	j := history.New(4, func(slatewind.Decision) { added++ })
	for i := range 10 {
		j.Add(slatewind.Decision{Service: "kassa", Server: fmt.Sprint("s", i%2), Request: fmt.Sprint(i)})
	}
	assert.Equal(t, added, 10)
	tests := map[string]struct {
		filter history.Filter
		want   []string
	}{
		"all":     {history.Filter{}, []string{"6", "7", "8", "9"}},
		"server":  {history.Filter{Service: "kassa", Server: "s1"}, []string{"7", "9"}},
		"request": {history.Filter{Request: "8"}, []string{"8"}},
		"gone":    {history.Filter{Request: "1"}, nil},
		"neither": {history.Filter{Service: "annonces", Server: "s1"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, d := range j.Find(tt.filter) {
				got = append(got, d.Request)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestFilterOfRequest checks that a request matches its own calls, but not ids that merely share
// its prefix.
func TestFilterOfRequest(t *testing.T) {
	tests := map[string]struct {
		id   string
		want bool
	}{
		"itself":                  {"r-1", true},
		"call":                    {"r-1/2", true},
		"call of a call":          {"r-1/2.1", true},
		"id followed by a digit":  {"r-10", false},
		"id followed by a letter": {"r-1é", false},
		"id of a caller":          {"r", false},
		"no id":                   {"", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			filter := history.Filter{Request: "r-1"}
			assert.Equal(t, filter.Matches(slatewind.Decision{Request: test.id}), test.want)
		})
	}
}

// TestResize checks that a resized journal keeps the newest decisions in order.
func TestResize(t *testing.T) {
	tests := map[string]struct {
		added, size int
		want        string
	}{
		"smaller, not full":  {2, 2, "[0 1]"},
		"smaller, full":      {6, 2, "[4 5]"},
		"smaller, one more":  {6, 3, "[3 4 5]"},
		"larger, not full":   {3, 8, "[0 1 2]"},
		"larger, full":       {6, 8, "[2 3 4 5]"},
		"as large as before": {5, 4, "[1 2 3 4]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := history.New(4, nil)
			add := func(i int) { j.Add(slatewind.Decision{Request: fmt.Sprint(i)}) }
			found := func() string {
				var requests []string
				for _, d := range j.Find(history.Filter{}) {
					requests = append(requests, d.Request)
				}
				return fmt.Sprint(requests)
			}
			for i := range test.added {
				add(i)
			}
			j.Resize(test.size)
			assert.Equal(t, found(), test.want)
			for i := range test.size {
				add(10 + i)
			}
			assert.Equal(t, len(j.Find(history.Filter{})), test.size, "it holds exactly its size")
		})
	}
}

// TestEntriesAreBounded checks that an entry keeps a bounded part of texts that come from outside.
func TestEntriesAreBounded(t *testing.T) {
	const maxEntryBytes = 20 << 10
	long := strings.Repeat("x", 1<<20)
	tests := map[string]slatewind.Decision{
		"request":  {Request: long},
		"server":   {Server: long},
		"service":  {Service: long},
		"reason":   {Reason: long},
		"evidence": {Evidence: long},
	}
	for name, d := range tests {
		t.Run(name, func(t *testing.T) {
			var logged slatewind.Decision
			j := history.New(1, func(d slatewind.Decision) { logged = d })
			j.Add(d)
			for _, kept := range append(j.Find(history.Filter{}), logged) {
				bytes := len(kept.Request) + len(kept.Server) + len(kept.Service) + len(kept.Reason) + len(kept.Evidence)
				assert.Assert(t, bytes > 0 && bytes < maxEntryBytes, "%d bytes", bytes)
			}
		})
	}
}
