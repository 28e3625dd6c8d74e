package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/attempt"
	_ "slatewind.example/slatewind/internal/seeded"
)

// TestNotStartedIsTrue delivers, starts, cancels and delays attempts in random
// order, with pauses and a small table. An attempt reported as not started is
// never started afterwards, and no attempt is started twice.
func TestNotStartedIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		table := attempt.NewTable(now, 1<<24, rapid.IntRange(2, 6).Draw(t, "limit"))
		type flight struct {
			id          string
			incarnation uint64
		}
		var flights []flight
		started := map[string]int{}
		denied := map[string]bool{}
		pick := func(t *rapid.T) flight {
			if len(flights) == 0 {
				t.Skip("nothing was sent")
			}
			return flights[rapid.IntRange(0, len(flights)-1).Draw(t, "flight")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) {
				flights = append(flights, flight{fmt.Sprint(len(flights)), table.Incarnation()})
			},
			"admit": func(t *rapid.T) {
				f := pick(t)
				refusal := table.Admit(f.id, f.incarnation)
				if refusal != attempt.Admitted && refusal != attempt.RefusedDuplicate && started[f.id] == 0 {
					denied[f.id] = denied[f.id] || refusal != attempt.RefusedNoSpace && refusal != attempt.RefusedStale
				}
			},
			"start": func(t *rapid.T) {
				f := pick(t)
				if table.Start(f.id) {
					started[f.id]++
				}
			},
			"end": func(t *rapid.T) {
				if f := pick(t); started[f.id] > 0 {
					table.End(f.id)
				}
			},
			"cancel": func(t *rapid.T) {
				f := pick(t)
				if table.Cancel(f.id, f.incarnation) == slatewind.CancelNotStarted {
					assert.Equal(t, started[f.id], 0, "attempt %s was started and then reported as not started", f.id)
					denied[f.id] = true
				}
			},
			"pause": func(*rapid.T) { table.Wake(now) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
				table.Rotate(now)
			},
			"": func(t *rapid.T) {
				for id, n := range started {
					assert.Assert(t, n <= 1, "attempt %s started %d times", id, n)
					assert.Assert(t, !denied[id], "attempt %s started after it was reported as not started", id)
				}
			},
		})
	})
}

// TestMemoryIsBounded checks that a full table refuses new attempts and returns
// CancelUnknown for attempts that are not recorded.
func TestMemoryIsBounded(t *testing.T) {
	table := attempt.NewTable(time.Unix(0, 0), 1<<24, 10)
	for i := range 10 {
		assert.Equal(t, table.Admit(fmt.Sprint(i), 1<<24), attempt.Admitted)
	}
	assert.Equal(t, table.Admit("one more", 1<<24), attempt.RefusedNoSpace)
	assert.Equal(t, table.Cancel("another", 1<<24), slatewind.CancelUnknown)
	assert.Equal(t, table.Len(), 10)
}
