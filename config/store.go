package config

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"slatewind.example/slatewind"
)

// Store holds the settings in force. Offers come from the platform and from
// peers, in any order; the store keeps the newest that passes every check.
type Store struct {
	journal slatewind.Journal
	current atomic.Pointer[Snapshot]
	// refused is the newest version that had findings; offering it again is
	// not worth another entry in the journal.
	refused atomic.Pointer[Version]
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
func (s *Store) Offer(now time.Time, source string, revision uint64, text []byte) (bool, error) {
	version := Version{Revision: revision, Digest: xxhash.Sum64(text)}
	for {
		current := s.current.Load()
		if current != nil && !version.Newer(current.Version) {
			s.noteStale(now, source, version, current.Version)
			return false, nil
		}
		fleet, err := ParseFleet(fmt.Sprintf("revision-%d", revision), text)
		if err != nil {
			s.noteRefused(now, source, version, err)
			return false, err
		}
		if s.current.CompareAndSwap(current, NewSnapshot(version, now, text, fleet)) {
			break
		}
	}
	s.add(now, slatewind.DecisionSettings, fmt.Sprintf("revision %d is in force", revision), fmt.Sprintf("source=%s digest=%x", source, version.Digest))
	return true, nil
}

// Adopt puts published settings in force if they are newer than what is. It
// reports whether they are in force now because of this call.
func (s *Store) Adopt(now time.Time, source string, settings *slatewind.PublishedSettings) bool {
	version := Version{Revision: settings.Version}
	for {
		current := s.current.Load()
		if current != nil && !version.Newer(current.Version) {
			s.noteStale(now, source, version, current.Version)
			return false
		}
		if s.current.CompareAndSwap(current, NewSnapshot(version, now, nil, settings.Fleet)) {
			break
		}
	}
	reason := fmt.Sprintf("version %d is in force", settings.Version)
	s.add(now, slatewind.DecisionSettings, reason, fmt.Sprintf("source=%s routes=%d", source, len(settings.Fleet.GetRoutes())))
	return true
}

func (s *Store) noteStale(now time.Time, source string, offered, current Version) {
	if offered == current {
		return
	}
	reason := fmt.Sprintf("revision %d is older than revision %d in force", offered.Revision, current.Revision)
	s.add(now, slatewind.DecisionStale, reason, "source="+source)
}

func (s *Store) noteRefused(now time.Time, source string, version Version, err error) {
	if last := s.refused.Swap(&version); last != nil && *last == version {
		return
	}
	reason := fmt.Sprintf("revision %d has findings, the file in force stays", version.Revision)
	s.add(now, slatewind.DecisionStale, reason, "source="+source+" findings="+err.Error())
}

func (s *Store) add(now time.Time, kind slatewind.DecisionKind, reason, evidence string) {
	s.journal.Add(slatewind.Decision{Time: now, Kind: kind, Reason: reason, Evidence: evidence})
}
