package outlier

import (
	"math"
	"time"

	"slatewind.example/slatewind"
)

// RingSize is the number of a server's newest outcomes that its sidecar sends with
// every reply. An ingress that receives at least every thirty-second reply of a server
// thus gets all its outcomes, including those of requests from other ingresses.
const RingSize = 32

// Ring holds the newest outcomes of one server, each packed in 32 bits: class in bits
// 24-31, result in bits 16-23, log latency in bits 0-15. The zero Ring is empty.
type Ring struct {
	sequence uint64
	packed   [RingSize]uint32
}

// logScale maps the log of nanoseconds to 16 bits: up to e^32 ns, about 22 hours, in
// steps of 0.05 %.
const logScale = 2048

// packedResults lists the results by their code in bits 16-23.
var packedResults = []slatewind.Result{
	slatewind.ResultOK, slatewind.ResultError, slatewind.ResultOverdue, slatewind.ResultCancelled,
	slatewind.ResultProbeFailed,
}

// Add adds an outcome to the ring, which drops the oldest one if it is full. A result that is not
// in packedResults is stored as ResultOK.
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

// Sequence returns the total number of outcomes added.
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

// Unpack decodes a packed outcome of a server. An unknown code of a result is read as ResultOK.
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

// Class returns the class of a route: an eight-bit hash of its name.
func Class(route string) uint8 {
	hash := uint32(2166136261)
	for i := range len(route) {
		hash = (hash ^ uint32(route[i])) * 16777619
	}
	return uint8(hash ^ hash>>8 ^ hash>>16 ^ hash>>24)
}
