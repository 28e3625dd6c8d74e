package outlier

import (
	"math"
	"time"

	"slatewind.example/slatewind"
)

// RingSize is how many of a server's newest outcomes its sidecar tells with
// every reply. An ingress that gets at least every thirty-second reply of a
// server so learns all its outcomes, its own and other ingresses' alike.
const RingSize = 32

// Ring holds the newest outcomes of one server, each packed in 32 bits: class
// in bits 24-31, result in bits 16-23, log latency in bits 0-15.
type Ring struct {
	sequence uint64
	packed   [RingSize]uint32
}

// logScale maps the log of nanoseconds to 16 bits: up to e^31 ns, an hour and
// a half, in steps of 0.05 %.
const logScale = 2048

var packedResults = []slatewind.Result{
	slatewind.ResultOK, slatewind.ResultError, slatewind.ResultOverdue, slatewind.ResultCancelled,
	slatewind.ResultProbeFailed,
}

// Add puts an outcome into the ring.
func (r *Ring) Add(class uint8, result slatewind.Result, latency time.Duration) {
	log := min(math.Log(max(float64(latency), 1))*logScale, math.MaxUint16)
	code := uint32(0)
	for i, known := range packedResults {
		if known == result {
			code = uint32(i)
		}
	}
	r.packed[r.sequence%RingSize] = uint32(class)<<24 | code<<16 | uint32(log)
	r.sequence++
}

// Sequence returns how many outcomes were added in all.
func (r *Ring) Sequence() uint64 {
	return r.sequence
}

// Newest appends the outcomes in the ring to out, oldest first.
func (r *Ring) Newest(out []uint32) []uint32 {
	first := uint64(0)
	if r.sequence > RingSize {
		first = r.sequence - RingSize
	}
	for n := first; n < r.sequence; n++ {
		out = append(out, r.packed[n%RingSize])
	}
	return out
}

// Unpack returns the observation that a packed outcome stands for.
func Unpack(server string, packed uint32) slatewind.Observation {
	code := int(packed >> 16 & 0xff)
	if code >= len(packedResults) {
		code = 0
	}
	log := float64(packed&0xffff) / logScale
	return slatewind.Observation{
		Server:  server,
		Class:   uint8(packed >> 24),
		Result:  packedResults[code],
		Latency: time.Duration(math.Exp(log)),
	}
}

// Class returns the class of a route: a hash of its name in eight bits.
func Class(route string) uint8 {
	hash := uint32(2166136261)
	for i := range len(route) {
		hash = (hash ^ uint32(route[i])) * 16777619
	}
	return uint8(hash ^ hash>>8 ^ hash>>16 ^ hash>>24)
}
