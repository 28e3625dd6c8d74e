// Package logreport tells from the logs of processes what became of a service: which
// requests went unserved and why, which breakers opened, what extra attempts were made,
// which servers were not asked, and how long stops took.
//
// It reads lines and returns plain data; opening files is its caller's job. A line that
// cannot be read becomes a finding with its place, and the others go on.
package logreport

import (
	"time"

	"slatewind.example/slatewind"
)

// unnamed is the word for what a line does not tell.
const unnamed = "-"

// Report is what the lines of all logs tell.
type Report struct {
	// From and To are the times of the oldest and the newest line, Bin is the length of
	// the bins of curves.
	From, To time.Time
	Bin      time.Duration
	// Lines counts the lines that were read, LeftOut those that processes said they left
	// out of their logs.
	Lines, LeftOut int
	Services       []Service
	Stops          []Stop
	// Findings are the lines that could not be read, in the order of reading.
	Findings Findings
}

// Service is what happened to the requests for one service.
type Service struct {
	Name string
	// Kinds holds a part for each kind of route.
	Kinds []KindOfRoute
	// Openings are those of the breakers of its servers, oldest first.
	Openings []Opening
	Curves   []Curve
}

// Curve is something counted over the time of a report, in bins of equal length.
type Curve struct {
	Name   string
	Counts []int
}

// KindOfRoute is what happened to the requests on routes of one kind.
type KindOfRoute struct {
	Kind     slatewind.Kind
	Unserved []Unserved
	Extra    []Extra
	Searches Searches
}

// Unserved counts the requests that no server served for one cause.
type Unserved struct {
	// Outcome says whether they are proved not to have run; OutcomeAnswer is a server's own
	// error answer.
	Outcome slatewind.Outcome
	Cause   string
	Count   int
}

// Extra counts the attempts beyond the first of one sort.
type Extra struct {
	// Why is the kind of decision, DecisionRetry or DecisionHedge.
	Why   slatewind.DecisionKind
	Cause string
	Count int
}

// Searches sums up the searches for a slot that found none. Logs tell of no others.
type Searches struct {
	Count int
	// Known and Asked are sums over the searches, as all counts here.
	Known, Asked int
	// NotAsked counts the servers that were not asked, by the words of choice.Survey.
	NotAsked []Count
	// SoundLeft counts the searches that left servers unasked which they could have asked.
	SoundLeft int
	// Denied counts the refusals by the bound on extra attempts that they met.
	Denied int
}

// Count is a word with a number.
type Count struct {
	Word  string
	Count int
}

// Ending says how an opening of a breaker ended.
type Ending string

// Endings of openings.
const (
	// EndedClosed: enough trials succeeded.
	EndedClosed Ending = "closed"
	// EndedReplaced: another start of the server, or the end of the process beside it.
	EndedReplaced Ending = "replaced"
	// EndedOpen: it was open at the end of the logs.
	EndedOpen Ending = "open"
)

// Opening is one time for which a breaker was open.
type Opening struct {
	Server string
	Cause  string
	At     time.Time
	// Lasted is until it closed, its server was replaced or the logs end.
	Lasted time.Duration
	Ending Ending
}

// Stop is one planned stop of a process.
type Stop struct {
	VM string
	// At is when it began.
	At time.Time
	// Took is how long it lasted, or zero where the log does not tell of its end.
	Took time.Duration
	// Ended says that the process stopped in order.
	Ended bool
	// Running and Callers are the requests in hand at which it waited no longer.
	Running, Callers int
	// CutOff counts the callers that had no answer at the end.
	CutOff int
}

// InHand reports whether work was in hand when the wait was over.
func (s Stop) InHand() bool { return s.Running+s.Callers+s.CutOff > 0 }
