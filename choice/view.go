package choice

import (
	"sort"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/breaker"
)

// View is one server in a state dump.
type View struct {
	slatewind.ServerEntry
	Cost     float64 `json:"cost"`
	Load     float64 `json:"load"`
	Sick     bool    `json:"sick,omitempty"`
	InFlight int     `json:"in_flight"`
}

// Views returns the servers for a state dump, sorted by name.
func (s *Service) Views(now time.Time) []View {
	views := make([]View, 0, len(s.servers))
	for _, server := range s.servers {
		views = append(views, View{
			ServerEntry: *server.ServerEntry, Cost: s.cost(now, server, Request{Constraints: breaker.Constraints{Careful: true}}),
			Load: server.status.Load, Sick: server.status.Unhealthy, InFlight: server.inFlight,
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}
