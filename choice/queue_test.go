package choice_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
)

// TestQueuePrefersRecentStatus checks that a server with a recent status goes first if many
// others of its data centre are unhealthy.
func TestQueuePrefersRecentStatus(t *testing.T) {
	q := choice.NewQueue()
	server := func(name string, cost float64, stale bool) choice.Candidate {
		return choice.Candidate{ServerEntry: &slatewind.ServerEntry{Name: name, DataCentre: "near"}, Cost: cost, Stale: stale}
	}
	q.Fill([]choice.Candidate{server("idle-1", 0, true), server("idle-2", 0, true), server("busy", 0.8, false)})
	q.Replied("near", true)
	q.Replied("near", true)
	first, _ := q.Take()
	assert.Equal(t, first.Name, "busy")
}

// TestQueue checks in which order a search asks five near servers and two far ones, which cost
// one more, by the health of the first servers asked.
func TestQueue(t *testing.T) {
	tests := map[string]struct {
		// unhealthy is how many of the near servers, from the first, are unhealthy.
		unhealthy int
		want      string
	}{
		"all are healthy":                    {0, "near-0 near-1 near-2 near-3 near-4 far-0 far-1"},
		"two unhealthy ones do not matter":   {2, "near-0 near-1 near-2 near-3 near-4 far-0 far-1"},
		"three raise the cost of the others": {3, "near-0 near-1 near-2 far-0 far-1 near-3 near-4"},
		"all near ones are unhealthy":        {5, "near-0 near-1 near-2 far-0 far-1 near-3 near-4"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := choice.NewQueue()
			var servers []choice.Candidate
			for i := range 7 {
				dc, n := "near", i
				if i >= 5 {
					dc, n = "far", i-5
				}
				cost := float64(i) / 100
				if dc == "far" {
					cost++
				}
				servers = append(servers, choice.Candidate{
					ServerEntry: &slatewind.ServerEntry{Name: fmt.Sprint(dc, "-", n), DataCentre: dc}, Cost: cost, Stale: true,
				})
			}
			q.Fill(servers)
			got, near := "", 0
			for q.Len() > 0 {
				server, ok := q.Take()
				assert.Assert(t, ok)
				got += " " + server.Name
				unhealthy := server.DataCentre == "near" && near < test.unhealthy
				if server.DataCentre == "near" {
					near++
				}
				q.Replied(server.DataCentre, unhealthy)
			}
			assert.Equal(t, got, " "+test.want)
			_, ok := q.Take()
			assert.Assert(t, !ok)
		})
	}
}
