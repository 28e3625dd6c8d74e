package logreport

import (
	"cmp"
	"maps"
	"slices"

	"slatewind.example/slatewind"
)

// Report returns the report of all lines added so far. Openings and stops that have not ended
// are marked as such; lines that are added later may end them.
func (c *Collector) Report() Report {
	r := c.report
	r.Stops = slices.Clone(r.Stops)
	for _, s := range c.stops {
		r.Stops = append(r.Stops, *s)
	}
	slices.SortFunc(r.Stops, func(a, b Stop) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM))
	})
	r.Bin = binOf(r.From, r.To)
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := Service{Name: name, Kinds: c.kinds(c.services[name]), Openings: c.openings(name)}
		s.Curves = append(c.curves(&r, name), openCurve(&r, s.Openings))
		r.Services = append(r.Services, s)
	}
	return r
}

// openings returns the openings of a service, including those that have not ended.
func (c *Collector) openings(service string) []Opening {
	openings := slices.Clone(c.services[service].openings)
	for _, o := range c.open {
		if o.service == service {
			still := o.Opening
			still.Lasted, still.Ending = max(c.report.To.Sub(o.At), 0), EndedOpen
			openings = append(openings, still)
		}
	}
	slices.SortFunc(openings, func(a, b Opening) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server))
	})
	return openings
}

// kinds returns the counts of a tally by kind of route.
func (c *Collector) kinds(t *tally) []KindOfRoute {
	parts := map[slatewind.Kind]*KindOfRoute{}
	part := func(kind slatewind.Kind) *KindOfRoute {
		if parts[kind] == nil {
			parts[kind] = &KindOfRoute{Kind: kind}
		}
		return parts[kind]
	}
	for key, n := range t.unserved {
		p := part(key.kind)
		p.Unserved = append(p.Unserved, Unserved{key.outcome, key.cause, n})
	}
	extras := map[slatewind.Kind]map[extraKey]int{}
	for key, n := range t.extra {
		kind := c.kindOf(key)
		if extras[kind] == nil {
			extras[kind] = map[extraKey]int{}
		}
		key.route = ""
		extras[kind][key] += n
	}
	for kind, counts := range extras {
		for key, n := range counts {
			p := part(kind)
			p.Extra = append(p.Extra, Extra{key.why, key.cause, n})
		}
	}
	for kind, searches := range t.searches {
		part(kind).Searches = *searches
	}
	return sorted(parts)
}

// kindOf returns the kind of the route of extra attempts. Hedges are made only on repeatable
// routes; other kinds are known only if a line stated them.
func (c *Collector) kindOf(key extraKey) slatewind.Kind {
	if key.why == slatewind.DecisionHedge {
		return slatewind.KindRepeatable
	}
	if kind, ok := c.routes[key.route]; ok {
		return kind
	}
	return unnamed
}

// sorted returns the parts ordered by kind, with the largest counts of each first.
func sorted(parts map[slatewind.Kind]*KindOfRoute) []KindOfRoute {
	var kinds []KindOfRoute
	for _, kind := range slices.Sorted(maps.Keys(parts)) {
		p := *parts[kind]
		slices.SortFunc(p.Unserved, func(a, b Unserved) int {
			return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
		})
		slices.SortFunc(p.Extra, func(a, b Extra) int {
			return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Why, b.Why), cmp.Compare(a.Cause, b.Cause))
		})
		kinds = append(kinds, p)
	}
	return kinds
}
