package logreport

import (
	"cmp"
	"slices"
	"time"
)

// OpeningsOfCause summarises the openings of breakers for one cause.
type OpeningsOfCause struct {
	Cause string
	// Count is the number of openings; Closed, Replaced and StillOpen are the numbers by ending.
	Count, Closed, Replaced, StillOpen int
	// Median and Longest are durations of the openings that ended with EndedClosed.
	Median, Longest time.Duration
}

// ByCause summarises openings by cause, the most frequent cause first.
func ByCause(openings []Opening) []OpeningsOfCause {
	closed := map[string][]time.Duration{}
	sums := map[string]*OpeningsOfCause{}
	for _, o := range openings {
		if sums[o.Cause] == nil {
			sums[o.Cause] = &OpeningsOfCause{Cause: o.Cause}
		}
		sum := sums[o.Cause]
		sum.Count++
		switch o.Ending {
		case EndedClosed:
			sum.Closed++
			closed[o.Cause] = append(closed[o.Cause], o.Lasted)
		case EndedReplaced:
			sum.Replaced++
		case EndedOpen:
			sum.StillOpen++
		}
	}
	var list []OpeningsOfCause
	for cause, sum := range sums {
		if lasted := closed[cause]; len(lasted) > 0 {
			slices.Sort(lasted)
			sum.Median, sum.Longest = lasted[len(lasted)/2], lasted[len(lasted)-1]
		}
		list = append(list, *sum)
	}
	slices.SortFunc(list, func(a, b OpeningsOfCause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

// mean returns the mean of n values with a sum, or the sum if n is 0.
func mean(sum, n int) float64 { return float64(sum) / float64(max(n, 1)) }
