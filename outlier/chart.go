package outlier

import "math"

// chart is a CUSUM chart: the sum of the log-likelihood ratios of "unhealthy"
// against "healthy", reset to zero whenever it falls below. Among all tests with
// the same rate of false alarms it has the shortest worst-case mean delay (Lorden
// 1971, Moustakides 1986), which is close to threshold / divergence.
type chart struct {
	score float64
}

// add adds one log-likelihood ratio, in nats. The limit keeps a server that was
// unhealthy for long from needing equally long to recover its score.
func (c *chart) add(ratio, limit float64) {
	c.score = min(max(c.score+ratio, 0), limit)
}

// Model of an unhealthy server. Latency is judged on a log scale, on which service
// times are approximately normal and a slow-down is a shift.
const (
	// shift is the log of the slow-down that the test is tuned to detect
	// soonest; larger slow-downs are detected even sooner.
	shift = 0.92 // ln 2.5
	// ratioLimit clips each ratio, since real tails are heavier than normal:
	// a single outlier must not count for more than a few slow requests.
	ratioLimit = 3.0
	// minUnhealthyErrors is the minimum share of errors of a failing server.
	minUnhealthyErrors = 0.15
	// errorFactor is the multiple of the other servers' share of errors that
	// counts as failing.
	errorFactor = 5
	// minErrors is the minimum share of errors expected of healthy servers.
	minErrors = 0.01
	// maxErrors limits the share of errors that counts as failing.
	maxErrors = 0.9
)

// slowRatio returns the log-likelihood ratio for one answered request: excess is the
// difference of its log latency from that of the other servers, sigma the standard
// deviation.
func slowRatio(excess, sigma float64) float64 {
	ratio := (excess*shift - shift*shift/2) / (sigma * sigma)
	return clip(ratio)
}

// overdueRatio returns the log-likelihood ratio for a request that is still
// unanswered, from the probabilities of an unhealthy and of a healthy server to take
// longer than that.
func overdueRatio(excess, sigma float64) float64 {
	unhealthy := survival((excess - shift) / sigma)
	healthy := survival(excess / sigma)
	return clip(math.Log(unhealthy / healthy))
}

// survival returns the probability that a standard normal value exceeds z, or 1e-12
// if that is larger.
func survival(z float64) float64 {
	return math.Max(math.Erfc(z/math.Sqrt2)/2, 1e-12)
}

// errorRatio returns the log-likelihood ratio for an error or a success, given the
// share of errors of the other servers.
func errorRatio(failed bool, others float64) float64 {
	healthy := max(others, minErrors)
	unhealthy := min(max(minUnhealthyErrors, errorFactor*healthy), maxErrors)
	if unhealthy <= healthy {
		return 0
	}
	if failed {
		return clip(math.Log(unhealthy / healthy))
	}
	return clip(math.Log((1 - unhealthy) / (1 - healthy)))
}

func clip(ratio float64) float64 {
	return min(max(ratio, -ratioLimit), ratioLimit)
}
