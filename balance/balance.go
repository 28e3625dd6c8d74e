// Package balance chooses a server by two random choices.
//
// Of two servers picked at random, the one with the shorter line for its slots
// and weight gets the request. Compared with "the shortest of all", this keeps
// many ingresses, each with a slightly old view, from sending their requests to
// the same server at the same moment. Servers of the ingress's own data centre
// go first; the others get the request when the better local choice is full.
package balance

import "math/rand/v2"

// Target is what an ingress knows of one server when it chooses.
type Target struct {
	// Load is the number of requests in flight and waiting.
	Load float64
	// Slots is the number of requests that the server runs at a time.
	Slots float64
	// Weight is the share of traffic that the server may have; zero is none.
	Weight float64
}

// Targets looks servers up by their index. Only those that are drawn are looked
// at, so that the cost of a choice does not grow with their number.
type Targets interface {
	Target(i int) Target
}

// None is returned where no server may be chosen.
const None = -1

// tries bounds the random draws before all targets are looked at in turn.
const tries = 8

// Pick returns the index of the chosen target, or None. local and remote list
// the targets inside and outside the ingress's data centre.
func Pick(r *rand.Rand, targets Targets, local, remote []int) int {
	near, target := pickAmong(r, targets, local)
	if near != None && target.Load < target.Slots*target.Weight {
		return near
	}
	far, other := pickAmong(r, targets, remote)
	if near != None && (far == None || line(target) <= line(other)) {
		return near
	}
	return far
}

// pickAmong returns the better of two random targets of a group.
func pickAmong(r *rand.Rand, targets Targets, group []int) (int, Target) {
	first, a := draw(r, targets, group)
	if first == None {
		return None, a
	}
	second, b := draw(r, targets, group)
	if line(b) < line(a) {
		return second, b
	}
	return first, a
}

// draw returns a random target that may be chosen. A target of lower weight is
// drawn as often as its weight says.
func draw(r *rand.Rand, targets Targets, group []int) (int, Target) {
	n := len(group)
	if n == 0 {
		return None, Target{}
	}
	for range tries {
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

func line(t Target) float64 {
	return (t.Load + 1) / (t.Slots * t.Weight)
}
