package discovery

import (
	"fmt"
	"sync"
	"time"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
)

// ServiceError reports an entry of a service that no received settings define or use.
type ServiceError struct{ Entry slatewind.ServerEntry }

// Error implements error.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("server %s: no settings define or use the service %q", e.Entry.Name, e.Entry.Service)
}

// ServiceFilter is a Sink that forwards to another one only the servers of services that the
// settings name. Settings and servers may arrive in any order, so other servers are held back
// until settings name their service. A service that was named once stays accepted, since an older
// version of the settings may arrive last; no requests are sent to it without a route.
type ServiceFilter struct {
	Sink

	mu sync.Mutex
	// named holds the services that settings have named. waiting holds, by name, the servers that
	// are held back. mu guards both.
	named   map[string]bool
	waiting map[string]slatewind.ServerEntry
}

// NewServiceFilter returns a filter that forwards to sink. No service is accepted yet.
func NewServiceFilter(sink Sink) *ServiceFilter {
	return &ServiceFilter{Sink: sink, named: map[string]bool{}, waiting: map[string]slatewind.ServerEntry{}}
}

// Server implements Sink.
func (s *ServiceFilter) Server(now time.Time, entry slatewind.ServerEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.named[entry.Service] {
		delete(s.waiting, entry.Name)
		s.Sink.Server(now, entry)
		return
	}
	s.waiting[entry.Name] = entry
	if len(s.named) > 0 {
		s.InvalidData(now, &ServiceError{entry})
		s.Sink.ServerGone(now, entry.Name)
	}
}

// ServerGone implements Sink.
func (s *ServiceFilter) ServerGone(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.waiting[name]; held {
		delete(s.waiting, name)
		return
	}
	s.Sink.ServerGone(now, name)
}

// ApplySettings accepts the services that fleet names, and forwards the servers that were held
// back for them.
func (s *ServiceFilter) ApplySettings(now time.Time, fleet *slatewindv1.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range fleet.GetServices() {
		s.named[service.GetName()] = true
	}
	for _, route := range fleet.GetRoutes() {
		s.acceptRoute(route)
	}
	for name, entry := range s.waiting {
		if s.named[entry.Service] {
			delete(s.waiting, name)
			s.Sink.Server(now, entry)
		}
	}
}

// acceptRoute accepts the services of a route. s.mu is held.
func (s *ServiceFilter) acceptRoute(route *slatewindv1.Route) {
	if service := route.GetService(); service != "" {
		s.named[service] = true
	}
	for _, split := range route.GetSplits() {
		s.named[split.GetService()] = true
	}
}
