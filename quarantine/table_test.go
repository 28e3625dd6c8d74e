package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "slatewind.example/slatewind/internal/seeded" // fixes the seed
	"slatewind.example/slatewind/quarantine"
)

// digest returns one of many digests.
func digest(n int) (d quarantine.Digest) {
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// lazy returns a function that returns a digest.
func lazy(n int) func() quarantine.Digest {
	return func() quarantine.Digest { return digest(n) }
}

// ended notes an end of a server under request 1.
func ended(table *quarantine.Table, at time.Time, id uint64) {
	table.Ended(at, quarantine.End{ID: id, Digests: []quarantine.Digest{digest(1)}})
}

// failedTrial notes a trial of request 1 and the end under it.
func failedTrial(table *quarantine.Table, at time.Time, id uint64) {
	table.Begin(at, lazy(1), quarantine.Turn{})
	table.Ended(at, quarantine.End{ID: id, Trials: []quarantine.Digest{digest(1)}})
}

// TestVerdicts: what is decided of request 1 at a time after the start, by what happened before.
func TestVerdicts(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		happens func(table *quarantine.Table)
		now     float64
		refused bool
		trial   bool
	}{
		"nothing":                       {func(*quarantine.Table) {}, 0, false, false},
		"one end":                       {func(q *quarantine.Table) { ended(q, at(0), 1) }, 1, false, false},
		"one end that two runs tell of": {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(0.01), 1) }, 1, false, false},
		"two ends":                      {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(1), 2) }, 2, true, false},
		"two ends of minutes before":    {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(300), 2) }, 301, true, false},
		"two ends, one after an answer": {func(q *quarantine.Table) { ended(q, at(0), 1); q.Answered(at(1), digest(1)); ended(q, at(2), 2) }, 3, false, false},
		"another request's answer":      {func(q *quarantine.Table) { ended(q, at(0), 1); q.Answered(at(1), digest(2)); ended(q, at(2), 2) }, 3, true, false},
		"a while after two ends":        {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(1), 2) }, 6.1, false, true},
		"while a trial runs": {func(q *quarantine.Table) {
			ended(q, at(0), 1)
			ended(q, at(1), 2)
			q.Begin(at(7), lazy(1), quarantine.Turn{})
		}, 7.01, true, false},
		"long after a trial without an end": {func(q *quarantine.Table) {
			ended(q, at(0), 1)
			ended(q, at(1), 2)
			q.Begin(at(7), lazy(1), quarantine.Turn{})
		}, 12.1, false, true},
		"two ends after an answer":      {func(q *quarantine.Table) { q.Answered(at(0), digest(1)); ended(q, at(1), 1); ended(q, at(1), 2) }, 1.1, false, true},
		"two ends long after an answer": {func(q *quarantine.Table) { q.Answered(at(0), digest(1)); ended(q, at(40), 1); ended(q, at(40), 2) }, 41, true, false},
		"a failed trial after an answer": {func(q *quarantine.Table) {
			q.Answered(at(0), digest(1))
			ended(q, at(1), 1)
			ended(q, at(1), 2)
			failedTrial(q, at(1.1), 3)
		}, 60, true, false},
		"after an answered trial": {func(q *quarantine.Table) {
			ended(q, at(0), 1)
			ended(q, at(1), 2)
			q.Begin(at(7), lazy(1), quarantine.Turn{})
			q.Answered(at(7.1), digest(1))
		}, 7.2, false, false},
		"minutes after a failed trial": {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(1), 2); failedTrial(q, at(7), 3) }, 7 + 590, true, false},
		"ten minutes after it":         {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(1), 2); failedTrial(q, at(7), 3) }, 7 + 601, false, true},
		"ten minutes after the second": {func(q *quarantine.Table) {
			ended(q, at(0), 1)
			ended(q, at(1), 2)
			failedTrial(q, at(7), 3)
			failedTrial(q, at(700), 4)
		}, 700 + 601, true, false},
		"one end, and one more much later": {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(700), 2) }, 701, false, false},
		"after hours without any":          {func(q *quarantine.Table) { ended(q, at(0), 1); ended(q, at(1), 2); ended(q, at(3*3600), 3) }, 3*3600 + 1, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := quarantine.NewTable(nil, nil)
			test.happens(table)
			verdict := table.Begin(at(test.now), lazy(1), quarantine.Turn{})
			assert.Equal(t, verdict.Refused, test.refused, "%+v", verdict)
			assert.Equal(t, verdict.Trial, test.trial, "%+v", verdict)
		})
	}
}

// TestBystanders: a request that was on servers by chance as they ended under another one is not
// refused once more ends tell the two apart, and that other one is.
func TestBystanders(t *testing.T) {
	table, now := quarantine.NewTable(nil, nil), time.Now()
	table.Ended(now, quarantine.End{ID: 1, Digests: []quarantine.Digest{digest(1), digest(2)}})
	table.Ended(now, quarantine.End{ID: 2, Digests: []quarantine.Digest{digest(1), digest(2)}})
	assert.Assert(t, table.Check(now, lazy(2)).Refused, "nothing tells them apart")
	table.Ended(now, quarantine.End{ID: 3, Digests: []quarantine.Digest{digest(1), digest(3)}})
	assert.Assert(t, table.Check(now, lazy(1)).Refused)
	assert.Assert(t, !table.Check(now, lazy(2)).Refused)
	assert.Assert(t, !table.Check(now, lazy(3)).Refused)
}

