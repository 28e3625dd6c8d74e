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

// Parameters of a large service on which one request crashes every server. Such a request once
// crashed 15 servers, six of them more than three seconds after the third crash: the first trial
// was due at all processes at the same moment, and until the event of one trial had reached all of
// them, every process that received the request began its own. Here the request arrives nine times
// a second (retries included) at any of 178 processes and events take 0.6 s to reach all of them.
// Without staggering, 13 servers crash, six of them late.
const (
	largeServiceSize = 178
	publishTime      = 600 * time.Millisecond
	runTime          = 50 * time.Millisecond
	requestInterval  = 110 * time.Millisecond
)

// scheduled is a callback that is due at a point in virtual time.
type scheduled struct {
	at time.Time
	do func(now time.Time)
}

// fleetSim simulates a service in virtual time. Each of its processes has its own table.
type fleetSim struct {
	tables  []*quarantine.Table
	queue   []scheduled
	now     time.Time
	crashes []time.Time
}

func newFleetSim(processes int) *fleetSim {
	p := &fleetSim{now: time.Unix(1000, 0)}
	for range processes {
		p.tables = append(p.tables, quarantine.NewTable(func(records []quarantine.Record) {
			p.schedule(publishTime, func(now time.Time) {
				for _, t := range p.tables {
					t.Merge(now, records)
				}
			})
		}, nil))
	}
	return p
}

func (p *fleetSim) schedule(after time.Duration, do func(now time.Time)) {
	p.queue = append(p.queue, scheduled{p.now.Add(after), do})
}

// run executes the callbacks that are due up to a point in time.
func (p *fleetSim) run(until time.Time) {
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

// send delivers the request to a process; if it is not refused, the server of that process crashes.
func (p *fleetSim) send(process int) {
	table := p.tables[process]
	verdict := table.Begin(p.now, lazy(1), quarantine.Turn{Place: process, Places: len(p.tables)})
	if verdict.Refused {
		return
	}
	p.schedule(runTime, func(now time.Time) {
		p.crashes = append(p.crashes, now)
		end := quarantine.Crash{ID: uint64(len(p.crashes)), Digests: []quarantine.Digest{digest(1)}}
		if verdict.Trial {
			end.Digests, end.Trials = nil, end.Digests
		}
		table.ServerCrashed(now, end)
	})
}

// TestTrialsAreStaggered checks that on a large service a request that arrives everywhere is tried
// only a few times, however many processes there are.
func TestTrialsAreStaggered(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			p := newFleetSim(largeServiceSize)
			for start := p.now; p.now.Sub(start) < 3*time.Minute; p.run(p.now.Add(requestInterval)) {
				p.send(random.IntN(largeServiceSize))
			}
			assert.Assert(t, len(p.crashes) >= 3)
			late := 0
			for _, at := range p.crashes {
				if at.Sub(p.crashes[2]) > 3*time.Second {
					late++
				}
			}
			assert.Assert(t, late <= 3, "%d crashes, %d of them more than three seconds after the third", len(p.crashes), late)
		})
	}
}
