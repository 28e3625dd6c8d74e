package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

// TestServiceFilter checks which servers are forwarded, for entries and settings in any order.
func TestServiceFilter(t *testing.T) {
	now := time.Unix(1000, 0)
	type event func(s *ServiceFilter)
	server := func(name, service string) event {
		return func(s *ServiceFilter) { s.Server(now, slatewind.ServerEntry{Name: name, Service: service}) }
	}
	gone := func(name string) event { return func(s *ServiceFilter) { s.ServerGone(now, name) } }
	settings := func(names ...string) event {
		return func(s *ServiceFilter) {
			fleet := &slatewindv1.Fleet{}
			for _, name := range names {
				fleet.Services = append(fleet.Services, &slatewindv1.Service{Name: name})
			}
			s.ApplySettings(now, fleet)
		}
	}
	split := func(s *ServiceFilter) {
		s.ApplySettings(now, &slatewindv1.Fleet{Routes: []*slatewindv1.Route{{Splits: []*slatewindv1.Split{{Service: "a"}, {Service: "b"}}}}})
	}
	tests := map[string]struct {
		events  []event
		used    []string
		invalid int
	}{
		"before any settings":                            {[]event{server("1", "a")}, nil, 0},
		"settings, then the server":                      {[]event{settings("a"), server("1", "a")}, []string{"1"}, 0},
		"the server, then settings":                      {[]event{server("1", "a"), settings("a")}, []string{"1"}, 0},
		"settings that name another service":             {[]event{settings("b"), server("1", "a")}, nil, 1},
		"later settings name the service":                {[]event{settings("b"), server("1", "a"), settings("a")}, []string{"1"}, 1},
		"services of a route's splits":                   {[]event{server("1", "a"), server("2", "b"), split}, []string{"1", "2"}, 0},
		"removed before settings":                        {[]event{server("1", "a"), gone("1"), settings("a")}, nil, 0},
		"removed after settings":                         {[]event{server("1", "a"), settings("a"), gone("1")}, nil, 0},
		"later settings do not name the service":         {[]event{server("1", "a"), settings("a"), settings("b")}, []string{"1"}, 0},
		"entry changes to an unknown service":            {[]event{settings("a"), server("1", "a"), server("1", "x")}, nil, 1},
		"entry changes to an unknown service and back":   {[]event{settings("a"), server("1", "a"), server("1", "x"), server("1", "a")}, []string{"1"}, 1},
		"entry changes to a service that is named later": {[]event{settings("a"), server("1", "a"), server("1", "x"), settings("x")}, []string{"1"}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sink := newRecordingSink()
			s := NewServiceFilter(sink)
			for _, e := range test.events {
				e(s)
			}
			assert.DeepEqual(t, sink.names(), test.used)
			assert.Equal(t, sink.invalid, test.invalid)
		})
	}
}
