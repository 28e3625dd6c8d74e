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

// mostPassed bounds the files that are remembered after they were in force. A copy of the
// platform's store is seconds old.
const mostPassed = 16

// Store holds the settings in force. Offers come from the platform and from
// peers, in any order; the store keeps the newest that passes every check.
type Store struct {
	journal slatewind.Journal
	current atomic.Pointer[Snapshot]

	mu sync.Mutex
	// refused is the newest version that had findings; offering it again is
	// not worth another entry in the journal.
	refused *Version
	// passed holds the last versions that were in force, oldest first.
	passed []Version
}

// NewStore returns a store without settings.
func NewStore(journal slatewind.Journal) *Store {
	return &Store{journal: journal}
}

// Current returns the settings in force, or nil before the first.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Version returns the version in force; zero before the first.
func (s *Store) Version() Version {
	current := s.current.Load()
	if current == nil {
		return Version{}
	}
	return current.Version
}

// Offer puts a file in force if it is newer than what is and has no finding.
// It reports whether the file is in force now because of this call. The error
// is of type Findings.
func (s *Store) Offer(now time.Time, source string, revision slatewind.Revision, text []byte) (bool, error) {
	version := Version{Era: revision.Era, Revision: revision.Number, Digest: xxhash.Sum64(text)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.advances(version) {
		s.noteStale(now, source, version)
		return false, nil
	}
	fleet, err := ParseFleet(fmt.Sprintf("revision-%d", revision.Number), text)
	if err != nil {
		s.noteRefused(now, source, version, err)
		return false, err
	}
	s.put(NewSnapshot(version, now, text, fleet))
	s.add(now, slatewind.DecisionSettings, fmt.Sprintf("revision %d is in force", revision.Number), fmt.Sprintf("source=%s digest=%x", source, version.Digest))
	return true, nil
}

// Adopt puts published settings in force if they are newer than what is. It
// reports whether they are in force now because of this call.
func (s *Store) Adopt(now time.Time, source string, settings *slatewind.PublishedSettings) bool {
	version := Version{Revision: settings.Version}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.advances(version) {
		s.noteStale(now, source, version)
		return false
	}
	s.put(NewSnapshot(version, now, nil, settings.Fleet))
	reason := fmt.Sprintf("version %d is in force", settings.Version)
	s.add(now, slatewind.DecisionSettings, reason, fmt.Sprintf("source=%s routes=%d", source, len(settings.Fleet.GetRoutes())))
	return true
}

// advances reports whether a version comes after what is in force. One that was in force before
// and comes with a later era is what a copy of the platform's store held. The lock is held.
func (s *Store) advances(version Version) bool {
	current := s.current.Load()
	if current == nil {
		return true
	}
	copied := slices.ContainsFunc(s.passed, func(p Version) bool {
		return p.Revision == version.Revision && p.Digest == version.Digest && p.Era < version.Era
	})
	return version.Newer(current.Version) && !copied
}

// put puts a snapshot in force. The lock is held.
func (s *Store) put(next *Snapshot) {
	if before := s.current.Swap(next); before != nil {
		s.passed = append(s.passed, before.Version)
	}
	s.passed = s.passed[max(0, len(s.passed)-mostPassed):]
}

// noteStale notes that an offer is older than what is in force. The lock is held.
func (s *Store) noteStale(now time.Time, source string, offered Version) {
	current := s.Version()
	if offered == current {
		return
	}
	reason := fmt.Sprintf("revision %d is older than revision %d in force", offered.Revision, current.Revision)
	s.add(now, slatewind.DecisionSettingsIgnored, reason, "source="+source)
}

// noteRefused notes that an offer has findings. The lock is held.
func (s *Store) noteRefused(now time.Time, source string, version Version, err error) {
	if s.refused != nil && *s.refused == version {
		return
	}
	s.refused = &version
	reason := fmt.Sprintf("revision %d has findings, the file in force stays", version.Revision)
	s.add(now, slatewind.DecisionSettingsIgnored, reason, "source="+source+" findings="+err.Error())
}

func (s *Store) add(now time.Time, kind slatewind.DecisionKind, reason, evidence string) {
	s.journal.Add(slatewind.Decision{Time: now, Kind: kind, Reason: reason, Evidence: evidence})
}
