package search

import "time"

const (
	// waitShare is the share of its remaining time that a request may wait for a slot,
	// objectiveWaitShare the share of its objective; the longer time counts.
	waitShare          = 0.25
	objectiveWaitShare = 0.4
	// eagerWaitShare is the share of its remaining time that an eager attempt may wait for a
	// slot.
	eagerWaitShare = 0.6
)

// MaxSlotWait returns how long an attempt may wait for a slot if its request has the given
// time remaining. Each attempt gets its own limit, since the search for the first one may have
// taken long. An eager attempt waits longer: it follows an attempt that a server has received
// without an answer, so a refusal would no longer prove that the request did not run; or it
// is a nested call, whose refusal would waste the work of its caller.
func MaxSlotWait(remaining, objective time.Duration, eager bool) time.Duration {
	if eager {
		return time.Duration(eagerWaitShare * float64(remaining))
	}
	return max(
		time.Duration(waitShare*float64(remaining)),
		min(time.Duration(objectiveWaitShare*float64(objective)), remaining),
	)
}
