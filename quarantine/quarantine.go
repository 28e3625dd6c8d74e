// Package quarantine recognises requests that crash servers and keeps them from reaching further
// servers.
//
// Some requests crash every server that begins to run them. A circuit breaker does not help: it
// covers one server, and a retry takes the request to the next healthy one. So the sidecar of a
// crashed server records a digest of each request that was running, sends the records at once to
// the sidecars of the other servers of the service, and to everybody by gossip. A request under
// which two servers crashed without an answer in between is refused everywhere before it is sent.
//
// A harmless request, above all a frequent one, may be running on two servers that crash for
// another reason. So a refusal lasts some seconds; then one run is let through as a trial. If the
// request was answered a moment before, the trial comes at once. Any complete answer clears the
// request. Only a trial during which the server crashed too confirms that the request is the cause;
// the next trial then comes after minutes, since a release of the servers may have fixed the fault.
//
// Records consist of events with unique ids, and the only change an event undergoes is to become
// void (or, for a crash, to be marked as that of a trial). So the order, the number of times and
// the source of updates do not matter (Table.Merge).
package quarantine

import (
	"fmt"
	"time"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events, with their values on the wire.
const (
	// KindCrash: a server crashed while it ran the request.
	KindCrash Kind = "end"
	// KindTrial: a refused request was let through once.
	KindTrial Kind = "trial"
	// KindFailedTrial: a server crashed while it ran a trial of the request.
	KindFailedTrial Kind = "failed-trial"
)

const (
	// refuseAfterCrashes is the number of crashes after which a request is refused. A single crash
	// may coincide with any request; after two crashes without an answer in between the request is
	// the likelier cause.
	refuseAfterCrashes = 2
	// trialDelay is the time from the last crash, or from a trial without a result, to the next
	// trial: servers have restarted by then, and a harmless request is not refused for longer.
	trialDelay = 5 * time.Second
	// recentTrialDelay is the time between the trials of a request that was answered recently. Its
	// first trial does not wait.
	recentTrialDelay = time.Second
	// failedTrialDelay is the time from a failed trial to the next; it doubles with each failed
	// trial up to maxFailedTrialDelay.
	failedTrialDelay    = 10 * time.Minute
	maxFailedTrialDelay = time.Hour
	// keepTime is how long a record is kept after its newest event. singleCrashKeepTime applies to
	// a request with a single crash, since many requests have one by coincidence, and
	// clearedKeepTime to a cleared request, which is kept until all processes have received the
	// update.
	keepTime            = 2 * maxFailedTrialDelay
	singleCrashKeepTime = 10 * time.Minute
	clearedKeepTime     = time.Minute
	// recentAnswerTime is the minimum time for which an answer counts as recent, unless so many
	// follow that it is dropped early; at least the last minRecentAnswers are always remembered.
	recentAnswerTime = 15 * time.Second
	minRecentAnswers = 2048
	// maxRecords limits the number of records, maxEvents the number of events per record.
	maxRecords = 512
	maxEvents  = 8
	// maxSentRecords limits the number of records per message, at some 60 bytes each.
	maxSentRecords = 64
)

// Event is an event as processes exchange it.
type Event struct {
	// ID is unique per event; the records of all requests that ran during one crash share its id.
	ID   uint64
	Kind Kind
	// Age is the time since the event.
	Age time.Duration
	// Void is set once the request has been answered after the event.
	Void bool
}

// Record holds the known events of one request.
type Record struct {
	Digest Digest
	Events []Event
}

// Verdict is the decision whether a request may be sent to a server.
type Verdict struct {
	// Refused means that the request must not be sent, Trial that this run is a trial.
	Refused, Trial bool
	// Crashes is the number of crashes that are attributed to the request.
	Crashes int
	// Proven means that one of the crashes occurred during a trial.
	Proven bool
	// TrialIn is the time until the next trial of a refused request.
	TrialIn time.Duration
}

// Turn is the position of a process among the sidecars of a service, by which they take turns at
// trying a request: a trial that is due is due at all of them, and it takes a while until the event
// of one trial has reached the others.
type Turn struct {
	// Place is the position, from 0; Places is the number of sidecars, 0 if unknown.
	Place, Places int
}

// turnTime is the interval between the trials of two processes: longer than an event takes to reach
// all of them.
const turnTime = time.Second

// delay returns how much later than the first process this one may try a request. The digest
// determines which process is first.
func (t Turn) delay(digest Digest) time.Duration {
	if t.Places <= 0 {
		return 0
	}
	return time.Duration((t.Place+int(digest[0]))%t.Places) * turnTime
}

// shownTrialPrecision is the rounding of the time until the next trial in messages.
const shownTrialPrecision = 100 * time.Millisecond

// Reason returns the text that tells the caller of a request and operators why it is refused.
func (v Verdict) Reason(digest Digest) string {
	return fmt.Sprintf("quarantined: %d servers ended while they ran the request %s; it is tried again in %s",
		v.Crashes, digest, v.TrialIn.Round(shownTrialPrecision))
}

// View is the state of one request in a state dump.
type View struct {
	Digest  string `json:"digest"`
	Crashes int    `json:"ends"`
	Refused bool   `json:"refused"`
	// TrialInMs is the time until the next trial of a refused request, in milliseconds.
	TrialInMs int64 `json:"trial_in_ms,omitempty"`
}
