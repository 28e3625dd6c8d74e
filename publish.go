package slatewind

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
)

// ErrHistoryGone is returned by a source that no longer has the changes since the requested
// revision; the caller must read the full state again.
var ErrHistoryGone = errors.New("the changes since the requested revision are no longer available")

// Revision identifies a state of a source. Number increases with each change. A source that is
// restored from a backup starts the next era, in which numbers are reused for different states.
type Revision struct {
	Era    uint64 `json:"era,omitempty"`
	Number uint64 `json:"number"`
}

// IsZero reports whether r is the zero revision, which identifies no state.
func (r Revision) IsZero() bool { return r == Revision{} }

// After reports whether r is later than o. The era takes precedence over the number.
func (r Revision) After(o Revision) bool {
	if r.Era != o.Era {
		return r.Era > o.Era
	}
	return r.Number > o.Number
}

// Later returns the later of two revisions.
func (r Revision) Later(o Revision) Revision {
	if o.After(r) {
		return o
	}
	return r
}

// String returns the revision in the form "era.number".
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Number) }

// ServerEntry is one backend server as published.
type ServerEntry struct {
	// Name is the name that the server gives itself. It may be reused after a restart.
	Name string `json:"name"`
	// Start is the time at which the server started, in Unix milliseconds; 0 if unknown. It
	// distinguishes the starts of servers with the same name: the highest is the newest.
	Start   int64  `json:"start,omitempty"`
	Service string `json:"service"`
	// Address is the server's IP:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Release is the version of the server's software.
	Release string `json:"release,omitempty"`
	// Slots is the number of requests that the server runs concurrently; 0 if unknown.
	Slots int `json:"slots"`
	// Leaving servers finish the requests in flight and accept no new ones.
	Leaving bool `json:"leaving,omitempty"`
	// Warming is the remaining time for which the server is slow after its start.
	Warming time.Duration `json:"warming,omitempty"`
	// Evacuated reports that the server's data centre is evacuated (Evacuations). It is set by the
	// receiving process and not part of the published entry.
	Evacuated bool `json:"evacuated,omitempty"`
	// Created is the number of the source's revision at which the entry was created: it did not
	// exist at the revisions just before.
	Created uint64 `json:"created,omitempty"`
}

// AcceptsWork reports whether the server may get new requests, by its entry.
func (e ServerEntry) AcceptsWork() bool { return !e.Leaving && !e.Evacuated }

// ID returns the identity of one start of a server. State that is known of one start does not
// apply to another.
func (e ServerEntry) ID() string { return ServerID(e.Name, e.Start) }

// ServerID returns the identity of one start of a server. It is the name alone if the start is
// unknown.
func ServerID(name string, start int64) string {
	if start == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(start, 10)
}

// ServerStart identifies one start of a server.
type ServerStart struct {
	Name string
	// Start is in Unix milliseconds (see ServerEntry.Start).
	Start int64
}

// PublishedSettings is one version of the operators' settings.
type PublishedSettings struct {
	// Version increases with each change; the highest version is in force.
	Version uint64
	// Revision is the source's revision at which the settings were written.
	Revision Revision
	Fleet    *slatewindv1.Fleet
}

// Evacuations is the list of evacuated data centres: their servers must get no new requests.
type Evacuations struct {
	// Revision is a revision of the source at which the list was current; zero if none is known.
	Revision Revision `json:"revision"`
	// DataCentres are sorted.
	DataCentres []string `json:"data_centres"`
}

// Contains reports whether a data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	_, found := slices.BinarySearch(e.DataCentres, dataCentre)
	return found
}

// EvacuationChanges are the changes of Evacuations that one poll brought.
type EvacuationChanges struct {
	// Complete reports that Began lists all evacuated data centres.
	Complete bool
	// Began and Ended are the data centres whose evacuation began or ended.
	Began, Ended []string
}

