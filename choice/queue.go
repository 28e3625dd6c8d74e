package choice

// priorHealthy is the number of healthy replies assumed before the first reply. With it, after
// three consecutive unhealthy servers one in another data centre is cheaper than a fourth.
const priorHealthy = 4.0

// unhealthyShareOf estimates the share of unhealthy servers from the number of unhealthy ones
// among those that replied.
func unhealthyShareOf(unhealthy, replied int) float64 {
	return float64(unhealthy) / (float64(replied) + priorHealthy)
}

// group identifies the servers of one data centre with or without a recent status.
type group struct {
	dataCentre string
	stale      bool
}

// part holds the remaining servers of a group, cheapest first.
type part struct {
	group
	left []Candidate
}

// Queue holds the servers that a search may still ask, cheapest first. The replies of servers
// of a data centre adjust the costs of those there without a recent status: faults often hit a
// whole data centre, and many servers at once.
type Queue struct {
	// parts has at most two entries for each data centre.
	parts []part
	// replied counts the servers that replied, by data centre, and unhealthy those of them that
	// were unhealthy.
	replied, unhealthy map[string]int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{replied: map[string]int{}, unhealthy: map[string]int{}} }

// Fill replaces the remaining servers by the given ones, which are sorted by cost. The counts
// of replies stay.
func (q *Queue) Fill(servers []Candidate) {
	q.parts = q.parts[:0]
	var counts []int
	of := make([]int32, len(servers))
	for i := range servers {
		p := q.partOf(&servers[i])
		if p == len(counts) {
			counts = append(counts, 0)
		}
		counts[p]++
		of[i] = int32(p)
	}
	// All parts share one array, in which each has the capacity for its servers.
	all := make([]Candidate, len(servers))
	for p, count := range counts {
		q.parts[p].left, all = all[:0:count], all[count:]
	}
	for i := range servers {
		p := &q.parts[of[i]]
		p.left = append(p.left, servers[i])
	}
}

// partOf returns the index of a server's part, which is added if it does not exist.
func (q *Queue) partOf(server *Candidate) int {
	g := group{server.DataCentre, server.Stale}
	for i := range q.parts {
		if q.parts[i].group == g {
			return i
		}
	}
	q.parts = append(q.parts, part{group: g})
	return len(q.parts) - 1
}

// Len returns the number of remaining servers.
func (q *Queue) Len() int {
	n := 0
	for i := range q.parts {
		n += len(q.parts[i].left)
	}
	return n
}

// Replied counts a reply of the sidecar of a server in a data centre.
func (q *Queue) Replied(dataCentre string, unhealthy bool) {
	q.replied[dataCentre]++
	if unhealthy {
		q.unhealthy[dataCentre]++
	}
}

// Next returns the cheapest remaining server, with its cost adjusted by the replies so far; ok
// is false if there is none.
func (q *Queue) Next() (next Candidate, ok bool) {
	next, at := q.cheapest()
	return next, at >= 0
}

// cheapest returns the cheapest server and the index of its part, or -1.
func (q *Queue) cheapest() (next Candidate, at int) {
	at = -1
	for i := range q.parts {
		p := &q.parts[i]
		if len(p.left) == 0 {
			continue
		}
		server := p.left[0]
		server.Cost += q.surcharge(p.group)
		if at < 0 || server.Cost < next.Cost {
			next, at = server, i
		}
	}
	return next, at
}

// Take removes and returns the server that Next returns.
func (q *Queue) Take() (next Candidate, ok bool) {
	next, at := q.cheapest()
	if at < 0 {
		return next, false
	}
	q.parts[at].left = q.parts[at].left[1:]
	return next, true
}

// surcharge returns the cost added to the servers of a group: for those without a recent
// status, the cost of an unhealthy server times the estimated share of these.
func (q *Queue) surcharge(g group) float64 {
	if !g.stale {
		return 0
	}
	return unhealthyCost * unhealthyShareOf(q.unhealthy[g.dataCentre], q.replied[g.dataCentre])
}
