package slatewind

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
)

// ErrHistoryGone says that a source no longer knows the changes since a
// revision; everything has to be read anew.
var ErrHistoryGone = errors.New("the history since the revision is gone")

// Revision names a state of a source. Its number rises with each change. A source that was
// restored from a copy begins the next era, in which numbers are given out again for other
// states.
type Revision struct {
	Era    uint64 `json:"era,omitempty"`
	Number uint64 `json:"number"`
}

// IsZero reports whether the revision names no state.
func (r Revision) IsZero() bool { return r == Revision{} }

// After reports whether r comes after o: a later era goes before a higher number.
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

// String returns the era and the number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Number) }

// ServerEntry is one backend server as it is published.
type ServerEntry struct {
	// Name is what the server calls itself. Another start of it may take the same name.
	Name string `json:"name"`
	// Start is when the server started, in Unix milliseconds, and tells the starts under one
	// name apart: the higher is the newer. 0 is unknown.
	Start   int64  `json:"start,omitempty"`
	Service string `json:"service"`
	// Address is its IP:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Release is the version of the server's software.
	Release string `json:"release,omitempty"`
	// Slots is how many requests it runs at once; 0 is unknown.
	Slots int `json:"slots"`
	// Leaving servers finish their work and take no more.
	Leaving bool `json:"leaving,omitempty"`
	// Warming is how much longer the server is slow after its start.
	Warming time.Duration `json:"warming,omitempty"`
	// Created is the number of the source's revision at which the entry came to be: it was not there
	// shortly before.
	Created uint64 `json:"created,omitempty"`
}

// ID returns the identity of one start of a server: what is known of one start says
// nothing of another.
func (e ServerEntry) ID() string { return ServerID(e.Name, e.Start) }

// ServerID returns the identity of a start of a server. It is the name alone where the
// start is unknown.
func ServerID(name string, start int64) string {
	if start == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(start, 10)
}

// ServerStart is a start of a server.
type ServerStart struct {
	Name string
	// Start is when it started (ServerEntry.Start).
	Start int64
}

// PublishedSettings is one version of the operators' settings.
type PublishedSettings struct {
	// Version rises with each change; the highest is in force.
	Version uint64
	// Revision is the source's at which they were written.
	Revision Revision
	Fleet    *slatewindv1.Fleet
}

// ServerUpdate is what a source tells of servers at one moment: everything, or
// what changed since a revision. It is small and urgent. Settings may be large,
// so they come by themselves, and no server's word waits for them.
type ServerUpdate struct {
	// Revision is the source's up to which this tells.
	Revision Revision
	// Version is that of the newest settings that the source has, where it is
	// another process.
	Version uint64
	// Servers are new or changed entries.
	Servers []ServerEntry
	// Removed names servers whose entries are gone.
	Removed []string
	// Ended are the newest known starts of servers whose entries are gone. A source that is
	// another process tells of them, so that no older start's entry counts that comes late.
	Ended []ServerStart
	// Complete says that Servers are all that there are.
	Complete bool
	// Relayed publications came from another process, From its server's address.
	Relayed bool
	From    string
	// PlatformUnreachable says that the process which has this news cannot reach the platform itself:
	// it was told by others, and servers near it may be missing for that reason alone.
	PlatformUnreachable bool
	// Age is how long ago this was the platform's state; zero is just now.
	Age time.Duration
	// EntryErrors are entries that could not be read, each with its place.
	EntryErrors []error
}

// ServerSource reads what the platform publishes about servers.
type ServerSource interface {
	// Read returns all servers that are published now, as a whole publication.
	Read(ctx context.Context) (ServerUpdate, error)
	// Changes returns at once what changed after a revision. The error is
	// ErrHistoryGone where a new Read is due.
	Changes(ctx context.Context, after Revision) (ServerUpdate, error)
}

// SettingsUpdate is what a source tells of settings.
type SettingsUpdate struct {
	// Settings is nil where they did not change.
	Settings *PublishedSettings
	// Revision is the source's up to which this tells. Changes to
	// other things count too, and a source forgets old ones, so that the next
	// question begins here even where settings did not change.
	Revision Revision
	// Err says, with its place, that settings were written and cannot be read.
	Err error
}

// SettingsSource reads the settings that the platform publishes.
type SettingsSource interface {
	// Settings returns what is new as soon as settings are written at a revision
	// above after, or when wait is over. A large answer may take longer, as long as
	// it goes on coming.
	Settings(ctx context.Context, after Revision, wait time.Duration) (SettingsUpdate, error)
}

// CallerHeaders names the header fields between callers and the fleet.
type CallerHeaders struct {
	// RequestID is the id that the caller gave its request.
	RequestID string
	// Deadline is the time in milliseconds that the caller will wait.
	Deadline string
	// CallerService names the service on whose VM a request began.
	CallerService string
	// Key is the key of the caller's workspace. No server gets it.
	Key string
	// Workspace tells servers the name of the caller's workspace, whatever the caller sent.
	Workspace string
}

// ServerHeaders names the header fields between the fleet and a server.
type ServerHeaders struct {
	// RequestID is the caller's id, in requests and answers.
	RequestID string
	// Deadline is the time in milliseconds that is left to the request.
	Deadline string
	// Stamp proves that an answer is a server's own.
	Stamp string
	// Expect carries the identity of the only server that may run a request.
	Expect string
	// NotExecuted marks an answer to a request that the server did not run.
	NotExecuted string
	// Identity is the server's name in its answers.
	Identity string
	// Load holds requests running, requests waiting and slots.
	Load string
}
