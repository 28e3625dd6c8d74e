package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind/quarantine"
)

// On a large service 15 servers ended under one request, six of them later than three seconds after
// the third. Nine ended before anybody could know. The first trial was due at all processes at the
// same moment, and until all had heard of one, as many had begun as requests came. Here it comes nine
// times a second, second attempts included, at any of 178 processes, and news take 0.6 s: 13 servers
// end, six of them later, where all may try it at once.
const (
	largeService = 178
	newsTime     = 600 * time.Millisecond
	runTime      = 50 * time.Millisecond
	betweenRuns  = 110 * time.Millisecond
)

// happening is something at a time of a play.
type happening struct {
	at time.Time
	do func(now time.Time)
}

// fleetPlay is a service in virtual time: each of its processes has a table of its own.
type fleetPlay struct {
	tables []*quarantine.Table
	queue  []happening
	now    time.Time
	ends   []time.Time
}

func newFleetPlay(processes int) *fleetPlay {
	p := &fleetPlay{now: time.Unix(1000, 0)}
	for range processes {
		p.tables = append(p.tables, quarantine.NewTable(func(records []quarantine.Record) {
			p.later(newsTime, func(now time.Time) {
				for _, t := range p.tables {
					t.Take(now, records)
				}
			})
		}, nil))
	}
	return p
}

func (p *fleetPlay) later(after time.Duration, do func(now time.Time)) {
	p.queue = append(p.queue, happening{p.now.Add(after), do})
}

// run lets what is due happen until a time.
func (p *fleetPlay) run(until time.Time) {
	for {
		i := -1
		for j, h := range p.queue {
			if !h.at.After(until) && (i < 0 || h.at.Before(p.queue[i].at)) {
				i = j
			}
		}
		if i < 0 {
			p.now = until
			return
		}
		h := p.queue[i]
		p.queue = slices.Delete(p.queue, i, i+1)
		p.now = h.at
		h.do(h.at)
	}
}

// send brings the request to a process, whose server ends if it gets it.
func (p *fleetPlay) send(process int) {
	table := p.tables[process]
	verdict := table.Begin(p.now, lazy(1), quarantine.Turn{Place: process, Places: len(p.tables)})
	if verdict.Refused {
		return
	}
	p.later(runTime, func(now time.Time) {
		p.ends = append(p.ends, now)
		end := quarantine.End{ID: uint64(len(p.ends)), Digests: []quarantine.Digest{digest(1)}}
		if verdict.Trial {
			end.Digests, end.Trials = nil, end.Digests
		}
		table.Ended(now, end)
	})
}

// TestLargeServiceTriesByTurns: however large a service is, a request that comes everywhere is tried
// by few, and once in a while.
func TestLargeServiceTriesByTurns(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			p := newFleetPlay(largeService)
			for start := p.now; p.now.Sub(start) < 3*time.Minute; p.run(p.now.Add(betweenRuns)) {
				p.send(random.IntN(largeService))
			}
			assert.Assert(t, len(p.ends) >= 3)
			later := 0
			for _, at := range p.ends {
				if at.Sub(p.ends[2]) > 3*time.Second {
					later++
				}
			}
			assert.Assert(t, later <= 3, "%d ends, %d of them later than three seconds after the third", len(p.ends), later)
		})
	}
}
