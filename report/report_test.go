package report_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"slatewind.example/slatewind"
	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/report"
)

const ms = time.Millisecond

var (
	ejected = &slatewindv1.SlotState{Health: string(slatewind.ServerEjected)}
	healthy = &slatewindv1.SlotState{}
)

// TestTable checks which reports a table relays and which it sends with a request, some time after
// it received them.
func TestTable(t *testing.T) {
	start := time.Unix(1000, 0)
	fromOther := func(state *slatewindv1.SlotState, age time.Duration) []*slatewindv1.ServerReport {
		return []*slatewindv1.ServerReport{{Server: "s", State: state, AgeMs: uint32(age.Milliseconds()), TrialInMs: 400}}
	}
	tests := map[string]struct {
		receive func(t *report.Table)
		after   time.Duration
		// relayed and direct are the expected health, age and trial time of the server in All and
		// Direct.
		relayed, direct string
	}{
		"nothing received": {receive: func(*report.Table) {}},
		"an unhealthy server is sent and relayed": {
			receive: func(t *report.Table) { t.AddDirect(start, slatewind.ServerStart{Name: "s"}, ejected, 400*ms) },
			after:   100 * ms, relayed: "ejected 100 400", direct: "ejected 100 400",
		},
		"a report sent before is not sent again": {
			receive: func(t *report.Table) { t.AddDirect(start, slatewind.ServerStart{Name: "s"}, ejected, 400*ms) },
			after:   600 * ms, relayed: "ejected 600 400",
		},
		"an old report is dropped": {
			receive: func(t *report.Table) { t.AddDirect(start, slatewind.ServerStart{Name: "s"}, ejected, 400*ms) },
			after:   2001 * ms,
		},
		"a report from another process is relayed with its age": {
			receive: func(t *report.Table) { t.AddRelayed(start, fromOther(ejected, 300*ms)) },
			after:   100 * ms, relayed: "ejected 400 400",
		},
		"an older report changes nothing": {
			receive: func(t *report.Table) {
				t.AddDirect(start, slatewind.ServerStart{Name: "s"}, ejected, 0)
				t.AddRelayed(start, fromOther(healthy, 50*ms))
			},
			relayed: "ejected 0 0", direct: "ejected 0 0",
		},
		"a recovery is relayed": {
			receive: func(t *report.Table) {
				t.AddRelayed(start.Add(-100*ms), fromOther(ejected, 0))
				t.AddDirect(start, slatewind.ServerStart{Name: "s"}, healthy, 0)
			},
			relayed: " 0 0", direct: " 0 0",
		},
		"nothing is sent on a server that was always healthy": {
			receive: func(t *report.Table) { t.AddDirect(start, slatewind.ServerStart{Name: "s"}, healthy, 0) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := report.NewTable()
			test.receive(table)
			now := start.Add(test.after)
			assert.Equal(t, format(table.All(now)), test.relayed)
			assert.Equal(t, format(table.Direct(now)), test.direct)
		})
	}
}

// format renders the only report, if any.
func format(reports []*slatewindv1.ServerReport) string {
	if len(reports) == 0 {
		return ""
	}
	return fmt.Sprint(reports[0].GetState().GetHealth(), " ", reports[0].GetAgeMs(), " ", reports[0].GetTrialInMs())
}

// TestTableIsBounded checks that requests and replies stay small however many servers are
// unhealthy.
func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := report.NewTable()
	for i := range 1000 {
		table.AddDirect(now, slatewind.ServerStart{Name: fmt.Sprint("s-", i)}, ejected, 0)
	}
	assert.Equal(t, len(table.Direct(now)), 8)
	assert.Equal(t, len(table.All(now)), 32)
}

// TestTableOfStarts checks that reports on different starts of one server are not mixed up and that
// those on the newer start win, whatever their age.
func TestTableOfStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	of := func(start int64, state *slatewindv1.SlotState, age uint32) *slatewindv1.ServerReport {
		return &slatewindv1.ServerReport{Server: "s", State: state, AgeMs: age, StartUnixMillis: start}
	}
	tests := map[string]struct {
		reports []*slatewindv1.ServerReport
		// start and health are those of the report that is relayed.
		start  int64
		health string
	}{
		"the newer start is healthy":         {[]*slatewindv1.ServerReport{of(1, ejected, 0), of(2, healthy, 300)}, 2, ""},
		"the older report arrives late":      {[]*slatewindv1.ServerReport{of(2, ejected, 500), of(1, healthy, 0)}, 2, "ejected"},
		"a repeated older report is ignored": {[]*slatewindv1.ServerReport{of(1, ejected, 0), of(2, healthy, 300), of(1, ejected, 0)}, 2, ""},
		"both are unhealthy":                 {[]*slatewindv1.ServerReport{of(1, ejected, 0), of(2, ejected, 400)}, 2, "ejected"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := report.NewTable()
			for _, r := range test.reports {
				table.AddRelayed(now, []*slatewindv1.ServerReport{r})
			}
			all := table.All(now)
			assert.Equal(t, len(all), 1)
			assert.Equal(t, all[0].GetStartUnixMillis(), test.start)
			assert.Equal(t, all[0].GetState().GetHealth(), test.health)
		})
	}
}
