// Package logreport aggregates the logs of processes into a report by service: requests that
// were not served and why, breakers that opened, extra attempts, servers that were not asked,
// and the duration of stops.
//
// It parses lines and returns plain data; the caller opens the files. A line that cannot be
// parsed is reported as a finding with its position and does not affect other lines.
package logreport

import (
	"time"

	"slatewind.example/slatewind"
)

// unnamed stands for a service or kind that a line does not state.
const unnamed = "-"

// Report is the aggregate of all lines.
type Report struct {
	// From and To are the times of the oldest and the newest line, Bin is the length of a
	// bin of the curves.
	From, To time.Time
	Bin      time.Duration
	// Lines is the number of parsed lines, LeftOut the number of lines that processes
	// reported as omitted from their logs.
	Lines, LeftOut int
	Services       []Service
	Stops          []Stop
	// Findings are the lines that could not be parsed, in the order in which they were added.
	Findings Findings
}

// Service is the part of a report about one service.
type Service struct {
	Name string
	// Kinds holds the counts by kind of route.
	Kinds []KindOfRoute
	// Openings are the openings of its servers' breakers, oldest first.
	Openings []Opening
	Curves   []Curve
}

// Curve is a time series of counts in bins of length Report.Bin.
type Curve struct {
	Name   string
	Counts []int
}

// KindOfRoute holds the counts of requests on routes of one kind.
type KindOfRoute struct {
	Kind     slatewind.Kind
	Unserved []Unserved
	Extra    []Extra
	Searches Searches
}

// Unserved is the number of requests that were not served for one cause.
type Unserved struct {
	// Outcome says whether the requests are known not to have been executed. OutcomeAnswer
	// stands for an error response of a server.
	Outcome slatewind.Outcome
	Cause   string
	Count   int
}

// Extra is the number of extra attempts of one kind for one cause.
type Extra struct {
	// Why is the kind of decision, DecisionRetry or DecisionHedge.
	Why   slatewind.DecisionKind
	Cause string
	Count int
}

// Searches sums up the searches for a slot that found none. Other searches are not logged.
type Searches struct {
	Count int
	// Known and Asked are the numbers of known and asked servers. All counts are sums over
	// the searches.
	Known, Asked int
	// NotAsked holds the numbers of servers that were not asked, by the causes of
	// choice.Survey.
	NotAsked []Count
	// UsableLeft is the number of searches that ended although there were usable servers that
	// had not been asked.
	UsableLeft int
	// Denied is the number of refusals by the budget for extra attempts.
	Denied int
}

// Count is the number of servers not asked for one cause, which is in Word.
type Count struct {
	Word  string
	Count int
}

// Ending is how an opening of a breaker ended.
type Ending string

// Endings of openings.
const (
	// EndedClosed means that enough trials succeeded.
	EndedClosed Ending = "closed"
	// EndedReplaced means that the server was restarted or its sidecar ended.
	EndedReplaced Ending = "replaced"
	// EndedOpen means that the breaker was open at the end of the logs.
	EndedOpen Ending = "open"
)

// Opening is an interval during which a breaker was open.
type Opening struct {
	Server string
	Cause  string
	At     time.Time
	// Lasted is the time until the breaker closed, the server was replaced or the logs end.
	Lasted time.Duration
	Ending Ending
}

// Stop is one planned stop of a process.
type Stop struct {
	VM string
	// At is the time at which the stop began.
	At time.Time
	// Took is the duration of the stop, or zero if it is not in the log.
	Took time.Duration
	// Ended reports whether the process ended regularly.
	Ended bool
	// Running and Callers are the numbers of unfinished requests when the process no longer
	// waited for them.
	Running, Callers int
	// CutOff is the number of callers that had no response at the end of the stop.
	CutOff int
}

// InHand reports whether there were unfinished requests when the process no longer waited.
func (s Stop) InHand() bool { return s.Running+s.Callers+s.CutOff > 0 }
