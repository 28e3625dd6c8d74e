package history_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/history"
)

// TestRing: the newest entries stay, oldest first, and a filter takes those that
// match in every stated field.
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
