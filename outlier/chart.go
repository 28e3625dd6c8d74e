package outlier

import "math"

// chart is a CUSUM: the sum of log-likelihood ratios of "sick" against
// "healthy", started anew whenever it falls below zero. Among all tests with
// the same rate of false alarms it has the shortest worst mean delay (Lorden
// 1971, Moustakides 1986), and that delay is near threshold / divergence.
type chart struct {
	score float64
}

// add takes one log-likelihood ratio, in nats. The cap keeps a server that was
// sick for long from needing as long to clear itself.
func (c *chart) add(ratio, limit float64) {
	c.score = min(max(c.score+ratio, 0), limit)
}

// Model of a sick server. Latency is judged on a log scale, where service
// times are near normal and a slow-down is a shift.
const (
	// shift is the log of the slow-down that the test is tuned to detect
	// soonest; larger ones are detected sooner still.
	shift = 0.92 // ln 2.5
	// ratioLimit clips each ratio, since real tails are heavier than normal:
	// a single outlier must not be worth more than a few slow requests.
	ratioLimit = 3.0
	// sickErrors is the least share of errors of a server that is failing.
	sickErrors = 0.15
	// errorFactor is how many times the others' share counts as failing.
	errorFactor = 5
	// minErrors is the least share of errors expected of healthy servers.
	minErrors = 0.01
	// maxErrors bounds the share that counts as failing.
	maxErrors = 0.9
)

// slowRatio is the ratio for one answered request: excess is the distance of
// its log latency from that of the other servers, sigma the spread.
func slowRatio(excess, sigma float64) float64 {
	ratio := (excess*shift - shift*shift/2) / (sigma * sigma)
	return clip(ratio)
}

// overdueRatio is the ratio for a request still unanswered: how much more
// likely a sick server is to take longer than that.
func overdueRatio(excess, sigma float64) float64 {
	sick := survival((excess - shift) / sigma)
	healthy := survival(excess / sigma)
	return clip(math.Log(sick / healthy))
}

// survival is the probability that a standard normal value exceeds z.
func survival(z float64) float64 {
	return math.Max(math.Erfc(z/math.Sqrt2)/2, 1e-12)
}

// errorRatio is the ratio for an error or a success, given the share of errors
// of the other servers.
func errorRatio(failed bool, others float64) float64 {
	healthy := max(others, minErrors)
	sick := min(max(sickErrors, errorFactor*healthy), maxErrors)
	if sick <= healthy {
		return 0
	}
	if failed {
		return clip(math.Log(sick / healthy))
	}
	return clip(math.Log((1 - sick) / (1 - healthy)))
}

func clip(ratio float64) float64 {
	return min(max(ratio, -ratioLimit), ratioLimit)
}
