// Package tail estimates how often a server that is well takes far longer than usual for a request.
//
// Some routes do so for a few requests in a hundred, others almost never. A late answer is strong evidence
// of a slow server for the latter and weak evidence for the former, so a fixed weight would set servers of the
// former aside again and again. An Estimate learns the share of late answers of one route at one server, from a
// prior that stands for a few requests, and states the weight of the next one as evidence.
package tail

import "math"

const (
	// priorShare is the share of late answers that is assumed before any was seen, priorRequests
	// the number of requests that this assumption counts for.
	priorShare    = 0.005
	priorRequests = 40
	// memory is the number of requests after which older ones have faded to a third.
	memory = 400
	// lateAtSick is the share of late answers of a server that is slow or hangs.
	lateAtSick = 0.9
	// maxShare bounds the estimate: where late answers are more frequent, they still are evidence.
	maxShare = 0.1
)

// Estimate is the estimate for one route. The zero value has seen no request. It is not safe for
// concurrent use.
type Estimate struct {
	// late and requests are the decayed numbers of late answers and of all answers.
	late, requests float64
}

// Record adds one complete answer of a server that is assumed to be well.
func (e *Estimate) Record(late bool) {
	const decay = 1 - 1.0/memory
	e.late *= decay
	e.requests = e.requests*decay + 1
	if late {
		e.late++
	}
}

// Share returns the estimated share of late answers, from 0 to 1.
func (e Estimate) Share() float64 {
	share := (e.late + priorShare*priorRequests) / (e.requests + priorRequests)
	return min(share, maxShare)
}

// Weight returns the weight of a late answer as evidence of a slow server, from 0 to 1. It is 1 if late
// answers are as rare as assumed before any request, and proportional to the logarithm of the likelihood
// ratio otherwise.
func (e Estimate) Weight() float64 {
	weight := math.Log(lateAtSick/e.Share()) / math.Log(lateAtSick/priorShare)
	return min(weight, 1)
}
