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

// digest returns the n-th test digest.
func digest(n int) (d quarantine.Digest) {
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// lazy returns a function that returns the n-th test digest.
func lazy(n int) func() quarantine.Digest {
	return func() quarantine.Digest { return digest(n) }
}

// crashed records a crash under request 1.
func crashed(table *quarantine.Table, at time.Time, id uint64) {
	table.ServerCrashed(at, quarantine.Crash{ID: id, Digests: []quarantine.Digest{digest(1)}})
}

// failedTrial records a trial of request 1 and a crash during it.
func failedTrial(table *quarantine.Table, at time.Time, id uint64) {
	table.Begin(at, lazy(1), quarantine.Turn{})
	table.ServerCrashed(at, quarantine.Crash{ID: id, Trials: []quarantine.Digest{digest(1)}})
}

// TestVerdicts checks the verdict on request 1 at a time after the start, given earlier events.
func TestVerdicts(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		happens func(table *quarantine.Table)
		now     float64
		refused bool
		trial   bool
	}{
		"nothing":                          {func(*quarantine.Table) {}, 0, false, false},
		"one crash":                        {func(q *quarantine.Table) { crashed(q, at(0), 1) }, 1, false, false},
		"one crash reported by two runs":   {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(0.01), 1) }, 1, false, false},
		"two crashes":                      {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(1), 2) }, 2, true, false},
		"two crashes minutes apart":        {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(300), 2) }, 301, true, false},
		"two crashes, one after an answer": {func(q *quarantine.Table) { crashed(q, at(0), 1); q.Answered(at(1), digest(1)); crashed(q, at(2), 2) }, 3, false, false},
		"another request's answer":         {func(q *quarantine.Table) { crashed(q, at(0), 1); q.Answered(at(1), digest(2)); crashed(q, at(2), 2) }, 3, true, false},
		"a while after two crashes":        {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(1), 2) }, 6.1, false, true},
		"while a trial runs": {func(q *quarantine.Table) {
			crashed(q, at(0), 1)
			crashed(q, at(1), 2)
			q.Begin(at(7), lazy(1), quarantine.Turn{})
		}, 7.01, true, false},
		"long after a trial without a crash": {func(q *quarantine.Table) {
			crashed(q, at(0), 1)
			crashed(q, at(1), 2)
			q.Begin(at(7), lazy(1), quarantine.Turn{})
		}, 12.1, false, true},
		"two crashes after an answer":      {func(q *quarantine.Table) { q.Answered(at(0), digest(1)); crashed(q, at(1), 1); crashed(q, at(1), 2) }, 1.1, false, true},
		"two crashes long after an answer": {func(q *quarantine.Table) { q.Answered(at(0), digest(1)); crashed(q, at(40), 1); crashed(q, at(40), 2) }, 41, true, false},
		"a failed trial after an answer": {func(q *quarantine.Table) {
			q.Answered(at(0), digest(1))
			crashed(q, at(1), 1)
			crashed(q, at(1), 2)
			failedTrial(q, at(1.1), 3)
		}, 60, true, false},
		"after an answered trial": {func(q *quarantine.Table) {
			crashed(q, at(0), 1)
			crashed(q, at(1), 2)
			q.Begin(at(7), lazy(1), quarantine.Turn{})
			q.Answered(at(7.1), digest(1))
		}, 7.2, false, false},
		"minutes after a failed trial": {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(1), 2); failedTrial(q, at(7), 3) }, 7 + 590, true, false},
		"ten minutes after it":         {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(1), 2); failedTrial(q, at(7), 3) }, 7 + 601, false, true},
		"ten minutes after the second": {func(q *quarantine.Table) {
			crashed(q, at(0), 1)
			crashed(q, at(1), 2)
			failedTrial(q, at(7), 3)
			failedTrial(q, at(700), 4)
		}, 700 + 601, true, false},
		"one crash, and one more much later": {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(700), 2) }, 701, false, false},
		"after hours without any":            {func(q *quarantine.Table) { crashed(q, at(0), 1); crashed(q, at(1), 2); crashed(q, at(3*3600), 3) }, 3*3600 + 1, false, false},
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

// TestUnrelatedRequestsAreReleased checks that a request that happened to run on servers crashed by
// another one is no longer refused once further crashes tell the two apart, and that the other one
// still is.
func TestUnrelatedRequestsAreReleased(t *testing.T) {
	table, now := quarantine.NewTable(nil, nil), time.Now()
	table.ServerCrashed(now, quarantine.Crash{ID: 1, Digests: []quarantine.Digest{digest(1), digest(2)}})
	table.ServerCrashed(now, quarantine.Crash{ID: 2, Digests: []quarantine.Digest{digest(1), digest(2)}})
	assert.Assert(t, table.Check(now, lazy(2)).Refused, "the two requests cannot be told apart yet")
	table.ServerCrashed(now, quarantine.Crash{ID: 3, Digests: []quarantine.Digest{digest(1), digest(3)}})
	assert.Assert(t, table.Check(now, lazy(1)).Refused)
	assert.Assert(t, !table.Check(now, lazy(2)).Refused)
	assert.Assert(t, !table.Check(now, lazy(3)).Refused)
}