// TestTrialsAreFew: however often a request comes that ends each server, three servers end under
// it in the first ten minutes where one comes after the other.
func TestTrialsAreFew(t *testing.T) {
	table, ends := quarantine.NewTable(nil, nil), 0
	start := time.Now()
	for now := start; now.Sub(start) < 10*time.Minute; now = now.Add(50 * time.Millisecond) {
		verdict := table.Begin(now, lazy(1), quarantine.Turn{})
		if verdict.Refused {
			continue
		}
		ends++
		end := quarantine.End{ID: uint64(ends), Digests: []quarantine.Digest{digest(1)}}
		if verdict.Trial {
			end = quarantine.End{ID: uint64(ends), Trials: []quarantine.Digest{digest(1)}}
		}
		table.Ended(now, end)
	}
	assert.Equal(t, ends, 3)
}

// TestOrderOfNews: two processes that have heard the same, in whatever order, how often and from
// whom, know the same and decide the same.
func TestOrderOfNews(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Now()
		var news [][]quarantine.Record
		witness := quarantine.NewTable(func(records []quarantine.Record) { news = append(news, records) }, nil)
		other := quarantine.NewTable(func(records []quarantine.Record) { news = append(news, records) }, nil)
		for i := range rapid.IntRange(1, 12).Draw(rt, "events") {
			now := start.Add(time.Duration(i) * time.Second)
			at := rapid.SampledFrom([]*quarantine.Table{witness, other}).Draw(rt, "beside")
			switch rapid.SampledFrom([]string{"end", "answer", "run", "hear"}).Draw(rt, "what") {
			case "end":
				at.Ended(now, quarantine.End{ID: uint64(i + 1), Digests: []quarantine.Digest{digest(rapid.IntRange(1, 2).Draw(rt, "request"))}})
			case "answer":
				at.Answered(now, digest(rapid.IntRange(1, 2).Draw(rt, "request")))
			case "run":
				at.Begin(now, lazy(rapid.IntRange(1, 2).Draw(rt, "request")), quarantine.Turn{})
			case "hear":
				at.Take(now, witness.Records(now))
			}
		}
		now := start.Add(12 * time.Second)
		all := append(witness.Records(now), other.Records(now)...)
		one, two := quarantine.NewTable(nil, nil), quarantine.NewTable(nil, nil)
		one.Take(now, all)
		for _, i := range rapid.Permutation(indices(len(all))).Draw(rt, "order") {
			two.Take(now, all[i:i+1])
			two.Take(now, all[i:i+1])
		}
		assert.Equal(rt, one.Sum(now), two.Sum(now))
		witness.Take(now, other.Records(now))
		other.Take(now, witness.Records(now))
		assert.Equal(rt, witness.Sum(now), other.Sum(now))
		assert.Equal(rt, witness.Sum(now), one.Sum(now))
		for request := 1; request <= 2; request++ {
			assert.Equal(rt, one.Check(now, lazy(request)).Refused, two.Check(now, lazy(request)).Refused)
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestFlood: many different requests do not grow the table beyond its bound, nor what a message
// holds, and the ones under which most servers ended stay.
func TestFlood(t *testing.T) {
	table, now := quarantine.NewTable(nil, nil), time.Now()
	ended(table, now, 1)
	ended(table, now, 2)
	for i := range 3000 {
		table.Ended(now.Add(time.Duration(i)*time.Millisecond), quarantine.End{ID: uint64(10 + i), Digests: []quarantine.Digest{digest(10 + i)}})
	}
	assert.Equal(t, len(table.Views(now)), 512)
	assert.Equal(t, len(table.Records(now)), 64)
	// One that begins anew knows what it is told, and both know that nothing is left to tell.
	beginner := quarantine.NewTable(nil, nil)
	beginner.Take(now, table.Records(now))
	assert.Equal(t, beginner.Sum(now), table.Sum(now))
	assert.Assert(t, beginner.Check(now, lazy(1)).Refused)
	assert.Assert(t, table.Check(now, lazy(1)).Refused)
}

// TestSpread: others are told at once of ends, trials and acquittals, and not of what changes
// nothing for them.
func TestSpread(t *testing.T) {
	var told []string
	table := quarantine.NewTable(func(records []quarantine.Record) {
		for _, r := range records {
			newest := r.Events[len(r.Events)-1]
			told = append(told, fmt.Sprint(newest.Kind, newest.Void))
		}
	}, nil)
	now := time.Now()
	ended(table, now, 1)
	table.Answered(now.Add(time.Second), digest(1))
	ended(table, now.Add(2*time.Second), 2)
	ended(table, now.Add(3*time.Second), 3)
	table.Begin(now.Add(9*time.Second), lazy(1), quarantine.Turn{})
	table.Answered(now.Add(10*time.Second), digest(1))
	assert.DeepEqual(t, told, []string{"endfalse", "endfalse", "endfalse", "trialfalse", "trialtrue"})
}

// TestDigest: requests differ by each part of their content, and by nothing else.
func TestDigest(t *testing.T) {
	content := quarantine.Content{Workspace: "w", Method: "GET", Host: "h", Target: "/t?q", Body: []byte("b")}
	tests := map[string]func(c *quarantine.Content){
		"workspace":             func(c *quarantine.Content) { c.Workspace = "v" },
		"method":                func(c *quarantine.Content) { c.Method = "PUT" },
		"host":                  func(c *quarantine.Content) { c.Host = "g" },
		"query":                 func(c *quarantine.Content) { c.Target = "/t?p" },
		"body":                  func(c *quarantine.Content) { c.Body = nil },
		"where a part ends":     func(c *quarantine.Content) { c.Host, c.Target = "h/", "t?q" },
		"where the body begins": func(c *quarantine.Content) { c.Target, c.Body = "/t?", []byte("qb") },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			other := content
			change(&other)
			assert.Assert(t, other.Digest() != content.Digest())
		})
	}
	assert.Equal(t, content.Digest(), content.Digest())
}
