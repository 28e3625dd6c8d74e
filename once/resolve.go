package once

import (
	"time"

	"slatewind.example/slatewind"
)

// sealMargin is added to the time that the replies took when the ages in them are
// compared, since two processes measured these by their own clocks.
const sealMargin = time.Second

// SealReply is the state of a key at one candidate.
type SealReply struct {
	State slatewind.RecordState
	// RevokedAge is the time since the key was revoked; set for RecordRevoked.
	RevokedAge time.Duration
	// CoverAge is how far back the candidate's records are complete.
	CoverAge time.Duration
	// OwnersDiffer reports that ingress and sidecar have different settings for the
	// service.
	OwnersDiffer bool
	// Unreachable reports that no reply was received.
	Unreachable bool
}

// Resolution is the decision about a retry that follows from the replies of all
// candidates.
type Resolution struct {
	// Action is ActionJoin (request the answer from the candidate At), ActionRun
	// (the home may run the request) or ActionUnknown.
	Action Action
	// At is the index of the candidate for ActionJoin.
	At     int
	Reason string
}

// Resolve decides about a retry from the replies of the candidates of its key,
// home first. took is the time within which the replies were received. The retry
// may run only if some candidate revoked the key and the records of every
// candidate, including the revoking ones, are complete since before the oldest
// revocation: then no candidate ran the request, and none will, since the key is
// sealed at all of them.
func Resolve(replies []SealReply, took time.Duration) Resolution {
	var oldest time.Duration
	revoked := false
	for i, r := range replies {
		switch r.State {
		case slatewind.RecordRunning, slatewind.RecordDone, slatewind.RecordLost:
			return Resolution{Action: ActionJoin, At: i, Reason: "a candidate has a record of a run"}
		case slatewind.RecordRevoked:
			revoked = true
			oldest = max(oldest, r.RevokedAge)
		}
	}
	if !revoked {
		return Resolution{Action: ActionUnknown, Reason: "no candidate has a record: an earlier attempt may have run"}
	}
	for _, r := range replies {
		if reason := gap(r, oldest+took+sealMargin); reason != "" {
			return Resolution{Action: ActionUnknown, Reason: reason}
		}
	}
	return Resolution{Action: ActionRun, Reason: "the key is sealed at every candidate and none had run the request"}
}

// gap returns why a reply does not exclude an earlier run, or "". needed is how far
// back the candidate's records must be complete.
func gap(r SealReply, needed time.Duration) string {
	switch {
	case r.Unreachable:
		return "a candidate cannot be reached and may have run the request"
	case r.OwnersDiffer:
		return "a candidate has different settings for the service"
	case r.CoverAge < needed:
		return "the records of a candidate do not reach back to the first attempt"
	}
	return ""
}

// Candidates orders the servers of a service for one key by rendezvous hashing.
// All processes with the same server names get the same order, and a change of one
// server moves only the keys that it gains or loses. The indices of the servers
// are written to order, home first; order must be as long as servers.
func Candidates(key string, servers []string, order []int) {
	for i := range order {
		order[i] = i
	}
	keyHash := hash(key)
	scores := make([]uint64, len(servers))
	for i, name := range servers {
		scores[i] = mix(keyHash ^ hash(name))
	}
	for i := 1; i < len(order); i++ {
		for j := i; j > 0 && scores[order[j]] > scores[order[j-1]]; j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
}