// TestTrialsAreRare checks that a request that crashes every server crashes three in the first ten
// minutes, however often it arrives, if runs do not overlap.
func TestTrialsAreRare(t *testing.T) {
	table, crashes := quarantine.NewTable(nil, nil), 0
	start := time.Now()
	for now := start; now.Sub(start) < 10*time.Minute; now = now.Add(50 * time.Millisecond) {
		verdict := table.Begin(now, lazy(1), quarantine.Turn{})
		if verdict.Refused {
			continue
		}
		crashes++
		end := quarantine.Crash{ID: uint64(crashes), Digests: []quarantine.Digest{digest(1)}}
		if verdict.Trial {
			end = quarantine.Crash{ID: uint64(crashes), Trials: []quarantine.Digest{digest(1)}}
		}
		table.ServerCrashed(now, end)
	}
	assert.Equal(t, crashes, 3)
}

// TestMergeOrder checks that two processes that received the same records hold the same state and
// give the same verdicts, whatever the order, number and source of the updates.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Now()
		var published [][]quarantine.Record
		first := quarantine.NewTable(func(records []quarantine.Record) { published = append(published, records) }, nil)
		second := quarantine.NewTable(func(records []quarantine.Record) { published = append(published, records) }, nil)
		for i := range rapid.IntRange(1, 12).Draw(rt, "events") {
			now := start.Add(time.Duration(i) * time.Second)
			at := rapid.SampledFrom([]*quarantine.Table{first, second}).Draw(rt, "beside")
			switch rapid.SampledFrom([]string{"end", "answer", "run", "hear"}).Draw(rt, "what") {
			case "end":
				at.ServerCrashed(now, quarantine.Crash{ID: uint64(i + 1), Digests: []quarantine.Digest{digest(rapid.IntRange(1, 2).Draw(rt, "request"))}})
			case "answer":
				at.Answered(now, digest(rapid.IntRange(1, 2).Draw(rt, "request")))
			case "run":
				at.Begin(now, lazy(rapid.IntRange(1, 2).Draw(rt, "request")), quarantine.Turn{})
			case "hear":
				at.Merge(now, first.Records(now))
			}
		}
		now := start.Add(12 * time.Second)
		all := append(first.Records(now), second.Records(now)...)
		inBatch, oneByOne := quarantine.NewTable(nil, nil), quarantine.NewTable(nil, nil)
		inBatch.Merge(now, all)
		for _, i := range rapid.Permutation(indices(len(all))).Draw(rt, "order") {
			oneByOne.Merge(now, all[i:i+1])
			oneByOne.Merge(now, all[i:i+1])
		}
		assert.Equal(rt, inBatch.Sum(now), oneByOne.Sum(now))
		first.Merge(now, second.Records(now))
		second.Merge(now, first.Records(now))
		assert.Equal(rt, first.Sum(now), second.Sum(now))
		assert.Equal(rt, first.Sum(now), inBatch.Sum(now))
		for request := 1; request <= 2; request++ {
			assert.Equal(rt, inBatch.Check(now, lazy(request)).Refused, oneByOne.Check(now, lazy(request)).Refused)
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

// TestTableBounds checks that many different requests do not grow the table or a message beyond
// their limits, and that the requests with the most crashes are kept.
func TestTableBounds(t *testing.T) {
	table, now := quarantine.NewTable(nil, nil), time.Now()
	crashed(table, now, 1)
	crashed(table, now, 2)
	for i := range 3000 {
		table.ServerCrashed(now.Add(time.Duration(i)*time.Millisecond), quarantine.Crash{ID: uint64(10 + i), Digests: []quarantine.Digest{digest(10 + i)}})
	}
	assert.Equal(t, len(table.Views(now)), 512)
	assert.Equal(t, len(table.Records(now)), 64)
	// A new process has the same records after one exchange, and the sums show that nothing is left
	// to exchange.
	newcomer := quarantine.NewTable(nil, nil)
	newcomer.Merge(now, table.Records(now))
	assert.Equal(t, newcomer.Sum(now), table.Sum(now))
	assert.Assert(t, newcomer.Check(now, lazy(1)).Refused)
	assert.Assert(t, table.Check(now, lazy(1)).Refused)
}

// TestPublish checks that crashes, trials and clearing answers are published at once, and that
// answers which change no verdict are not.
func TestPublish(t *testing.T) {
	var published []string
	table := quarantine.NewTable(func(records []quarantine.Record) {
		for _, r := range records {
			newest := r.Events[len(r.Events)-1]
			published = append(published, fmt.Sprint(newest.Kind, newest.Void))
		}
	}, nil)
	now := time.Now()
	crashed(table, now, 1)
	table.Answered(now.Add(time.Second), digest(1))
	crashed(table, now.Add(2*time.Second), 2)
	crashed(table, now.Add(3*time.Second), 3)
	table.Begin(now.Add(9*time.Second), lazy(1), quarantine.Turn{})
	table.Answered(now.Add(10*time.Second), digest(1))
	assert.DeepEqual(t, published, []string{"endfalse", "endfalse", "endfalse", "trialfalse", "trialtrue"})
}

// TestDigest checks that each part of the content changes the digest, and that equal contents have
// equal digests.
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
