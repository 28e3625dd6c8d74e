package policy

import (
	"time"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/attempt"
	"slatewind.example/slatewind/outlier"
)

// ApplyDigest applies a digest of a server from its sidecar, received with a reply (direct)
// or by gossip. A digest of an unknown server, or one older than the newest applied, is ignored.
func (s *Service) ApplyDigest(now time.Time, d *slatewindv1.Digest, direct bool) {
	i := s.detector.Find(d.GetServer())
	if i < 0 {
		return
	}
	sv := &s.servers[i]
	if older(d, sv) {
		return
	}
	sv.serial = d.GetSerial()
	sv.lastDigest = d
	if direct {
		sv.reportedAt = now
		sv.backoff = 0
		s.detector.SetReachable(now, d.GetServer(), true)
		s.detector.ObservePath(now, d.GetServer(), true)
	}
	s.updateIncarnation(now, sv, d)
	sv.reportsLeaving = d.GetLeaving()
	s.detector.SetLeaving(now, d.GetServer(), sv.reportsLeaving || sv.listedLeaving)
	if len(d.GetOutcomes()) > 0 || d.GetSequence() == sv.sequence {
		// Without its newest outcomes the data about a server is not current.
		s.detector.MarkCurrent(now, d.GetServer())
	}
	s.observeNew(now, sv, d)
	if direct {
		sv.load = float64(d.GetInFlight() + d.GetQueued())
		sv.slots = max(float64(d.GetSlots()), 1)
		sv.loadAt = now
	}
}

// older reports whether a digest was created before the newest one that was applied.
func older(d *slatewindv1.Digest, sv *server) bool {
	process, known := attempt.ProcessOf(d.GetIncarnation()), attempt.ProcessOf(sv.incarnation)
	if process != known {
		return process < known
	}
	return d.GetSerial() < sv.serial
}

// updateIncarnation resets the data about a server if its sidecar is a new process.
func (s *Service) updateIncarnation(now time.Time, sv *server, d *slatewindv1.Digest) {
	process := attempt.ProcessOf(d.GetIncarnation())
	if process == attempt.ProcessOf(sv.incarnation) {
		sv.incarnation = d.GetIncarnation()
		return
	}
	known := sv.incarnation != 0
	sv.incarnation = d.GetIncarnation()
	sv.sequence = 0
	sv.serial = d.GetSerial()
	if known {
		s.detector.Restarted(now, d.GetServer())
	}
}

// observeNew passes the outcomes that were not observed before to the detector.
func (s *Service) observeNew(now time.Time, sv *server, d *slatewindv1.Digest) {
	outcomes := d.GetOutcomes()
	if d.GetSequence() <= sv.sequence || len(outcomes) == 0 {
		return
	}
	fresh := int(min(d.GetSequence()-sv.sequence, uint64(len(outcomes))))
	sv.sequence = d.GetSequence()
	for _, packed := range outcomes[len(outcomes)-fresh:] {
		s.detector.Observe(now, outlier.Unpack(d.GetServer(), packed))
	}
}
