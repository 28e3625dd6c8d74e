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
	// Local servers are in the ingress's data centre.
	Local bool
	// Excluded servers were tried already by this request.
	Excluded bool
}

// None is returned where no server may be chosen.
const None = -1

// tries bounds the random draws before all targets are looked at in turn.
const tries = 8

// Pick returns the index of the chosen target, or None.
func Pick(r *rand.Rand, targets []Target) int {
	local := pickAmong(r, targets, true)
	if local != None && targets[local].Load < targets[local].Slots*targets[local].Weight {
		return local
	}
	remote := pickAmong(r, targets, false)
	return better(targets, local, remote)
}

func pickAmong(r *rand.Rand, targets []Target, local bool) int {
	first := draw(r, targets, local)
	if first == None {
		return None
	}
	return better(targets, first, draw(r, targets, local))
}

// draw returns a random target that may be chosen. A target of lower weight is
// drawn as often as its weight says.
func draw(r *rand.Rand, targets []Target, local bool) int {
	n := len(targets)
	if n == 0 {
		return None
	}
	for range tries {
		i := r.IntN(n)
		if usable(&targets[i], local) && (targets[i].Weight >= 1 || r.Float64() < targets[i].Weight) {
			return i
		}
	}
	start := r.IntN(n)
	for k := range n {
		i := (start + k) % n
		if usable(&targets[i], local) {
			return i
		}
	}
	return None
}

func usable(t *Target, local bool) bool {
	return t.Local == local && t.Weight > 0 && !t.Excluded
}

// better returns the index with the shorter line; either may be None.
func better(targets []Target, a, b int) int {
	switch {
	case a == None:
		return b
	case b == None:
		return a
	case line(&targets[b]) < line(&targets[a]):
		return b
	}
	return a
}

func line(t *Target) float64 {
	return (t.Load + 1) / (t.Slots * t.Weight)
}