// ServerUpdate is the state of all servers at a source, or the changes since a revision.
// Server updates are small and urgent, whereas settings may be large: settings are sent
// separately (SettingsUpdate), so that no server update is delayed by them.
type ServerUpdate struct {
	// Revision is the source's revision up to which the update is current.
	Revision Revision
	// Version is the version of the newest settings that the source has, if the source is
	// another process.
	Version uint64
	// Servers are new or changed entries.
	Servers []ServerEntry
	// Removed are the names of servers whose entries were removed.
	Removed []string
	// Ended are the newest known starts of servers whose entries were removed. Only other
	// processes report them, so that the receiver ignores an entry of an older start that
	// arrives late.
	Ended []ServerStart
	// Complete reports that Servers lists all servers, not only changes.
	Complete bool
	// Relayed reports that the update came from another process. From is the address of the
	// server beside which that process runs.
	Relayed bool
	From    string
	// PlatformUnreachable reports that the process that sent the update cannot reach the platform
	// itself. It has the state from other processes, and servers near it may be missing only
	// because they cannot reach the platform either.
	PlatformUnreachable bool
	// Evacuations is the newest list that the sender knows, if the update came from another
	// process; its revision is zero if that list is not newer than the receiver's.
	Evacuations Evacuations
	// Age is the time since this was the platform's state; zero means current.
	Age time.Duration
	// EntryErrors describe entries that could not be decoded, each with its key.
	EntryErrors []error
}

// ServerSource reads the entries of servers that the platform publishes.
type ServerSource interface {
	// Read returns all servers that are currently published, as a complete update.
	Read(ctx context.Context) (ServerUpdate, error)
	// Changes returns the changes after a revision, without waiting for one. The error is
	// ErrHistoryGone if a new Read is required.
	Changes(ctx context.Context, after Revision) (ServerUpdate, error)
}

// SettingsUpdate is the result of one poll of a SettingsSource.
type SettingsUpdate struct {
	// Settings is nil if the settings did not change.
	Settings *PublishedSettings
	// Revision is the source's revision up to which the update is current. The next poll must
	// start here even if the settings did not change: changes to other data increase the
	// revision too, and a source discards old changes.
	Revision Revision
	// Evacuations are the changes up to Revision.
	Evacuations EvacuationChanges
	// Err reports, with their key, settings that were written and cannot be decoded.
	Err error
}

// SettingsSource reads the settings and the evacuations that the platform publishes.
type SettingsSource interface {
	// Settings is a long poll: it returns as soon as settings are written or the evacuations
	// change at a revision above after, or when wait expires. A large answer may take longer than wait, as long as data
	// keeps arriving.
	Settings(ctx context.Context, after Revision, wait time.Duration) (SettingsUpdate, error)
}

// CallerHeaders holds the names of the header fields between callers and the fleet.
type CallerHeaders struct {
	// RequestID is the ID that the caller gave the request.
	RequestID string
	// Deadline is the time for which the caller will wait, in milliseconds.
	Deadline string
	// CallerService is the name of the service on whose VM the request originated.
	CallerService string
	// Key is the key of the caller's workspace. It is never forwarded to servers.
	Key string
	// Workspace is the name of the caller's workspace in requests to servers. It replaces any
	// value that the caller sent.
	Workspace string
}

// ServerHeaders holds the names of the header fields between the fleet and a server.
type ServerHeaders struct {
	// RequestID is the caller's request ID, in requests and answers.
	RequestID string
	// Deadline is the time that remains for the request, in milliseconds.
	Deadline string
	// Stamp proves that an answer comes from the server itself.
	Stamp string
	// Expect is the identity of the only server that may run the request.
	Expect string
	// NotExecuted marks the answer to a request that the server did not run.
	NotExecuted string
	// Identity is the server's name in its answers.
	Identity string
	// Load is the server's load: running requests, queued requests and slots.
	Load string
	// Limit is the number of requests a second that the server takes from the whole fleet, a
	// decimal number. A server states it in all answers while it applies.
	Limit string
	// Leaving marks the answers of a server that is leaving, with the value LeavingValue.
	Leaving string
}

// LeavingValue is the value of ServerHeaders.Leaving in the answers of a leaving server.
const LeavingValue = "1"
