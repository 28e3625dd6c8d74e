package logreport

import "time"

const (
	// maxBins is the largest number of bins of a curve, minBin the shortest bin.
	maxBins = 120
	minBin  = time.Second
)

// binOf returns the length of a bin for a time range: the fewest whole seconds with which there
// are about maxBins bins.
func binOf(from, to time.Time) time.Duration {
	bin := to.Sub(from) / maxBins
	return max((bin + minBin - 1).Truncate(minBin), minBin)
}

// bins returns the number of bins of the curves.
func (r *Report) bins() int { return int(r.To.Sub(r.From)/r.Bin) + 1 }

// binAt returns the index of the bin of a time, clamped to the range of the report.
func (r *Report) binAt(at time.Time) int {
	return min(max(int(at.Sub(r.From)/r.Bin), 0), r.bins()-1)
}

// curves returns the curves of the events of a service.
func (c *Collector) curves(r *Report, service string) []Curve {
	curves := []Curve{{Name: curveUnserved}, {Name: curveExtra}, {Name: curveDenied}}
	for i := range curves {
		curves[i].Counts = make([]int, r.bins())
		for _, e := range c.events {
			if e.service == service && e.curve == curves[i].Name {
				curves[i].Counts[r.binAt(e.at)] += e.count
			}
		}
	}
	return curves
}

// openCurve returns the curve of breakers that were open during any part of a bin.
func openCurve(r *Report, openings []Opening) Curve {
	curve := Curve{Name: curveOpen, Counts: make([]int, r.bins())}
	for _, o := range openings {
		for i := r.binAt(o.At); i <= r.binAt(o.At.Add(o.Lasted)); i++ {
			curve.Counts[i]++
		}
	}
	return curve
}
