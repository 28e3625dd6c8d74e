package outbound

import "time"

const (
	// sampleWeight is the weight of the latest request in the moving averages.
	sampleWeight = 0.1
	// maxRoutes limits the number of routes with averages. When it is exceeded, all averages are
	// dropped and collected anew, so that removed routes do not accumulate.
	maxRoutes = 4096
)

// routeMeans holds the moving averages over a route's served requests.
type routeMeans struct {
	// bytes is the size of a request and its response together.
	bytes float64
	// took is the time from sending a request to the end of its response, in nanoseconds.
	took float64
}

// recordServed adds a served request to the averages of its route. The caller must hold sh.mu.
func (sh *shard) recordServed(route string, bytes int, took time.Duration) {
	newest := routeMeans{float64(bytes), float64(took)}
	mean, known := sh.means[route]
	if !known {
		mean = newest
		if len(sh.means) >= maxRoutes {
			clear(sh.means)
		}
	}
	mean.bytes += sampleWeight * (newest.bytes - mean.bytes)
	mean.took += sampleWeight * (newest.took - mean.took)
	sh.means[route] = mean
}

// meanTime returns the mean time of a route's served requests, or 0 if there are none yet.
func (sh *shard) meanTime(route string) time.Duration {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return time.Duration(sh.means[route].took)
}
