package choice_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/choice"
)

// TestQueueAsksWhoWasHeardOf: a server that was heard of goes first where many of the
// others of its data centre are sick.
func TestQueueAsksWhoWasHeardOf(t *testing.T) {
	q := choice.NewQueue()
	server := func(name string, cost float64, unheard bool) choice.Candidate {
		return choice.Candidate{ServerEntry: &slatewind.ServerEntry{Name: name, DataCentre: "near"}, Cost: cost, Stale: unheard}
	}
	q.Fill([]choice.Candidate{server("idle-1", 0, true), server("idle-2", 0, true), server("busy", 0.8, false)})
	q.Replied("near", true)
	q.Replied("near", true)
	first, _ := q.Take()
	assert.Equal(t, first.Name, "busy")
}

// TestQueue states in which order a search asks five servers near and two far, which
// cost one more, by what it hears of the first.
func TestQueue(t *testing.T) {
	tests := map[string]struct {
		// sick says how many of the near servers, from the first, are sick.
		sick int
		want string
	}{
		"all are well":                   {0, "near-0 near-1 near-2 near-3 near-4 far-0 far-1"},
		"two that are sick are borne":    {2, "near-0 near-1 near-2 near-3 near-4 far-0 far-1"},
		"three say something of a place": {3, "near-0 near-1 near-2 far-0 far-1 near-3 near-4"},
		"many do":                        {5, "near-0 near-1 near-2 far-0 far-1 near-3 near-4"},
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
				sick := server.DataCentre == "near" && near < test.sick
				if server.DataCentre == "near" {
					near++
				}
				q.Replied(server.DataCentre, sick)
			}
			assert.Equal(t, got, " "+test.want)
			_, ok := q.Take()
			assert.Assert(t, !ok)
		})
	}
}
