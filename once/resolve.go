package once

import (
	"time"

	"slatewind.example/slatewind"
)

// sealMargin is added to the time that the replies took when the ages in them,
// which two processes measured by their own clocks, are compared.
const sealMargin = time.Second

// SealReply is what one candidate says of a key.
type SealReply struct {
	State slatewind.RecordState
	// RevokedAge is how long ago the key was revoked; for RecordRevoked.
	RevokedAge time.Duration
	// CoverAge is how far back the candidate's memory reaches.
	CoverAge time.Duration
	// OwnersDiffer: ingress and sidecar have different settings.
	OwnersDiffer bool
	// Unreachable: no reply came.
	Unreachable bool
}

// Resolution is what the replies of all candidates prove about a retry.
type Resolution struct {
	// Action is ActionJoin (ask the candidate At for the answer), ActionRun
	// (the home may run it) or ActionUnknown.
	Action Action
	// At is the index of the candidate to ask.
	At     int
	Reason string
}

// Resolve reads the replies of the candidates of a key, home first, which came
// within the time took. A retry
// may run only if some candidate revoked the key and every candidate, the
// revoking ones included, remembers all that happened since before the oldest
// revocation: then no candidate ran it, and as all are sealed none will.
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
	return Resolution{Action: ActionRun, Reason: "every candidate is sealed and none had run it"}
}

// gap returns why a reply leaves room for an earlier run, or nothing. needed is
// how far back the candidate's memory must reach.
func gap(r SealReply, needed time.Duration) string {
	switch {
	case r.Unreachable:
		return "a candidate cannot be reached and may have run it"
	case r.OwnersDiffer:
		return "a candidate has different settings for the service"
	case r.CoverAge < needed:
		return "the memory of a candidate does not reach back to the first attempt"
	}
	return ""
}

// Candidates orders the servers of a service for one key by rendezvous hash:
// each process with the same server names gets the same order, and a change of
// one server moves only the keys that it gains or loses. The result is written
// to order, which must be as long as servers.
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
