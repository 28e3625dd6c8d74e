package choice

// unseen is how many well servers are taken for granted before any was heard of. After
// three sick ones in a row a server in another data centre is cheaper than a fourth.
const unseen = 4.0

// shareOf returns the share of servers that are expected to be sick where so many of those
// that were heard of are.
func shareOf(sick, heard int) float64 {
	return float64(sick) / (float64(heard) + unseen)
}

// group is a part of the servers that a search may still ask.
type group struct {
	dataCentre string
	unheard    bool
}

// part is what is left of a group, cheapest first.
type part struct {
	group
	left []Candidate
}

// Queue holds the servers that a search may still ask, cheapest first. What the search
// hears of those of a data centre says something of the others there that it has no word
// of: faults often befall a whole data centre, and many servers at once.
type Queue struct {
	// parts are few: two for each data centre.
	parts []part
	// asked counts, by data centre, the servers that replied, and sick those of them that
	// were sick.
	asked, sick map[string]int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{asked: map[string]int{}, sick: map[string]int{}} }

// Fill puts servers into the queue in place of those that are left; they come cheapest
// first. What was heard stays.
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
	// All parts share one array: each has as many places in it as it has servers.
	all := make([]Candidate, len(servers))
	for p, count := range counts {
		q.parts[p].left, all = all[:0:count], all[count:]
	}
	for i := range servers {
		p := &q.parts[of[i]]
		p.left = append(p.left, servers[i])
	}
}

// partOf returns the number of a server's part, which is made where it is new.
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

// Len returns how many servers are left.
func (q *Queue) Len() int {
	n := 0
	for i := range q.parts {
		n += len(q.parts[i].left)
	}
	return n
}

// Replied notes the reply of a server's process.
func (q *Queue) Replied(dataCentre string, sick bool) {
	q.asked[dataCentre]++
	if sick {
		q.sick[dataCentre]++
	}
}

// Next returns the cheapest server that is left, with its cost by what was heard, or
// reports that there is none.
func (q *Queue) Next() (next Candidate, ok bool) {
	next, at := q.cheapest()
	return next, at >= 0
}

// cheapest returns the cheapest server and the number of its part, or -1.
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

// Take removes the server that Next returns and returns it.
func (q *Queue) Take() (next Candidate, ok bool) {
	next, at := q.cheapest()
	if at < 0 {
		return next, false
	}
	q.parts[at].left = q.parts[at].left[1:]
	return next, true
}

// surcharge is the cost of a sickness times the share of servers that are expected to be
// sick, for those of which nothing was heard.
func (q *Queue) surcharge(g group) float64 {
	if !g.unheard {
		return 0
	}
	return sickCost * shareOf(q.sick[g.dataCentre], q.asked[g.dataCentre])
}
