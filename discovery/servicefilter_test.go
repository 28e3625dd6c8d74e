package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

// TestServices states which servers are used, in whatever order entries and settings come.
func TestServices(t *testing.T) {
	now := time.Unix(1000, 0)
	type event func(s *Services)
	server := func(name, service string) event {
		return func(s *Services) { s.Server(now, slatewind.ServerEntry{Name: name, Service: service}) }
	}
	gone := func(name string) event { return func(s *Services) { s.ServerGone(now, name) } }
	table := func(names ...string) event {
		return func(s *Services) {
			fleet := &slatewindv1.Fleet{}
			for _, name := range names {
				fleet.Services = append(fleet.Services, &slatewindv1.Service{Name: name})
			}
			s.Name(now, fleet)
		}
	}
	split := func(s *Services) {
		s.Name(now, &slatewindv1.Fleet{Routes: []*slatewindv1.Route{{Splits: []*slatewindv1.Split{{Service: "a"}, {Service: "b"}}}}})
	}
	tests := map[string]struct {
		events   []event
		used     []string
		findings int
	}{
		"before any settings":            {[]event{server("1", "a")}, nil, 0},
		"settings, then the server":      {[]event{table("a"), server("1", "a")}, []string{"1"}, 0},
		"the server, then settings":      {[]event{server("1", "a"), table("a")}, []string{"1"}, 0},
		"settings that name another":     {[]event{table("b"), server("1", "a")}, nil, 1},
		"later settings name it":         {[]event{table("b"), server("1", "a"), table("a")}, []string{"1"}, 1},
		"a route's parts are named":      {[]event{server("1", "a"), server("2", "b"), split}, []string{"1", "2"}, 0},
		"gone before settings":           {[]event{server("1", "a"), gone("1"), table("a")}, nil, 0},
		"gone after settings":            {[]event{server("1", "a"), table("a"), gone("1")}, nil, 0},
		"later settings leave it out":    {[]event{server("1", "a"), table("a"), table("b")}, []string{"1"}, 0},
		"its entry changes to no name's": {[]event{table("a"), server("1", "a"), server("1", "x")}, nil, 1},
		"and back":                       {[]event{table("a"), server("1", "a"), server("1", "x"), server("1", "a")}, []string{"1"}, 1},
		"and to one that is named later": {[]event{table("a"), server("1", "a"), server("1", "x"), table("x")}, []string{"1"}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			heard := newHeardBy()
			s := NewServices(heard)
			for _, e := range test.events {
				e(s)
			}
			assert.DeepEqual(t, heard.names(), test.used)
			assert.Equal(t, heard.findings, test.findings)
		})
	}
}
