package config

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/routing"
	"slatewind.example/slatewind/workspace"
)

// Version identifies a settings file. Versions are ordered by the platform's revision, then by
// digest. For settings that the platform publishes in its own format, Revision is their version
// number, and Era and Digest are 0.
type Version struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
}

// Written returns the revision of the platform's store at which the file was written.
func (v Version) Written() slatewind.Revision {
	return slatewind.Revision{Era: v.Era, Number: v.Revision}
}

// Newer reports whether v is newer than o.
func (v Version) Newer(o Version) bool {
	if v.Written() != o.Written() {
		return v.Written().After(o.Written())
	}
	return v.Digest > o.Digest
}

// ToAPI converts a version to its protobuf message.
func (v Version) ToAPI() *slatewindv1.Version {
	return &slatewindv1.Version{Era: v.Era, Revision: v.Revision, Digest: v.Digest}
}

// VersionFromAPI converts a protobuf message to a version.
func VersionFromAPI(v *slatewindv1.Version) Version {
	return Version{Era: v.GetEra(), Revision: v.GetRevision(), Digest: v.GetDigest()}
}

// Snapshot is an accepted settings file with its indexes. It is immutable; a request uses the
// snapshot in force at its start until its end.
type Snapshot struct {
	Version Version
	// Since is the time at which this process put the file in force.
	Since time.Time
	// Text is the YAML text, nil for settings that the platform publishes in its own format.
	Text  []byte
	Fleet *slatewindv1.Fleet
	// Services holds the services by name.
	Services map[string]*slatewindv1.Service
	// Owners holds, by service name, a digest of the names of its servers. Requests on once
	// routes carry it, since the home of an idempotency key depends on these names.
	Owners map[string]uint64
	Routes *routing.Table
	// Workspaces finds the workspace of the key in a request.
	Workspaces *workspace.Directory
	// ranks is the highest rank of a route plus 1.
	ranks uint32
}

// Rank returns the rank of a request in the queue for slots. Requests are ordered by the rank of
// their workspace first and by that of their route second.
func (s *Snapshot) Rank(w *slatewindv1.Workspace, route *slatewindv1.Route) uint32 {
	return w.GetRank()*s.ranks + route.GetRank()
}

// LimitOf returns the rate limit of a workspace. w may be nil.
func (s *Snapshot) LimitOf(w *slatewindv1.Workspace) slatewind.WorkspaceLimit {
	return slatewind.WorkspaceLimit{Workspace: w.GetName(), Rate: w.GetRate(), Burst: w.GetBurst(), Version: s.Version.Revision}
}

// NewSnapshot returns a snapshot of a checked file.
func NewSnapshot(version Version, since time.Time, text []byte, fleet *slatewindv1.Fleet) *Snapshot {
	s := &Snapshot{
		Version:  version,
		Since:    since,
		Text:     text,
		Fleet:    fleet,
		Services: map[string]*slatewindv1.Service{},
		Owners:   map[string]uint64{},
		Routes:   routing.NewTable(fleet.GetRoutes()),

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

// ownersDigest returns a digest of the names of a service's servers, whatever their order.
func ownersDigest(service *slatewindv1.Service) uint64 {
	names := make([]string, 0, len(service.GetServers()))
	for _, server := range service.GetServers() {
		names = append(names, server.GetName())
	}
	sort.Strings(names)
	return xxhash.Sum64String(strings.Join(names, "\n"))
}
