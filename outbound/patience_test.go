package outbound

import (
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/api/slatewindv1"
)

// TestPatience states how long an attempt may wait for a slot.
func TestPatience(t *testing.T) {
	tests := map[string]struct {
		objective, remaining time.Duration
		again                bool
		want                 time.Duration
	}{
		"by its objective":                 {objective: 800 * time.Millisecond, remaining: time.Second, want: 320 * time.Millisecond},
		"by its time":                      {objective: 800 * time.Millisecond, remaining: 4 * time.Second, want: time.Second},
		"never longer than its time":       {objective: 800 * time.Millisecond, remaining: 100 * time.Millisecond, want: 100 * time.Millisecond},
		"longer after a server has failed": {objective: 800 * time.Millisecond, remaining: time.Second, again: true, want: 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			rq := &request{
				route: &slatewindv1.Route{Objective: durationpb.New(test.objective)},
				began: now, deadline: now.Add(test.remaining),
			}
			assert.Equal(t, rq.patience(now, test.again).Sub(now), test.want)
		})
	}
}
