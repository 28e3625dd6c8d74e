// Package balance chooses a server by the power of two random choices.
//
// Of two servers picked at random, the one with the lower load relative to its slots and weight
// gets the request. Compared with the least loaded server of all, this keeps many ingresses,
// each with a slightly outdated view, from sending their requests to the same server at the
// same moment. Servers of the ingress's own data centre are preferred; the others are
// considered if the better local choice is full.
package balance

import "math/rand/v2"

// Target is the state of one server at an ingress.
type Target struct {
	// Load is the number of requests in flight and waiting.
	Load float64
	// Slots is the number of requests that the server runs at a time.
	Slots float64
	// Weight is the share of its traffic that the server may get, from 0 to 1; at 0 it is not
	// chosen.
	Weight float64
}

// Targets returns servers by their index. Only those that are drawn are looked up, so that the
// cost of a choice does not grow with their number.
type Targets interface {
	Target(i int) Target
}

// None is returned if no server may be chosen.
const None = -1

// maxDraws bounds the random draws before all targets are looked up in turn.
const maxDraws = 8

// Pick returns the index of the chosen target, or None. local and remote hold the indices of the
// targets inside and outside the ingress's data centre.
func Pick(r *rand.Rand, targets Targets, local, remote []int) int {
	localBest, localTarget := pickAmong(r, targets, local)
	if localBest != None && localTarget.Load < localTarget.Slots*localTarget.Weight {
		return localBest
	}
	remoteBest, remoteTarget := pickAmong(r, targets, remote)
	if localBest != None && (remoteBest == None || relativeLoad(localTarget) <= relativeLoad(remoteTarget)) {
		return localBest
	}
	return remoteBest
}

// pickAmong returns the less loaded of two random targets of a group, or None.
func pickAmong(r *rand.Rand, targets Targets, group []int) (int, Target) {
	first, a := draw(r, targets, group)
	if first == None {
		return None, a
	}
	second, b := draw(r, targets, group)
	if relativeLoad(b) < relativeLoad(a) {
		return second, b
	}
	return first, a
}

// draw returns a random target that may be chosen, or None. A target with a weight below 1 is
// drawn in proportion to its weight.
func draw(r *rand.Rand, targets Targets, group []int) (int, Target) {
	n := len(group)
	if n == 0 {
		return None, Target{}
	}
	for range maxDraws {
		i := group[r.IntN(n)]
		t := targets.Target(i)
		if t.Weight >= 1 || t.Weight > 0 && r.Float64() < t.Weight {
			return i, t
		}
	}
	start := r.IntN(n)
	for k := range n {
		i := group[(start+k)%n]
		if t := targets.Target(i); t.Weight > 0 {
			return i, t
		}
	}
	return None, Target{}
}

// relativeLoad returns the load with one more request, relative to the slots and the weight.
func relativeLoad(t Target) float64 {
	return (t.Load + 1) / (t.Slots * t.Weight)
}
