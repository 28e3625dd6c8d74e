package policy

import (
	"fmt"
	"time"

	"slatewind.example/slatewind"
)

// ServerView describes one server in a state dump.
type ServerView struct {
	Name        string                `json:"name"`
	State       slatewind.ServerState `json:"state"`
	Leaving     bool                  `json:"leaving,omitempty"`
	Unreachable bool                  `json:"unreachable,omitempty"`
	Score       string                `json:"score"`
	Load        float64               `json:"load"`
	Weight      float64               `json:"weight"`
	InFlight    int                   `json:"in_flight"`
}

// Views returns the servers for a state dump.
func (s *Service) Views(now time.Time) []ServerView {
	views := make([]ServerView, 0, len(s.servers))
	for i, known := range s.detector.Servers() {
		score, chart := known.Score()
		views = append(views, ServerView{
			Name:        known.Name,
			State:       known.State,
			Leaving:     known.Leaving,
			Unreachable: known.Unreachable,
			Score:       fmt.Sprintf("%s=%.1f", chart, score),
			Load:        s.servers[i].load,
			Weight:      s.detector.Weight(now, i),
			InFlight:    s.servers[i].inFlight,
		})
	}
	return views
}
