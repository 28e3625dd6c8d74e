package config

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/workspace"
)

// Version orders settings files: by the platform's revision, then by digest.
type Version struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
}

// Written returns the platform's revision at which the file was written.
func (v Version) Written() slatewind.Revision {
	return slatewind.Revision{Era: v.Era, Number: v.Revision}
}

// Newer reports whether v comes after o.
func (v Version) Newer(o Version) bool {
	if v.Written() != o.Written() {
		return v.Written().After(o.Written())
	}
	return v.Digest > o.Digest
}

// ToAPI returns the message form of a version.
func (v Version) ToAPI() *slatewindv1.Version {
	return &slatewindv1.Version{Era: v.Era, Revision: v.Revision, Digest: v.Digest}
}

// VersionFromAPI returns the struct form of a version message.
func VersionFromAPI(v *slatewindv1.Version) Version {
	return Version{Era: v.GetEra(), Revision: v.GetRevision(), Digest: v.GetDigest()}
}

// Snapshot is one accepted file, ready for use. It never changes; a request
// keeps the snapshot that it began with.
type Snapshot struct {
	Version Version
	// Since is when this process put the file in force.
	Since time.Time
	Text  []byte
	Fleet *slatewindv1.Fleet
	// Services finds services by name.
	Services map[string]*slatewindv1.Service
	// Owners holds, by service, the digest of the names of its servers. Once
	// requests carry it, since a key's home depends on these names.
	Owners map[string]uint64
	Routes *RouteTable
	// Workspaces tells whose key a request has.
	Workspaces *workspace.Directory
	// ranks is how many ranks routes have.
	ranks uint32
}

// Rank returns the rank of a request in the queue for slots: that of its workspace goes before
// that of its route.
func (s *Snapshot) Rank(w *slatewindv1.Workspace, route *slatewindv1.Route) uint32 {
	return w.GetRank()*s.ranks + route.GetRank()
}

// LimitOf returns the limit of a workspace, which may be nil.
func (s *Snapshot) LimitOf(w *slatewindv1.Workspace) slatewind.WorkspaceLimit {
	return slatewind.WorkspaceLimit{Workspace: w.GetName(), Rate: w.GetRate(), Burst: w.GetBurst(), Version: s.Version.Revision}
}

// NewSnapshot builds a snapshot of a checked file.
func NewSnapshot(version Version, since time.Time, text []byte, fleet *slatewindv1.Fleet) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Since:    since,
		Text:     text,
		Fleet:    fleet,
		Services: map[string]*slatewindv1.Service{},
		Owners:   map[string]uint64{},
		Routes:   NewRouteTable(fleet.GetRoutes()),

		Workspaces: workspace.NewDirectory(fleet),
	}
	for _, route := range fleet.GetRoutes() {
		s.ranks = max(s.ranks, route.GetRank()+1)
	}
	for _, service := range fleet.GetServices() {
		s.Services[service.GetName()] = service
		s.Owners[service.GetName()] = ownersDigest(service)
	}
	return s
}

func ownersDigest(service *slatewindv1.Service) uint64 {
	names := make([]string, 0, len(service.GetServers()))
	for _, server := range service.GetServers() {
		names = append(names, server.GetName())
	}
	sort.Strings(names)
	return xxhash.Sum64String(strings.Join(names, "\n"))
}

// RouteTable finds the route of a request by host, longest path prefix on
// whole segments, and method. A lookup costs one map access for each segment
// of the path, whatever the number of routes.
type RouteTable struct {
	hosts map[string]map[string][]*slatewindv1.Route
}

// NewRouteTable indexes routes by host and prefix.
func NewRouteTable(routes []*slatewindv1.Route) *RouteTable {
	t := &RouteTable{hosts: map[string]map[string][]*slatewindv1.Route{}}
	for _, route := range routes {
		prefixes := t.hosts[route.GetHost()]
		if prefixes == nil {
			prefixes = map[string][]*slatewindv1.Route{}
			t.hosts[route.GetHost()] = prefixes
		}
		prefix := strings.TrimSuffix(route.GetPathPrefix(), "/")
		prefixes[prefix] = append(prefixes[prefix], route)
	}
	return t
}

// Find returns the route of a request, or nil. Routes for the request's host
// go before routes for every host.
func (t *RouteTable) Find(host, method, path string) *slatewindv1.Route {
	if route := findPrefix(t.hosts[host], method, path); route != nil {
		return route
	}
	return findPrefix(t.hosts[""], method, path)
}

func findPrefix(prefixes map[string][]*slatewindv1.Route, method, path string) *slatewindv1.Route {
	if len(prefixes) == 0 {
		return nil
	}
	path = strings.TrimSuffix(path, "/")
	for {
		if route := findMethod(prefixes[path], method); route != nil {
			return route
		}
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		path = path[:slash]
	}
}

// findMethod prefers a route that names the method over one for any method.
func findMethod(routes []*slatewindv1.Route, method string) *slatewindv1.Route {
	var anyMethod *slatewindv1.Route
	for _, route := range routes {
		if len(route.GetMethods()) == 0 {
			anyMethod = route
		}
		for _, m := range route.GetMethods() {
			if m == method {
				return route
			}
		}
	}
	return anyMethod
}
