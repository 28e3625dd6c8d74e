package choice

// A search asks one server after the other. What it hears of those of a data centre
// says something of the others there that it has no word of: faults often befall a whole
// data centre, and many servers at once.

// unseen is how many well servers of a data centre a search takes for granted before it
// has asked any. After three sick ones in a row a server in another data centre is
// cheaper than a fourth.
const unseen = 4.0

// Queue holds the servers that a search may still ask, cheapest first.
type Queue struct {
	// lists holds them by data centre, each cheapest first.
	lists map[string][]Candidate
	// asked counts, by data centre, the servers that replied, and sick those of them that
	// were sick.
	asked, sick map[string]int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{lists: map[string][]Candidate{}, asked: map[string]int{}, sick: map[string]int{}}
}

// Fill puts servers into the queue in place of those that are left; they come cheapest
// first. What was heard stays.
func (q *Queue) Fill(servers []Candidate) {
	clear(q.lists)
	for _, server := range servers {
		q.lists[server.DataCentre] = append(q.lists[server.DataCentre], server)
	}
}

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
	for dataCentre, list := range q.lists {
		if len(list) == 0 {
			continue
		}
		server := list[0]
		server.Cost += q.surcharge(dataCentre)
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
		q.lists[next.DataCentre] = q.lists[next.DataCentre][1:]
	}
	return next, ok
}

// surcharge is the cost of a sickness times the share of servers that are expected to be
// sick in a data centre.
func (q *Queue) surcharge(dataCentre string) float64 {
	return sickCost * float64(q.sick[dataCentre]) / (float64(q.asked[dataCentre]) + unseen)
}
