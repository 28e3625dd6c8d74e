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

// Queue holds the servers that a search may still ask, cheapest first. What the search
// hears of those of a data centre says something of the others there that it has no word
// of: faults often befall a whole data centre, and many servers at once.
type Queue struct {
	// lists holds them by group, each cheapest first.
	lists map[group][]Candidate
	// asked counts, by data centre, the servers that replied, and sick those of them that
	// were sick.
	asked, sick map[string]int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{lists: map[group][]Candidate{}, asked: map[string]int{}, sick: map[string]int{}}
}

// Fill puts servers into the queue in place of those that are left; they come cheapest
// first. What was heard stays.
func (q *Queue) Fill(servers []Candidate) {
	clear(q.lists)
	for _, server := range servers {
		g := groupOf(server)
		q.lists[g] = append(q.lists[g], server)
	}
}

func groupOf(server Candidate) group { return group{server.DataCentre, server.Unheard} }

// Len returns how many servers are left.
func (q *Queue) Len() int {
	n := 0
	for _, list := range q.lists {
		n += len(list)
	}
	return n
}

// Heard notes the reply of a server's process.
func (q *Queue) Heard(dataCentre string, sick bool) {
	q.asked[dataCentre]++
	if sick {
		q.sick[dataCentre]++
	}
}

// Next returns the cheapest server that is left, with its cost by what was heard, or
// reports that there is none.
func (q *Queue) Next() (next Candidate, ok bool) {
	for g, list := range q.lists {
		if len(list) == 0 {
			continue
		}
		server := list[0]
		server.Cost += q.surcharge(g)
		if !ok || server.Cost < next.Cost {
			next, ok = server, true
		}
	}
	return next, ok
}

// Take removes the server that Next returns and returns it.
func (q *Queue) Take() (next Candidate, ok bool) {
	next, ok = q.Next()
	if ok {
		g := groupOf(next)
		q.lists[g] = q.lists[g][1:]
	}
	return next, ok
}

// surcharge is the cost of a sickness times the share of servers that are expected to be
// sick, for those of which nothing was heard.
func (q *Queue) surcharge(g group) float64 {
	if !g.unheard {
		return 0
	}
	return sickCost * shareOf(q.sick[g.dataCentre], q.asked[g.dataCentre])
}
