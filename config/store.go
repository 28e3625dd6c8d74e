package config

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
)

// maxPrevious is the number of versions remembered after they were in force. It may be small,
// since a backup from which the platform's store is restored is only seconds old.
const maxPrevious = 16

// Store holds the settings in force. Files are offered by the platform and by peers in any
// order; the store keeps the newest one that passes all checks. It is safe for concurrent use.
type Store struct {
	journal slatewind.Journal
	current atomic.Pointer[Snapshot]

	// mu guards the fields below and serialises writes of current.
	mu sync.Mutex
	// rejected is the last rejected version, so that offering it again does not add another
	// entry to the journal.
	rejected *Version
	// previous holds the versions previously in force, oldest first.
	previous []Version
}

// NewStore returns a store without settings.
func NewStore(journal slatewind.Journal) *Store {
	return &Store{journal: journal}
}

// Current returns the settings in force, or nil if there are none yet.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Version returns the version in force, or the zero version if there is none yet.
func (s *Store) Version() Version {
	current := s.current.Load()
	if current == nil {
		return Version{}
	}
	return current.Version
}

// Offer puts a file in force if it is newer than the file in force and passes all checks. It
// reports whether this call put the file in force; a file that is not newer is ignored without
// an error. The error is of type Findings.
func (s *Store) Offer(now time.Time, source string, revision slatewind.Revision, text []byte) (bool, error) {
	version := Version{Era: revision.Era, Revision: revision.Number, Digest: xxhash.Sum64(text)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.advances(version) {
		s.recordStale(now, source, version)
		return false, nil
	}
	fleet, err := ParseFleet(fmt.Sprintf("revision-%d", revision.Number), text)
	if err != nil {
		s.recordRejected(now, source, version, err)
		return false, err
	}
	s.setCurrent(NewSnapshot(version, now, text, fleet))
	s.record(now, slatewind.DecisionSettings, fmt.Sprintf("revision %d is in force", revision.Number), fmt.Sprintf("source=%s digest=%x", source, version.Digest))
	return true, nil
}

// Adopt puts published settings in force if they are newer than the settings in force. It
// reports whether this call put them in force.
func (s *Store) Adopt(now time.Time, source string, settings *slatewind.PublishedSettings) bool {
	version := Version{Revision: settings.Version}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.advances(version) {
		s.recordStale(now, source, version)
		return false
	}
	s.setCurrent(NewSnapshot(version, now, nil, settings.Fleet))
	reason := fmt.Sprintf("version %d is in force", settings.Version)
	s.record(now, slatewind.DecisionSettings, reason, fmt.Sprintf("source=%s routes=%d", source, len(settings.Fleet.GetRoutes())))
	return true
}

// advances reports whether a version is newer than the version in force. A version that was in
// force before and is offered with a later era comes from the backup from which the platform's
// store was restored; it does not count as newer. The caller holds mu.
func (s *Store) advances(version Version) bool {
	current := s.current.Load()
	if current == nil {
		return true
	}
	copied := slices.ContainsFunc(s.previous, func(p Version) bool {
		return p.Revision == version.Revision && p.Digest == version.Digest && p.Era < version.Era
	})
	return version.Newer(current.Version) && !copied
}

// setCurrent puts a snapshot in force. The caller holds mu.
func (s *Store) setCurrent(next *Snapshot) {
	if before := s.current.Swap(next); before != nil {
		s.previous = append(s.previous, before.Version)
	}
	s.previous = s.previous[max(0, len(s.previous)-maxPrevious):]
}

// recordStale records in the journal that an offered version was ignored because it is not newer
// than the one in force. The version in force itself is not recorded. The caller holds mu.
func (s *Store) recordStale(now time.Time, source string, offered Version) {
	current := s.Version()
	if offered == current {
		return
	}
	reason := fmt.Sprintf("revision %d is older than revision %d in force", offered.Revision, current.Revision)
	s.record(now, slatewind.DecisionSettingsIgnored, reason, "source="+source)
}

// recordRejected records in the journal that an offered version has findings. The caller holds mu.
func (s *Store) recordRejected(now time.Time, source string, version Version, err error) {
	if s.rejected != nil && *s.rejected == version {
		return
	}
	s.rejected = &version
	reason := fmt.Sprintf("revision %d has findings, the file in force stays", version.Revision)
	s.record(now, slatewind.DecisionSettingsIgnored, reason, "source="+source+" findings="+err.Error())
}

func (s *Store) record(now time.Time, kind slatewind.DecisionKind, reason, evidence string) {
	s.journal.Add(slatewind.Decision{Time: now, Kind: kind, Reason: reason, Evidence: evidence})
}
