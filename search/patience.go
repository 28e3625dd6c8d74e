package search

import "time"

const (
	// patienceShare is the share of a request's time that it may wait for a slot, and
	// objectiveShare that of its objective, whichever is longer.
	patienceShare  = 0.25
	objectiveShare = 0.4
	// againShare is the share of its time that a request may wait for a slot after a
	// server has seen it without an answer, and that a call may.
	againShare = 0.6
)

// MaxSlotWait returns how long an attempt may wait for a slot whose request has some time
// remaining. Each attempt has its own: the search for the first may have taken long. An
// eager one, which is made again after a server has seen the request or is a call, waits
// longer: a refusal would prove nothing any more, or waste the work above it.
func MaxSlotWait(remaining, objective time.Duration, eager bool) time.Duration {
	if eager {
		return time.Duration(againShare * float64(remaining))
	}
	return max(
		time.Duration(patienceShare*float64(remaining)),
		min(time.Duration(objectiveShare*float64(objective)), remaining),
	)
}
