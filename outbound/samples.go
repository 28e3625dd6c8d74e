package outbound

import "time"

const (
	// sampleWeight is the weight of the newest answer in a route's means.
	sampleWeight = 0.1
	// maxRoutes bounds the routes whose means are kept; beyond, all are learned
	// anew, so that routes that are gone do not stay for ever.
	maxRoutes = 4096
)

// sample holds the means of a route's served requests.
type sample struct {
	// bytes are those of a request and its answer.
	bytes float64
	// took is the time from the sending to the whole answer, in nanoseconds.
	took float64
}

// learn adds a served request to its route's means. The lock is held.
func (sh *shard) learn(route string, bytes int, took time.Duration) {
	newest := sample{float64(bytes), float64(took)}
	mean, known := sh.samples[route]
	if !known {
		mean = newest
		if len(sh.samples) >= maxRoutes {
			clear(sh.samples)
		}
	}
	mean.bytes += sampleWeight * (newest.bytes - mean.bytes)
	mean.took += sampleWeight * (newest.took - mean.took)
	sh.samples[route] = mean
}

// meanOf returns how long a route's served requests take, or zero before the first.
func (sh *shard) meanOf(route string) time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return time.Duration(sh.samples[route].took)
}
