package outbound

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// splitter distributes the requests of a route over services by weight: each request goes to the
// service that is furthest behind its share.
type splitter struct {
	// sent counts the requests by service, total counts all of them.
	sent  map[string]float64
	total float64
}

// split returns the service for the next request of a route.
func (o *Outbound) split(rq *request) string {
	splits := rq.route.GetSplits()
	if len(splits) == 0 {
		return rq.route.GetService()
	}
	sum := 0.0
	for _, part := range splits {
		sum += float64(part.GetWeight())
	}
	key := fmt.Sprintf("%s@%d", rq.route.GetName(), rq.snapshot.Version.Revision)
	o.splitMu.Lock()
	defer o.splitMu.Unlock()
	sp := o.splits[key]
	if sp == nil {
		// The counts start anew with each version of the settings; older ones are dropped.
		sp = &splitter{sent: map[string]float64{}}
		for old := range o.splits {
			if strings.HasPrefix(old, rq.route.GetName()+"@") {
				delete(o.splits, old)
			}
		}
		o.splits[key] = sp
		// The first service is random: otherwise all ingresses would start with the same one
		// and overload it.
		sp.sent[splits[rand.IntN(len(splits))].GetService()] = rand.Float64()
	}
	sp.total++
	best, furthest := "", 0.0
	for _, part := range splits {
		behind := sp.total*float64(part.GetWeight())/max(sum, 1) - sp.sent[part.GetService()]
		if best == "" || behind > furthest {
			best, furthest = part.GetService(), behind
		}
	}
	sp.sent[best]++
	return best
}
